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
	return p.remoteFixedOwner(limitOwnerService, u.name)
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
	defer p.dropReplies(id)
	answer := p.exchange(ctx, owner, permit.SendRequest{ID: id, Upstream: u.name, Limit: limit}, pending)
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

// exchange sends a message to an owner, again if necessary, and returns the answer. The answer is nil
// if none arrives in time.
func (p *Proxy) exchange(ctx context.Context, owner netip.AddrPort, message permit.Message, pending *pendingReply) permit.Message {
	for range ownerAttempts {
		p.peers.send(owner, message)
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

// answerTTL is how long the owner of a limit or quota keeps its answers, to repeat them for requests
// whose answer was lost.
const answerTTL = time.Second

// storedAnswer is an answer to a peer.
type storedAnswer struct {
	answer  permit.Message
	expires time.Time
}

// answerOnce answers a peer's request by decide, or repeats the earlier answer. p.mu is held.
func (p *Proxy) answerOnce(now time.Time, requester peerRequest, decide func() permit.Message) {
	stored, found := p.storedAnswers[requester]
	if !found {
		stored = storedAnswer{answer: decide(), expires: now.Add(answerTTL)}
		p.storedAnswers[requester] = stored
	}
	p.peers.send(requester.address, stored.answer)
}

// handleClaim decides a peer's claim, or repeats the earlier answer. p.mu is held.
func (p *Proxy) handleClaim(now time.Time, from netip.AddrPort, m permit.SendRequest) {
	p.answerOnce(now, peerRequest{from, m.ID}, func() permit.Message { return p.decideClaim(now, m) })
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

// expireAnswers removes the stored answers that have expired. p.mu is held.
func (p *Proxy) expireAnswers(now time.Time) {
	for requester, stored := range p.storedAnswers {
		if now.After(stored.expires) {
			delete(p.storedAnswers, requester)
		}
	}
}
