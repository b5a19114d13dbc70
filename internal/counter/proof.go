package counter

import (
	"context"
	"net/http"
	"time"

	"github.com/lovagelift/lovagelift/internal/edition"
	"github.com/lovagelift/lovagelift/internal/pause"
	"github.com/lovagelift/lovagelift/internal/routes"
)

const (
	// defaultRoutesWithin is Options.RoutesWithin where it is not set.
	defaultRoutesWithin = 2 * time.Second
	// denyShare is the part of RoutesWithin within which the routes must have been proven by
	// which a request is told that there is none for it. News need the rest.
	denyShare = 0.5
	// grantTimes is how many times RoutesWithin ago the routes may have been proven by which
	// requests are sent: without it, all callers would wait for each new leader.
	grantTimes = 2
	// proofWait bounds how long a request waits for a proof, and proofEvery is how often it
	// looks.
	proofWait  = time.Second
	proofEvery = 10 * time.Millisecond
)

// denyWithin returns how old the proof of the routes may be by which a request is told that
// there is none for it.
func (o Options) denyWithin() time.Duration {
	return time.Duration(denyShare * float64(o.RoutesWithin))
}

// prove takes in how new the routes in force here are known to be. c.mu is held.
func (c *Counter) prove(now, asked time.Time, address string, version uint64, reading edition.Reading) {
	l := &c.links
	if age, ok := l.proof.Age(now); ok {
		c.metrics.proofAge.RecordDuration(age)
	}
	l.proof = l.proof.With(asked, address, version, reading)
	switch {
	case l.proof.Covers(now.Add(-grantTimes * c.options.RoutesWithin)):
		l.unprovenSince = time.Time{}
	case l.unprovenSince.IsZero():
		l.unprovenSince = now
	}
}

// awaitsProof reports whether requests wait for a proof of the routes in force. While no
// control instance answers, there is none to wait for. Where one answers that has not
// caught up, they wait for within at the most, counted from its first answer.
func (l *links) awaitsProof(now time.Time, within time.Duration) bool {
	if l.lost || l.missed || l.proof.Covers(now.Add(-grantTimes*within)) {
		return false
	}
	return l.unprovenSince.IsZero() || now.Sub(l.unprovenSince) < within
}

// isSettled reports whether requests may be sent by the routes in force.
func (c *Counter) isSettled() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.links.awaitsProof(c.options.Now(), c.options.RoutesWithin)
}

// proves reports whether the routes in force here are known to hold all that was committed
// at a time.
func (c *Counter) proves(at time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.links.proof.Covers(at)
}

// awaitProof waits until done reports true, or for as long as a request may wait for a
// proof of the routes, and returns what done reported last.
func (c *Counter) awaitProof(ctx context.Context, call Call, done func() bool) bool {
	if done() {
		return true
	}
	c.mu.Lock()
	c.metrics.proofWaits.Inc(1)
	c.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, min(call.Patience/tableShare, proofWait))
	defer cancel()
	c.hurry()
	for pause.For(ctx, proofEvery) {
		if done() {
			return true
		}
	}
	return false
}

// match returns the route of a request, and the routes that it is of. If there is none,
// match answers the caller and returns nil.
func (c *Counter) match(w http.ResponseWriter, r *http.Request, call Call) (*routes.Table, *routes.Route) {
	table, route := c.lookUp(r)
	if route != nil && !c.isSettled() {
		// The route may have been dropped, or lead elsewhere.
		c.awaitProof(r.Context(), call, c.isSettled)
		table, route = c.lookUp(r)
	}
	if route != nil {
		return table, route
	}
	return c.matchProven(w, r, call)
}

// lookUp returns the routes in force and that of a request, which may be nil.
func (c *Counter) lookUp(r *http.Request) (*routes.Table, *routes.Route) {
	table := c.table.Load()
	return table, table.Match(host(r), r.URL.EscapedPath())
}

// matchProven looks for a route that is not among the routes that are known. If they are not
// proven, the route may have been added since: a caller that is told that there is none goes
// away for good. So the request waits for a proof. If none comes in time, matchProven tells
// the caller to come back, and if there is no route still, that.
func (c *Counter) matchProven(w http.ResponseWriter, r *http.Request, call Call) (*routes.Table, *routes.Route) {
	asOf := c.options.Now().Add(-c.options.denyWithin())
	proven := c.awaitProof(r.Context(), call, func() bool { return c.proves(asOf) })
	table, route := c.lookUp(r)
	switch {
	case route != nil:
	case proven:
		c.refuse(w, call, nil, refusal{status: http.StatusNotFound, why: "no route"})
	default:
		c.refuse(w, call, nil, refusal{
			status: http.StatusServiceUnavailable, why: "the routes may be old", comeBack: tableComeBack,
		})
	}
	return table, route
}
