package command

import (
	"context"
	"fmt"

	"github.com/lovagelift/lovagelift/internal/registrar"
)

func newPreset() command {
	var operator operatorFlags
	var name string
	var expected int64 = noRevision
	flags := newSubcommand("preset", "shows the presets, or brings one into force in place of the other",
		"lovagelift preset --expect 8 --token-file kim.token peak")
	flags.AddPositionalValue(&name, "name", 1, false, "the preset to bring into force; without it, nothing changes")
	flags.Int64(&expected, "e", "expect", "the revision that plan or preset showed; the change is refused if another is in force")
	operator.addTo(flags)
	run := func(ctx context.Context, streams Streams) int {
		if name == "" {
			return showPresets(ctx, &operator, streams)
		}
		if err := requireExpected(expected); err != nil {
			return fail(streams, err)
		}
		return changePreset(ctx, &operator, registrar.Change{Expected: uint64(expected), Preset: name}, streams)
	}
	return command{flags: flags, run: run}
}

// presetOutput is what preset writes with --json when it changes nothing.
type presetOutput struct {
	Revision uint64 `json:"revision"`
	Fresh    bool   `json:"fresh"`
	// Preset is in force.
	Preset   string   `json:"preset"`
	Declared []string `json:"declared"`
}

func showPresets(ctx context.Context, operator *operatorFlags, streams Streams) int {
	_, inForce, err := operator.inForce(ctx)
	if err != nil {
		return fail(streams, err)
	}
	output := presetOutput{Revision: inForce.Revision, Fresh: inForce.HasConfigLease, Preset: inForce.Preset, Declared: make([]string, 0)}
	for _, preset := range inForce.Declarations.Presets() {
		output.Declared = append(output.Declared, preset.Name)
	}
	if operator.asJSON {
		writeJSON(streams.Out, output)
		return ExitOK
	}
	fmt.Fprintf(streams.Out, "revision %d\n", output.Revision)
	for _, name := range output.Declared {
		mark := ""
		if name == output.Preset {
			mark = " (in force)"
		}
		fmt.Fprintf(streams.Out, "%s%s\n", name, mark)
	}
	return ExitOK
}

func changePreset(ctx context.Context, operator *operatorFlags, change registrar.Change, streams Streams) int {
	client, inForce, err := operator.inForce(ctx)
	if err != nil {
		return fail(streams, err)
	}
	if inForce.HasConfigLease && inForce.Preset == change.Preset {
		return nothingToChange(inForce.Revision, streams, operator.asJSON)
	}
	// If the instance is behind, the preset may be declared all the same.
	if inForce.HasConfigLease {
		if err := requirePreset(change.Preset, inForce.Declarations); err != nil {
			return fail(streams, err)
		}
	}
	return propose(ctx, client, change, inForce.Revision, streams, operator.asJSON)
}
