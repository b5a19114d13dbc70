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
// would allow twice the limit. c.mu is held.
func (c *Counter) limitOwner(u *upstream) (netip.AddrPort, bool) {
	if c.peers.conn == nil {
		return netip.AddrPort{}, false
	}
	anyone := func(netip.AddrPort) bool { return true }
	owner, known := c.owners.assignment.Of(limitOwnerService, u.name, anyone)
	return owner, known && owner != c.owners.self
}

// allowByLimit reports whether the rate limit of an upstream allows a request now. If not, it
// returns the time until the next one.
func (c *Counter) allowByLimit(ctx context.Context, u *upstream) (wait time.Duration, ok bool) {
	now := c.options.Now()
	c.mu.Lock()
	limit, hasLimit := u.limit.Limit()
	if !hasLimit {
		c.mu.Unlock()
		return 0, true
	}
	owner, remote := c.limitOwner(u)
	switch {
	case !remote:
		wait, ok = u.limit.paceForAll(now).TakeOwned(now, limit)
		c.mu.Unlock()
		return wait, ok
	case now.Before(c.owners.avoided[owner]):
		wait, ok = u.limit.takeOwnShare(now, limit, c.control.entryInstances)
		c.mu.Unlock()
		return wait, ok
	}
	id, pending := c.expectReply(owner)
	c.mu.Unlock()
	defer c.dropReply(id)
	answer := c.claimFromOwner(ctx, owner, permit.Claim{ID: id, Upstream: u.name, Limit: limit}, pending)
	switch m := answer.(type) {
	case permit.Allowed:
		return 0, true
	case permit.Held:
		return m.Wait, false
	}
	c.avoidOwner(owner, unresponsiveAvoidance)
	c.mu.Lock()
	defer c.mu.Unlock()
	return u.limit.takeOwnShare(now, limit, c.control.entryInstances)
}

// claimFromOwner sends a claim to the owner of a limit. The answer is nil if none arrives in time.
func (c *Counter) claimFromOwner(ctx context.Context, owner netip.AddrPort, claim permit.Claim, pending *pendingReply) permit.Message {
	for range ownerAttempts {
		c.peers.send(owner, claim)
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

// handleClaim decides a peer's claim, or repeats the earlier answer. c.mu is held.
func (c *Counter) handleClaim(now time.Time, from netip.AddrPort, m permit.Claim) {
	requester := peerRequest{from, m.ID}
	stored, found := c.claimAnswers[requester]
	if !found {
		stored = claimAnswer{answer: c.decideClaim(now, m), expires: now.Add(claimAnswerTTL)}
		c.claimAnswers[requester] = stored
	}
	c.peers.send(from, stored.answer)
}

func (c *Counter) decideClaim(now time.Time, m permit.Claim) permit.Message {
	u := c.pool.byName[m.Upstream]
	if u == nil {
		return permit.Held{ID: m.ID, Wait: m.Limit.Period()}
	}
	limit, hasLimit := u.limit.Limit()
	if !hasLimit {
		limit = m.Limit
	}
	wait, ok := u.limit.paceForAll(now).TakeOwned(now, limit)
	if !ok {
		return permit.Held{ID: m.ID, Wait: wait}
	}
	return permit.Allowed{ID: m.ID}
}

// expireClaims removes the stored answers that have expired. c.mu is held.
func (c *Counter) expireClaims(now time.Time) {
	for requester, stored := range c.claimAnswers {
		if now.After(stored.expires) {
			delete(c.claimAnswers, requester)
		}
	}
}
