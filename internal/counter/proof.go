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
	// freshFor is how old the proof of the routes may be by which a request is told that
	// there is none for it: changes are in force within 2 s, of which the news need a part.
	freshFor = time.Second
	// freshWait bounds how long such a request waits for newer routes, and freshEvery is
	// how often it looks.
	freshWait  = time.Second
	freshEvery = 10 * time.Millisecond
)

// prove takes in how new the routes in force here are known to be. c.mu is held.
func (c *Counter) prove(now, asked time.Time, address string, version uint64, reading edition.Reading) {
	if age, ok := c.links.proof.Age(now); ok {
		c.metrics.proofAge.RecordDuration(age)
	}
	c.links.proof = c.links.proof.With(asked, address, version, reading)
}

// proves reports whether the routes in force here are known to hold all that was committed
// at a time.
func (c *Counter) proves(at time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.links.proof.Covers(at)
}

// matchFresh looks for a route that is not among the routes that are known. If they are not
// known to be fresh, the route may have been added since: a caller that is told that there
// is none goes away for good. So the request waits for a proof. If none comes in time,
// matchFresh tells the caller to come back, and if there is no route still, that.
func (c *Counter) matchFresh(w http.ResponseWriter, r *http.Request, call Call) (*routes.Table, *routes.Route) {
	asOf := c.options.Now().Add(-freshFor)
	fresh := c.proves(asOf)
	if !fresh {
		ctx, cancel := context.WithTimeout(r.Context(), min(call.Patience/tableShare, freshWait))
		defer cancel()
		c.hurry()
		for !fresh && pause.For(ctx, freshEvery) {
			fresh = c.proves(asOf)
		}
	}
	table := c.table.Load()
	route := table.Match(host(r), r.URL.EscapedPath())
	switch {
	case route != nil:
	case fresh:
		c.refuse(w, call, nil, refusal{status: http.StatusNotFound, why: "no route"})
	default:
		c.refuse(w, call, nil, refusal{
			status: http.StatusServiceUnavailable, why: "the routes may be old", comeBack: tableComeBack,
		})
	}
	return table, route
}
