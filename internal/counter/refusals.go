package counter

import (
	"time"

	"github.com/lovagelift/lovagelift/internal/permit"
)

// An upstream may fail if it has to refuse too many requests in a second, and then states how many
// it tolerates. All instances together keep below that: each refusal is reported to all.

// observeRefusals processes the tolerance that an upstream's response states, and its refusal.
func (p *Proxy) observeRefusals(a *upstreamAttempt, class ResponseClass) {
	now := p.options.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	u := p.pool.current(a.upstream)
	u.refusals = u.refusals.WithTolerance(a.tolerance)
	if a.tolerance == 0 || class != NotRun {
		return
	}
	u.refusals = u.refusals.With(now)
	p.broadcast(permit.RefusalReport{Upstream: u.name, Incarnation: u.incarnation, Tolerance: a.tolerance})
}

// receiveRefusal records the refusal of a request of another instance. p.mu is held.
func (p *Proxy) receiveRefusal(now time.Time, m permit.RefusalReport) {
	if u := p.pool.process(m.Upstream, m.Incarnation); u != nil {
		u.refusals = u.refusals.WithTolerance(m.Tolerance).With(now)
	}
}

// pausedUntil returns the time until which the upstream accepts no request of any instance.
func (u *upstream) pausedUntil() time.Time {
	if refusals := u.refusals.PausedUntil(); refusals.After(u.limit.pausedUntil) {
		return refusals
	}
	return u.limit.pausedUntil
}
