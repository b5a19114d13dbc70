package admission

import (
	"slices"
	"time"
)

// flow holds the waiting tickets of one service in one pool.
type flow struct {
	account *serviceAccount
	level   int
	weight  float64
	// waiting is ordered by StartBy, the earliest first.
	waiting []Ticket
}

// serviceAccount is the fair-share account of one service at one priority, over all
// pools.
type serviceAccount struct {
	// virtualTime grows by the cost of each taken ticket. Of the services of a
	// priority, the one with the lowest virtual time is served next.
	virtualTime float64
}

// position returns the index in waiting at which a ticket with startBy belongs, after
// those with the same time.
func (f *flow) position(startBy time.Time) int {
	position, _ := slices.BinarySearchFunc(f.waiting, startBy, func(t Ticket, by time.Time) int {
		if t.StartBy.After(by) {
			return 1
		}
		return -1
	})
	return position
}

func (f *flow) insert(t Ticket) {
	f.waiting = slices.Insert(f.waiting, f.position(t.StartBy), t)
}

func (f *flow) removeAt(i int) Ticket {
	t := f.waiting[i]
	f.waiting = slices.Delete(f.waiting, i, i+1)
	return t
}

// pool holds the flows that wait for one group of upstreams.
type pool struct {
	flows []*flow
	// size is the number of tickets in flows.
	size  int
	drain drainEstimator
	// retryAt is the latest retry time that a refused caller got.
	retryAt time.Time
}

// ahead returns the number of waiting tickets that go before one of f with startBy: all
// those of higher priority, the earlier ones of f, and the fair share of each other flow
// of the same priority.
func (p *pool) ahead(f *flow, startBy time.Time) int {
	own := f.position(startBy)
	total := own
	for _, other := range p.flows {
		switch {
		case other == f || other.level > f.level:
			continue
		case other.level < f.level:
			total += len(other.waiting)
		default:
			share := int(float64(own+1) * other.weight / f.weight)
			total += min(len(other.waiting), share)
		}
	}
	return total
}
