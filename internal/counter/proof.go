package counter

import (
	"context"
	"net/http"
	"time"

	"github.com/lovagelift/lovagelift/internal/edition"
	"github.com/lovagelift/lovagelift/internal/pause"
)

const (
	// defaultRoutesMaxDelay is the default of Options.MaxRouteUpdateDelay.
	defaultRoutesMaxDelay = 2 * time.Second
	// denyProofShare is the maximum age of the routes' proof, as a share of MaxRouteUpdateDelay, at
	// which a request without a route is refused for good. The rest of MaxRouteUpdateDelay is left
	// for the propagation of updates.
	denyProofShare = 0.5
	// sendProofFactor is the maximum age of the routes' proof, in multiples of MaxRouteUpdateDelay,
	// at which requests are sent. With a smaller value, all callers would wait during each leader
	// election.
	sendProofFactor = 2
	// maxProofWait bounds how long a request waits for a proof, and proofPollInterval is the time
	// between two checks.
	maxProofWait      = time.Second
	proofPollInterval = 10 * time.Millisecond
)

// denyProofMaxAge returns the maximum age of the routes' proof at which a request without a route
// is refused for good.
func (o Options) denyProofMaxAge() time.Duration {
	return time.Duration(denyProofShare * float64(o.MaxRouteUpdateDelay))
}

// recordProof records up to which time the routes in force here are confirmed. p.mu is held.
func (p *Proxy) recordProof(now, askedAt time.Time, address string, version uint64, reading edition.Reading) {
	l := &p.control
	if age, ok := l.proof.Age(now); ok {
		p.metrics.proofAge.RecordDuration(age)
	}
	l.proof = l.proof.With(askedAt, address, version, reading)
	switch {
	case l.proof.Covers(now.Add(-sendProofFactor * p.options.MaxRouteUpdateDelay)):
		l.unprovenSince = time.Time{}
	case l.unprovenSince.IsZero():
		l.unprovenSince = now
	}
}

// needsProof reports whether requests wait for a proof of the routes in force. While no control
// instance answers, none can be expected. While one answers that has not caught up, requests wait
// for at most maxDelay from its first answer without a sufficient proof.
func (l *controlLinks) needsProof(now time.Time, maxDelay time.Duration) bool {
	if l.disconnected || l.lastSyncFailed || l.proof.Covers(now.Add(-sendProofFactor*maxDelay)) {
		return false
	}
	return l.unprovenSince.IsZero() || now.Sub(l.unprovenSince) < maxDelay
}

// hasUsableRoutes reports whether requests may be sent by the routes in force.
func (p *Proxy) hasUsableRoutes() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return !p.control.needsProof(p.options.Now(), p.options.MaxRouteUpdateDelay)
}

// routesProvenAt reports whether the routes in force here are confirmed to include all changes
// committed at a given time.
func (p *Proxy) routesProvenAt(at time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.control.proof.Covers(at)
}

// waitForProof waits until done returns true, or until the maximum wait for a proof of the routes,
// and returns the last result of done.
func (p *Proxy) waitForProof(ctx context.Context, call Call, done func() bool) bool {
	if done() {
		return true
	}
	p.mu.Lock()
	p.metrics.proofWaits.Inc(1)
	p.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, min(call.Timeout/routesWaitDivisor, maxProofWait))
	defer cancel()
	p.syncSoon()
	for pause.For(ctx, proofPollInterval) {
		if done() {
			return true
		}
	}
	return false
}

// authorize returns what the routes in force say of a request. If they don't allow it, it answers
// the caller and returns false.
func (p *Proxy) authorize(w http.ResponseWriter, r *http.Request, call Call) (match, bool) {
	m := p.lookUp(r, call)
	if m.allowed() && !p.hasUsableRoutes() {
		// The route or the key may have been removed or changed.
		p.waitForProof(r.Context(), call, p.hasUsableRoutes)
		m = p.lookUp(r, call)
	}
	if m.allowed() {
		return m, true
	}
	return p.authorizeProven(w, r, call)
}

// authorizeProven handles a request that the known routes do not allow. Without a recent proof, its
// route or key may have been added since, and a caller that receives 404 or 401 does not retry. So
// the request waits for a proof. If none arrives in time, the caller is asked to retry; if the
// routes are proven and still do not allow it, the denial is final.
func (p *Proxy) authorizeProven(w http.ResponseWriter, r *http.Request, call Call) (match, bool) {
	asOf := p.options.Now().Add(-p.options.denyProofMaxAge())
	proven := p.waitForProof(r.Context(), call, func() bool { return p.routesProvenAt(asOf) })
	m := p.lookUp(r, call)
	denial, denied := m.denial()
	switch {
	case !denied:
		return m, true
	case proven:
		p.refuse(w, call, nil, denial)
	default:
		p.refuse(w, call, nil, refusal{
			status: http.StatusServiceUnavailable, text: "the routes may be old", retryAfter: noRoutesRetryAfter,
		})
	}
	return m, false
}
