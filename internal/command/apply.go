package command

import (
	"bytes"
	"context"

	"github.com/lovagelift/lovagelift/internal/registrar"
)

func newApply() command {
	var operator operatorFlags
	var folder, preset string
	var expectedRevision int64 = unsetRevision
	flags := newSubcommand("apply", "brings a folder of declarations into force, as a whole or not at all",
		"lovagelift apply --expect 7 --token-file kim.token examples/declarations/kingston")
	flags.AddPositionalValue(&folder, "folder", 1, true, "the folder of declarations")
	flags.Int64(&expectedRevision, "e", "expect", "the revision that plan showed; the change is refused if another is in force")
	flags.String(&preset, "p", "preset", "the preset to bring into force with them; else the one in force stays")
	operator.addTo(flags)
	run := func(ctx context.Context, streams Streams) int {
		if err := requireExpectedRevision(expectedRevision); err != nil {
			return printError(streams, err)
		}
		return apply(ctx, &operator, folder, registrar.Change{ExpectedRevision: uint64(expectedRevision), Preset: preset}, streams)
	}
	return command{flags: flags, run: run}
}

func apply(ctx context.Context, operator *operatorFlags, folder string, change registrar.Change, streams Streams) int {
	set, err := readFolder(folder)
	if err != nil {
		return printError(streams, err)
	}
	client, active, err := operator.activeConfig(ctx)
	if err != nil {
		return printError(streams, err)
	}
	change.Declarations = set.Canonical()
	change.Preset, err = choosePreset(change.Preset, change.ExpectedRevision == 0, set, active)
	if err != nil {
		return printError(streams, err)
	}
	// Without a configuration lease, the instance may return an outdated
	// configuration. The change is proposed then, and the replicated state decides.
	unchanged := bytes.Equal(change.Declarations, active.Declarations.Canonical()) &&
		(change.Preset == "" || change.Preset == active.Preset)
	if active.HasConfigLease && active.Revision > 0 && unchanged {
		return printUnchanged(active.Revision, streams, operator.asJSON)
	}
	return propose(ctx, client, change, active.Revision, streams, operator.asJSON)
}
