package command

import (
	"context"
	"fmt"

	"github.com/lovagelift/lovagelift/internal/registrar"
)

func newPreset() command {
	var operator operatorFlags
	var name string
	var expectedRevision int64 = unsetRevision
	flags := newSubcommand("preset", "shows the presets, or brings one into force in place of the other",
		"lovagelift preset --expect 8 --token-file kim.token peak")
	flags.AddPositionalValue(&name, "name", 1, false, "the preset to bring into force; without it, nothing changes")
	flags.Int64(&expectedRevision, "e", "expect", "the revision that plan or preset showed; the change is refused if another is in force")
	operator.addTo(flags)
	run := func(ctx context.Context, streams Streams) int {
		if name == "" {
			return showPresets(ctx, &operator, streams)
		}
		if err := requireExpectedRevision(expectedRevision); err != nil {
			return printError(streams, err)
		}
		return changePreset(ctx, &operator, registrar.Change{ExpectedRevision: uint64(expectedRevision), Preset: name}, streams)
	}
	return command{flags: flags, run: run}
}

// presetOutput is the output of preset with --json if no preset is given.
type presetOutput struct {
	Revision       uint64 `json:"revision"`
	HasConfigLease bool   `json:"fresh"`
	// Preset is the active preset.
	Preset   string   `json:"preset"`
	Declared []string `json:"declared"`
}

func showPresets(ctx context.Context, operator *operatorFlags, streams Streams) int {
	_, active, err := operator.activeConfig(ctx)
	if err != nil {
		return printError(streams, err)
	}
	output := presetOutput{Revision: active.Revision, HasConfigLease: active.HasConfigLease, Preset: active.Preset, Declared: make([]string, 0)}
	for _, preset := range active.Declarations.Presets() {
		output.Declared = append(output.Declared, preset.Name)
	}
	if operator.asJSON {
		writeJSON(streams.Out, output)
		return ExitOK
	}
	fmt.Fprintf(streams.Out, "revision %d\n", output.Revision)
	for _, name := range output.Declared {
		suffix := ""
		if name == output.Preset {
			suffix = " (in force)"
		}
		fmt.Fprintf(streams.Out, "%s%s\n", name, suffix)
	}
	return ExitOK
}

func changePreset(ctx context.Context, operator *operatorFlags, change registrar.Change, streams Streams) int {
	client, active, err := operator.activeConfig(ctx)
	if err != nil {
		return printError(streams, err)
	}
	if active.HasConfigLease && active.Preset == change.Preset {
		return printUnchanged(active.Revision, streams, operator.asJSON)
	}
	// Without a configuration lease, the instance's declarations may be outdated
	// and lack the preset, so the replicated state decides.
	if active.HasConfigLease {
		if err := requirePreset(change.Preset, active.Declarations); err != nil {
			return printError(streams, err)
		}
	}
	return propose(ctx, client, change, active.Revision, streams, operator.asJSON)
}
