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

// foundEvery is the time between two tries to found the cluster. All instances
// start within a second of each other.
const foundEvery = 200 * time.Millisecond

// found founds the cluster at the very first start. Every founder tries: the
// cluster that follows from the same identities is the same.
func (b *Backoffice) found(ctx context.Context) {
	if !b.options.Founder {
		return
	}
	for b.voter.Status().Cluster == "" {
		if err := b.voter.Bootstrap(ctx); err != nil {
			b.options.Log.Debug().Err(err).Msg("cluster not founded yet")
		}
		if !pause.For(ctx, foundEvery) {
			return
		}
	}
	b.options.Log.Info().Str("cluster", b.voter.Status().Cluster).Msg("cluster founded")
}

// elect keeps the set of voters whole while this instance leads.
func (b *Backoffice) elect(ctx context.Context) {
	for pause.For(ctx, electEvery) {
		status := b.voter.Status()
		b.reportState(status)
		if status.Failure != nil {
			close(b.failed)
			return
		}
		if b.leads(b.options.Now()) {
			b.changeVoters(ctx)
		}
	}
}

// reportState sets what this instance is and knows.
func (b *Backoffice) reportState(status jury.Status) {
	scope := b.options.Metrics.SubScope("backoffice")
	leads := 0.0
	if status.Role == jury.Leader {
		leads = 1
	}
	scope.Gauge("leads").Update(leads)
	scope.Gauge("term").Update(float64(status.Term))
	scope.Gauge("voters").Update(float64(len(status.Voters)))
	scope.Gauge("learners").Update(float64(len(b.voter.Peers()) + 1 - len(status.Voters)))
	_, reading := b.voter.Reading()
	scope.Gauge("routes_version").Update(float64(reading.Version))
	if reading.Confirmed {
		scope.Gauge("routes_age_seconds").Update(reading.Age.Seconds())
	}
	b.logCaughtUp(reading)
}

// logCaughtUp logs that a replica that has started holds all that is committed.
func (b *Backoffice) logCaughtUp(reading edition.Reading) {
	b.mu.Lock()
	first := reading.Confirmed && !b.caughtUp
	b.caughtUp = b.caughtUp || reading.Confirmed
	b.mu.Unlock()
	if first {
		b.options.Log.Info().Uint64("version", reading.Version).Dur("age", reading.Age).Msg("caught up with the other voters")
	}
}

// leads reports whether this instance leads, and notes since when.
func (b *Backoffice) leads(now time.Time) bool {
	leader, _ := b.voter.Leader()
	b.mu.Lock()
	defer b.mu.Unlock()
	switch {
	case leader != b.voter.Identity():
		b.leadsSince = time.Time{}
		return false
	case b.leadsSince.IsZero():
		b.leadsSince = now
	}
	return true
}

// changeVoters asks for the next change of voters, if one is due.
func (b *Backoffice) changeVoters(ctx context.Context) {
	b.mu.Lock()
	since := b.leadsSince
	b.mu.Unlock()
	change := electorate.Decide(
		b.options.Now(), b.voter.Identity(), b.voter.Status().Voters, b.voter.Peers(), since,
		electorate.Options{Least: b.options.Voters, Patience: silentVoter},
	)
	if change == (electorate.Change{}) {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	err := b.voter.ChangeVoters(ctx, courier.VotersChange{Add: change.Add, Remove: change.Remove})
	b.options.Log.Info().Err(err).Str("add", string(change.Add)).Str("remove", string(change.Remove)).
		Str("reason", string(change.Reason)).Msg("change of voters")
}

// Votes reports whether this instance is one of the voters.
func (b *Backoffice) Votes() bool {
	return b.voter.Status().Voter
}
