package command

import (
	"context"
	"fmt"
	"io"

	"github.com/lovagelift/lovagelift/internal/declaration"
	"github.com/lovagelift/lovagelift/internal/registrar"
)

func newPlan() command {
	var operator operatorFlags
	var folder, preset string
	var placed bool
	flags := newSubcommand("plan", "shows what apply would change, and the revision to give it; changes nothing",
		"lovagelift plan --token-file kim.token examples/declarations/kingston")
	flags.AddPositionalValue(&folder, "folder", 1, true, "the folder of declarations")
	flags.String(&preset, "p", "preset", "the preset to bring into force with them; else the one in force stays")
	flags.Bool(&placed, "", "placement", "show the moves too that it would cause; a voter knows them")
	operator.addTo(flags)
	run := func(ctx context.Context, streams Streams) int {
		return plan(ctx, &operator, folder, preset, placed, streams)
	}
	return command{flags: flags, run: run}
}

func plan(ctx context.Context, operator *operatorFlags, folder, preset string, placed bool, streams Streams) int {
	set, err := readFolder(folder)
	if err != nil {
		return fail(streams, err)
	}
	client, inForce, err := operator.inForce(ctx)
	if err != nil {
		return fail(streams, err)
	}
	preset, err = choosePreset(preset, inForce.Revision == 0, set, inForce)
	if err != nil {
		return fail(streams, err)
	}
	output := planOutputOf(inForce, preset, declaration.Diff(inForce.Declarations, set))
	if placed {
		if output.Placement, err = movesOf(ctx, client, set, preset, inForce); err != nil {
			return fail(streams, err)
		}
	}
	if operator.asJSON {
		writeJSON(streams.Out, output)
		return ExitOK
	}
	output.print(streams.Out, folder)
	if output.Placement != nil {
		printMoves(streams.Out, *output.Placement)
	}
	return ExitOK
}

// movesOf asks for the moves under the preset that would be in force: the one
// that was named, else the one in force, else the first.
func movesOf(
	ctx context.Context, client *registrar.Client, set declaration.Set, preset string, inForce registrar.ActiveConfig,
) (*registrar.Moves, error) {
	if preset == "" {
		preset = inForce.Preset
	}
	if preset == "" {
		preset = set.FirstPreset().Name
	}
	moves, err := client.Moves(ctx, set, preset)
	return &moves, err
}

func printMoves(to io.Writer, moves registrar.Moves) {
	if len(moves.Moves) == 0 {
		fmt.Fprintln(to, "no move would be made")
	}
	for _, m := range moves.Moves {
		fmt.Fprintf(to, "%s: %s %s", m.Engine, m.Kind, m.Model)
		if m.Adapter != "" {
			fmt.Fprintf(to, "/%s", m.Adapter)
		}
		fmt.Fprintf(to, ", %s", m.Reason)
		if m.For != "" {
			fmt.Fprintf(to, " of %s", m.For)
		}
		if m.Waits != "" {
			fmt.Fprintf(to, ", waits for %s", m.Waits)
		}
		fmt.Fprintln(to)
	}
	for _, unmet := range moves.Unmet {
		fmt.Fprintln(to, "not met:", unmet)
	}
}

// planOutput is what plan writes with --json.
type planOutput struct {
	// Revision is in force, and to be given to apply.
	Revision uint64 `json:"revision"`
	// Fresh is false if the instance could not confirm that nothing newer is in
	// force.
	Fresh  bool   `json:"fresh"`
	Preset string `json:"preset"`
	// NewPreset is absent if the preset stays.
	NewPreset string          `json:"new-preset,omitempty"`
	Changes   []plannedChange `json:"changes"`
	// Placement is absent unless it was asked for.
	Placement *registrar.Moves `json:"placement,omitempty"`
}

// The words of plannedChange.Change.
const (
	addItem    = "add"
	removeItem = "remove"
	changeItem = "change"
)

type plannedChange struct {
	// Change is add, remove or change.
	Change string         `json:"change"`
	Item   string         `json:"item"`
	Fields []plannedField `json:"fields"`
}

type plannedField struct {
	Name   string `json:"name"`
	Before string `json:"before"`
	After  string `json:"after"`
}

func planOutputOf(inForce registrar.ActiveConfig, preset string, changes []declaration.Change) planOutput {
	output := planOutput{
		Revision: inForce.Revision, Fresh: inForce.HasConfigLease, Preset: inForce.Preset,
		Changes: make([]plannedChange, 0, len(changes)),
	}
	if preset != "" && preset != inForce.Preset {
		output.NewPreset = preset
	}
	for _, change := range changes {
		planned := plannedChange{Fields: make([]plannedField, 0)}
		planned.Change, planned.Item = titleOf(change)
		for _, field := range change.Fields() {
			planned.Fields = append(planned.Fields, plannedField(field))
		}
		output.Changes = append(output.Changes, planned)
	}
	return output
}

func titleOf(change declaration.Change) (kind, item string) {
	switch c := change.(type) {
	case declaration.Added:
		return addItem, c.Item.Title()
	case declaration.Removed:
		return removeItem, c.Item.Title()
	case declaration.Altered:
		return changeItem, c.After.Title()
	default:
		return "", ""
	}
}

func (o planOutput) print(to io.Writer, folder string) {
	fmt.Fprintf(to, "revision %d is in force", o.Revision)
	if o.Preset != "" {
		fmt.Fprintf(to, ", preset %s", o.Preset)
	}
	fmt.Fprintln(to)
	if !o.Fresh {
		fmt.Fprintln(to, "the instance could not confirm that nothing newer is in force")
	}
	if len(o.Changes) == 0 && o.NewPreset == "" {
		fmt.Fprintln(to, "nothing would change")
		return
	}
	for _, change := range o.Changes {
		fmt.Fprintln(to, change.Change, change.Item)
		change.printFields(to)
	}
	if o.NewPreset != "" {
		fmt.Fprintf(to, "preset in force: %q → %q\n", o.Preset, o.NewPreset)
	}
	fmt.Fprintf(to, "to bring it into force: lovagelift apply --expect %d %s\n", o.Revision, folder)
}

// printFields prints the fields of an item that changes. Added and removed items
// speak for themselves.
func (c plannedChange) printFields(to io.Writer) {
	if c.Change != changeItem {
		return
	}
	for _, field := range c.Fields {
		fmt.Fprintf(to, "    %s: %q → %q\n", field.Name, field.Before, field.After)
	}
}
