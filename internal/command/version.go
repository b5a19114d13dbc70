package command

import (
	"context"
	"fmt"
	"runtime"
)

func newVersion() command {
	asJSON := false
	flags := newSubcommand("version", "prints the version of this program", "lovagelift version --json")
	flags.Bool(&asJSON, "", "json", "write the version as JSON")
	run := func(_ context.Context, streams Streams) int {
		output := versionOutput{Version: Version, Go: runtime.Version(), Platform: runtime.GOOS + "/" + runtime.GOARCH}
		if asJSON {
			writeJSON(streams.Out, output)
			return ExitOK
		}
		fmt.Fprintf(streams.Out, "lovagelift %s, %s, %s\n", output.Version, output.Go, output.Platform)
		return ExitOK
	}
	return command{flags: flags, run: run}
}

// versionOutput is the output of version with --json.
type versionOutput struct {
	Version  string `json:"version"`
	Go       string `json:"go"`
	Platform string `json:"platform"`
}
