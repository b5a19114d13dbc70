package command

import (
	"context"
	"os"

	"github.com/lovagelift/lovagelift/platform"
)

// newProvider returns the command that runs one instance on the users' provider.
// The settings select its role.
func newProvider() command {
	flags := newSubcommand("provider", "runs one instance on the users' provider, by the settings in "+
		platform.SettingsVariable, platform.SettingsVariable+"=boot.yaml lovagelift provider")
	run := func(ctx context.Context, streams Streams) int {
		err := platform.Run(ctx, os.Getenv(platform.SettingsVariable), streams.Out, Version)
		return exitCodeForRun(streams, err)
	}
	return command{flags: flags, run: run}
}
