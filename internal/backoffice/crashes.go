package backoffice

import (
	"context"
	"slices"
	"time"

	"github.com/lovagelift/lovagelift/internal/courier"
	"github.com/lovagelift/lovagelift/internal/pause"
	"github.com/lovagelift/lovagelift/internal/quarantine"
)

const (
	// crashBatchDelay is how long crash reports are collected into one command: each
	// entry instance that had requests at a crashed engine reports it.
	crashBatchDelay = 40 * time.Millisecond
	// crashRecordTimeout bounds the recording of one batch of reports.
	crashRecordTimeout = 2 * time.Second
	// crashRetractionInterval is the interval between two checks for upstreams that were
	// reported as crashed but are alive.
	crashRetractionInterval = 500 * time.Millisecond
)

// crashRecorder records in the replicated log the upstreams that entry instances report
// as crashed while they served requests.
type crashRecorder struct {
	instance *Instance
	batch    proposalBatch[quarantine.Update]
}

func newCrashRecorder(i *Instance) *crashRecorder {
	return &crashRecorder{instance: i, batch: newProposalBatch(quarantine.Update.With)}
}

// record adds update to the current batch, waits until the batch is recorded and
// reports whether the voters have it.
func (c *crashRecorder) record(ctx context.Context, update quarantine.Update) bool {
	return c.batch.record(ctx, c.instance.withoutLeavingUpstreams(update))
}

func (c *crashRecorder) run(ctx context.Context) {
	for c.batch.awaitUpdates(ctx) && pause.For(ctx, crashBatchDelay) {
		c.batch.flush(func(update quarantine.Update) bool { return update.Empty() || c.propose(ctx, update) })
	}
}

func (c *crashRecorder) propose(ctx context.Context, update quarantine.Update) bool {
	ctx, cancel := context.WithTimeout(ctx, crashRecordTimeout)
	defer cancel()
	update.Now = c.instance.options.Now()
	_, err := c.instance.voter.Propose(ctx, update)
	if err != nil {
		c.instance.options.Log.Warn().Err(err).Int("upstreams", len(update.Reports)).Msg("crash reports not recorded")
	}
	return err == nil
}

// runRetraction retracts crash reports of upstreams that were heard from after the report.
func (c *crashRecorder) runRetraction(ctx context.Context) {
	for pause.For(ctx, crashRetractionInterval) {
		c.instance.voter.RetractFalseCrashes(ctx, c.instance.lastHeardFrom)
	}
}

// Quarantined returns the quarantined and the suspected requests.
func (i *Instance) Quarantined(now time.Time) ([]quarantine.Listing, error) {
	return i.voter.Quarantined(now)
}

// Lift releases requests from quarantine. If it returns an error, they may still be
// released.
func (i *Instance) Lift(ctx context.Context, digests []quarantine.Digest) error {
	return i.voter.Lift(ctx, digests)
}

// lastHeardFrom returns the time when an incarnation of an upstream was last heard from.
// It returns false if the roster does not hold this incarnation.
func (i *Instance) lastHeardFrom(lifetime quarantine.Lifetime) (time.Time, bool) {
	i.mu.Lock()
	defer i.mu.Unlock()
	known, found := i.roster.Upstream(lifetime.Upstream)
	return known.LastContact, found && known.Announcement.Incarnation == lifetime.Incarnation
}

// withoutLeavingUpstreams returns update without the reports of upstreams that had
// announced their leave before they ended.
func (i *Instance) withoutLeavingUpstreams(update quarantine.Update) quarantine.Update {
	i.mu.Lock()
	defer i.mu.Unlock()
	update.Reports = slices.DeleteFunc(slices.Clone(update.Reports), func(report quarantine.Report) bool {
		known, found := i.roster.Upstream(report.Upstream)
		// A leave without an incarnation is stored with maxIncarnation.
		return found && known.Leaving && known.Announcement.Incarnation >= report.Incarnation
	})
	return update
}

// Note records the upstreams that an entry instance reports as crashed while they
// served requests.
func (f feedServer) Note(ctx context.Context, args courier.NoteArgs) courier.NoteReply {
	return courier.NoteReply{Recorded: f.instance.crashRecorder.record(ctx, args.Update)}
}
