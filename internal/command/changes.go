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

// choosePreset returns the preset for a change of declarations, or empty to keep
// the active one. The first change, which expects revision 0, must set a preset.
// It defaults to the first preset of the declarations.
func choosePreset(requested string, first bool, set declaration.Set, active registrar.ActiveConfig) (string, error) {
	if requested != "" {
		return requested, requirePreset(requested, set)
	}
	if first {
		return set.InitialPreset().Name, nil
	}
	if active.Preset == "" {
		return "", nil
	}
	return "", requirePreset(active.Preset, set)
}

// requirePreset returns a finding if no preset of set is called name.
func requirePreset(name string, set declaration.Set) error {
	if _, ok := set.Preset(name); ok {
		return nil
	}
	declared := make([]string, 0)
	for _, preset := range set.Presets() {
		declared = append(declared, preset.Name)
	}
	advice := "the presets are " + strings.Join(declared, ", ")
	if nearest, ok := form.Nearest(name, declared); ok {
		advice = fmt.Sprintf("write %q", nearest)
	}
	var findings finding.List
	findings.Add(finding.Place{File: "preset"}, fmt.Sprintf("preset %q is not declared", name), advice)
	return findings.Err()
}

// requireExpectedRevision returns a finding if --expect is missing.
func requireExpectedRevision(revision int64) error {
	if revision >= 0 {
		return nil
	}
	var findings finding.List
	findings.Add(flagPlace("expect"), "the revision that the change was made for is missing", "run plan and give the revision that it shows")
	return findings.Err()
}

// changeOutput is the output of apply and preset with --json.
type changeOutput struct {
	// Revision is the revision that the change created, or the active one if there
	// was nothing to change.
	Revision uint64 `json:"revision"`
	// ActiveRevision is the latest known revision. It is above Revision if the
	// change was resent and others were accepted in the meantime.
	ActiveRevision uint64 `json:"in-force"`
	// Changed is false if there was nothing to change.
	Changed  bool   `json:"changed"`
	ChangeID string `json:"change-id,omitempty"`
}

// propose sends a change and prints the result. latest is the active revision
// known before the change.
func propose(ctx context.Context, client *registrar.Client, change registrar.Change, latest uint64, streams Streams, asJSON bool) int {
	change.ID = registrar.ChangeID(change.ExpectedRevision, change.Declarations, change.Preset)
	result, err := client.Change(ctx, change)
	if err != nil {
		return printError(streams, err)
	}
	latest = max(latest, result.Revision)
	if asJSON {
		writeJSON(streams.Out, changeOutput{Revision: result.Revision, ActiveRevision: latest, Changed: true, ChangeID: change.ID})
		return ExitOK
	}
	fmt.Fprintf(streams.Out, "accepted as revision %d\n", result.Revision)
	if latest > result.Revision {
		fmt.Fprintf(streams.Out, "it was accepted before; others came after it, and revision %d is in force\n", latest)
	}
	return ExitOK
}

// printUnchanged reports that the requested configuration is already active.
func printUnchanged(revision uint64, streams Streams, asJSON bool) int {
	if asJSON {
		writeJSON(streams.Out, changeOutput{Revision: revision, ActiveRevision: revision})
		return ExitOK
	}
	fmt.Fprintf(streams.Out, "in force already at revision %d\n", revision)
	return ExitOK
}
