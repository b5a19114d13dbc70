package admission

import "time"

// precedes reports whether the head of a goes before the head of b.
func precedes(a, b *flow) bool {
	if a.level != b.level {
		return a.level < b.level
	}
	if a.account.virtualTime != b.account.virtualTime {
		return a.account.virtualTime < b.account.virtualTime
	}
	return a.waiting[0].StartBy.Before(b.waiting[0].StartBy)
}

// candidates are the flows that may be served next.
type candidates struct {
	// lowest is the lowest priority that may be served.
	lowest int
	// best is the flow that goes first by priority and fair share. lower is the flow
	// of a lower priority whose head has the earliest StartBy.
	best, lower         *flow
	bestPool, lowerPool *pool
}

// consider updates best with the flows of p.
func (c *candidates) consider(p *pool) {
	for _, f := range p.flows {
		if len(f.waiting) == 0 || f.level > c.lowest {
			continue
		}
		if c.best == nil || precedes(f, c.best) {
			c.best, c.bestPool = f, p
		}
	}
}

// considerLower updates lower with the flows of p. It must be called after consider has
// seen all pools.
func (c *candidates) considerLower(p *pool) {
	for _, f := range p.flows {
		if len(f.waiting) == 0 || f.level <= c.best.level || f.level > c.lowest {
			continue
		}
		if c.lower == nil || f.waiting[0].StartBy.Before(c.lower.waiting[0].StartBy) {
			c.lower, c.lowerPool = f, p
		}
	}
}

// flowToDisplace returns the flow whose last ticket is displaced when f gets one more in
// a full pool: of the flows with the lowest priority, the one that is longest for its
// weight. If that is f itself, flowToDisplace returns nil.
func (p *pool) flowToDisplace(f *flow) *flow {
	worst := f
	for _, other := range p.flows {
		if len(other.waiting) == 0 || other.level < worst.level {
			continue
		}
		if other.level > worst.level || other.weightedLength() > worst.weightedLength() {
			worst = other
		}
	}
	if worst == f {
		return nil
	}
	return worst
}

// weightedLength returns the number of waiting tickets for each unit of weight.
func (f *flow) weightedLength() float64 {
	return float64(len(f.waiting)) / f.weight
}

// noteRemoved updates the counts after a ticket was removed from a flow.
func (p *pool) noteRemoved() {
	p.size--
	if p.size == 0 {
		p.drain.backlogSince = time.Time{}
	}
}

// refuse returns the refusal of t. Callers get successive retry times, at the rate at
// which the pool drains: with the same time for all, they would retry in one burst and
// be refused again.
func (p *pool) refuse(now time.Time, t Ticket, cause Cause, rate float64, wait time.Duration) Refusal {
	refusal := Refusal{Ticket: t, Cause: cause}
	if rate <= 0 {
		refusal.RetryAfter = maxRetryAfter
		return refusal
	}
	earliest := now.Add(max(wait-max(t.StartBy.Sub(now), 0), 0))
	if earliest.Before(p.retryAt) {
		earliest = p.retryAt
	}
	p.retryAt = earliest.Add(time.Duration(float64(time.Second) / rate))
	if p.retryAt.Sub(now) > maxRetryAfter {
		p.retryAt = now.Add(maxRetryAfter)
	}
	refusal.RetryAfter = p.retryAt.Sub(now)
	return refusal
}

// firstLate returns the index of the first ticket of f behind t that can no longer start
// in time now that t has been queued. Its caller is refused at once, not only when its
// StartBy has passed.
func (p *pool) firstLate(now time.Time, f *flow, t Ticket, rate float64) (int, bool) {
	for i := f.position(t.StartBy); i < len(f.waiting); i++ {
		startBy := f.waiting[i].StartBy
		if now.Add(waitTime(p.ahead(f, startBy), rate)).After(startBy) {
			return i, true
		}
	}
	return 0, false
}

// expire removes the tickets of p that can't start in time and appends their refusals to
// dst.
func (p *pool) expire(now time.Time, dst []Refusal) []Refusal {
	rate := p.drain.rate(now)
	reliable := now.Sub(p.drain.backlogSince) >= minBacklogTime && rate > 0
	for _, f := range p.flows {
		for len(f.waiting) > 0 && !f.waiting[0].StartBy.After(now) {
			dst = append(dst, p.refuse(now, f.removeAt(0), CauseTooLate, rate, 0))
			p.noteRemoved()
		}
		for i := len(f.waiting) - 1; reliable && i >= 0; i-- {
			t := f.waiting[i]
			wait := waitTime(p.ahead(f, t.StartBy), rate)
			if float64(wait) <= expiryFactor*float64(t.StartBy.Sub(now)) {
				continue
			}
			dst = append(dst, p.refuse(now, f.removeAt(i), CauseTooLate, rate, wait))
			p.noteRemoved()
		}
	}
	return dst
}
