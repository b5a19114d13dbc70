// Package host runs one instance from its settings until it is told to stop
// (process main loop).
package host

import (
	"context"
	"io"

	"github.com/rs/zerolog"
)

// Options configures Run.
type Options struct {
	// Example starts the built-in example instead of an instance from settings.
	Example bool
	// CallerAddress replaces the address for callers, if it is not empty.
	CallerAddress string
	// Log receives JSON lines.
	Log io.Writer
}

// Run serves until ctx ends, and then stops gracefully.
func Run(ctx context.Context, options Options) error {
	log := zerolog.New(options.Log).With().Timestamp().Logger()
	running, err := newExample(ctx, options.CallerAddress, log)
	if err != nil {
		return err
	}
	log.Info().Str("caller-address", exampleCallerAddress).Str("model", exampleModel).Msg("example serves")
	<-ctx.Done()
	running.stop(log)
	return nil
}
