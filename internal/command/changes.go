package command

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"strings"

	"github.com/lovagelift/lovagelift/internal/declaration"
	"github.com/lovagelift/lovagelift/internal/finding"
	"github.com/lovagelift/lovagelift/internal/form"
	"github.com/lovagelift/lovagelift/internal/registrar"
)

// readFolder returns the declarations in folder.
func readFolder(folder string) (declaration.Set, error) {
	return declaration.Read(os.DirFS(folder), filepath.ToSlash(folder))
}

// choosePreset returns the preset that a change to declarations names, empty if
// the one in force stays. A first change, which expects revision 0, needs one,
// and takes the first of the declarations unless another is asked for.
func choosePreset(asked string, first bool, set declaration.Set, inForce registrar.ActiveConfig) (string, error) {
	if asked != "" {
		return asked, requirePreset(asked, set)
	}
	if first {
		return set.FirstPreset().Name, nil
	}
	if inForce.Preset == "" {
		return "", nil
	}
	return "", requirePreset(inForce.Preset, set)
}

// requirePreset returns a finding if no preset of set is called name.
func requirePreset(name string, set declaration.Set) error {
	if _, ok := set.Preset(name); ok {
		return nil
	}
	known := make([]string, 0)
	for _, preset := range set.Presets() {
		known = append(known, preset.Name)
	}
	advice := "the presets are " + strings.Join(known, ", ")
	if nearest, ok := form.Nearest(name, known); ok {
		advice = fmt.Sprintf("write %q", nearest)
	}
	var list finding.List
	list.Add(finding.Place{File: "preset"}, fmt.Sprintf("preset %q is not declared", name), advice)
	return list.Err()
}

// requireExpected returns a finding if the expected revision was not given.
func requireExpected(expected int64) error {
	if expected >= 0 {
		return nil
	}
	var list finding.List
	list.Add(flagPlace("expect"), "the revision that the change was made for is missing", "run plan and give the revision that it shows")
	return list.Err()
}

// changeOutput is what commands that change something write with --json.
type changeOutput struct {
	// Revision is the one that the change made or that was in force already.
	Revision uint64 `json:"revision"`
	// InForce is the latest revision known, above Revision if the change is a
	// resent one and others came after it.
	InForce uint64 `json:"in-force"`
	// Changed is false if there was nothing to change.
	Changed  bool   `json:"changed"`
	ChangeID string `json:"change-id,omitempty"`
}

// propose sends a change and reports its answer. The revision known to be in
// force is latest.
func propose(ctx context.Context, client *registrar.Client, change registrar.Change, latest uint64, streams Streams, asJSON bool) int {
	change.ID = registrar.ChangeID(change.Expected, change.Declarations, change.Preset)
	answer, err := client.Change(ctx, change)
	if err != nil {
		return fail(streams, err)
	}
	latest = max(latest, answer.Revision)
	if asJSON {
		writeJSON(streams.Out, changeOutput{Revision: answer.Revision, InForce: latest, Changed: true, ChangeID: change.ID})
		return ExitOK
	}
	fmt.Fprintf(streams.Out, "accepted as revision %d\n", answer.Revision)
	if latest > answer.Revision {
		fmt.Fprintf(streams.Out, "it was accepted before; others came after it, and revision %d is in force\n", latest)
	}
	return ExitOK
}

// nothingToChange reports that what was asked for is in force already.
func nothingToChange(revision uint64, streams Streams, asJSON bool) int {
	if asJSON {
		writeJSON(streams.Out, changeOutput{Revision: revision, InForce: revision})
		return ExitOK
	}
	fmt.Fprintf(streams.Out, "in force already at revision %d\n", revision)
	return ExitOK
}
