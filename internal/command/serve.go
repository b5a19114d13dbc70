package command

import (
	"context"
	"fmt"

	"github.com/cockroachdb/errors"

	"github.com/lovagelift/lovagelift/internal/finding"
	"github.com/lovagelift/lovagelift/internal/host"
)

func newServe() command {
	var options host.Options
	flags := newSubcommand("serve", "runs one instance until it is interrupted", "lovagelift serve --example")
	flags.AddPositionalValue(&options.SettingsPath, "settings", 1, false, "TOML file of the instance's settings")
	flags.Bool(&options.Example, "", "example", "run one instance with a built-in engine and service")
	flags.String(&options.CallerAddress, "", "caller-address", "IP:port for callers instead of 127.0.0.1:7600")
	run := func(ctx context.Context, streams Streams) int {
		if options.Example == (options.SettingsPath != "") {
			fmt.Fprintln(streams.Err, "command: serve needs either --example or a settings file")
			return ExitBadInput
		}
		options.Log = streams.Err
		options.Version = Version
		err := host.Run(ctx, options)
		return exitCodeForRun(streams, err)
	}
	return command{flags: flags, run: run}
}

// exitCodeForRun prints the error that an instance ended with, if any, and returns
// the exit code.
func exitCodeForRun(streams Streams, err error) int {
	var findings *finding.Error
	switch {
	case errors.As(err, &findings):
		fmt.Fprintln(streams.Err, err)
		return ExitBadInput
	case err != nil:
		fmt.Fprintln(streams.Err, err)
		return ExitFailed
	}
	return ExitOK
}
