// Package admission implements admission control: adaptive concurrency limits,
// bounded queues, early refusal and fairness between services.
//
// The package only makes decisions: it takes the current time as an argument, does no
// I/O and starts no goroutine.
package admission

import (
	"math"
	"time"
)

const (
	defaultMaxWaiting = 256
	maxRetryAfter     = 30 * time.Second
	// maxSkips is the number of takes that may pass over a waiting lower priority
	// before one goes to it.
	maxSkips = 16
	// expiryFactor is the ratio of the predicted wait of a queued ticket to the time
	// left until its StartBy above which it is refused early. The drain rate is an
	// estimate; without a margin its noise would refuse tickets that start in time.
	expiryFactor = 2.0
)

// Options are the settings of a Queue. The zero value is useful.
type Options struct {
	// MaxWaiting is the maximum number of tickets that wait in one pool, 256 if 0.
	MaxWaiting int
}

// Queue holds the requests that wait for an upstream, in one bounded queue for each pool.
// Requests are ordered by priority, then by weighted fair share between services, then
// by StartBy.
//
// Its memory grows with the number of pools and services offered to it, times MaxWaiting.
// The caller must take their names from the configuration in force.
//
// A Queue is not safe for concurrent use.
type Queue struct {
	options  Options
	pools    map[string]*pool
	services [Priorities]map[string]*serviceAccount
	// size is the number of tickets in pools.
	size int
	// virtualTime is the virtual time of each priority. A service that had no waiting
	// tickets restarts at that time if its own is lower.
	virtualTime [Priorities]float64
	// skips counts the takes that passed over a waiting lower priority since the last
	// take that went to one.
	skips int
}

// NewQueue returns an empty Queue.
func NewQueue(options Options) *Queue {
	if options.MaxWaiting <= 0 {
		options.MaxWaiting = defaultMaxWaiting
	}
	q := &Queue{options: options, pools: map[string]*pool{}}
	for i := range q.services {
		q.services[i] = map[string]*serviceAccount{}
	}
	return q
}

// Size returns the number of waiting tickets.
func (q *Queue) Size() int {
	return q.size
}

// Ahead returns the number of waiting tickets of pool that have the given priority or a
// higher one. If it is not 0, a request of that priority must be offered to the queue even
// if an upstream has room, or it would overtake them.
func (q *Queue) Ahead(pool string, priority uint8) int {
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

// Offer queues t, or refuses it at once if it could not start by its StartBy, or if the
// queue is full and t would go last. capacity is the number of requests a second that the
// upstreams of the pool can start, 0 if unknown.
//
// In a full queue, t displaces the ticket that would go last. Otherwise it displaces the
// first ticket of its service that is behind it and can no longer start in time, if there
// is one.
func (q *Queue) Offer(now time.Time, t Ticket, capacity float64) OfferResult {
	p := q.pool(t.Pool)
	f := q.flow(p, t)
	if capacity > 0 {
		p.drain.capacity = capacity
	}
	rate := p.drain.rate(now)
	wait := waitTime(p.ahead(f, t.StartBy)+1, rate)
	if now.Add(wait).After(t.StartBy) {
		return OfferResult{Refused: p.refuse(now, t, CauseTooLate, rate, wait)}
	}
	var displaced Refusal
	if p.size >= q.options.MaxWaiting {
		victim := p.flowToDisplace(f)
		if victim == nil {
			return OfferResult{Refused: p.refuse(now, t, CauseFull, rate, wait)}
		}
		displaced = p.refuse(now, victim.removeAt(len(victim.waiting)-1), CauseFull, rate, wait)
		q.noteRemoved(p)
	}
	q.enqueue(now, p, f, t)
	if i, ok := p.firstLate(now, f, t, rate); ok && displaced.Cause == 0 {
		displaced = p.refuse(now, f.removeAt(i), CauseTooLate, rate, 0)
		q.noteRemoved(p)
	}
	return OfferResult{Queued: true, Displaced: displaced}
}

// Take removes and returns the next ticket for an upstream that serves pools. Its
// priority is lowest or a higher one. If none waits, Take returns false. Call Expire
// first, so that Take returns no ticket that can't start in time.
//
// Priorities are strict, except that after maxSkips takes that passed over a lower
// priority, one goes to the waiting ticket of lower priority with the earliest StartBy.
// Otherwise a steady stream of urgent requests would starve all others. Priorities do not
// age: tickets get old under overload, and ageing would then put those that are almost too
// late before the urgent ones.
func (q *Queue) Take(now time.Time, lowest uint8, pools []string) (Ticket, bool) {
	if q.size == 0 {
		return Ticket{}, false
	}
	c := candidates{lowest: Ticket{Priority: lowest}.level()}
	for _, name := range pools {
		if p := q.pools[name]; p != nil {
			c.consider(p)
		}
	}
	if c.best == nil {
		return Ticket{}, false
	}
	for _, name := range pools {
		if p := q.pools[name]; p != nil {
			c.considerLower(p)
		}
	}
	switch {
	case c.lower == nil:
		return q.take(now, c.bestPool, c.best), true
	case q.skips >= maxSkips:
		q.skips = 0
		return q.take(now, c.lowerPool, c.lower), true
	default:
		q.skips++
		return q.take(now, c.bestPool, c.best), true
	}
}

func (q *Queue) take(now time.Time, p *pool, f *flow) Ticket {
	t := f.removeAt(0)
	q.noteRemoved(p)
	p.drain.add(now)
	q.virtualTime[f.level] = max(q.virtualTime[f.level], f.account.virtualTime)
	f.account.virtualTime += t.cost()
	return t
}

// Requeue queues a ticket again that Take has just returned, because its request could not
// be sent. Its service gets the cost of the ticket back.
func (q *Queue) Requeue(now time.Time, t Ticket) {
	p := q.pool(t.Pool)
	f := q.flow(p, t)
	f.account.virtualTime -= t.cost()
	q.enqueue(now, p, f, t)
}

// Cancel removes the ticket with id from pool, because its caller has disconnected, and
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
				q.noteRemoved(p)
				return true
			}
		}
	}
	return false
}

// Expire removes the tickets that can no longer start by their StartBy, and appends their
// refusals to dst. These are the tickets whose StartBy has passed, and those whose
// predicted wait exceeds the time that is left by expiryFactor.
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

// NextExpiry returns the earliest StartBy of all waiting tickets, at which the caller
// should call Expire. If nothing waits, NextExpiry returns false.
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
		account = &serviceAccount{}
		q.services[level][t.Service] = account
	}
	for _, f := range p.flows {
		if f.account == account {
			return f
		}
	}
	weight := t.Weight
	if weight <= 0 {
		weight = 1
	}
	f := &flow{account: account, level: level, weight: weight}
	p.flows = append(p.flows, f)
	return f
}

func (q *Queue) enqueue(now time.Time, p *pool, f *flow, t Ticket) {
	if p.size == 0 {
		p.drain.backlogSince = now
	}
	if len(f.waiting) == 0 {
		// An idle service gains no credit. Otherwise its next burst would delay the
		// others for as long as it was idle.
		f.account.virtualTime = max(f.account.virtualTime, q.virtualTime[f.level])
	}
	f.insert(t)
	p.size++
	q.size++
}

func (q *Queue) noteRemoved(p *pool) {
	p.noteRemoved()
	q.size--
}

// waitTime returns the time in which the given number of tickets start at a rate in
// tickets per second: at most maxRetryAfter, and 0 if the rate is unknown.
func waitTime(tickets int, rate float64) time.Duration {
	if rate <= 0 {
		return 0
	}
	return time.Duration(math.Min(float64(tickets)/rate, maxRetryAfter.Seconds()) * float64(time.Second))
}
