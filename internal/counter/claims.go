package counter

import (
	"context"
	"net/netip"
	"time"

	"github.com/lovagelift/lovagelift/internal/permit"
)

// This file is how the instances ask the owner of an upstream's limit whether a request may
// be sent.

// limitService stands for the service in the key by which limits have owners.
const limitService = "\x00limit"

// limitOwner returns the other instance that paces the requests to an upstream. It returns
// false if this one does. Nobody takes the place of one that does not answer: two paces
// would be twice the limit. c.mu is held.
func (c *Counter) limitOwner(u *upstream) (netip.AddrPort, bool) {
	if c.exchange.conn == nil {
		return netip.AddrPort{}, false
	}
	anyone := func(netip.AddrPort) bool { return true }
	owner, known := c.owners.known.Of(limitService, u.name, anyone)
	return owner, known && owner != c.owners.self
}

// allow reports whether a request may be sent to an upstream now, by the limit that it
// names. If it may not, allow returns after what time the next may.
func (c *Counter) allow(ctx context.Context, u *upstream) (wait time.Duration, ok bool) {
	now := c.options.Now()
	c.mu.Lock()
	limit, limits := u.limit.Limit()
	if !limits {
		c.mu.Unlock()
		return 0, true
	}
	owner, other := c.limitOwner(u)
	switch {
	case !other:
		wait, ok = u.limit.paceOfAll(now).TakeOwned(now, limit)
		c.mu.Unlock()
		return wait, ok
	case now.Before(c.owners.avoided[owner]):
		wait, ok = u.limit.takeShare(now, limit, c.links.entries)
		c.mu.Unlock()
		return wait, ok
	}
	id, q := c.openQuestion(owner)
	c.mu.Unlock()
	defer c.closeQuestion(id)
	answer := c.claim(ctx, owner, permit.Claim{ID: id, Upstream: u.name, Limit: limit}, q)
	switch m := answer.(type) {
	case permit.Allowed:
		return 0, true
	case permit.Held:
		return m.Wait, false
	}
	c.avoid(owner, avoidSilent)
	c.mu.Lock()
	defer c.mu.Unlock()
	return u.limit.takeShare(now, limit, c.links.entries)
}

// claim asks the owner of a limit. The answer is nil if none comes in time.
func (c *Counter) claim(ctx context.Context, owner netip.AddrPort, ask permit.Claim, q *question) permit.Message {
	for range askTimes {
		c.exchange.tell(owner, ask)
		timer := time.NewTimer(answerTime)
		select {
		case answer := <-q.answers:
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

// claimKept is how long the owner of a limit keeps what it has answered, for claims that come
// again as the answer was lost.
const claimKept = time.Second

// claimed is an answer to a claim.
type claimed struct {
	answer permit.Message
	until  time.Time
}

// answerClaim decides on a claim of another instance, or tells again what was decided. c.mu
// is held.
func (c *Counter) answerClaim(now time.Time, from netip.AddrPort, m permit.Claim) {
	asker := otherInstance{from, m.ID}
	known, found := c.claims[asker]
	if !found {
		known = claimed{answer: c.decideClaim(now, m), until: now.Add(claimKept)}
		c.claims[asker] = known
	}
	c.exchange.tell(from, known.answer)
}

func (c *Counter) decideClaim(now time.Time, m permit.Claim) permit.Message {
	u := c.fleet.upstreams[m.Upstream]
	if u == nil {
		return permit.Held{ID: m.ID, Wait: m.Limit.Period()}
	}
	limit, limits := u.limit.Limit()
	if !limits {
		limit = m.Limit
	}
	wait, ok := u.limit.paceOfAll(now).TakeOwned(now, limit)
	if !ok {
		return permit.Held{ID: m.ID, Wait: wait}
	}
	return permit.Allowed{ID: m.ID}
}

// sweepClaims forgets answers that nobody waits for any more. c.mu is held.
func (c *Counter) sweepClaims(now time.Time) {
	for asker, known := range c.claims {
		if now.After(known.until) {
			delete(c.claims, asker)
		}
	}
}
