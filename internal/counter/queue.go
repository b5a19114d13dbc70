package counter

import (
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"github.com/lovagelift/lovagelift/internal/aging"
	"github.com/lovagelift/lovagelift/internal/permit"
)

// waiter is a request that waits for an upstream.
type waiter struct {
	need  need
	asker asker
	// sharers is how many instances place requests for the model.
	sharers int
	// missing is why there was no upstream at the last look.
	missing lack
	// counted says that it is told as waiting.
	counted bool
	// favoured says that it goes before all others.
	favoured bool
}

// asker is who is told of the upstream: ownRequest or otherInstance.
type asker interface {
	asker()
}

// ownRequest is a request that a caller has sent to this instance.
type ownRequest struct {
	granted chan place
}

// otherInstance is a request at another instance, which has asked this one.
type otherInstance struct {
	address netip.AddrPort
	id      permit.ID
}

func (ownRequest) asker()    {}
func (otherInstance) asker() {}

// place is an upstream that a request may be sent to.
type place struct {
	upstream *upstream
	// unread is how long the engine reads what it has before.
	unread time.Duration
	// owner is who has granted it under id. It is not valid if this instance has.
	owner netip.AddrPort
	id    permit.ID
}

// queue is the requests that wait, in no order. It is not safe for concurrent use.
type queue struct {
	waiters []*waiter
	// timer has the queue looked at while somebody waits.
	timer *time.Timer
	armed bool
	// granted is how many requests of each model got an upstream of late.
	granted map[modelKey]*window
	// ages says which models and adapters starve, and unfavoured how many requests of each
	// model got an upstream since one that was favoured.
	ages       *aging.Ages[demandKey]
	unfavoured map[modelKey]int
	favouredAt time.Time
}

func newQueue() queue {
	return queue{
		granted: map[modelKey]*window{}, ages: aging.New[demandKey](agingOptions), unfavoured: map[modelKey]int{},
	}
}

// modelKey names a model of a service.
type modelKey struct {
	service, model string
}

// dispatchEvery is the time between two looks at those that wait: engines have room
// again step by step.
const dispatchEvery = 4 * time.Millisecond

// enqueue adds a request, and looks at once. c.mu is held.
func (c *Counter) enqueue(now time.Time, w *waiter) {
	c.queue.waiters = append(c.queue.waiters, w)
	if w.need.model != "" {
		c.queue.ages.Asked(now, w.need.demandKey)
	}
	c.countWaiting(w, true)
	c.dispatch(now)
}

// dequeue takes a request out of the queue. c.mu is held.
func (c *Counter) dequeue(w *waiter) {
	c.queue.waiters = slices.DeleteFunc(c.queue.waiters, func(other *waiter) bool { return other == w })
	c.countWaiting(w, false)
}

// countWaiting notes whether a request of this instance waits for an engine.
func (c *Counter) countWaiting(w *waiter, waits bool) {
	if _, own := w.asker.(ownRequest); !own || w.counted == waits {
		return
	}
	w.counted = waits
	change := -1
	if waits {
		change = 1
	}
	c.countNeed(&w.need, change)
}

// countNeed notes that change more requests wait for an engine. c.mu is held.
func (c *Counter) countNeed(n *need, change int) {
	if n.model != "" {
		c.demand.wait(n.demandKey, change)
	}
}

// lookKey is what requests have in common that get the same answer at one look.
type lookKey struct {
	demandKey
	pace pace
}

// dispatch grants upstreams to those that wait, in their order. c.mu is held.
//
// Before all others comes a request now and then of what starves. Then come those whose answer can still be on time, the more urgent before the
// others. One that can't be on time any more is served with what they leave: it
// is still worth something to its caller, but must not make the next one late.
//
// A request for which there is no room leaves none for those after it that ask for the
// same: a model that rises has hundreds waiting, and engines are looked at once for all.
func (c *Counter) dispatch(now time.Time) {
	waiters := c.queue.waiters
	c.queue.favour(now)
	if len(waiters) > 1 {
		slices.SortStableFunc(waiters, func(a, b *waiter) int {
			if a.favoured != b.favoured {
				return boolCompare(!a.favoured, !b.favoured)
			}
			return a.need.compare(now, &b.need)
		})
	}
	found := map[lookKey]lack{}
	kept := waiters[:0]
	for _, w := range waiters {
		key := lookKey{w.need.demandKey, w.need.pace}
		missing, looked := found[key]
		var u *upstream
		shared := len(w.need.tried) == 0 && !w.favoured
		if !looked || !shared {
			wish := w.need.wish()
			wish.favoured = w.favoured
			u, missing = c.fleet.choose(now, wish, rand.Float64())
		}
		w.missing = missing
		if u == nil {
			if shared {
				found[key] = missing
			}
			kept = append(kept, w)
			continue
		}
		c.grant(now, w, u)
	}
	clear(waiters[len(kept):])
	c.queue.waiters = kept
	c.arm()
}

// grant gives u to a request that waits. c.mu is held.
func (c *Counter) grant(now time.Time, w *waiter, u *upstream) {
	granted := place{upstream: u, unread: u.unread.left(now)}
	u.sent(now, w.need.reading, w.need.pace)
	c.tellUse(now, u, &w.need)
	c.queue.grant(now, &w.need)
	c.queue.countFavour(w)
	c.countWaiting(w, false)
	switch to := w.asker.(type) {
	case ownRequest:
		to.granted <- granted
	case otherInstance:
		c.issue(now, to, granted)
	}
}

// arm has the queue looked at again, if somebody waits.
func (c *Counter) arm() {
	if len(c.queue.waiters) == 0 || c.queue.armed {
		return
	}
	c.queue.armed = true
	wake := func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.queue.armed = false
		c.dispatch(c.options.Now())
		c.wantMissing()
	}
	if c.queue.timer == nil {
		c.queue.timer = time.AfterFunc(dispatchEvery, wake)
		return
	}
	c.queue.timer.Reset(dispatchEvery)
}

// wantMissing has the leader load what requests that wait lack. c.mu is held.
func (c *Counter) wantMissing() {
	for _, w := range c.queue.waiters {
		c.wantFor(w)
	}
}
