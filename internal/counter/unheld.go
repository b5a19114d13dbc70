package counter

import (
	"time"

	"github.com/lovagelift/lovagelift/internal/permit"
)

// A stream goes on at its software version only, of which few engines may be left. So it waits for the load
// of its model for as long as its caller allows, while other requests are refused: their callers are better
// off with another model, or later.

// lacksHolder reports whether the request resumes a stream whose model no engine of its software version holds.
func (w *waiter) lacksHolder() bool {
	return w.requirements.software.Bound && w.missing == missingModel
}

// maxLoadWait returns how long a request that resumes a stream may wait for the load of its model. Then there is
// time left to run it. The rest of a stream takes less time than all of it, by an unknown share.
func (req *requirements) maxLoadWait() time.Duration {
	return max(req.maxWait(), req.deadline.Sub(req.arrived)-req.prefillTime-req.decodeTime)
}

// longestWait returns how long the request may wait for an upstream, whatever it lacks.
func (req *requirements) longestWait() time.Duration {
	if req.software.Bound {
		return req.maxLoadWait()
	}
	return req.maxWait()
}

// waitLimit returns how long the request may wait by what it lacks at now. p.mu is held.
func (p *Proxy) waitLimit(now time.Time, req *requirements) time.Duration {
	if req.software.Bound && p.pool.lacksModel(now, req.query()) {
		return req.maxLoadWait()
	}
	return req.maxWait()
}

// rejectUnheld decides whether a request without a holder of its version is rejected, if an engine of the version
// is known to have loaded the model in loadTime, 0 if none is. It returns nil if the request may wait. If the load
// comes too late for it, it does so for a later attempt as well, which gets no Retry-After time.
func (req *requirements) rejectUnheld(now time.Time, loadTime time.Duration) *rejection {
	if loadTime < req.arrived.Add(req.maxLoadWait()).Sub(now) {
		return nil
	}
	return &rejection{reason: permit.ModelUnavailable}
}
