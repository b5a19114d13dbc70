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

// CheckAdmission returns the refusal of new requests while the instance is shutting down
// or cannot confirm that its configuration is in force, and nil otherwise.
func (i *Instance) CheckAdmission(now time.Time) *desk.RefusalError {
	hasLease := i.controlPlane.HasConfigLease(now)
	i.mu.Lock()
	defer i.mu.Unlock()
	refusal := &desk.RefusalError{Status: http.StatusServiceUnavailable, Outcome: outcome.NotRun}
	switch {
	case i.refusingRequests:
		refusal = desk.DrainingRefusal()
	case !hasLease:
		refusal.Code = desk.CodeConfigurationNotConfirmed
		refusal.Message = "this instance can't confirm its configuration; use another"
		refusal.RetryAfter = i.options.Settings.Timing.ConfigurationRenewal
	default:
		return nil
	}
	for _, entry := range i.entriesLocked(now) {
		if entry.Name != i.options.Settings.Name {
			refusal.OtherAddresses = append(refusal.OtherAddresses, entry.Address)
		}
	}
	return refusal
}

// staticRecord returns the part of this instance's roster record that does not
// change while it runs.
func (i *Instance) staticRecord() roster.InstanceStatic {
	settings := i.options.Settings
	return roster.InstanceStatic{
		CallerAddress:   settings.Advertise.Caller.String(),
		UpstreamAddress: settings.Advertise.Upstream.String(),
		InnerAddress:    settings.Advertise.Inner.String(),
		FailureDomain:   settings.FailureDomain,
		Voter:           settings.Voter,
		Identity:        string(i.controlPlane.Identity()),
	}
}

// Entries returns the instances that the caller may use, in order of preference.
func (i *Instance) Entries(now time.Time, caller string) desk.Entries {
	i.mu.Lock()
	defer i.mu.Unlock()
	var choices []entries.Instance
	for _, instance := range i.roster.Instances(now) {
		choices = append(choices, entries.Instance{
			Name:           instance.Name,
			Address:        instance.CallerAddress,
			FailureDomain:  instance.FailureDomain,
			Leaving:        instance.Draining || instance.Stale,
			ActiveRequests: instance.Streams,
		})
	}
	chosen := entries.Choose(now, caller, choices, entries.Options{MaxTTL: i.options.Settings.Timing.ReferralTTL})
	reply := desk.Entries{TTL: chosen.Keep}
	for _, instance := range chosen.Instances {
		reply.Instances = append(reply.Instances, desk.Entry{
			Name:          instance.Name,
			Address:       instance.Address,
			FailureDomain: instance.FailureDomain,
		})
	}
	return reply
}

// entriesLocked returns the instances that accept requests.
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

// Upstreams returns the upstreams that may receive new requests.
func (i *Instance) Upstreams(now time.Time) []roster.Upstream {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.roster.Upstreams(now)
}

// Announce records an announcement of an upstream.
func (i *Instance) Announce(now time.Time, announcement upstreamapi.Announcement) (upstreamapi.AnnounceResponse, error) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if err := i.roster.Announce(now, announcement); err != nil {
		return upstreamapi.AnnounceResponse{}, err
	}
	i.forwardUpstreamChangesLocked()
	response := upstreamapi.AnnounceResponse{
		RenewEvery: i.options.Settings.Timing.UpstreamRenewal,
		Lease:      i.options.Settings.Timing.UpstreamLease,
	}
	for _, instance := range i.roster.Instances(now) {
		if instance.Name != i.options.Settings.Name && !instance.Draining {
			response.Instances = append(response.Instances, instance.UpstreamAddress)
		}
	}
	return response, nil
}

// ReportLoad records an upstream's load report between two announcements.
func (i *Instance) ReportLoad(now time.Time, report upstreamapi.LoadReport) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.roster.ReportLoad(now, report)
	i.forwardUpstreamChangesLocked()
}

// Leave records that an upstream is leaving.
func (i *Instance) Leave(now time.Time, leave upstreamapi.Leave) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.roster.Leave(now, leave)
	i.forwardUpstreamChangesLocked()
}

// ApplyCacheEvents applies events of an engine's prefix cache. They are not shared with other
// instances: they only affect the choice of an engine, and other instances learn
// the cache contents from the requests that they send.
func (i *Instance) ApplyCacheEvents(now time.Time, events upstreamapi.CacheEvents) {
	i.callerAPI.ApplyCacheEvents(now, events)
}

// forwardUpstreamChangesLocked forwards upstream changes in the roster to the
// caller API.
func (i *Instance) forwardUpstreamChangesLocked() {
	var changed []roster.Upstream
	changed, i.forwardedChange = i.roster.UpstreamsSince(i.forwardedChange)
	if len(changed) > 0 {
		i.callerAPI.UpdateUpstreams(changed)
	}
}

// runRenewal calls renew until ctx ends.
func (i *Instance) runRenewal(ctx context.Context) {
	ticker := time.NewTicker(pullInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		i.renew()
	}
}

// renew renews this instance's own record if due, and evicts members from the roster
// whose last contact is too long ago.
func (i *Instance) renew() {
	now := i.options.Now()
	i.mu.Lock()
	defer i.mu.Unlock()
	i.renewIfDueLocked(now)
	i.roster.EvictExpired(now)
}

// renewIfDueLocked renews this instance's own record once per renewal interval, and
// immediately when the instance starts or stops accepting requests.
func (i *Instance) renewIfDueLocked(now time.Time) {
	beat := roster.InstanceBeat{
		Draining: i.draining,
		Stale:    !i.controlPlane.HasConfigLease(now),
		Streams:  i.callerAPI.ActiveRequests(),
	}
	urgent := beat.Draining != i.lastBeat.Draining || beat.Stale != i.lastBeat.Stale
	if !urgent && now.Sub(i.lastBeatAt) < i.options.Settings.Timing.UpstreamRenewal {
		return
	}
	i.lastBeat, i.lastBeatAt = beat, now
	i.roster.Heartbeat(now, beat)
}
