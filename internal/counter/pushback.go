package counter

import (
	"net/netip"
	"slices"
	"time"

	"github.com/lovagelift/lovagelift/internal/permit"
)

// An upstream that refuses a request may push back: it wants no more requests from that instance
// for some time. The owners of its models learn of it, because they select the upstreams for the
// instance's requests.

// pushesBack reports whether the upstream wants no requests of an instance now.
func (u *upstream) pushesBack(now time.Time, instance netip.AddrPort) bool {
	return now.Before(u.pushbacks.Until(instance))
}

// recordPushback records that an upstream wants no requests of an instance for a while.
func (p *upstreamPool) recordPushback(now time.Time, u *upstream, instance netip.AddrPort, length time.Duration) {
	u.pushbacks = u.pushbacks.With(now, instance, length)
	p.pushedBack = p.pushedBack.With(now, instance, length)
}

// anyPushesBack reports whether any upstream may want no requests of an instance now.
func (p *upstreamPool) anyPushesBack(now time.Time, instance netip.AddrPort) bool {
	return now.Before(p.pushedBack.Until(instance))
}

// observePushback processes the pushback in an upstream's response to this instance.
func (p *Proxy) observePushback(a *upstreamAttempt) {
	if a.pushback <= 0 {
		return
	}
	now := p.options.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	u := p.pool.current(a.upstream)
	p.pool.recordPushback(now, u, p.owners.self, a.pushback)
	owners := p.modelOwners(now, u)
	if a.owner.IsValid() && !slices.Contains(owners, a.owner) {
		owners = append(owners, a.owner)
	}
	for _, owner := range owners {
		p.reportPushback(now, u, owner)
	}
}

// reportPushback tells an owner for how long an upstream wants no requests of this instance. p.mu
// is held.
func (p *Proxy) reportPushback(now time.Time, u *upstream, owner netip.AddrPort) {
	p.peers.send(owner, permit.PushbackReport{
		Upstream: u.name, Incarnation: u.incarnation, Remaining: u.pushbacks.Until(p.owners.self).Sub(now),
	})
}

// receivePushback records an upstream's pushback to another instance. p.mu is held.
func (p *Proxy) receivePushback(now time.Time, from netip.AddrPort, m permit.PushbackReport) {
	if u := p.pool.process(m.Upstream, m.Incarnation); u != nil {
		p.pool.recordPushback(now, u, from, m.Remaining)
	}
}

// mayStillSend reports whether a granted upstream still wants requests of this instance: it is
// neither leaving nor pushing back, nor close to as many refusals as it tolerates. An upstream under
// whose name another process has started must be granted again.
func (p *Proxy) mayStillSend(u *upstream) bool {
	now := p.options.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	known := p.pool.byName[u.name]
	if known != nil && u.announced && known.software != u.software && known.incarnation >= u.incarnation {
		return false
	}
	u = p.pool.current(u)
	return !u.isLeaving() && !u.pushesBack(now, p.owners.self) && !now.Before(u.refusals.PausedUntil())
}
