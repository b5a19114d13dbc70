package instance

import (
	"context"
	"net/http"
	"time"

	"github.com/lovagelift/lovagelift/internal/desk"
	"github.com/lovagelift/lovagelift/internal/outcome"
	"github.com/lovagelift/lovagelift/internal/roster"
	"github.com/lovagelift/lovagelift/internal/settings"
	"github.com/lovagelift/lovagelift/internal/upstreamapi"
)

// Admits returns the refusal of new work while the instance is stopping, or
// can't confirm that its configuration is in force.
func (i *Instance) Admits(now time.Time) *desk.RefusalError {
	fresh := i.chamber.Fresh(now)
	i.mu.Lock()
	defer i.mu.Unlock()
	refusal := &desk.RefusalError{Status: http.StatusServiceUnavailable, Outcome: outcome.NotRun}
	switch {
	case i.refusing:
		refusal.Code = desk.CodeDraining
		refusal.Message = "this instance is stopping; use another"
	case !fresh:
		refusal.Code = desk.CodeStale
		refusal.Message = "this instance can't confirm its configuration; use another"
		refusal.RetryAfter = i.options.Settings.Timing.ConfigurationRenewal
	default:
		return nil
	}
	for _, entry := range i.entriesLocked(now) {
		if entry.Name != i.options.Settings.Name {
			refusal.Others = append(refusal.Others, entry.Address)
		}
	}
	return refusal
}

// static is what others are told of this instance.
func (i *Instance) static() roster.InstanceStatic {
	s := i.options.Settings
	return roster.InstanceStatic{
		CallerAddress:   s.Advertise.Caller.String(),
		UpstreamAddress: s.Advertise.Upstream.String(),
		InnerAddress:    s.Advertise.Inner.String(),
		FailureDomain:   s.FailureDomain,
		Voter:           s.Voter,
		Identity:        string(i.chamber.Identity()),
	}
}

// Entries returns the instances that callers may use.
func (i *Instance) Entries(now time.Time) desk.Entries {
	i.mu.Lock()
	defer i.mu.Unlock()
	return desk.Entries{List: i.entriesLocked(now), Keep: i.options.Settings.Timing.EntryTime}
}

func (i *Instance) entriesLocked(now time.Time) []desk.Entry {
	var entries []desk.Entry
	for _, instance := range i.roster.Instances(now) {
		if instance.Draining || instance.Stale {
			continue
		}
		entries = append(entries, desk.Entry{
			Name:          instance.Name,
			Address:       instance.CallerAddress,
			FailureDomain: instance.FailureDomain,
		})
	}
	return entries
}

// Upstreams returns the upstreams that may receive new work.
func (i *Instance) Upstreams(now time.Time) []roster.Upstream {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.roster.Upstreams(now)
}

// Announce takes an announcement that an upstream made to this instance.
func (i *Instance) Announce(now time.Time, announcement upstreamapi.Announcement) (upstreamapi.Welcome, error) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if err := i.roster.Announce(now, announcement); err != nil {
		return upstreamapi.Welcome{}, err
	}
	welcome := upstreamapi.Welcome{
		RenewEvery: i.options.Settings.Timing.UpstreamRenewal,
		Lease:      i.options.Settings.Timing.UpstreamLease,
	}
	for _, instance := range i.roster.Instances(now) {
		if instance.Name != i.options.Settings.Name && !instance.Draining {
			welcome.Instances = append(welcome.Instances, instance.UpstreamAddress)
		}
	}
	return welcome, nil
}

// Load takes a load report between two announcements.
func (i *Instance) Load(now time.Time, report upstreamapi.LoadReport) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.roster.Load(now, report)
}

// Leave takes an upstream's word that it goes.
func (i *Instance) Leave(now time.Time, leave upstreamapi.Leave) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.roster.Leave(now, leave)
}

func (i *Instance) changes(cursor roster.Cursor) roster.Changes {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.roster.Since(i.options.Now(), cursor)
}

// beat renews this instance's own record and forgets members long lost.
func (i *Instance) beat(ctx context.Context) {
	ticker := time.NewTicker(pullEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		i.beatNow()
	}
}

func (i *Instance) beatNow() {
	now := i.options.Now()
	i.mu.Lock()
	defer i.mu.Unlock()
	i.beatLocked(now)
	i.roster.Sweep(now)
}

func (i *Instance) beatLocked(now time.Time) {
	i.roster.Beat(now, roster.InstanceBeat{
		Draining: i.draining,
		Stale:    !i.chamber.Fresh(now),
		Streams:  i.desk.Streams(),
	})
}

// pullFrom keeps asking one other instance for what changed in its roster.
func (i *Instance) pullFrom(ctx context.Context, peer settings.Instance) {
	ticker := time.NewTicker(pullEvery)
	defer ticker.Stop()
	for {
		i.pullOnce(ctx, peer)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (i *Instance) pullOnce(ctx context.Context, peer settings.Instance) {
	i.mu.Lock()
	cursor := i.cursors[peer.Name]
	i.mu.Unlock()
	asked := i.options.Now()
	changes, err := i.pools.rosters.PullRoster(ctx, peer.InnerAddress.String(), cursor)
	if err != nil {
		i.options.Log.Debug().Err(err).Str("peer", peer.Name).Msg("roster not pulled")
		return
	}
	i.mu.Lock()
	defer i.mu.Unlock()
	i.roster.Merge(asked, changes)
	i.cursors[peer.Name] = changes.Next
}
