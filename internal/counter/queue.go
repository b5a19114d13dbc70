package counter

import (
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"github.com/lovagelift/lovagelift/internal/aging"
	"github.com/lovagelift/lovagelift/internal/courier"
	"github.com/lovagelift/lovagelift/internal/deferral"
	"github.com/lovagelift/lovagelift/internal/permit"
	"github.com/lovagelift/lovagelift/internal/reservation"
	"github.com/lovagelift/lovagelift/internal/resumption"
)

// waiter is a request that waits for an upstream.
type waiter struct {
	requirements requirements
	requester    requester
	// placingInstances is the number of instances that place requests for the model.
	placingInstances int
	// missing is the resource that was missing when the request was last dispatched.
	missing missingResource
	// unheld is true if no engine of the software version to which the request is bound held its model then,
	// while engines of other versions were there.
	unheld bool
	// countedWaiting is true while the request is counted in the reported demand as waiting.
	countedWaiting bool
	// boosted puts the request before all others.
	boosted bool
	// arrival is what the caller was told before.
	arrival reservation.Arrival
	// deferred is the state of a batch request.
	deferred deferredWait
	// share orders the request among those of other workspaces.
	share waiterShare
}

// requester receives the grant: a localRequest or a peerRequest.
type requester interface {
	requester()
}

// localRequest is a caller's request at this instance.
type localRequest struct {
	grants chan grant
	// rejections receives the reason if the request is rejected while it waits.
	rejections chan *rejection
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
	// inFlight is the number of requests of this instance at the upstream when the grant was issued,
	// this one included. It is 0 if another instance issued it.
	inFlight int
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
	starvation       *aging.Tracker[target]
	grantsSinceBoost map[modelKey]int
	lastBoostCheck   time.Time
	// reservations are those of the models that this instance owns.
	reservations map[modelKey]*reservation.Schedule
	// deferredThroughput is that of the batch requests of each model that an engine holds.
	deferredThroughput map[modelKey]*deferral.Throughput
	shares             shares
}

func newQueue() queue {
	return queue{
		recentGrants: map[modelKey]*slidingWindow{}, starvation: aging.New[target](starvationOptions), grantsSinceBoost: map[modelKey]int{},
		reservations:       map[modelKey]*reservation.Schedule{},
		deferredThroughput: map[modelKey]*deferral.Throughput{},
		shares:             newShares(),
	}
}

// modelKey identifies a model of a service.
type modelKey struct {
	service, model string
}

// dispatchInterval is the time between two dispatches of the queue. Engines regain capacity in
// small steps.
const dispatchInterval = 4 * time.Millisecond

// enqueue adds a request and dispatches the queue. p.mu is held.
func (p *Proxy) enqueue(now time.Time, w *waiter) {
	p.useReservation(now, w)
	p.queue.waiters = append(p.queue.waiters, w)
	if w.requirements.model != "" {
		p.queue.starvation.Requested(now, w.requirements.target)
	}
	p.updateWaiting(w, true)
	if w.requirements.group != "" {
		w.missing = p.dispatchGroup(now, &w.requirements)
		return
	}
	p.dispatch(now)
}

// dequeue removes a request from the queue. p.mu is held.
func (p *Proxy) dequeue(w *waiter) {
	p.queue.waiters = slices.DeleteFunc(p.queue.waiters, func(other *waiter) bool { return other == w })
	p.updateWaiting(w, false)
}

// countOthers returns the number of waiting requests beside w that match.
func (q *queue) countOthers(w *waiter, matches func(other *waiter) bool) int {
	count := 0
	for _, other := range q.waiters {
		if other != w && matches(other) {
			count++
		}
	}
	return count
}

// updateWaiting updates the demand when a local request starts or stops waiting for an engine. p.mu
// is held.
func (p *Proxy) updateWaiting(w *waiter, waiting bool) {
	if _, local := w.requester.(localRequest); !local || w.countedWaiting == waiting {
		return
	}
	w.countedWaiting = waiting
	change := -1
	if waiting {
		change = 1
	}
	p.addWaiting(&w.requirements, change)
}

// addWaiting adds change to the number of requests that wait for the target of req. p.mu is held.
func (p *Proxy) addWaiting(req *requirements, change int) {
	if req.model != "" {
		p.demand.addWaiting(req.target, req.software, change)
	}
}

// takeDemand returns the demand since the last call. p.mu is held.
func (p *Proxy) takeDemand(now time.Time) []courier.Demand {
	return p.demand.flush(p.takeRunTimes(now), func(t boundTarget) bool {
		return p.pool.lacksHolderOf(now, upstreamQuery{service: t.service, model: t.model, software: resumption.BoundTo(t.version)})
	})
}

// selectionKey identifies queries that have the same result within one dispatch. It has 128 bytes: a
// map allocates each larger key. The small fields are together, because apart they would be padded.
type selectionKey struct {
	target
	pacing   pacing
	software resumption.Constraint
	speed    speedClass
	// alone distinguishes requests to plain services that this instance places by its share.
	alone bool
	// headroom has few values, so that few selections are made for the batch requests of a target.
	headroom deferral.Headroom
	// sender is set if any upstream pushes back to it.
	sender netip.AddrPort
}

// dispatch grants upstreams to waiting requests in order of priority. p.mu is held.
//
// Boosted requests come first, then requests that can still meet their objective, the more urgent
// ones first. Late requests get the remaining capacity: their response is still of use to the
// caller, but must not delay the next request.
//
// A failed selection applies to all later requests with the same key: hundreds of requests may wait
// for a model whose load rises, and the engines are examined once for all of them.
func (p *Proxy) dispatch(now time.Time) {
	waiters := p.queue.waiters
	p.queue.boostStarved(now)
	if len(waiters) > 1 {
		slices.SortStableFunc(waiters, func(a, b *waiter) int {
			if a.boosted != b.boosted {
				return compareBools(!a.boosted, !b.boosted)
			}
			return a.requirements.compare(now, &b.requirements)
		})
	}
	p.orderByShare(now)
	failed := map[selectionKey]missingResource{}
	remaining := waiters[:0]
	for _, w := range waiters {
		key := p.selectionKey(now, w)
		missing, known := failed[key]
		var chosen *upstream
		cacheable := len(w.requirements.tried) == 0 && !w.boosted
		if !known || !cacheable {
			if w.requirements.group != "" {
				chosen, missing, cacheable = p.choosePlain(now, w)
			} else {
				query := w.requirements.query()
				query.boosted, query.headroom = w.boosted, key.headroom
				chosen, missing = p.pool.choose(now, query, rand.Float64())
			}
		}
		p.setMissing(now, w, missing)
		if chosen == nil {
			if cacheable {
				failed[key] = missing
			}
			p.recordDeferred(now, w)
			remaining = append(remaining, w)
			continue
		}
		p.issueGrant(now, w, chosen)
	}
	clear(waiters[len(remaining):])
	p.queue.waiters = remaining
	p.setTimer()
}

func (p *Proxy) selectionKey(now time.Time, w *waiter) selectionKey {
	req := &w.requirements
	key := selectionKey{
		target: req.target, pacing: req.pacing, software: req.software, headroom: req.headroom(now), speed: req.speedClass(now),
	}
	if req.group != "" {
		// Requests to plain services name no adapter, and the key has no room for another name.
		key.adapter, key.alone = req.group, w.placedAlone()
	}
	if p.pool.anyPushesBack(now, req.sender) {
		key.sender = req.sender
	}
	return key
}

// issueGrant grants chosen to a waiting request. p.mu is held.
func (p *Proxy) issueGrant(now time.Time, w *waiter, chosen *upstream) {
	granted := grant{upstream: chosen, prefillAhead: chosen.backlog.remaining(now), inFlight: chosen.active + 1}
	prefillTime, pacing := w.requirements.costAt(now, chosen)
	chosen.recordSend(now, prefillTime, pacing)
	p.notifyUse(now, chosen, &w.requirements)
	p.chargeShare(now, w, chosen)
	p.queue.recordGrant(now, &w.requirements)
	p.queue.recordBoost(w)
	p.recordReservationUse(now, w)
	p.recordDeferredGrant(now, w)
	p.updateWaiting(w, false)
	switch to := w.requester.(type) {
	case localRequest:
		to.grants <- granted
	case peerRequest:
		p.issuePermit(now, to, granted)
	}
}

// setTimer schedules the next dispatch if requests are waiting.
func (p *Proxy) setTimer() {
	if len(p.queue.waiters) == 0 || p.queue.timerSet {
		return
	}
	p.queue.timerSet = true
	wake := func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.queue.timerSet = false
		now := p.options.Now()
		p.dispatch(now)
		p.endHopelessWaits(now)
		p.requestMissingLoads()
	}
	if p.queue.timer == nil {
		p.queue.timer = time.AfterFunc(dispatchInterval, wake)
		return
	}
	p.queue.timer.Reset(dispatchInterval)
}

// requestMissingLoads requests the loads that waiting requests need. p.mu is held.
func (p *Proxy) requestMissingLoads() {
	for _, w := range p.queue.waiters {
		p.requestLoad(w)
	}
}
