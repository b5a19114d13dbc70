package admission

import (
	"slices"
	"time"
)

// flow holds the waiting tickets of one service in one pool.
type flow struct {
	service *service
	level   int
	weight  float64
	// waiting is ordered by StartBy, the earliest first.
	waiting []Ticket
}

// service is the fair-share account of one service at one priority, over all
// pools.
type service struct {
	// served is the virtual time up to which the service has been served. It
	// only grows.
	served float64
}

func (f *flow) place(startBy time.Time) int {
	place, _ := slices.BinarySearchFunc(f.waiting, startBy, func(t Ticket, by time.Time) int {
		if t.StartBy.After(by) {
			return 1
		}
		return -1
	})
	return place
}

func (f *flow) insert(t Ticket) {
	f.waiting = slices.Insert(f.waiting, f.place(t.StartBy), t)
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
	drain drain
	// returnAt is the latest time at which a refused caller was told to come back.
	returnAt time.Time
}

// ahead returns how many waiting tickets go before one of f with startBy: all of
// higher priority, the earlier ones of f, and of each flow of the same priority
// its fair share.
func (p *pool) ahead(f *flow, startBy time.Time) int {
	own := f.place(startBy)
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
