package admission

import "time"

// goesBefore reports whether the head of a goes before the head of b.
func goesBefore(a, b *flow) bool {
	if a.level != b.level {
		return a.level < b.level
	}
	if a.service.served != b.service.served {
		return a.service.served < b.service.served
	}
	return a.waiting[0].StartBy.Before(b.waiting[0].StartBy)
}

// heads are the flows that may be served next.
type heads struct {
	// lowest is the lowest priority that may be served.
	lowest              int
	best, lower         *flow
	bestPool, lowerPool *pool
}

// consider takes the flows of p into account.
func (h *heads) consider(p *pool) {
	for _, f := range p.flows {
		if len(f.waiting) == 0 || f.level > h.lowest {
			continue
		}
		if h.best == nil || goesBefore(f, h.best) {
			h.best, h.bestPool = f, p
		}
	}
}

// considerLower finds the earliest StartBy among the flows of p whose priority
// is lower than that of the best.
func (h *heads) considerLower(p *pool) {
	for _, f := range p.flows {
		if len(f.waiting) == 0 || f.level <= h.best.level || f.level > h.lowest {
			continue
		}
		if h.lower == nil || f.waiting[0].StartBy.Before(h.lower.waiting[0].StartBy) {
			h.lower, h.lowerPool = f, p
		}
	}
}

// last returns the flow whose last ticket gives way to one more of f in a full
// pool: the longest, by weight, of the lowest priority. If f itself would be
// that flow, last returns nil.
func (p *pool) last(f *flow) *flow {
	worst := f
	for _, other := range p.flows {
		if len(other.waiting) == 0 || other.level < worst.level {
			continue
		}
		if other.level > worst.level || other.burden() > worst.burden() {
			worst = other
		}
	}
	if worst == f {
		return nil
	}
	return worst
}

func (f *flow) burden() float64 {
	return float64(len(f.waiting)) / f.weight
}

func (p *pool) leave() {
	p.size--
	if p.size == 0 {
		p.drain.backlogSince = time.Time{}
	}
}

// refuse returns the answer to t. Callers that are refused one after the other
// are told to come back one after the other, as fast as the pool drains: told
// the same time, they would come back as one burst and be refused again.
func (p *pool) refuse(now time.Time, t Ticket, cause Cause, rate float64, wait time.Duration) Refusal {
	refusal := Refusal{Ticket: t, Cause: cause}
	if rate <= 0 {
		refusal.RetryAfter = longestRetryAfter
		return refusal
	}
	free := now.Add(max(wait-max(t.StartBy.Sub(now), 0), 0))
	if free.Before(p.returnAt) {
		free = p.returnAt
	}
	p.returnAt = free.Add(time.Duration(float64(time.Second) / rate))
	if p.returnAt.Sub(now) > longestRetryAfter {
		p.returnAt = now.Add(longestRetryAfter)
	}
	refusal.RetryAfter = p.returnAt.Sub(now)
	return refusal
}

// pushedOut returns the place of the first ticket of f after t that t, just
// entered, keeps from being reached in time. Without this look, it would learn so
// only when its time has passed.
func (p *pool) pushedOut(now time.Time, f *flow, t Ticket, rate float64) (int, bool) {
	for i := f.place(t.StartBy); i < len(f.waiting); i++ {
		startBy := f.waiting[i].StartBy
		if now.Add(waitFor(p.ahead(f, startBy), rate)).After(startBy) {
			return i, true
		}
	}
	return 0, false
}

func (p *pool) expire(now time.Time, dst []Refusal) []Refusal {
	rate := p.drain.rate(now)
	trusted := now.Sub(p.drain.backlogSince) >= drainTrust && rate > 0
	for _, f := range p.flows {
		for len(f.waiting) > 0 && !f.waiting[0].StartBy.After(now) {
			dst = append(dst, p.refuse(now, f.removeAt(0), CauseTooLate, rate, 0))
			p.leave()
		}
		for i := len(f.waiting) - 1; trusted && i >= 0; i-- {
			t := f.waiting[i]
			wait := waitFor(p.ahead(f, t.StartBy), rate)
			if float64(wait) <= doubt*float64(t.StartBy.Sub(now)) {
				continue
			}
			dst = append(dst, p.refuse(now, f.removeAt(i), CauseTooLate, rate, wait))
			p.leave()
		}
	}
	return dst
}
