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

// newCoroner returns what looks for upstreams that end under requests.
func (i *Instance) newCoroner() *coroner.Coroner {
	return coroner.New(coroner.Options{
		Contact: i.contact,
		Report:  i.reportCrashes,
		Line:    func(string) *zerolog.Event { return i.options.Log.Warn() },
		Now:     i.options.Now,
		Metrics: i.gauges.Scope(),
	})
}

// Upstream returns what was heard last of an upstream, and false if it is not known.
func (i *Instance) Upstream(name string) (roster.Upstream, bool) {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.roster.Upstream(name)
}

// contact returns what is known of an upstream.
func (i *Instance) contact(place quarantine.Place) quarantine.Contact {
	known, found := i.Upstream(place.Upstream)
	switch {
	case !found:
		return quarantine.ContactNone
	case known.Leaving:
		return quarantine.ContactLeaving
	case known.Announcement.Incarnation > place.Incarnation:
		return quarantine.ContactReplaced
	default:
		return quarantine.ContactNone
	}
}

// reportCrashes has the voters record an update, and returns whether they have.
func (i *Instance) reportCrashes(ctx context.Context, update quarantine.Update) bool {
	_, err := i.chamber.Propose(ctx, update)
	if err != nil {
		i.options.Log.Warn().Err(err).Int("upstreams", len(update.Reports)).Msg("crashes not recorded")
	}
	return err == nil
}

// Quarantined returns the requests in quarantine, and those that are suspected.
func (i *Instance) Quarantined(now time.Time) ([]quarantine.Listing, error) {
	voter, ok := i.chamber.(*chamber.Voter)
	if !ok {
		return nil, &registrar.UnavailableError{Reason: "this instance is no voter and keeps no records; ask a voter"}
	}
	return voter.Quarantined(now)
}

// Lift has requests in quarantine be sent again.
func (i *Instance) Lift(ctx context.Context, digests []quarantine.Digest) error {
	_, err := i.chamber.Propose(ctx, quarantine.Update{Now: i.options.Now(), Lifted: digests})
	return err
}

// followCrashes keeps the news of requests in quarantine until ctx ends.
func (i *Instance) followCrashes(ctx context.Context) {
	ticker := time.NewTicker(pullEvery)
	defer ticker.Stop()
	for {
		i.coroner.Follow(i.chamber.Quarantine(i.options.Now()))
		i.coroner.Review(i.contact)
		if voter, ok := i.chamber.(*chamber.Voter); ok {
			voter.RecallCrashes(ctx, i.heard)
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// heard returns when a lifetime of an upstream was heard of last.
func (i *Instance) heard(lifetime quarantine.Lifetime) (time.Time, bool) {
	known, found := i.Upstream(lifetime.Upstream)
	return known.Heard, found && known.Announcement.Incarnation == lifetime.Incarnation
}
