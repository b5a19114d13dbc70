package foreman

import (
	"time"

	"github.com/lovagelift/lovagelift/internal/manifest"
	"github.com/lovagelift/lovagelift/internal/roster"
	"github.com/lovagelift/lovagelift/internal/upstreamapi"
)

// maxReports is how many announcements one command records.
const maxReports = 32

// present returns the engines that take orders and whose announcement lease
// holds, by name.
func (f *Foreman) present(now time.Time) map[string]roster.Upstream {
	present := map[string]roster.Upstream{}
	for _, u := range f.options.World.Upstreams(now) {
		if takesOrders(u.Announcement) {
			present[u.Announcement.Name] = u
		}
	}
	return present
}

// takesOrders tells whether the engine is recorded and ordered about. One that
// takes none loads what it likes, and one that asks for a token refuses ours:
// the settings name none.
func takesOrders(a upstreamapi.Announcement) bool {
	return a.Kind == upstreamapi.KindEngine && a.Has(upstreamapi.CapabilityOrders) &&
		a.OrderAuthorization != upstreamapi.AuthorizationBearer
}

// report records what engines report, as far as it is new.
func (f *Foreman) report(present map[string]roster.Upstream) {
	state := f.options.Register.Manifest()
	room := manifest.MaxEngines - len(state.Engines)
	var news []upstreamapi.Announcement
	for name, u := range present {
		e, known := state.Engine(name)
		switch {
		case known && !e.Learns(u.Announcement):
			continue
		case !known && room == 0:
			f.options.Log.Error().Str("engine", name).Msg("too many engines are recorded; this one gets no orders")
			continue
		case !known:
			room--
		}
		news = append(news, u.Announcement)
	}
	for len(news) > 0 {
		count := min(len(news), maxReports)
		f.propose(manifest.Reports{Announcements: news[:count]})
		news = news[count:]
	}
}

// alarm logs each engine once whose reports contradict the account. It gets no
// more orders; the others go on.
func (f *Foreman) alarm() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, e := range f.options.Register.Manifest().Engines {
		found := e.Ledger.Contradictions()
		name := e.Announced.Name
		if len(found) == 0 {
			delete(f.alarmed, name)
			continue
		}
		if f.alarmed[name] == e.Ledger.Incarnation() {
			continue
		}
		f.alarmed[name] = e.Ledger.Incarnation()
		for _, finding := range found {
			f.options.Log.Error().Str("engine", name).Uint64("incarnation", e.Ledger.Incarnation()).
				Str("finding", finding.String()).
				Msg("alarm: the engine's report contradicts the account; it gets no orders until it restarts")
		}
	}
}

// forget drops engines that have been gone for long, if no order to them is
// open.
func (f *Foreman) forget(now time.Time, present map[string]roster.Upstream) {
	for _, e := range f.options.Register.Manifest().Engines {
		name := e.Announced.Name
		_, here := present[name]
		if f.goneFor(now, name, here) >= forgetAfter && len(e.Ledger.Open()) == 0 {
			f.propose(manifest.Forget{Engine: name})
		}
	}
}

// goneFor returns for how long the engine has not been heard of by this leader.
func (f *Foreman) goneFor(now time.Time, name string, here bool) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	if here {
		delete(f.missing, name)
		return 0
	}
	since, known := f.missing[name]
	if !known {
		f.missing[name] = now
		return 0
	}
	return now.Sub(since)
}
