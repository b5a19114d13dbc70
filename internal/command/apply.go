package command

import (
	"bytes"
	"context"

	"github.com/lovagelift/lovagelift/internal/registrar"
)

func newApply() command {
	var operator operatorFlags
	var folder, preset string
	var expected int64 = noRevision
	flags := newSubcommand("apply", "brings a folder of declarations into force, as a whole or not at all",
		"lovagelift apply --expect 7 --token-file kim.token examples/declarations/kingston")
	flags.AddPositionalValue(&folder, "folder", 1, true, "the folder of declarations")
	flags.Int64(&expected, "e", "expect", "the revision that plan showed; the change is refused if another is in force")
	flags.String(&preset, "p", "preset", "the preset to bring into force with them; else the one in force stays")
	operator.addTo(flags)
	run := func(ctx context.Context, streams Streams) int {
		if err := requireExpected(expected); err != nil {
			return fail(streams, err)
		}
		return apply(ctx, &operator, folder, registrar.Change{Expected: uint64(expected), Preset: preset}, streams)
	}
	return command{flags: flags, run: run}
}

func apply(ctx context.Context, operator *operatorFlags, folder string, change registrar.Change, streams Streams) int {
	set, err := readFolder(folder)
	if err != nil {
		return fail(streams, err)
	}
	client, inForce, err := operator.inForce(ctx)
	if err != nil {
		return fail(streams, err)
	}
	change.Declarations = set.Canonical()
	change.Preset, err = choosePreset(change.Preset, change.Expected == 0, set, inForce)
	if err != nil {
		return fail(streams, err)
	}
	// An instance that is not fresh may show what was in force once. The change
	// is proposed then, and refused or answered by the replicated state.
	same := bytes.Equal(change.Declarations, inForce.Declarations.Canonical()) &&
		(change.Preset == "" || change.Preset == inForce.Preset)
	if inForce.HasConfigLease && inForce.Revision > 0 && same {
		return nothingToChange(inForce.Revision, streams, operator.asJSON)
	}
	return propose(ctx, client, change, inForce.Revision, streams, operator.asJSON)
}
