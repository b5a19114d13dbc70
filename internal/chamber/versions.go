package chamber

import (
	"context"

	"github.com/lovagelift/lovagelift/internal/resumption"
)

// RecordVersions changes the recorded software versions. After it has returned nil, no loss of power that
// leaves a majority of the disks forgets the change. After an error, it may still be recorded.
func (v *Voter) RecordVersions(ctx context.Context, update resumption.RecordsUpdate) error {
	_, err := v.Propose(ctx, update)
	return err
}

// Versions returns the recorded software versions according to this replica. All of them are committed.
func (v *Voter) Versions() resumption.Records {
	return v.registry.Versions()
}

// EditionChanges returns a number that increases with each change of the routes at this replica.
func (v *Voter) EditionChanges() uint64 {
	return v.registry.EditionChanges()
}
