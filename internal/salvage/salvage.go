// Package salvage is the disaster recovery of a cluster that lost a majority of its voters for
// good: it exports the replicated state from the data folder of a stopped voter.
package salvage

import (
	"encoding/json"
	"os"

	"github.com/cockroachdb/errors"

	"github.com/lovagelift/lovagelift/internal/archive"
	"github.com/lovagelift/lovagelift/internal/jury"
	"github.com/lovagelift/lovagelift/internal/registry"
)

// State is the replicated state of a cluster that lost its majority.
type State struct {
	// Cluster is the lost cluster. The state is the start of another one.
	Cluster string `json:"cluster"`
	// Index is the last log entry that Data includes.
	Index jury.Index `json:"index"`
	// Term is not lower than any term of the lost cluster that this voter knew.
	Term jury.Term `json:"term"`
	// Revision and Preset are those in force according to Data.
	Revision registry.Revision `json:"revision"`
	Preset   string            `json:"preset"`
	// Data is a snapshot of the registry.
	Data []byte `json:"data"`
}

// Read returns the state in the data folder of a voter. It locks the folder while reading. If a
// process holds the lock or the folder is damaged, Read returns an error.
//
// The state includes everything that the voter had synced, even entries that were not yet known to
// be committed: a voter that is now lost may have acknowledged them to an operator. Entries that
// the lost voters committed and this one had not synced are gone, and can't be detected.
func Read(folder string) (state State, err error) {
	store, loaded, err := archive.Open(archive.Options{Folder: folder})
	if err != nil {
		return State{}, err
	}
	defer func() { err = errors.CombineErrors(err, store.Close()) }()
	if loaded.Snapshot.Index == 0 {
		return State{}, errors.Newf("salvage: %s holds no state: it is no voter's, or the voter was never bootstrapped", folder)
	}
	machine := registry.New()
	if err := machine.Restore(loaded.Snapshot.Data); err != nil {
		return State{}, err
	}
	state = State{Cluster: loaded.ClusterID, Index: loaded.Snapshot.Index, Term: max(loaded.HardState.Term, loaded.Snapshot.Term)}
	for _, entry := range loaded.Entries {
		if entry.Kind == jury.EntryCommand {
			if _, err := machine.Apply(entry.Index, entry.Data); err != nil {
				return State{}, errors.Wrapf(err, "salvage: entry %d", entry.Index)
			}
		}
		state.Index = entry.Index
		state.Term = max(state.Term, entry.Term)
	}
	view := machine.View()
	state.Revision, state.Preset = view.Revision, view.Preset
	state.Data, err = machine.Snapshot()
	return state, err
}

// Load returns the state in a file that Save wrote.
func Load(path string) (State, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return State{}, errors.Wrap(err, "salvage")
	}
	var state State
	if err := json.Unmarshal(data, &state); err != nil {
		return State{}, errors.Wrapf(err, "salvage: %s", path)
	}
	if state.Index == 0 || len(state.Data) == 0 {
		return State{}, errors.Newf("salvage: %s holds no state", path)
	}
	return state, nil
}

// ownerOnly is the file mode of a saved state, which contains responses to callers.
const ownerOnly = 0o600

// Save writes the state to a new file.
func (s State) Save(path string) error {
	data, err := json.Marshal(s)
	if err != nil {
		return errors.Wrap(err, "salvage")
	}
	file, err := os.OpenFile(path, os.O_WRONLY|os.O_CREATE|os.O_EXCL, ownerOnly)
	if err != nil {
		return errors.Wrap(err, "salvage")
	}
	_, err = file.Write(data)
	err = errors.CombineErrors(err, file.Sync())
	return errors.Wrap(errors.CombineErrors(err, file.Close()), "salvage")
}
