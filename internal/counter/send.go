package counter

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"sync/atomic"

	"github.com/lovagelift/lovagelift/internal/permit"
	"github.com/lovagelift/lovagelift/internal/routes"
	"github.com/lovagelift/lovagelift/internal/shuttle"
)

// sending is a request at one upstream.
type sending struct {
	place
	// outcome is what became of it, and sample what it says of the engine's speed.
	outcome permit.Outcome
	sample  sample
	// answering is true once some of the answer's body has come.
	answering bool
	// reached is true once bytes of the request may have gone out.
	reached atomic.Bool
}

// finish notes that the upstream has no more work of the request, and tells whoever has
// granted the place.
func (c *Counter) finish(t *trip, a *sending) {
	now := c.options.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	a.upstream.note(now, t.demandKey, a.outcome)
	c.learn(&t.need, a.sample)
	if !a.owner.IsValid() {
		a.upstream.ended()
		return
	}
	c.exchange.tell(a.owner, permit.Ended{
		ID: a.id, Outcome: a.outcome, First: a.sample.first, Run: a.sample.run, Events: a.sample.events,
		Writing: a.sample.writing,
	})
}

// send sends the request once and waits for the head of the answer.
func (t *trip) send(ctx context.Context, a *sending) (*http.Response, error) {
	c := t.counter
	traced := httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		// From here on bytes may go out. Everything before is connecting.
		GotConn: func(httptrace.GotConnInfo) { a.reached.Store(true) },
	})
	incoming := t.request
	outgoing := (&http.Request{
		Method: incoming.Method,
		URL: &url.URL{
			Scheme: "http", Host: a.upstream.address,
			Path: incoming.URL.Path, RawPath: incoming.URL.RawPath, RawQuery: incoming.URL.RawQuery,
		},
		Host:          incoming.Host,
		Header:        shuttle.Forwardable(incoming.Header),
		ContentLength: int64(len(t.body)),
		// A body that net/http can't rewind, even an empty one, keeps it from ever
		// sending the request again by itself.
		Body: io.NopCloser(bytes.NewReader(t.body)),
	}).WithContext(traced)
	c.options.Dialect.Prepare(outgoing.Header, Attempt{
		RequestID: t.call.ID,
		Upstream:  a.upstream.name,
		Remaining: t.deadline.Sub(c.options.Now()),
		Priority:  t.route.Priority,
	})
	return t.transport().RoundTrip(outgoing)
}

// transport returns the connections that the request may use. On a kept one that
// the other end has lost track of, or is just closing, a request would be written
// and never answered; what must not run twice could then not be sent again.
func (t *trip) transport() *http.Transport {
	if t.route.Kind == routes.Idempotent {
		return t.counter.kept
	}
	return t.counter.fresh
}
