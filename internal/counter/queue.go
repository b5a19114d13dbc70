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
	requirements requirements
	requester    requester
	// placingInstances is the number of instances that place requests for the model.
	placingInstances int
	// missing is the resource that was missing when the request was last dispatched.
	missing missingResource
	// countedWaiting is true while the request is counted in the reported demand as waiting.
	countedWaiting bool
	// boosted puts the request before all others.
	boosted bool
}

// requester receives the grant: a localRequest or a peerRequest.
type requester interface {
	requester()
}

// localRequest is a caller's request at this instance.
type localRequest struct {
	grants chan grant
}

// peerRequest is a request at another instance, which asked this one to place it.
type peerRequest struct {
	address netip.AddrPort
	id      permit.ID
}

func (localRequest) requester() {}
func (peerRequest) requester()  {}

// grant is permission to send one request to an upstream. A grant to a peer's request is called a
// permit.
type grant struct {
	upstream *upstream
	// prefillAhead is the engine's prefill time for prompts that were sent before this one.
	prefillAhead time.Duration
	// owner is the instance that issued the grant under id. It is invalid if this instance did.
	owner netip.AddrPort
	id    permit.ID
}

// queue holds the waiting requests, unordered. It is not safe for concurrent use.
type queue struct {
	waiters []*waiter
	// timer triggers the next dispatch. It is set while requests are waiting.
	timer    *time.Timer
	timerSet bool
	// recentGrants counts the recent grants of each model.
	recentGrants map[modelKey]*slidingWindow
	// starvation tracks how long models and adapters have been requested without being served.
	// grantsSinceBoost counts the grants of each model since the last boosted one.
	starvation       *aging.Ages[target]
	grantsSinceBoost map[modelKey]int
	lastBoostCheck   time.Time
}

func newQueue() queue {
	return queue{
		recentGrants: map[modelKey]*slidingWindow{}, starvation: aging.New[target](starvationOptions), grantsSinceBoost: map[modelKey]int{},
	}
}

// modelKey identifies a model of a service.
type modelKey struct {
	service, model string
}

// dispatchInterval is the time between two dispatches of the queue. Engines regain capacity in
// small steps.
const dispatchInterval = 4 * time.Millisecond

// enqueue adds a request and dispatches the queue. c.mu is held.
func (c *Counter) enqueue(now time.Time, w *waiter) {
	c.queue.waiters = append(c.queue.waiters, w)
	if w.requirements.model != "" {
		c.queue.starvation.Asked(now, w.requirements.target)
	}
	c.updateWaiting(w, true)
	c.dispatch(now)
}

// dequeue removes a request from the queue. c.mu is held.
func (c *Counter) dequeue(w *waiter) {
	c.queue.waiters = slices.DeleteFunc(c.queue.waiters, func(other *waiter) bool { return other == w })
	c.updateWaiting(w, false)
}

// updateWaiting updates the demand when a local request starts or stops waiting for an engine. c.mu
// is held.
func (c *Counter) updateWaiting(w *waiter, waiting bool) {
	if _, local := w.requester.(localRequest); !local || w.countedWaiting == waiting {
		return
	}
	w.countedWaiting = waiting
	change := -1
	if waiting {
		change = 1
	}
	c.addWaiting(&w.requirements, change)
}

// addWaiting adds change to the number of requests that wait for the target of req. c.mu is held.
func (c *Counter) addWaiting(req *requirements, change int) {
	if req.model != "" {
		c.demand.addWaiting(req.target, change)
	}
}

// selectionKey identifies queries that have the same result within one dispatch.
type selectionKey struct {
	target
	pacing pacing
}

// dispatch grants upstreams to waiting requests in order of priority. c.mu is held.
//
// Boosted requests come first, then requests that can still meet their objective, the more urgent
// ones first. Late requests get the remaining capacity: their response is still of use to the
// caller, but must not delay the next request.
//
// A failed selection applies to all later requests with the same key: hundreds of requests may wait
// for a model whose load rises, and the engines are examined once for all of them.
func (c *Counter) dispatch(now time.Time) {
	waiters := c.queue.waiters
	c.queue.boostStarved(now)
	if len(waiters) > 1 {
		slices.SortStableFunc(waiters, func(a, b *waiter) int {
			if a.boosted != b.boosted {
				return compareBools(!a.boosted, !b.boosted)
			}
			return a.requirements.compare(now, &b.requirements)
		})
	}
	failed := map[selectionKey]missingResource{}
	remaining := waiters[:0]
	for _, w := range waiters {
		key := selectionKey{w.requirements.target, w.requirements.pacing}
		missing, known := failed[key]
		var chosen *upstream
		cacheable := len(w.requirements.tried) == 0 && !w.boosted
		if !known || !cacheable {
			query := w.requirements.query()
			query.boosted = w.boosted
			chosen, missing = c.pool.choose(now, query, rand.Float64())
		}
		w.missing = missing
		if chosen == nil {
			if cacheable {
				failed[key] = missing
			}
			remaining = append(remaining, w)
			continue
		}
		c.issueGrant(now, w, chosen)
	}
	clear(waiters[len(remaining):])
	c.queue.waiters = remaining
	c.setTimer()
}

// issueGrant grants chosen to a waiting request. c.mu is held.
func (c *Counter) issueGrant(now time.Time, w *waiter, chosen *upstream) {
	granted := grant{upstream: chosen, prefillAhead: chosen.backlog.remaining(now)}
	chosen.recordSend(now, w.requirements.prefillTime, w.requirements.pacing)
	c.notifyUse(now, chosen, &w.requirements)
	c.queue.recordGrant(now, &w.requirements)
	c.queue.recordBoost(w)
	c.updateWaiting(w, false)
	switch to := w.requester.(type) {
	case localRequest:
		to.grants <- granted
	case peerRequest:
		c.issuePermit(now, to, granted)
	}
}

// setTimer schedules the next dispatch if requests are waiting.
func (c *Counter) setTimer() {
	if len(c.queue.waiters) == 0 || c.queue.timerSet {
		return
	}
	c.queue.timerSet = true
	wake := func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.queue.timerSet = false
		c.dispatch(c.options.Now())
		c.requestMissingLoads()
	}
	if c.queue.timer == nil {
		c.queue.timer = time.AfterFunc(dispatchInterval, wake)
		return
	}
	c.queue.timer.Reset(dispatchInterval)
}

// requestMissingLoads requests the loads that waiting requests need. c.mu is held.
func (c *Counter) requestMissingLoads() {
	for _, w := range c.queue.waiters {
		c.requestLoad(w)
	}
}
