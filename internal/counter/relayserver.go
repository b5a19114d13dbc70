package counter

import (
	"context"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/lovagelift/lovagelift/internal/outcome"
	"github.com/lovagelift/lovagelift/internal/shuttle"
)

// maxRelaying bounds the requests that an instance relays at the same time. Each holds two
// connections and the request's body.
const maxRelaying = 512

// ServeRelay handles a request that another entry instance sends because it cannot reach the
// upstream.
func (p *Proxy) ServeRelay(w http.ResponseWriter, r *http.Request) {
	u, rejected := p.startRelaying(r.Header)
	if rejected != "" {
		p.rejectRelay(w, r, rejected)
		return
	}
	defer p.finishRelaying()
	timeoutMillis, err := strconv.ParseInt(r.Header.Get(relayTimeoutHeader), 10, 64)
	body, refused := p.readBody(r, p.maxBodyBytes(), "")
	defer body.Release()
	switch {
	case refused.status == http.StatusServiceUnavailable:
		p.rejectRelay(w, r, relayUnavailable)
		return
	case err != nil || refused.status != 0:
		p.rejectRelay(w, r, relayInvalid)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), time.Duration(timeoutMillis)*time.Millisecond)
	defer cancel()
	var mayHaveSent atomic.Bool
	idempotent := r.Header.Get(relayIdempotentHeader) == strconv.FormatBool(true)
	response, err := p.upstreams.of(idempotent, body.Bytes).RoundTrip(relayedRequest(ctx, r, u, body.Bytes, &mayHaveSent))
	if err != nil {
		p.rejectUnsent(w, r, u, &mayHaveSent)
		return
	}
	defer response.Body.Close()
	p.logRelay(r, relayAnswered)
	p.observeRelayed(u, response)
	// An upstream must not set the result.
	response.Header.Set(relayResultHeader, string(relayAnswered))
	framing := shuttle.FramingOf(response)
	p.confirmEnd(ctx, u, response, framing, func(Liveness) {})
	end := beginResponse(w, r, response, framing)
	readErr, writeErr := copyChunks(w, response.Body, func(int) {})
	if readErr != nil || writeErr != nil {
		p.recordRelayedEarlyEnd(r, p.relayedEarlyEnd(ctx, r, writeErr))
		end.Abort()
	}
	end.Complete()
	p.shutdown.CountWhole()
}

// relayedEarlyEnd returns why a relayed response has ended early. A stopping instance ends its connections to the
// others after the end of its plan.
func (p *Proxy) relayedEarlyEnd(ctx context.Context, r *http.Request, writeErr error) outcome.EarlyEnd {
	switch isGone := writeErr != nil || r.Context().Err() != nil; {
	case isGone && p.shutdown.HasEnded():
		return outcome.InstanceStopped
	case isGone:
		return outcome.CallerLeft
	default:
		return brokenOffBy(ctx)
	}
}

// recordRelayedEarlyEnd logs a relayed response that ends early, and counts it in the summary of a planned shutdown.
// The instance that has the caller counts it in its metrics.
func (p *Proxy) recordRelayedEarlyEnd(r *http.Request, cause outcome.EarlyEnd) {
	p.shutdown.CountEarlyEnd(p.options.Now(), cause)
	p.relayLine(r).Stringer("early-end", cause).Msg("relayed response ended early")
}

// startRelaying returns the upstream of a request to relay, or why it is rejected.
func (p *Proxy) startRelaying(header http.Header) (*upstream, relayResult) {
	name, software := header.Get(relayUpstreamHeader), header[relaySoftwareHeader]
	now := p.options.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	u := p.pool.byName[name]
	switch {
	case u == nil, p.draining, p.relaying >= maxRelaying, p.pool.isServiceLost(now, u.service):
		return nil, relayUnavailable
	case u.isLeaving(), u.pushesBack(now, p.owners.self), len(software) > 0 && software[0] != u.software:
		return nil, relayUnwanted
	case u.path.IsLost():
		return nil, relayUnreachable
	}
	p.relaying++
	p.active++
	return u, ""
}

func (p *Proxy) finishRelaying() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.relaying--
	p.active--
}

// maxBodyBytes returns the body limit of the routes in force, 0 if there is none.
func (p *Proxy) maxBodyBytes() int64 {
	if table := p.routes.Load(); table != nil {
		return table.Limits.BodyBytes
	}
	return 0
}

// rejectUnsent rejects a request if nothing of it can have reached the upstream. Otherwise it breaks
// the connection off.
func (p *Proxy) rejectUnsent(w http.ResponseWriter, r *http.Request, u *upstream, mayHaveSent *atomic.Bool) {
	switch {
	case mayHaveSent.Load():
		p.logRelay(r, relayFailed)
		panic(http.ErrAbortHandler)
	case p.isServiceLost(u.service):
		p.rejectRelay(w, r, relayUnavailable)
	default:
		p.rejectRelay(w, r, relayUnreachable)
	}
}

// logRelay logs what became of a relayed request.
func (p *Proxy) logRelay(r *http.Request, result relayResult) {
	p.relayLine(r).Str("result", string(result)).Msg("request relayed for another instance")
}

// relayLine returns a log line about a relayed request.
func (p *Proxy) relayLine(r *http.Request) *zerolog.Event {
	return p.logLine(p.options.Now(), "relay").Str("request", r.Header.Get(relayRequestHeader)).
		Str("upstream", r.Header.Get(relayUpstreamHeader)).Str("from", r.RemoteAddr)
}

func (p *Proxy) rejectRelay(w http.ResponseWriter, r *http.Request, result relayResult) {
	p.logRelay(r, result)
	w.Header().Set(relayResultHeader, string(result))
	w.WriteHeader(http.StatusServiceUnavailable)
}

// relayedRequest returns the request to send to the upstream.
func relayedRequest(ctx context.Context, r *http.Request, u *upstream, body []byte, mayHaveSent *atomic.Bool) *http.Request {
	header := shuttle.EndToEndHeader(r.Header)
	for name := range header {
		if strings.HasPrefix(name, relayHeaderPrefix) {
			header.Del(name)
		}
	}
	outgoing := newUpstreamRequest(r, u.address, header, body)
	return outgoing.WithContext(traceSend(ctx, mayHaveSent))
}

// observeRelayed processes what the upstream's response tells this instance.
func (p *Proxy) observeRelayed(u *upstream, response *http.Response) {
	if p.options.Dialect.Classify(response, "") != NotRun {
		return
	}
	p.observePushback(&upstreamAttempt{grant: grant{upstream: u}, pushback: p.options.Dialect.ParsePushback(response)})
}
