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
func (i *Instance) bootstrap(ctx context.Context) {
	if !i.options.Bootstrap {
		return
	}
	for i.voter.Status().Cluster == "" {
		if err := i.voter.Bootstrap(ctx); err != nil {
			i.options.Log.Debug().Err(err).Msg("bootstrap failed; retrying")
		}
		if !pause.For(ctx, bootstrapRetryInterval) {
			return
		}
	}
	i.options.Log.Info().Str("cluster", i.voter.Status().Cluster).Msg("cluster bootstrapped")
}

// maintainVoters updates metrics, detects a failed replica, and adjusts the set of
// voters while this instance leads.
func (i *Instance) maintainVoters(ctx context.Context) {
	for pause.For(ctx, voterCheckInterval) {
		status := i.voter.Status()
		i.updateMetrics(status)
		if status.Failure != nil {
			close(i.failed)
			return
		}
		if i.trackLeadership(i.options.Now()) {
			i.changeVoters(ctx)
		}
	}
}

// updateMetrics exports the state of the replica.
func (i *Instance) updateMetrics(status jury.Status) {
	scope := i.options.Metrics.SubScope("backoffice")
	leads := 0.0
	if status.Role == jury.Leader {
		leads = 1
	}
	scope.Gauge("leads").Update(leads)
	scope.Gauge("term").Update(float64(status.Term))
	scope.Gauge("voters").Update(float64(len(status.Voters)))
	scope.Gauge("learners").Update(float64(len(i.voter.Peers()) + 1 - len(status.Voters)))
	_, reading := i.voter.EditionWithAge()
	scope.Gauge("routes_version").Update(float64(reading.Version))
	if reading.Confirmed {
		scope.Gauge("routes_age_seconds").Update(reading.Age.Seconds())
	}
	i.logCaughtUp(reading)
}

// logCaughtUp logs once when the replica has applied all committed log entries after
// its start.
func (i *Instance) logCaughtUp(reading edition.Reading) {
	i.mu.Lock()
	first := reading.Confirmed && !i.caughtUp
	i.caughtUp = i.caughtUp || reading.Confirmed
	i.mu.Unlock()
	if first {
		i.options.Log.Info().Uint64("version", reading.Version).Dur("age", reading.Age).Msg("caught up with the other voters")
	}
}

// trackLeadership reports whether this instance leads, and records the time since which
// it does.
func (i *Instance) trackLeadership(now time.Time) bool {
	leader, _ := i.voter.Leader()
	i.mu.Lock()
	defer i.mu.Unlock()
	switch {
	case leader != i.voter.Identity():
		i.leaderSince = time.Time{}
		return false
	case i.leaderSince.IsZero():
		i.leaderSince = now
	}
	return true
}

// changeVoters requests the next change of the voters, if one is due.
func (i *Instance) changeVoters(ctx context.Context) {
	i.mu.Lock()
	since := i.leaderSince
	i.mu.Unlock()
	change := electorate.Decide(
		i.options.Now(), i.voter.Identity(), i.voter.Status().Voters, i.voter.Peers(), since,
		electorate.Options{MinVoters: i.options.MinVoters, SilenceTimeout: voterSilenceTimeout},
	)
	if change == (electorate.Change{}) {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	err := i.voter.ChangeVoters(ctx, courier.VotersChange{Add: change.Add, Remove: change.Remove})
	i.options.Log.Info().Err(err).Str("add", string(change.Add)).Str("remove", string(change.Remove)).
		Str("reason", string(change.Reason)).Msg("change of voters requested")
}

// IsVoter reports whether this instance is a voter.
func (i *Instance) IsVoter() bool {
	return i.voter.Status().Voter
}
