package chamber

import (
	"context"

	"github.com/lovagelift/lovagelift/internal/departure"
)

// RecordDepartures records departures. After it has returned nil, no loss of power that leaves a
// majority of the disks forgets them. After an error, they may still be recorded.
func (v *Voter) RecordDepartures(ctx context.Context, update departure.Update) error {
	_, err := v.Propose(ctx, update)
	return err
}

// Departures returns the departures according to this replica. All of them are committed.
func (v *Voter) Departures() departure.Records {
	return v.registry.Departures()
}
