// Package lovagelift serves many models on fewer accelerators, for teams whose
// callers wait on the line.
//
// An instance stands between callers and upstreams, which are model engines and
// plain services. Serve runs one. A Caller looks up which instances to use, keeps
// the answer, and asks them.
package lovagelift

import (
	"context"
	"io"
	"os"

	"github.com/lovagelift/lovagelift/internal/host"
)

// ServeOptions says what Serve runs. One of Settings and Example must be set.
type ServeOptions struct {
	// Settings is the path of an instance's settings, a TOML file.
	// docs/operators/settings.md describes it.
	Settings string
	// Example runs one instance with a built-in engine and service, whose state is
	// gone when it ends.
	Example bool
	// CallerAddress, an IP number and port, is where the example listens for
	// callers. Empty stands for 127.0.0.1:7600.
	CallerAddress string
	// Log receives JSON lines. Nil stands for the standard error.
	Log io.Writer
}

// Serve runs one instance until ctx ends or an operator asks for a planned stop,
// and then stops gracefully: it cuts off no request. If the settings are wrong,
// Serve starts nothing and returns an error that lists every finding with its
// place, one a line.
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
