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
	var showPlacement bool
	flags := newSubcommand("plan", "shows what apply would change, and the revision to give it; changes nothing",
		"lovagelift plan --token-file kim.token examples/declarations/kingston")
	flags.AddPositionalValue(&folder, "folder", 1, true, "the folder of declarations")
	flags.String(&preset, "p", "preset", "the preset to bring into force with them; else the one in force stays")
	flags.Bool(&showPlacement, "", "placement", "show the moves too that it would cause; a voter knows them")
	operator.addTo(flags)
	run := func(ctx context.Context, streams Streams) int {
		return plan(ctx, &operator, folder, preset, showPlacement, streams)
	}
	return command{flags: flags, run: run}
}

func plan(ctx context.Context, operator *operatorFlags, folder, preset string, showPlacement bool, streams Streams) int {
	set, err := readFolder(folder)
	if err != nil {
		return printError(streams, err)
	}
	client, active, err := operator.activeConfig(ctx)
	if err != nil {
		return printError(streams, err)
	}
	preset, err = choosePreset(preset, active.Revision == 0, set, active)
	if err != nil {
		return printError(streams, err)
	}
	output := newPlanOutput(active, preset, declaration.Diff(active.Declarations, set))
	if showPlacement {
		if output.Placement, err = plannedMoves(ctx, client, set, preset, active); err != nil {
			return printError(streams, err)
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

// plannedMoves returns the placement moves under the preset that would be active:
// the requested preset, else the active one, else the first one declared.
func plannedMoves(
	ctx context.Context, client *registrar.Client, set declaration.Set, preset string, active registrar.ActiveConfig,
) (*registrar.Moves, error) {
	if preset == "" {
		preset = active.Preset
	}
	if preset == "" {
		preset = set.InitialPreset().Name
	}
	moves, err := client.Moves(ctx, set, preset)
	return &moves, err
}

func printMoves(out io.Writer, moves registrar.Moves) {
	if len(moves.Moves) == 0 {
		fmt.Fprintln(out, "no move would be made")
	}
	for _, move := range moves.Moves {
		fmt.Fprintf(out, "%s: %s %s", move.Engine, move.Kind, move.Model)
		if move.Adapter != "" {
			fmt.Fprintf(out, "/%s", move.Adapter)
		}
		fmt.Fprintf(out, ", %s", move.Reason)
		if move.MakesRoomFor != "" {
			fmt.Fprintf(out, " of %s", move.MakesRoomFor)
		}
		if move.WaitsFor != "" {
			fmt.Fprintf(out, ", waits for %s", move.WaitsFor)
		}
		fmt.Fprintln(out)
	}
	for _, unmet := range moves.Unmet {
		fmt.Fprintln(out, "not met:", unmet)
	}
}

// planOutput is the output of plan with --json.
type planOutput struct {
	// Revision is the active revision, which apply expects in --expect.
	Revision uint64 `json:"revision"`
	// HasConfigLease is false if the instance cannot confirm that no newer
	// configuration is active.
	HasConfigLease bool   `json:"fresh"`
	Preset         string `json:"preset"`
	// NewPreset is absent if the preset does not change.
	NewPreset string          `json:"new-preset,omitempty"`
	Changes   []plannedChange `json:"changes"`
	// Placement is present only with --placement.
	Placement *registrar.Moves `json:"placement,omitempty"`
}

// The values of plannedChange.Change.
const (
	changeAdd    = "add"
	changeRemove = "remove"
	changeModify = "change"
)

type plannedChange struct {
	Change string         `json:"change"`
	Item   string         `json:"item"`
	Fields []plannedField `json:"fields"`
}

type plannedField struct {
	Name   string `json:"name"`
	Before string `json:"before"`
	After  string `json:"after"`
}

func newPlanOutput(active registrar.ActiveConfig, preset string, changes []declaration.Change) planOutput {
	output := planOutput{
		Revision: active.Revision, HasConfigLease: active.HasConfigLease, Preset: active.Preset,
		Changes: make([]plannedChange, 0, len(changes)),
	}
	if preset != "" && preset != active.Preset {
		output.NewPreset = preset
	}
	for _, change := range changes {
		planned := plannedChange{Fields: make([]plannedField, 0)}
		planned.Change, planned.Item = describeChange(change)
		for _, field := range change.Fields() {
			planned.Fields = append(planned.Fields, plannedField(field))
		}
		output.Changes = append(output.Changes, planned)
	}
	return output
}

func describeChange(change declaration.Change) (kind, item string) {
	switch c := change.(type) {
	case declaration.Added:
		return changeAdd, c.Item.Title()
	case declaration.Removed:
		return changeRemove, c.Item.Title()
	case declaration.Modified:
		return changeModify, c.After.Title()
	default:
		return "", ""
	}
}

func (o planOutput) print(out io.Writer, folder string) {
	fmt.Fprintf(out, "revision %d is in force", o.Revision)
	if o.Preset != "" {
		fmt.Fprintf(out, ", preset %s", o.Preset)
	}
	fmt.Fprintln(out)
	if !o.HasConfigLease {
		fmt.Fprintln(out, "the instance could not confirm that nothing newer is in force")
	}
	if len(o.Changes) == 0 && o.NewPreset == "" {
		fmt.Fprintln(out, "nothing would change")
		return
	}
	for _, change := range o.Changes {
		fmt.Fprintln(out, change.Change, change.Item)
		change.printFields(out)
	}
	if o.NewPreset != "" {
		fmt.Fprintf(out, "preset in force: %q → %q\n", o.Preset, o.NewPreset)
	}
	fmt.Fprintf(out, "to bring it into force: lovagelift apply --expect %d %s\n", o.Revision, folder)
}

// printFields prints the changed fields of an item. For added and removed items it
// prints nothing, since their title suffices.
func (c plannedChange) printFields(out io.Writer) {
	if c.Change != changeModify {
		return
	}
	for _, field := range c.Fields {
		fmt.Fprintf(out, "    %s: %q → %q\n", field.Name, field.Before, field.After)
	}
}
