package counter

import (
	"time"

	"github.com/lovagelift/lovagelift/internal/permit"
)

// Under a load that lasts, a queue that everybody may join makes all answers late, and
// refuses as many callers in the end, each after it has waited for nothing. So a request
// that will not be served in time is refused at once, and told when to come back.

const (
	// grantSpan is over what time grants are counted: long enough for a few at the rate
	// of one instance, and short against what callers wait.
	grantSpan = time.Second
	// capacityShare is the part of what the engines of a model could run for this instance
	// that a forecast counts with at the least: other models share them.
	capacityShare = 0.5
)

// grant counts a request that got an upstream.
func (q *queue) grant(now time.Time, n *need) {
	if n.model == "" {
		return
	}
	key := n.modelKey()
	if q.granted[key] == nil {
		q.granted[key] = &window{}
	}
	q.granted[key].add(now)
}

// rate returns how many requests of a model got an upstream within the last second.
func (q *queue) rate(now time.Time, key modelKey) float64 {
	granted := q.granted[key]
	if granted == nil {
		return 0
	}
	return float64(granted.sum(now, grantSpan)) / grantSpan.Seconds()
}

// rejection is why a request is refused at once.
type rejection struct {
	reason permit.Reason
	// comeBack is when the caller may come back, and forecast how long it would have waited.
	comeBack time.Duration
	forecast time.Duration
	// survey is what the upstreams that hold the model lack.
	survey survey
}

// Error returns the reason. Refusals are counted by it.
func (r *rejection) Error() string {
	switch r.reason {
	case permit.Missing:
		return "no upstream: " + lackModel.String()
	case permit.Limits:
		return limitsReached
	default:
		return "too many requests wait"
	}
}

// reject decides whether a request that has just joined the queue is refused at once. It
// returns nil if it may wait. c.mu is held.
func (c *Counter) reject(now time.Time, w *waiter) *rejection {
	n := &w.need
	if rejected := c.rejectHeld(now, w); rejected != nil {
		return rejected
	}
	if forecast := c.forecast(now, w); forecast > n.bearable(now) && !c.queue.isFirstStarved(now, w) {
		// It could not be served in time: the caller learns that now, and when it may.
		return &rejection{reason: permit.Crowded, comeBack: n.comeBackAfter(now, forecast), forecast: forecast}
	}
	if n.model == "" || w.missing != lackModel {
		return nil
	}
	in, comes := c.fleet.arrival(now, n.service, n.model)
	if comes && in <= n.bearable(now) {
		return nil
	}
	return &rejection{reason: permit.Missing, comeBack: n.comeBack(now, in, comes)}
}

// turnAway takes a request that has just joined the queue out of it if it is refused at
// once, and says why. It returns nil if the request may wait. c.mu is held.
func (c *Counter) turnAway(now time.Time, w *waiter) *rejection {
	rejected := c.reject(now, w)
	if rejected == nil {
		c.wantFor(w)
		return nil
	}
	if rejected.reason == permit.Missing {
		// The caller comes back to the model: the leader must hear that it is wanted.
		c.wantFor(w)
	}
	rejected.survey = c.fleet.survey(now, w.need.wish())
	c.dequeue(w)
	return rejected
}

// forecast returns about how long a request waits that no upstream has room for
// now: as long as the one that goes next of its model has waited already, and as long as
// those before it take at the rate of late. That holds however many instances share the
// engines.
func (c *Counter) forecast(now time.Time, w *waiter) time.Duration {
	n := &w.need
	longest := time.Duration(0)
	if n.model == "" || w.missing != lackRoom {
		return longest
	}
	ahead := 0
	for _, other := range c.queue.waiters {
		if other != w && other.need.model == n.model && other.need.compare(now, n) <= 0 {
			longest = max(longest, now.Sub(other.need.began))
			ahead++
		}
	}
	rate := max(c.queue.rate(now, n.modelKey()), capacityShare*c.capacity(now, w))
	if rate > 0 {
		longest = max(longest, time.Duration(float64(ahead)/rate*float64(time.Second)))
	}
	return longest
}

// capacity returns how many requests a second the engines that hold what a request asks
// for could run for this instance, one among its equals. c.mu is held.
func (c *Counter) capacity(now time.Time, w *waiter) float64 {
	n := &w.need
	places := 0
	for _, u := range c.fleet.holders(n.service, n.model) {
		if c.fleet.alive(now, u) && u.holds(n.model, n.adapter) {
			places += u.slots
		}
	}
	return float64(places) / max(n.pace.run.Seconds(), dispatchEvery.Seconds()) / float64(max(w.sharers, 1))
}
