package command

import (
	"context"
	"fmt"

	"github.com/lovagelift/lovagelift/internal/salvage"
)

func newExport() command {
	var folder, path string
	asJSON := false
	flags := newSubcommand("export", "writes the state of a voter that is stopped to a file, after a majority was lost",
		"lovagelift export data-a state.json")
	flags.AddPositionalValue(&folder, "data-folder", 1, true, "the voter's data folder")
	flags.AddPositionalValue(&path, "file", 2, true, "the file to write, which must not be there")
	flags.Bool(&asJSON, "", "json", "write the result as JSON")
	run := func(_ context.Context, streams Streams) int {
		state, err := salvage.Read(folder)
		if err == nil {
			err = state.Save(path)
		}
		if err != nil {
			return printError(streams, err)
		}
		if asJSON {
			writeJSON(streams.Out, exportOutput{state.Cluster, uint64(state.Index), uint64(state.Term), uint64(state.Revision), state.Preset})
			return ExitOK
		}
		fmt.Fprintf(streams.Out, "cluster %s at index %d, term %d: revision %d, preset %s\n",
			state.Cluster, state.Index, state.Term, state.Revision, state.Preset)
		return ExitOK
	}
	return command{flags: flags, run: run}
}

// exportOutput is the output of export with --json.
type exportOutput struct {
	Cluster  string `json:"cluster"`
	Index    uint64 `json:"index"`
	Term     uint64 `json:"term"`
	Revision uint64 `json:"revision"`
	Preset   string `json:"preset"`
}
