// Package admission implements admission control: adaptive concurrency limits,
// bounded queues, early refusal and fairness between services.
//
// It decides only. It takes the present time as an argument, does no I/O and
// starts no goroutine.
package admission

import (
	"math"
	"time"
)

const (
	defaultMaxWaiting = 256
	longestRetryAfter = 30 * time.Second
	// floorEvery is how many takes may pass over a waiting lower priority before
	// one goes to it.
	floorEvery = 16
	// doubt is how far the predicted wait of a queued ticket must exceed its
	// patience before it is refused ahead of its StartBy. The drain is an
	// estimate; without a margin its noise would refuse tickets that make it.
	doubt = 2.0
)

// Options are the settings of a Queue. The zero value is useful.
type Options struct {
	// MaxWaiting is the most tickets that wait in one pool, 256 if 0.
	MaxWaiting int
}

// Queue holds the requests that wait for an upstream, in one bounded queue for
// each pool: by priority, then by weighted fair share between services, then by
// the earliest StartBy.
//
// Its memory is bounded by the pools and services offered to it, which the
// caller takes from the configuration in force, times MaxWaiting.
//
// A Queue is not safe for concurrent use.
type Queue struct {
	options  Options
	pools    map[string]*pool
	services [Priorities]map[string]*service
	// size is the number of tickets in pools.
	size int
	// served is the virtual time of each priority, up to which a service that
	// had nothing waiting is brought when it comes back.
	served [Priorities]float64
	// passed counts the takes over the head of a waiting lower priority since the
	// last one that went to a lower priority.
	passed int
}

// New returns an empty Queue.
func New(options Options) *Queue {
	if options.MaxWaiting <= 0 {
		options.MaxWaiting = defaultMaxWaiting
	}
	q := &Queue{options: options, pools: map[string]*pool{}}
	for i := range q.services {
		q.services[i] = map[string]*service{}
	}
	return q
}

// Size returns the number of waiting tickets.
func (q *Queue) Size() int {
	return q.size
}

// Waiting returns the number of tickets of pool that a request of priority has
// to let pass. If it is not 0, the request must be offered to the queue even if
// an upstream has room, or it would overtake them.
func (q *Queue) Waiting(pool string, priority uint8) int {
	p := q.pools[pool]
	if p == nil || p.size == 0 {
		return 0
	}
	level := Ticket{Priority: priority}.level()
	total := 0
	for _, f := range p.flows {
		if f.level <= level {
			total += len(f.waiting)
		}
	}
	return total
}

// Offer queues t, or refuses it at once if it could not start by its StartBy.
// capacity is how many requests a second the upstreams of the pool can start, 0
// if not known. If the queue is full, the ticket that would go last gives way; if
// t goes before others of its service, the first of them that can't make it now.
func (q *Queue) Offer(now time.Time, t Ticket, capacity float64) Verdict {
	p := q.pool(t.Pool)
	f := q.flow(p, t)
	if capacity > 0 {
		p.drain.capacity = capacity
	}
	rate := p.drain.rate(now)
	wait := waitFor(p.ahead(f, t.StartBy)+1, rate)
	if now.Add(wait).After(t.StartBy) {
		return Verdict{Refused: p.refuse(now, t, CauseTooLate, rate, wait)}
	}
	var displaced Refusal
	if p.size >= q.options.MaxWaiting {
		last := p.last(f)
		if last == nil {
			return Verdict{Refused: p.refuse(now, t, CauseFull, rate, wait)}
		}
		displaced = p.refuse(now, last.removeAt(len(last.waiting)-1), CauseFull, rate, wait)
		q.leave(p)
	}
	q.enter(now, p, f, t)
	if i, ok := p.pushedOut(now, f, t, rate); ok && displaced.Cause == 0 {
		displaced = p.refuse(now, f.removeAt(i), CauseTooLate, rate, 0)
		q.leave(p)
	}
	return Verdict{Queued: true, Displaced: displaced}
}

// Take removes and returns the ticket that goes next to an upstream which serves
// pools, of the priority lowest or a higher one. If none waits, Take returns
// false. Call Expire first, so that no ticket is taken that can't make it.
//
// Priorities are strict but for a floor: after floorEvery takes over the head of
// a lower priority, one goes to the lower that must start first. Without the
// floor a steady stream of urgent requests would refuse every other request for
// as long as it lasts. Priorities do not age: a ticket gets old under overload,
// and ageing would then lift just those that are almost too late over the urgent
// ones.
func (q *Queue) Take(now time.Time, lowest uint8, pools []string) (Ticket, bool) {
	if q.size == 0 {
		return Ticket{}, false
	}
	h := heads{lowest: Ticket{Priority: lowest}.level()}
	for _, name := range pools {
		if p := q.pools[name]; p != nil {
			h.consider(p)
		}
	}
	if h.best == nil {
		return Ticket{}, false
	}
	for _, name := range pools {
		if p := q.pools[name]; p != nil {
			h.considerLower(p)
		}
	}
	switch {
	case h.lower == nil:
		return q.take(now, h.bestPool, h.best), true
	case q.passed >= floorEvery:
		q.passed = 0
		return q.take(now, h.lowerPool, h.lower), true
	default:
		q.passed++
		return q.take(now, h.bestPool, h.best), true
	}
}

func (q *Queue) take(now time.Time, p *pool, f *flow) Ticket {
	t := f.removeAt(0)
	q.leave(p)
	p.drain.took(now)
	q.served[f.level] = max(q.served[f.level], f.service.served)
	f.service.served += t.charge()
	return t
}

// Return queues a ticket again that Take has just given out, because its request
// could not be sent. It is not charged to its service twice.
func (q *Queue) Return(now time.Time, t Ticket) {
	p := q.pool(t.Pool)
	f := q.flow(p, t)
	f.service.served -= t.charge()
	q.enter(now, p, f, t)
}

// Cancel removes the ticket with id from pool, because its caller has gone, and
// reports whether it was still waiting.
func (q *Queue) Cancel(pool string, id uint64) bool {
	p := q.pools[pool]
	if p == nil {
		return false
	}
	for _, f := range p.flows {
		for i := range f.waiting {
			if f.waiting[i].ID == id {
				f.removeAt(i)
				q.leave(p)
				return true
			}
		}
	}
	return false
}

// Expire removes the tickets that can't start by their StartBy any more, and
// appends their refusals to dst. Besides those whose StartBy has passed, these
// are the ones that the drain of their pool will not reach in time by far.
func (q *Queue) Expire(now time.Time, dst []Refusal) []Refusal {
	for _, p := range q.pools {
		if p.size > 0 {
			before := len(dst)
			dst = p.expire(now, dst)
			q.size -= len(dst) - before
		}
	}
	return dst
}

// NextExpiry returns the earliest StartBy of all waiting tickets, at which
// Expire is to be called. If nothing waits, NextExpiry returns false.
func (q *Queue) NextExpiry() (time.Time, bool) {
	var next time.Time
	for _, p := range q.pools {
		for _, f := range p.flows {
			if len(f.waiting) == 0 {
				continue
			}
			if first := f.waiting[0].StartBy; next.IsZero() || first.Before(next) {
				next = first
			}
		}
	}
	return next, !next.IsZero()
}

func (q *Queue) pool(name string) *pool {
	p := q.pools[name]
	if p == nil {
		p = &pool{}
		q.pools[name] = p
	}
	return p
}

func (q *Queue) flow(p *pool, t Ticket) *flow {
	level := t.level()
	account := q.services[level][t.Service]
	if account == nil {
		account = &service{}
		q.services[level][t.Service] = account
	}
	for _, f := range p.flows {
		if f.service == account {
			return f
		}
	}
	weight := t.Weight
	if weight <= 0 {
		weight = 1
	}
	f := &flow{service: account, level: level, weight: weight}
	p.flows = append(p.flows, f)
	return f
}

func (q *Queue) enter(now time.Time, p *pool, f *flow, t Ticket) {
	if p.size == 0 {
		p.drain.backlogSince = now
	}
	if len(f.waiting) == 0 {
		// A service that was quiet gets no credit for it. Otherwise its burst
		// would hold up the others for as long as it had been quiet.
		f.service.served = max(f.service.served, q.served[f.level])
	}
	f.insert(t)
	p.size++
	q.size++
}

func (q *Queue) leave(p *pool) {
	p.leave()
	q.size--
}

func waitFor(tickets int, rate float64) time.Duration {
	if rate <= 0 {
		return 0
	}
	return time.Duration(math.Min(float64(tickets)/rate, longestRetryAfter.Seconds()) * float64(time.Second))
}
