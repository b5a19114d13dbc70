package counter

import (
	"time"

	"github.com/lovagelift/lovagelift/internal/permit"
)

// Under sustained overload, an unlimited queue makes all responses late and still refuses as many
// callers, each after a useless wait. So a request that will not be served in time is refused
// immediately, with a Retry-After time.

const (
	// grantRateWindow is the window of the grant rate: long enough for several grants of one
	// instance, and short compared with the callers' timeouts.
	grantRateWindow = time.Second
	// minCapacityShare is the minimum share of the engines' capacity for a model that a forecast
	// assumes: the engines also serve other models.
	minCapacityShare = 0.5
)

// recordGrant counts a request that was granted an upstream.
func (q *queue) recordGrant(now time.Time, req *requirements) {
	if req.ownedName() == "" {
		return
	}
	key := req.modelKey()
	if q.recentGrants[key] == nil {
		q.recentGrants[key] = &slidingWindow{}
	}
	q.recentGrants[key].add(now)
}

// grantRate returns the grants per second of a model within the last window.
func (q *queue) grantRate(now time.Time, key modelKey) float64 {
	window := q.recentGrants[key]
	if window == nil {
		return 0
	}
	return float64(window.sum(now, grantRateWindow)) / grantRateWindow.Seconds()
}

// rejection is the reason why a request is rejected instead of being queued.
type rejection struct {
	reason permit.Reason
	// retryAfter is when the caller should retry. forecastWait is how long the request would have
	// waited.
	retryAfter   time.Duration
	forecastWait time.Duration
	// relativeUse is the use of the request's workspace over its weight, relative to the mean of the
	// workspaces, 0 if it is not known.
	relativeUse float64
	// survey counts the states of the upstreams that have loaded the model.
	survey survey
	// reserved is true if retryAfter is when a reservation of the caller begins.
	reserved bool
}

// Error returns the reason.
func (r *rejection) Error() string {
	return (&requirements{}).rejectionText(r.reason)
}

// rejectionText returns the text sent to the caller of a rejected request, which is also the metric tag of the
// refusal.
func (req *requirements) rejectionText(reason permit.Reason) string {
	switch reason {
	case permit.ModelUnavailable:
		return req.noUpstreamText(missingModel)
	case permit.LimitsExhausted:
		return limitsReached
	case permit.UpstreamsPushBack:
		return "upstreams push back"
	case permit.VersionUnavailable:
		return req.noUpstreamText(missingVersion)
	default:
		return "too many requests wait"
	}
}

// rejectionFor decides whether a request that was just enqueued is rejected. It returns nil if the
// request may wait. p.mu is held.
func (p *Proxy) rejectionFor(now time.Time, w *waiter) *rejection {
	req := &w.requirements
	if rejected := p.rejectByVersion(now, w, nil); rejected != nil || w.lacksHolder() {
		return rejected
	}
	if rejected := p.rejectHeldBack(now, w); rejected != nil {
		return rejected
	}
	if req.isDeferrable() {
		return p.rejectDeferred(now, w)
	}
	if forecast := p.forecastWait(now, w); forecast > p.maxForecast(now, w) && !p.queue.isOnlyStarved(now, w) && !p.acceptsAnySpeed(now, w) {
		return &rejection{reason: permit.WaitTooLong, retryAfter: req.retryAfterWait(now, forecast), forecastWait: forecast}
	}
	if req.model == "" || w.missing != missingModel {
		return nil
	}
	loadTime, loading := p.pool.loadTime(now, req.query())
	if loading && loadTime <= req.maxForecast(now) {
		return nil
	}
	return &rejection{reason: permit.ModelUnavailable, retryAfter: req.retryAfterLoad(now, loadTime, loading)}
}

// rejectOrWait removes a request that was just enqueued from the queue if it is rejected, and
// returns the reason. It returns nil if the request may wait. p.mu is held.
func (p *Proxy) rejectOrWait(now time.Time, w *waiter) *rejection {
	rejected := p.rejectionFor(now, w)
	if rejected == nil {
		p.requestLoad(w)
		return nil
	}
	if rejected.reason == permit.ModelUnavailable {
		// The caller will retry, so the leader must learn that the model is wanted.
		p.requestLoad(w)
	}
	p.reject(now, w, rejected)
	return rejected
}

// reject removes a rejected request from the queue and completes the rejection. p.mu is held.
func (p *Proxy) reject(now time.Time, w *waiter, rejected *rejection) {
	p.reserve(now, w, rejected)
	rejected.survey = p.pool.survey(now, w.requirements.query())
	p.recordShareRejection(now, w, rejected)
	p.dequeue(w)
}

// forecastWait returns the expected wait of a request for which no upstream has capacity: the
// longest time that a request before it has been waiting, or the time to serve those before it at
// the recent grant rate, whichever is longer. This holds for any number of instances that share the
// engines.
func (p *Proxy) forecastWait(now time.Time, w *waiter) time.Duration {
	req := &w.requirements
	wait := time.Duration(0)
	if req.group != "" {
		return p.forecastPlainWait(now, w)
	}
	if req.model == "" || w.missing != missingCapacity {
		return wait
	}
	ahead, ownAhead := 0, 0
	for _, other := range p.queue.waiters {
		if other == w || other.requirements.model != req.model || other.lacksHolder() || !other.goesBefore(now, w) {
			continue
		}
		ahead++
		if other.waitsLike(w) {
			wait = max(wait, now.Sub(other.requirements.arrived))
			ownAhead++
		}
	}
	rate := max(p.queue.grantRate(now, req.modelKey()), minCapacityShare*p.capacity(now, w))
	if rate > 0 {
		ahead += p.reservedAhead(now, w, ahead, rate)
		wait = max(wait, time.Duration(float64(ahead)/rate*float64(time.Second)))
		wait = max(wait, p.forecastShareWait(now, w, ownAhead, rate))
	}
	return wait
}

// capacity returns how many requests per second the engines that have loaded the requested model
// and adapter could run for this instance, assuming an equal share for each placing instance. p.mu
// is held.
func (p *Proxy) capacity(now time.Time, w *waiter) float64 {
	req := &w.requirements
	slots := 0.0
	for u := range p.pool.eligible(now, req.query()) {
		if u.canRun(req.model, req.adapter) && !u.pushesBack(now, req.sender) {
			slots += u.capacityFor(now, req)
		}
	}
	return slots / max(req.pacing.serviceTime.Seconds(), dispatchInterval.Seconds()) / float64(max(w.placingInstances, 1))
}
