package instance

import (
	"context"
	"net/http"
	"time"

	"github.com/lovagelift/lovagelift/internal/desk"
	"github.com/lovagelift/lovagelift/internal/entries"
	"github.com/lovagelift/lovagelift/internal/outcome"
	"github.com/lovagelift/lovagelift/internal/roster"
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

// Entries returns the instances that the caller may use, the one to use first.
func (i *Instance) Entries(now time.Time, caller string) desk.Entries {
	i.mu.Lock()
	defer i.mu.Unlock()
	var choices []entries.Instance
	for _, instance := range i.roster.Instances(now) {
		choices = append(choices, entries.Instance{
			Name:          instance.Name,
			Address:       instance.CallerAddress,
			FailureDomain: instance.FailureDomain,
			Leaving:       instance.Draining || instance.Stale,
			Open:          instance.Streams,
		})
	}
	answer := entries.Choose(now, caller, choices, entries.Options{Keep: i.options.Settings.Timing.EntryTime})
	told := desk.Entries{Keep: answer.Keep}
	for _, instance := range answer.Instances {
		told.List = append(told.List, desk.Entry{
			Name:          instance.Name,
			Address:       instance.Address,
			FailureDomain: instance.FailureDomain,
		})
	}
	return told
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
	i.tellDeskLocked()
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
	i.tellDeskLocked()
}

// Leave takes an upstream's word that it goes.
func (i *Instance) Leave(now time.Time, leave upstreamapi.Leave) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.roster.Leave(now, leave)
	i.tellDeskLocked()
}

// Cached takes what happened in an engine's prefix cache. It stays with this
// instance: it moves choices only, and the others learn from what they send.
func (i *Instance) Cached(now time.Time, events upstreamapi.CacheEvents) {
	i.desk.Cached(now, events)
}

// tellDeskLocked passes on what has changed of the upstreams.
func (i *Instance) tellDeskLocked() {
	var changed []roster.Upstream
	changed, i.told = i.roster.UpstreamsSince(i.told)
	if len(changed) > 0 {
		i.desk.Update(changed)
	}
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

// beatLocked renews this instance's own record when it is due, and at once when
// callers must be sent elsewhere or may be sent here again.
func (i *Instance) beatLocked(now time.Time) {
	beat := roster.InstanceBeat{
		Draining: i.draining,
		Stale:    !i.chamber.Fresh(now),
		Streams:  i.desk.Streams(),
	}
	urgent := beat.Draining != i.lastBeat.Draining || beat.Stale != i.lastBeat.Stale
	if !urgent && now.Sub(i.lastBeatAt) < i.options.Settings.Timing.UpstreamRenewal {
		return
	}
	i.lastBeat, i.lastBeatAt = beat, now
	i.roster.Beat(now, beat)
}
