package foreman

import (
	"time"

	"github.com/lovagelift/lovagelift/internal/manifest"
	"github.com/lovagelift/lovagelift/internal/roster"
	"github.com/lovagelift/lovagelift/internal/upstreamapi"
)

// maxReportsPerCommand limits the announcements recorded by one command.
const maxReportsPerCommand = 32

// liveEngines returns, by name, the engines that accept orders and have a valid announcement lease.
func (c *Controller) liveEngines(now time.Time) map[string]roster.Upstream {
	live := map[string]roster.Upstream{}
	for _, u := range c.options.Cluster.Upstreams(now) {
		if acceptsOrders(u.Announcement) {
			live[u.Announcement.Name] = u
		}
	}
	return live
}

// acceptsOrders reports whether the upstream is an engine that accepts orders. Only such engines are
// recorded. An engine without the capability decides itself which models to load. One that requires
// a bearer token would refuse every order, because the settings contain no token for engines.
func acceptsOrders(a upstreamapi.Announcement) bool {
	return a.Kind == upstreamapi.KindEngine && a.Has(upstreamapi.CapabilityOrders) &&
		a.OrderAuthorization != upstreamapi.AuthorizationBearer
}

// recordReports records the engines' announcements that contain something new.
func (c *Controller) recordReports(live map[string]roster.Upstream) {
	state := c.options.State.Manifest()
	remaining := manifest.MaxEngines - len(state.Engines)
	var changed []upstreamapi.Announcement
	for name, u := range live {
		e, recorded := state.Engine(name)
		switch {
		case recorded && !e.ChangedByAnnouncement(u.Announcement):
			continue
		case !recorded && remaining == 0:
			c.options.Log.Error().Str("engine", name).Msg("limit of recorded engines reached; no orders are sent to this engine")
			continue
		case !recorded:
			remaining--
		}
		changed = append(changed, u.Announcement)
	}
	for len(changed) > 0 {
		count := min(len(changed), maxReportsPerCommand)
		c.propose(manifest.Reports{Announcements: changed[:count]})
		changed = changed[count:]
	}
}

// logContradictions logs, once per incarnation, each engine whose reports contradict the ledger.
// Such an engine receives no further orders; the other engines are not affected.
func (c *Controller) logContradictions() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, e := range c.options.State.Manifest().Engines {
		contradictions := e.Ledger.Contradictions()
		name := e.Announcement.Name
		if len(contradictions) == 0 {
			delete(c.loggedIncarnations, name)
			continue
		}
		if c.loggedIncarnations[name] == e.Ledger.Incarnation() {
			continue
		}
		c.loggedIncarnations[name] = e.Ledger.Incarnation()
		for _, contradiction := range contradictions {
			c.options.Log.Error().Str("engine", name).Uint64("incarnation", e.Ledger.Incarnation()).
				Str("finding", contradiction.String()).
				Msg("alarm: engine report contradicts the ledger; no orders are sent to the engine until it restarts")
		}
	}
}

// removeGoneEngines removes the records of engines that have been missing for goneEngineRetention
// and have no open order.
func (c *Controller) removeGoneEngines(now time.Time, live map[string]roster.Upstream) {
	for _, e := range c.options.State.Manifest().Engines {
		name := e.Announcement.Name
		_, isLive := live[name]
		if c.missingFor(now, name, isLive) >= goneEngineRetention && len(e.Ledger.Open()) == 0 {
			c.propose(manifest.RemoveEngine{Engine: name})
		}
	}
}

// missingFor returns how long the engine has been absent from liveEngines at this leader.
func (c *Controller) missingFor(now time.Time, name string, isLive bool) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	if isLive {
		delete(c.missingSince, name)
		return 0
	}
	since, missing := c.missingSince[name]
	if !missing {
		c.missingSince[name] = now
		return 0
	}
	return now.Sub(since)
}
