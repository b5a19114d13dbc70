package counter

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"sync/atomic"
	"time"

	"github.com/lovagelift/lovagelift/internal/permit"
	"github.com/lovagelift/lovagelift/internal/routes"
	"github.com/lovagelift/lovagelift/internal/shuttle"
)

// upstreamAttempt is one attempt to serve a request at an upstream.
type upstreamAttempt struct {
	grant
	// outcome is the result of the attempt, and speed the engine's speed measured by it.
	outcome permit.Outcome
	speed   speedSample
	// pushback is for how long the upstream wants no more requests from this instance, and
	// statesLeave is true if it is leaving, both according to its response.
	pushback    time.Duration
	statesLeave bool
	// bodyStarted is true once part of the response body has arrived.
	bodyStarted bool
	// mayHaveSent is true once bytes of the request may have been sent.
	mayHaveSent atomic.Bool
}

// failedStep returns the step at which a failed attempt failed.
func (a *upstreamAttempt) failedStep() string {
	if a.mayHaveSent.Load() {
		return "response"
	}
	return "connect"
}

// finishAttempt records that the upstream no longer has the request, and returns the permit to the
// instance that issued it.
func (p *Proxy) finishAttempt(t *transaction, a *upstreamAttempt) {
	now := p.options.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	a.upstream.recordOutcome(now, t.target, a.outcome)
	p.recordSpeed(&t.requirements, a.speed)
	if !a.owner.IsValid() {
		a.upstream.release()
		return
	}
	p.peers.send(a.owner, permit.Release{
		ID: a.id, Outcome: a.outcome, FirstEventTime: a.speed.firstEvent, RunTime: a.speed.serviceTime, Events: a.speed.events,
		StreamTime: a.speed.streaming,
	})
}

// roundTrip sends the request once and waits for the response header.
func (t *transaction) roundTrip(ctx context.Context, a *upstreamAttempt) (*http.Response, error) {
	p := t.proxy
	traced := httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		// From here on bytes may be sent. All earlier steps only connect.
		GotConn: func(httptrace.GotConnInfo) { a.mayHaveSent.Store(true) },
	})
	incoming := t.request
	outgoing := (&http.Request{
		Method: incoming.Method,
		URL: &url.URL{
			Scheme: "http", Host: a.upstream.address,
			Path: incoming.URL.Path, RawPath: incoming.URL.RawPath, RawQuery: incoming.URL.RawQuery,
		},
		Host:          incoming.Host,
		Header:        shuttle.EndToEndHeader(incoming.Header),
		ContentLength: int64(len(t.body)),
		// A body that net/http can't rewind, even an empty one, keeps the transport from retrying
		// the request on its own.
		Body: io.NopCloser(bytes.NewReader(t.body)),
	}).WithContext(traced)
	p.options.Dialect.Prepare(outgoing.Header, Attempt{
		RequestID: t.call.ID,
		Upstream:  a.upstream.name,
		Remaining: t.deadline.Sub(p.options.Now()),
		Priority:  t.route.Priority,
		Workspace: t.workspaceName(),
	})
	return t.transport().RoundTrip(outgoing)
}

// transport returns the transport for the request. On a reused connection that the other end has
// lost or is just closing, a request may be written and never answered, and a request that must not
// run twice could then not be retried.
func (t *transaction) transport() *http.Transport {
	if t.route.Kind == routes.Idempotent {
		return t.proxy.keepAlive
	}
	return t.proxy.singleUse
}
