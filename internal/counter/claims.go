package counter

import (
	"context"
	"net/netip"
	"time"

	"github.com/lovagelift/lovagelift/internal/permit"
)

// An instance sends a claim to the owner of an upstream's rate limit to ask for permission to send
// a request.

// limitOwnerService takes the place of the service name in the key that assigns limits to owners.
const limitOwnerService = "\x00limit"

// limitOwner returns the other instance that paces the requests to an upstream. It returns false if
// this instance does. An owner that does not answer is not replaced, because two pacing instances
// would allow twice the limit. p.mu is held.
func (p *Proxy) limitOwner(u *upstream) (netip.AddrPort, bool) {
	if p.peers.conn == nil {
		return netip.AddrPort{}, false
	}
	anyone := func(netip.AddrPort) bool { return true }
	owner, known := p.owners.assignment.Of(limitOwnerService, u.name, anyone)
	return owner, known && owner != p.owners.self
}

// allowByLimit reports whether the rate limit of an upstream allows a request now. If not, it
// returns the time until the next one.
func (p *Proxy) allowByLimit(ctx context.Context, u *upstream) (wait time.Duration, ok bool) {
	now := p.options.Now()
	p.mu.Lock()
	limit, hasLimit := u.limit.Limit()
	if !hasLimit {
		p.mu.Unlock()
		return 0, true
	}
	owner, remote := p.limitOwner(u)
	switch {
	case !remote:
		wait, ok = u.limit.bucketForAll(now).TakeAtLimit(now, limit)
		p.mu.Unlock()
		return wait, ok
	case now.Before(p.owners.avoided[owner]):
		wait, ok = u.limit.takeOwnShare(now, limit, p.control.entryInstances)
		p.mu.Unlock()
		return wait, ok
	}
	id, pending := p.expectReply(owner)
	p.mu.Unlock()
	defer p.dropReply(id)
	answer := p.claimFromOwner(ctx, owner, permit.SendRequest{ID: id, Upstream: u.name, Limit: limit}, pending)
	switch m := answer.(type) {
	case permit.SendAllowed:
		return 0, true
	case permit.SendDelayed:
		return m.Wait, false
	}
	p.avoidOwner(owner, unresponsiveAvoidance)
	p.mu.Lock()
	defer p.mu.Unlock()
	return u.limit.takeOwnShare(now, limit, p.control.entryInstances)
}

// claimFromOwner sends a claim to the owner of a limit. The answer is nil if none arrives in time.
func (p *Proxy) claimFromOwner(ctx context.Context, owner netip.AddrPort, claim permit.SendRequest, pending *pendingReply) permit.Message {
	for range ownerAttempts {
		p.peers.send(owner, claim)
		timer := time.NewTimer(ownerTimeout)
		select {
		case answer := <-pending.answers:
			timer.Stop()
			return answer
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			return nil
		}
	}
	return nil
}

// claimAnswerTTL is how long the owner of a limit keeps its answers, to repeat them for claims
// whose answer was lost.
const claimAnswerTTL = time.Second

// claimAnswer is the stored answer to a claim.
type claimAnswer struct {
	answer  permit.Message
	expires time.Time
}

// handleClaim decides a peer's claim, or repeats the earlier answer. p.mu is held.
func (p *Proxy) handleClaim(now time.Time, from netip.AddrPort, m permit.SendRequest) {
	requester := peerRequest{from, m.ID}
	stored, found := p.claimAnswers[requester]
	if !found {
		stored = claimAnswer{answer: p.decideClaim(now, m), expires: now.Add(claimAnswerTTL)}
		p.claimAnswers[requester] = stored
	}
	p.peers.send(from, stored.answer)
}

func (p *Proxy) decideClaim(now time.Time, m permit.SendRequest) permit.Message {
	u := p.pool.byName[m.Upstream]
	if u == nil {
		return permit.SendDelayed{ID: m.ID, Wait: m.Limit.Period()}
	}
	limit, hasLimit := u.limit.Limit()
	if !hasLimit {
		limit = m.Limit
	}
	wait, ok := u.limit.bucketForAll(now).TakeAtLimit(now, limit)
	if !ok {
		return permit.SendDelayed{ID: m.ID, Wait: wait}
	}
	return permit.SendAllowed{ID: m.ID}
}

// expireClaims removes the stored answers that have expired. p.mu is held.
func (p *Proxy) expireClaims(now time.Time) {
	for requester, stored := range p.claimAnswers {
		if now.After(stored.expires) {
			delete(p.claimAnswers, requester)
		}
	}
}
