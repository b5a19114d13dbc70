package counter

import (
	"time"

	"github.com/lovagelift/lovagelift/internal/permit"
	"github.com/lovagelift/lovagelift/internal/roster"
)

// An upstream that leaves says so in its responses as well as in its announcements. An instance
// that can't reach the control instances, or a leaving upstream that can't, is thus known here in
// time.

// isLeaving reports whether the upstream is known to be leaving.
func (u *upstream) isLeaving() bool {
	return u.Leaving || u.statedLeave
}

// observeLeave processes the leave that an upstream's response states, and tells all other
// instances.
func (p *Proxy) observeLeave(a *upstreamAttempt) {
	if !a.statesLeave {
		return
	}
	if u, first := p.recordLeave(a.upstream); first {
		p.logLine(p.options.Now(), "upstream states leave").Str("upstream", u.name).Str("service", u.service).
			Msg("an upstream states that it is leaving")
	}
}

// recordLeave records that an upstream is leaving. If that was not known, it tells all other
// instances and returns true.
func (p *Proxy) recordLeave(granted *upstream) (u *upstream, first bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	u = p.pool.current(granted)
	if u.isLeaving() {
		return u, false
	}
	u.statedLeave = true
	p.broadcast(permit.LeaveReport{Upstream: u.name, Incarnation: u.incarnation})
	return u, true
}

// receiveLeave records the leave that an upstream's response to another instance states. p.mu is
// held.
func (p *Proxy) receiveLeave(m permit.LeaveReport) {
	if u := p.pool.process(m.Upstream, m.Incarnation); u != nil {
		u.statedLeave = true
	}
}

// logLeaves logs the upstreams that the control instance called control says are leaving, as far as
// that was not known here. p.mu is held, and the pool does not have the changes yet.
func (p *Proxy) logLeaves(now time.Time, control string, changed []roster.Upstream) {
	for _, known := range changed {
		u := p.pool.byName[known.Announcement.Name]
		if u == nil || u.Leaving || !known.Leaving || known.Announcement.Incarnation < u.incarnation {
			continue
		}
		p.logLineLocked(now, "upstream leaves").Str("upstream", u.name).Str("service", u.service).
			Str("control", control).Msg("an upstream is leaving")
	}
}
