package instance

import (
	"context"
	"time"

	"github.com/rs/zerolog"

	"github.com/lovagelift/lovagelift/internal/chamber"
	"github.com/lovagelift/lovagelift/internal/coroner"
	"github.com/lovagelift/lovagelift/internal/quarantine"
	"github.com/lovagelift/lovagelift/internal/registrar"
	"github.com/lovagelift/lovagelift/internal/roster"
)

// newCrashDetector returns the detector of upstreams that terminate while they
// process requests.
func (i *Instance) newCrashDetector() *coroner.CrashDetector {
	return coroner.New(coroner.Options{
		Status:      i.upstreamStatus,
		Report:      i.reportCrashes,
		AllowTrial:  i.allowTrial,
		NewLogEvent: func(string) *zerolog.Event { return i.options.Log.Warn() },
		Now:         i.options.Now,
		Metrics:     i.metrics.Scope(),
	})
}

// allowTrial reports whether a suspected request may be sent as a trial. The leader alone sends
// trials. In each term, it counts as leader from its first such request on.
func (i *Instance) allowTrial(_ context.Context, trial quarantine.Trial) bool {
	leader, term := i.controlPlane.Leader()
	if leader == "" || leader != i.controlPlane.Identity() {
		return false
	}
	i.mu.Lock()
	defer i.mu.Unlock()
	now := i.options.Now()
	if i.trialTerm != term {
		i.trialTerm, i.trialTermSince = term, now
	}
	return i.trials.Take(now, i.trialTermSince, trial)
}

// Upstream returns the latest known state of an upstream, and false if it is unknown.
func (i *Instance) Upstream(name string) (roster.Upstream, bool) {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.roster.Upstream(name)
}

// upstreamStatus returns the roster's evidence on whether an upstream has terminated.
func (i *Instance) upstreamStatus(endpoint quarantine.Endpoint) quarantine.Status {
	known, found := i.Upstream(endpoint.Upstream)
	switch {
	case !found:
		return quarantine.StatusUnknown
	case known.Leaving:
		return quarantine.StatusLeaving
	case known.Announcement.Incarnation > endpoint.Incarnation:
		return quarantine.StatusReplaced
	default:
		return quarantine.StatusUnknown
	}
}

// reportCrashes proposes an update to the crash records, and reports whether it was
// recorded.
func (i *Instance) reportCrashes(ctx context.Context, update quarantine.Update) bool {
	_, err := i.controlPlane.Propose(ctx, update)
	if err != nil {
		i.options.Log.Warn().Err(err).Int("upstreams", len(update.Reports)).Msg("crash reports not recorded")
	}
	return err == nil
}

// Quarantined returns the requests that are in quarantine or suspected. Only a voter has
// the records.
func (i *Instance) Quarantined(now time.Time) ([]quarantine.Listing, error) {
	voter, ok := i.controlPlane.(*chamber.Voter)
	if !ok {
		return nil, &registrar.UnavailableError{Reason: "this instance is no voter and keeps no records; ask a voter"}
	}
	return voter.Quarantined(now)
}

// Lift releases requests from quarantine.
func (i *Instance) Lift(ctx context.Context, digests []quarantine.Digest) error {
	_, err := i.controlPlane.Propose(ctx, quarantine.Update{Now: i.options.Now(), Lifted: digests})
	return err
}

// runCrashDetection keeps the crash detector's view of the quarantine and of upstreams
// up to date until ctx ends. On the leader, it also retracts crashes of upstreams that
// are still alive.
func (i *Instance) runCrashDetection(ctx context.Context) {
	ticker := time.NewTicker(pullInterval)
	defer ticker.Stop()
	for {
		i.crashDetector.ApplyNews(i.controlPlane.Quarantine(i.options.Now()))
		i.crashDetector.Review(i.upstreamStatus)
		if voter, ok := i.controlPlane.(*chamber.Voter); ok {
			voter.RetractFalseCrashes(ctx, i.lastContact)
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// lastContact returns the time of the last contact with an upstream. It returns false if
// the known incarnation of the upstream is not that of lifetime.
func (i *Instance) lastContact(lifetime quarantine.Lifetime) (time.Time, bool) {
	known, found := i.Upstream(lifetime.Upstream)
	return known.LastContact, found && known.Announcement.Incarnation == lifetime.Incarnation
}
