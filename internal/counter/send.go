package counter

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/netip"
	"net/url"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/lovagelift/lovagelift/internal/outcome"
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
	// tolerance is how many refusals per second the upstream tolerates according to its response, 0
	// if it states nothing.
	tolerance int
	// bodyStarted is true once part of the response body has arrived.
	bodyStarted bool
	// bodyBytes is how much of the body has arrived. unfinished is true if the caller left, or the time
	// was over, before its end.
	bodyBytes  int64
	unfinished bool
	// earlyEnd is why the response ended after its head, 0 unless it did so early.
	earlyEnd outcome.EarlyEnd
	// framing is the framing of the response. events reads its body, and is nil unless that is an
	// event stream.
	framing shuttle.Framing
	events  *shuttle.EventReader
	// liveness is the result of the check after the end of a response that ended with its connection.
	liveness Liveness
	// confirmation is what confirms that such a response is whole.
	confirmation confirmation
	// relayedBy is the instance through which the request was last sent, invalid if it was sent
	// directly.
	relayedBy netip.AddrPort
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

// observeFraming records the framing of a response, and replaces the body of an event stream by one
// that fails if it ends inside an event.
func (t *transaction) observeFraming(a *upstreamAttempt, response *http.Response) {
	a.framing = shuttle.FramingOf(response)
	if !shuttle.IsPlainEventStream(response.Header) {
		return
	}
	newReader := shuttle.NewEventReader
	if t.mayHaveNothingLeft() {
		newReader = shuttle.NewResumedEventReader
	}
	a.events = newReader(response.Body, a.framing)
	response.Body = a.events
}

// endsInsideEvent reports whether the response is an event stream that has ended inside an event.
func (a *upstreamAttempt) endsInsideEvent() bool {
	return a.events != nil && a.events.InsideEvent()
}

// finishAttempt records that the upstream no longer has the request, and returns the permit to the
// instance that issued it.
func (p *Proxy) finishAttempt(t *transaction, a *upstreamAttempt) {
	now := p.options.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.judgeBody(t.service, a)
	if a.outcome == permit.Succeeded {
		p.shutdown.Observe(t.completionKey(), now.Sub(t.timing.sent))
	}
	a.upstream.recordOutcome(now, t.target, a.outcome)
	p.recordSpeed(now, a.upstream, &t.requirements, a.speed)
	if !a.owner.IsValid() {
		a.upstream.release()
		p.observePlain(now, &t.requirements, a.grant, a.outcome, a.speed.serviceTime)
		return
	}
	p.peers.send(a.owner, permit.Release{
		ID: a.id, Outcome: a.outcome, FirstEventTime: a.speed.firstEvent, RunTime: a.speed.serviceTime, Events: a.speed.events,
		StreamTime: a.speed.streaming,
	})
}

// roundTrip sends the request once and waits for the response header. While this instance has no
// path to the upstream, it sends through another one.
func (t *transaction) roundTrip(ctx context.Context, a *upstreamAttempt) (*http.Response, error) {
	p := t.proxy
	lost := p.isPathLost(a.upstream)
	if !lost {
		response, err := t.sendDirectly(ctx, a)
		if err == nil || a.mayHaveSent.Load() || ctx.Err() != nil || !p.isServiceLost(a.upstream.service) {
			return response, err
		}
	}
	response, err := t.sendThroughPeer(ctx, a)
	if lost && errors.Is(err, errNoRelay) {
		return t.sendDirectly(ctx, a)
	}
	return response, err
}

// sendDirectly sends the request to the granted upstream.
func (t *transaction) sendDirectly(ctx context.Context, a *upstreamAttempt) (*http.Response, error) {
	// A peer may have rejected the request before.
	a.relayedBy = netip.AddrPort{}
	return t.proxy.upstreams.of(t.isIdempotent(), t.body).RoundTrip(t.outgoing(ctx, a, a.upstream.address))
}

// outgoing returns the request for the granted upstream, to be sent to address.
func (t *transaction) outgoing(ctx context.Context, a *upstreamAttempt, address string) *http.Request {
	header := shuttle.EndToEndHeader(t.request.Header)
	t.proxy.options.Dialect.Prepare(header, Attempt{
		RequestID: t.call.ID,
		Upstream:  a.upstream.name,
		Remaining: t.remaining(),
		Priority:  t.route.Priority,
		Workspace: t.workspaceName(),
	})
	return newUpstreamRequest(t.request, address, header, t.body).WithContext(traceSend(ctx, &a.mayHaveSent))
}

// remaining returns the time left until the request's deadline.
func (t *transaction) remaining() time.Duration {
	return t.deadline.Sub(t.proxy.options.Now())
}

func (t *transaction) isIdempotent() bool {
	return t.route.Kind == routes.Idempotent
}

// traceSend returns a context that sets mayHaveSent before bytes of a request may be sent. All
// earlier steps only connect.
func traceSend(ctx context.Context, mayHaveSent *atomic.Bool) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { mayHaveSent.Store(true) },
	})
}

// newUpstreamRequest returns a request to an upstream's address, or to that of an instance that
// relays it, with the method, host and URL of incoming.
func newUpstreamRequest(incoming *http.Request, address string, header http.Header, body []byte) *http.Request {
	return &http.Request{
		Method: incoming.Method,
		URL: &url.URL{
			Scheme: "http", Host: address,
			Path: incoming.URL.Path, RawPath: incoming.URL.RawPath, RawQuery: incoming.URL.RawQuery,
		},
		Host: incoming.Host, Header: header, ContentLength: int64(len(body)),
		// A body that net/http can't rewind, even an empty one, keeps the transport from retrying
		// the request on its own.
		Body: io.NopCloser(bytes.NewReader(body)),
	}
}
