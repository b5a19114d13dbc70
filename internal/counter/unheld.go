package counter

import (
	"context"
	"slices"
	"time"

	"github.com/lovagelift/lovagelift/internal/courier"
	"github.com/lovagelift/lovagelift/internal/permit"
	"github.com/lovagelift/lovagelift/internal/resumption"
)

// A stream goes on at its software version only, of which few engines may be left. So it waits for the load
// of its model for as long as its caller allows, while other requests are refused: their callers are better
// off with another model, or later.

// lacksHolder reports whether the request resumes a stream whose model no engine of its software version holds,
// and engines of other versions are there. Otherwise it waits like all other requests.
func (w *waiter) lacksHolder() bool {
	return w.unheld
}

// setMissing records the resource that was missing when the request was dispatched. p.mu is held.
func (p *Proxy) setMissing(now time.Time, w *waiter, missing missingResource) {
	w.missing = missing
	w.unheld = missing == missingModel && p.pool.hasOtherVersion(now, w.requirements.service, w.requirements.software)
}

// hasOtherVersion reports whether upstreams of a service are available that software does not allow.
func (p *upstreamPool) hasOtherVersion(now time.Time, service string, software resumption.Constraint) bool {
	return software.Bound && slices.ContainsFunc(p.byService[service], func(u *upstream) bool {
		return !software.Allows(u.software) && p.isAvailable(now, u)
	})
}

// lacksHolderOf reports whether requests with a query wait apart from others, as lacksHolder does.
func (p *upstreamPool) lacksHolderOf(now time.Time, q upstreamQuery) bool {
	return p.lacksModel(now, q) && p.hasOtherVersion(now, q.service, q.software)
}

// maxLoadWait returns how long a request that resumes a stream may wait for the load of its model. Then there is
// time left to run it. The rest of a stream takes less time than all of it, by an unknown share.
func (req *requirements) maxLoadWait() time.Duration {
	return max(req.maxWait(), req.deadline.Sub(req.arrived)-req.prefillTime-req.decodeTime)
}

// loadWaitLeft returns how long the request may still wait for the load of its model.
func (req *requirements) loadWaitLeft(now time.Time) time.Duration {
	return req.arrived.Add(req.maxLoadWait()).Sub(now)
}

// longestWait returns how long the request may wait for an upstream, whatever it lacks.
func (req *requirements) longestWait() time.Duration {
	if req.software.Bound {
		return req.maxLoadWait()
	}
	return req.maxWait()
}

// modelLoad is the load of a model by an engine of a software version, as far as it is known.
type modelLoad struct {
	// left is the time until it is done, 0 if no engine has begun it.
	left time.Duration
	// unavailableWithin is the time within which no engine can hold the model, as the leader has just stated. It
	// is 0 if one may.
	unavailableWithin time.Duration
}

// rejectUnheld decides whether a request without a holder of its version is rejected. It returns nil if the
// request may wait. If the load comes too late for it, it does so for a later attempt as well, which gets no
// Retry-After time.
func (req *requirements) rejectUnheld(now time.Time, load modelLoad) *rejection {
	left := req.loadWaitLeft(now)
	switch {
	case load.unavailableWithin > 0 && left <= load.unavailableWithin:
		return &rejection{reason: permit.ModelUnavailable, retryAfter: req.retryAfterUnheld(now)}
	case load.left > 0 && load.left >= left:
		return &rejection{reason: permit.ModelUnavailable}
	default:
		return nil
	}
}

// retryAfterUnheld returns the Retry-After time of a request whose model is not loaded at its version, 0 if a
// later attempt has no time to run.
func (req *requirements) retryAfterUnheld(now time.Time) time.Duration {
	retryAfter := req.retryAfterLoad(now, 0, false)
	if retryAfter < req.loadWaitLeft(now) {
		return retryAfter
	}
	return 0
}

// modelAtVersion is the text to the caller of a stream whose model no engine of its version holds in time.
const modelAtVersion = "no upstream: model at the stream's software version"

// noUpstreamText returns the text to a caller whose request lacks a resource.
func (req *requirements) noUpstreamText(missing missingResource) string {
	if req.software.Bound && missing == missingModel {
		return modelAtVersion
	}
	return "no upstream: " + missing.String()
}

// missingAfterWait returns what a request lacks that has waited in vain at another instance, by what is known here.
// p.mu is held.
func (p *Proxy) missingAfterWait(now time.Time, req *requirements) missingResource {
	if p.pool.lacksHolderOf(now, req.query()) {
		return p.pool.missingInService(now, req.query())
	}
	return missingCapacity
}

// loadOf returns the load of the model that a request lacks, from known if it is there, to which it is added unless
// that is nil. p.mu is held.
func (p *Proxy) loadOf(now time.Time, w *waiter, known map[courier.WantArgs]modelLoad) modelLoad {
	args := w.requirements.loadArgs(w.missing)
	load, found := known[args]
	if found {
		return load
	}
	load.left, _ = p.pool.loadTime(now, w.requirements.query())
	load.unavailableWithin = p.loadLimiter.unavailableWithin(now, args)
	if known != nil {
		known[args] = load
	}
	return load
}

// rejectByVersion decides whether a request is rejected because of the upstreams of its software version. It
// returns nil if the request may wait. p.mu is held.
func (p *Proxy) rejectByVersion(now time.Time, w *waiter, known map[courier.WantArgs]modelLoad) *rejection {
	req := &w.requirements
	switch {
	case w.missing == missingVersion:
		return &rejection{reason: permit.VersionUnavailable, retryAfter: req.retryAfterLoad(now, 0, false)}
	case w.lacksHolder():
		return req.rejectUnheld(now, p.loadOf(now, w, known))
	default:
		return nil
	}
}

// remainingFor returns the longest time for which a request that resumes a stream may still wait for a load, 0 if none
// waits.
func (p *Proxy) remainingFor(args courier.WantArgs) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	now, longest := p.options.Now(), time.Duration(0)
	for _, w := range p.queue.waiters {
		if w.lacksHolder() && w.requirements.loadArgs(w.missing) == args {
			longest = max(longest, w.requirements.loadWaitLeft(now))
		}
	}
	return longest
}

// endHopelessWaits rejects the waiting requests that no upstream of their software version can serve in time any
// more. Hundreds of streams may wait for one load, and the engines are examined once for all of them. p.mu is held.
func (p *Proxy) endHopelessWaits(now time.Time) {
	ended, loads := map[*waiter]*rejection{}, map[courier.WantArgs]modelLoad{}
	for _, w := range p.queue.waiters {
		if rejected := p.rejectByVersion(now, w, loads); rejected != nil {
			ended[w] = rejected
		}
	}
	for w, rejected := range ended {
		p.reject(now, w, rejected)
		switch to := w.requester.(type) {
		case localRequest:
			to.rejections <- rejected
		case peerRequest:
			p.refusePermit(to, rejected)
		}
	}
}

// waitContext returns a context that ends when the request may no longer wait for an upstream. The holder of its model
// may be lost while it waits.
func (t *transaction) waitContext(ctx context.Context) (context.Context, context.CancelFunc) {
	p, req := t.proxy, t.requirements
	now := p.options.Now()
	bounded, cancel := t.boundWait(ctx, req.arrived.Add(req.longestWait()).Sub(now))
	if !req.software.Bound {
		return bounded, cancel
	}
	timer := time.AfterFunc(req.arrived.Add(req.maxWait()).Sub(now), func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		if !p.pool.lacksHolderOf(p.options.Now(), req.query()) {
			cancel()
		}
	})
	return bounded, func() {
		timer.Stop()
		cancel()
	}
}
