// Package lovagelift is an inference proxy that serves many models on fewer
// accelerators, for teams whose callers wait for answers interactively.
//
// An instance proxies requests from callers to upstreams, which are model engines
// and plain services. Serve runs an instance. A Caller discovers the instances,
// caches the result, and sends requests to them.
package lovagelift

import (
	"context"
	"io"
	"os"

	"github.com/lovagelift/lovagelift/internal/host"
)

// ServeOptions configures Serve. One of Settings and Example must be set.
type ServeOptions struct {
	// Settings is the path of the instance's settings, a TOML file.
	// docs/operators/settings.md describes it.
	Settings string
	// Example runs an instance with a built-in engine and service. Its state is
	// discarded when the instance stops.
	Example bool
	// CallerAddress is the IP and port on which the example listens for callers.
	// Empty means 127.0.0.1:7600.
	CallerAddress string
	// Log receives the log as JSON lines. Nil means standard error.
	Log io.Writer
}

// Serve runs an instance until ctx ends or an operator drains it, and then shuts
// down gracefully without interrupting requests. If the settings are invalid,
// Serve starts nothing and returns an error that lists every finding with its
// place, one per line.
func Serve(ctx context.Context, options ServeOptions) error {
	if options.Log == nil {
		options.Log = os.Stderr
	}
	return host.Run(ctx, host.Options{
		SettingsPath:  options.Settings,
		Example:       options.Example,
		CallerAddress: options.CallerAddress,
		Log:           options.Log,
	})
}
