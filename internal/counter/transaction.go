package counter

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/lovagelift/lovagelift/internal/coroner"
	"github.com/lovagelift/lovagelift/internal/pause"
	"github.com/lovagelift/lovagelift/internal/quarantine"
	"github.com/lovagelift/lovagelift/internal/routes"
	"github.com/lovagelift/lovagelift/internal/shutdown"
	"github.com/lovagelift/lovagelift/internal/workspace"
)

// transaction is the state of one proxied request.
type transaction struct {
	proxy *Proxy
	call  Call
	route *routes.Route
	// workspace is the caller's, or nil.
	workspace *workspace.Workspace
	version   uint64
	request   *http.Request
	// received is when all of the request had been read.
	received time.Time
	body     []byte
	digest   quarantine.Digest
	// parts are the parts of the prompt that other requests may share.
	parts []quarantine.Digest
	// run ends the request when its time is over or the instance stops.
	run *shutdown.Run
	// admission decides whether it is sent if upstreams may crash on it.
	admission *coroner.Admission
	requirements
	// quotaCost is charged to the quota of the workspace. chargedAt is zero if nothing is.
	quotaCost float64
	chargedAt time.Time
	// possibleRuns is the number of upstreams that may have run the request, and sends the number
	// of times it was sent.
	possibleRuns int
	sends        int
	// emptyRuns is the number of runs until close that resumed a stream and brought no event.
	emptyRuns int
	// rateLimitHits is the number of times an upstream's rate limit held the request back.
	rateLimitHits int
	// prefillAhead is the engine's prefill time for earlier prompts when the grant was issued.
	prefillAhead time.Duration
	// owner is the owner chosen for the last permit request, and invalid if there was none.
	owner netip.AddrPort
	// lastMissing is the resource that was missing when the wait for an upstream ended.
	lastMissing missingResource
	// originSource tells how the origin of the stream that the request resumes was found. It is empty for
	// other requests.
	originSource originSource
	// resumptionResult is what became of the request if it resumes a stream.
	resumptionResult resumptionResult
	// originSearch is what the control instances said of that stream.
	originSearch originSearch
	// timing and lastError, the error of the last failed attempt, are logged.
	timing    requestTiming
	lastError error
}

// ServeRequest handles one request of a caller.
func (p *Proxy) ServeRequest(w http.ResponseWriter, r *http.Request, call Call) {
	arrived := p.options.Now()
	if p.waitForRoutes(r.Context(), call) == nil {
		p.refuse(w, call, nil, refusal{status: http.StatusServiceUnavailable, text: "no routes are known yet", retryAfter: noRoutesRetryAfter})
		return
	}
	matched, ok := p.authorize(w, r, call)
	if !ok {
		return
	}
	route := matched.route
	held, refused := p.readBody(r, matched.table.Limits.BodyBytes, matched.bodyHolder())
	defer held.Release()
	if refused.status != 0 {
		p.refuseBody(w, r, call, route, refused)
		return
	}
	body := held.Bytes
	t := &transaction{
		proxy: p, received: p.options.Now(), call: call, route: route, workspace: matched.workspace, version: matched.table.Version, request: r, body: body,
		requirements: requirements{
			target:       target{service: route.Service(rand.Float64()), model: call.Model, adapter: call.Adapter},
			promptTokens: call.PromptTokens, outputTokens: call.OutputTokens,
			priority: matched.priority(), objective: route.Objective, maxGap: route.MaxEventGap,
			arrived: arrived, deadline: arrived.Add(timeoutOf(call, route)), sender: p.owners.self,
		},
	}
	t.identify(matched.table)
	t.digest, t.parts = digestOf(r, t.workspaceName(), body), partsOf(call)
	if !t.endsInTime() {
		t.refuseStopping(w, shutdown.ReasonTooLong)
		return
	}
	p.shutdown.CountTaken(t.received)
	t.admission = p.crashes.Admit(t.digest, t.parts...)
	if ruling, allowed := t.admission.Reserve(r.Context()); !allowed {
		t.refuseByRuling(w, ruling)
		return
	}
	defer t.admission.End()
	t.run = p.shutdown.Start(r.Context(), t.remaining())
	defer t.run.End()
	ctx := t.run.Context()
	defer t.countResumptionResult()
	if !t.bindToOrigin(ctx, w) || !t.chargeQuota(ctx, w, scale(t.objective, quotaWaitShare)) {
		return
	}
	defer t.returnCharge()
	p.trackActive(t, 1)
	defer p.trackActive(t, -1)
	t.serve(ctx, w)
}

const (
	// maxRoutesWait bounds how long a request waits at an instance that has just started and has no
	// routes yet. After an outage of all control instances, a new leader is elected within about
	// 2 s. The wait is at most the caller's timeout divided by routesWaitDivisor, so that callers
	// that state no timeout do not wait.
	maxRoutesWait     = 2 * time.Second
	routesWaitDivisor = 4
	// noRoutesRetryAfter is the Retry-After time at an instance without routes.
	noRoutesRetryAfter = 500 * time.Millisecond
	// routesPollInterval is the time between two checks whether routes are known.
	routesPollInterval = 20 * time.Millisecond
)

// waitForRoutes returns the routes in force, or nil if there are none in time.
func (p *Proxy) waitForRoutes(ctx context.Context, call Call) *routes.Table {
	if table := p.routes.Load(); table != nil {
		return table
	}
	ctx, cancel := context.WithTimeout(ctx, min(call.Timeout/routesWaitDivisor, maxRoutesWait))
	defer cancel()
	for pause.For(ctx, routesPollInterval) {
		if table := p.routes.Load(); table != nil {
			return table
		}
	}
	return nil
}

// hostOf returns the host of a request without its port.
func hostOf(r *http.Request) string {
	if name, _, err := net.SplitHostPort(r.Host); err == nil {
		return name
	}
	return r.Host
}

// timeoutOf returns the timeout of a request: the caller's, limited by that of the route.
func timeoutOf(call Call, route *routes.Route) time.Duration {
	if call.Timeout > 0 {
		return min(call.Timeout, route.Timeout)
	}
	return route.Timeout
}

// trackActive updates the counts of requests in flight, and of new requests of each service.
func (p *Proxy) trackActive(t *transaction, change int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.active += change
	p.demand.addActive(t.target, change)
	if change < 0 {
		return
	}
	p.budgets.Get(t.arrived, t.service).AddRequest()
	if t.model != "" {
		p.estimateCost(&t.requirements)
		p.demand.recordRequest(t.target, t.prefillTime, t.decodeTime)
	}
}

// serve attempts the request until it is answered.
func (t *transaction) serve(ctx context.Context, w http.ResponseWriter) {
	for {
		granted, ok := t.acquireUpstream(ctx, w)
		if !ok {
			return
		}
		if t.attempt(ctx, w, granted) {
			return
		}
	}
}
