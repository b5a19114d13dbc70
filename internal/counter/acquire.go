package counter

import (
	"context"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/lovagelift/lovagelift/internal/shutdown"
)

// acquireUpstream waits for a grant to send the request. If none is issued in time, it answers the
// caller and returns false.
func (t *transaction) acquireUpstream(ctx context.Context, w http.ResponseWriter) (grant, bool) {
	waitCtx, cancel := t.waitContext(ctx)
	defer cancel()
	t.joinGroup()
	granted, err := t.acquireFromOwner(waitCtx)
	if errors.Is(err, errDecideLocally) {
		granted, err = t.acquireLocally(waitCtx)
	}
	var rejected *rejection
	switch {
	case err == nil:
		t.prefillAhead = granted.prefillAhead
		return granted, true
	case errors.As(err, &rejected) && t.possibleRuns == 0:
		t.resumptionResult = resultOfRejection(rejected.reason)
		t.proxy.refuse(w, t.call, t.route, refusal{
			status: http.StatusServiceUnavailable, text: t.rejectionText(rejected.reason), retryAfter: rejected.retryAfter,
			forecastWait: rejected.forecastWait, waited: t.proxy.options.Now().Sub(t.arrived), survey: &rejected.survey,
			owner: t.owner, reserved: rejected.reserved,
			sharedWorkspace: t.requirements.workspace, relativeUse: rejected.relativeUse,
		})
	default:
		t.refuseNoUpstream(w)
	}
	return grant{}, false
}

// acquireLocally waits for a grant of this instance.
func (t *transaction) acquireLocally(ctx context.Context) (grant, error) {
	p := t.proxy
	local := localRequest{grants: make(chan grant, 1), rejections: make(chan *rejection, 1)}
	w := &waiter{requirements: t.requirements, requester: local}
	if rejected := p.enqueueLocal(w, local); rejected != nil {
		return grant{}, rejected
	}
	select {
	case granted := <-local.grants:
		return granted, nil
	case rejected := <-local.rejections:
		return grant{}, rejected
	case <-ctx.Done():
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	select {
	case granted := <-local.grants:
		return granted, nil
	default:
	}
	p.dequeue(w)
	p.reserveAfterWait(p.options.Now(), w)
	t.lastMissing = w.missing
	return grant{}, ctx.Err()
}

// enqueueLocal adds a request of this instance to the queue. It returns the reason if the request
// is rejected immediately.
func (p *Proxy) enqueueLocal(w *waiter, local localRequest) *rejection {
	now := p.options.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	w.placingInstances = p.placingInstances(now, &w.requirements)
	p.enqueue(now, w)
	if len(local.grants) > 0 {
		return nil
	}
	return p.rejectOrWait(now, w)
}

// refuseNoUpstream answers a request for which no upstream was available in time.
func (t *transaction) refuseNoUpstream(w http.ResponseWriter) {
	p := t.proxy
	if t.possibleRuns > 0 {
		p.refuse(w, t.call, t.route, refusal{status: http.StatusBadGateway, text: "no upstream is left to try"})
		return
	}
	t.abortIfCallerLeft("the caller left while the request waited")
	if p.Draining() {
		t.refuseStopping(w, shutdown.ReasonWaited)
		return
	}
	now := p.options.Now()
	t.resumptionResult = resultAfterWait(t.lastMissing)
	p.refuse(w, t.call, t.route, refusal{
		status: http.StatusServiceUnavailable, text: t.noUpstreamText(t.lastMissing), retryAfter: t.retryAfterVain(now),
		waited: now.Sub(t.arrived), survey: p.surveyUpstreams(now, t), owner: t.owner, sharedWorkspace: t.requirements.workspace,
	})
}

// retryAfterVain returns the Retry-After time of a request that has waited in vain.
func (t *transaction) retryAfterVain(now time.Time) time.Duration {
	if t.software.Bound && t.lastMissing == missingModel {
		return t.retryAfterUnheld(now)
	}
	return t.retryAfterNow()
}

// abortIfCallerLeft ends the request without a response if its caller has disconnected.
func (t *transaction) abortIfCallerLeft(message string) {
	if t.request.Context().Err() != nil {
		t.proxy.shutdown.CountLeft()
		t.proxy.logOutcome(t, "caller disconnected", message)
		panic(http.ErrAbortHandler)
	}
}

// surveyUpstreams counts the states of the upstreams that could have run the request.
func (p *Proxy) surveyUpstreams(now time.Time, t *transaction) *survey {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.pool.survey(now, t.query())
	return &s
}

// retryAfterNow returns the Retry-After time of a request that is refused now.
func (t *transaction) retryAfterNow() time.Duration {
	p := t.proxy
	now := p.options.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	loadTime, loading := p.pool.loadTime(now, t.query())
	return t.retryAfterLoad(now, loadTime, loading)
}
