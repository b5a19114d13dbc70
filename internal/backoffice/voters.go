package backoffice

import (
	"context"
	"time"

	"github.com/lovagelift/lovagelift/internal/courier"
	"github.com/lovagelift/lovagelift/internal/edition"
	"github.com/lovagelift/lovagelift/internal/electorate"
	"github.com/lovagelift/lovagelift/internal/jury"
	"github.com/lovagelift/lovagelift/internal/pause"
)

// bootstrapRetryInterval is the pause between two attempts to bootstrap the cluster.
// All instances start within a second of each other.
const bootstrapRetryInterval = 200 * time.Millisecond

// bootstrap founds the cluster at the very first start. All founders try it: the same
// identities result in the same cluster.
func (b *Instance) bootstrap(ctx context.Context) {
	if !b.options.Bootstrap {
		return
	}
	for b.voter.Status().Cluster == "" {
		if err := b.voter.Bootstrap(ctx); err != nil {
			b.options.Log.Debug().Err(err).Msg("bootstrap failed; retrying")
		}
		if !pause.For(ctx, bootstrapRetryInterval) {
			return
		}
	}
	b.options.Log.Info().Str("cluster", b.voter.Status().Cluster).Msg("cluster bootstrapped")
}

// maintainVoters updates metrics, detects a failed replica, and adjusts the set of
// voters while this instance leads.
func (b *Instance) maintainVoters(ctx context.Context) {
	for pause.For(ctx, voterCheckInterval) {
		status := b.voter.Status()
		b.updateMetrics(status)
		if status.Failure != nil {
			close(b.failed)
			return
		}
		if b.trackLeadership(b.options.Now()) {
			b.changeVoters(ctx)
		}
	}
}

// updateMetrics exports the state of the replica.
func (b *Instance) updateMetrics(status jury.Status) {
	scope := b.options.Metrics.SubScope("backoffice")
	leads := 0.0
	if status.Role == jury.Leader {
		leads = 1
	}
	scope.Gauge("leads").Update(leads)
	scope.Gauge("term").Update(float64(status.Term))
	scope.Gauge("voters").Update(float64(len(status.Voters)))
	scope.Gauge("learners").Update(float64(len(b.voter.Peers()) + 1 - len(status.Voters)))
	_, reading := b.voter.EditionWithAge()
	scope.Gauge("routes_version").Update(float64(reading.Version))
	if reading.Confirmed {
		scope.Gauge("routes_age_seconds").Update(reading.Age.Seconds())
	}
	b.logCaughtUp(reading)
}

// logCaughtUp logs once when the replica has applied all committed log entries after
// its start.
func (b *Instance) logCaughtUp(reading edition.Reading) {
	b.mu.Lock()
	first := reading.Confirmed && !b.caughtUp
	b.caughtUp = b.caughtUp || reading.Confirmed
	b.mu.Unlock()
	if first {
		b.options.Log.Info().Uint64("version", reading.Version).Dur("age", reading.Age).Msg("caught up with the other voters")
	}
}

// trackLeadership reports whether this instance leads, and records the time since which
// it does.
func (b *Instance) trackLeadership(now time.Time) bool {
	leader, _ := b.voter.Leader()
	b.mu.Lock()
	defer b.mu.Unlock()
	switch {
	case leader != b.voter.Identity():
		b.leaderSince = time.Time{}
		return false
	case b.leaderSince.IsZero():
		b.leaderSince = now
	}
	return true
}

// changeVoters requests the next change of the voters, if one is due.
func (b *Instance) changeVoters(ctx context.Context) {
	b.mu.Lock()
	since := b.leaderSince
	b.mu.Unlock()
	change := electorate.Decide(
		b.options.Now(), b.voter.Identity(), b.voter.Status().Voters, b.voter.Peers(), since,
		electorate.Options{MinVoters: b.options.MinVoters, SilenceTimeout: voterSilenceTimeout},
	)
	if change == (electorate.Change{}) {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	err := b.voter.ChangeVoters(ctx, courier.VotersChange{Add: change.Add, Remove: change.Remove})
	b.options.Log.Info().Err(err).Str("add", string(change.Add)).Str("remove", string(change.Remove)).
		Str("reason", string(change.Reason)).Msg("change of voters requested")
}

// IsVoter reports whether this instance is a voter.
func (b *Instance) IsVoter() bool {
	return b.voter.Status().Voter
}
