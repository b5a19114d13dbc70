package counter

import (
	"context"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/lovagelift/lovagelift/internal/pause"
	"github.com/lovagelift/lovagelift/internal/quarantine"
	"github.com/lovagelift/lovagelift/internal/routes"
)

// trip is one request on its way.
type trip struct {
	counter *Counter
	call    Call
	route   *routes.Route
	version uint64
	request *http.Request
	body    []byte
	digest  quarantine.Digest
	need
	// runs is how many upstreams may have run it, and sends how many it was sent to.
	runs  int
	sends int
	// holds is how many times an upstream took no more.
	holds int
	// unread is how long the engine had to read before it when it was sent.
	unread time.Duration
	// owner is the instance that was asked for a place last, not valid if none was.
	owner netip.AddrPort
	// missing is why it has found no upstream, if it has not.
	missing lack
	// timing and cause, which is why the last attempt failed, are for the log.
	timing timing
	cause  error
}

// Serve answers one request of a caller.
func (c *Counter) Serve(w http.ResponseWriter, r *http.Request, call Call) {
	began := c.options.Now()
	if c.awaitTable(r.Context(), call) == nil {
		c.refuse(w, call, nil, refusal{status: http.StatusServiceUnavailable, why: "no routes are known yet", comeBack: tableComeBack})
		return
	}
	table, route := c.match(w, r, call)
	if route == nil {
		return
	}
	body, status := readBody(w, r, table.Limits.BodyBytes)
	if status != 0 {
		c.refuse(w, call, route, refusal{status: status, why: "body not read"})
		return
	}
	t := &trip{
		counter: c, call: call, route: route, version: table.Version, request: r, body: body, digest: digestOf(r, call, body),
		need: need{
			demandKey:    demandKey{service: route.Service(rand.Float64()), model: call.Model, adapter: call.Adapter},
			promptTokens: call.PromptTokens, answerTokens: call.AnswerTokens,
			priority: route.Priority, objective: route.Objective, gap: route.Gap,
			began: began, deadline: began.Add(patience(call, route)),
		},
	}
	if c.coroner.Holds(t.digest) {
		t.refuseQuarantined(w)
		return
	}
	c.enter(t, 1)
	defer c.enter(t, -1)
	ctx, cancel := context.WithTimeout(r.Context(), t.deadline.Sub(c.options.Now()))
	defer cancel()
	t.run(ctx, w)
}

const (
	// tableWait is the longest time that a request waits for an instance that has
	// just started to learn the routes: after the loss of all control instances a
	// leader is there again within about 2 s. It waits no longer than tableShare of
	// what its caller has.
	tableWait  = 2 * time.Second
	tableShare = 4
	// tableComeBack is when a caller may come back to an instance without routes.
	tableComeBack = 500 * time.Millisecond
	// tableEvery is how often a request looks whether the routes are known.
	tableEvery = 20 * time.Millisecond
)

// awaitTable returns the routes in force, or nil if they are not known in time.
func (c *Counter) awaitTable(ctx context.Context, call Call) *routes.Table {
	if table := c.table.Load(); table != nil {
		return table
	}
	ctx, cancel := context.WithTimeout(ctx, min(call.Patience/tableShare, tableWait))
	defer cancel()
	for pause.For(ctx, tableEvery) {
		if table := c.table.Load(); table != nil {
			return table
		}
	}
	return nil
}

// host returns the host of a request without its port.
func host(r *http.Request) string {
	if name, _, err := net.SplitHostPort(r.Host); err == nil {
		return name
	}
	return r.Host
}

// patience returns how long a request may take.
func patience(call Call, route *routes.Route) time.Duration {
	if call.Patience > 0 {
		return min(call.Patience, route.Timeout)
	}
	return route.Timeout
}

// enter counts the requests under way, and the fresh ones of each service.
func (c *Counter) enter(t *trip, change int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.open += change
	c.demand.run(t.demandKey, change)
	if change < 0 {
		return
	}
	c.budgets.Of(t.began, t.service).Fresh()
	if t.model != "" {
		c.measure(&t.need)
		c.demand.add(t.demandKey, t.reading, t.answering)
	}
}

// defaultBodyBytes bounds a body where the routes do not.
const defaultBodyBytes = 4 << 20

// readBody reads the whole body before anything is sent: only so can a refusal
// of a broken one say that nothing was run.
func readBody(w http.ResponseWriter, r *http.Request, limit int64) (body []byte, status int) {
	if r.ContentLength == 0 {
		return nil, 0
	}
	if limit <= 0 {
		limit = defaultBodyBytes
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, limit))
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return nil, http.StatusRequestEntityTooLarge
	case err != nil:
		return nil, http.StatusBadRequest
	}
	return body, 0
}

// run sends the request until it is answered or given up.
func (t *trip) run(ctx context.Context, w http.ResponseWriter) {
	for {
		granted, ok := t.await(ctx, w)
		if !ok {
			return
		}
		if t.attempt(ctx, w, granted) {
			return
		}
	}
}
