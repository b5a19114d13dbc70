package shuttle

import (
	"context"
	"io"
	"net/http"
	"net/url"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/lovagelift/lovagelift/internal/outcome"
	"github.com/lovagelift/lovagelift/internal/upstreamapi"
)

// sendIdempotent sends an idempotent request on a keep-alive connection and checks that the
// upstream continues to process it.
//
// An open connection can become unresponsive while new ones work, if a device on the path has
// dropped its state. The caller would then wait until its deadline. Therefore the status of the
// request is queried on a new connection after statusQueryDelay. If the upstream has the request
// and has not produced any of the response, the request is in progress and the wait continues. If
// it does not have the request, or has produced part of a response that did not arrive, the
// connection is lost: the request is sent again on a new one. If the status query cannot reach the
// upstream, the upstream is considered lost.
func (p *Proxy) sendIdempotent(ctx context.Context, address string, request Request) (*Response, error) {
	p.hedges.addRequest()
	first := p.startAttempt(ctx, p.keepAlive, address, request)
	for {
		if first.doneWithin(ctx, p.statusQueryDelay) {
			return first.wait()
		}
		switch p.queryStatus(ctx, address, request) {
		case requestInProgress:
		case upstreamUnreachable:
			first.abort()
			return nil, &Error{Outcome: outcome.Unknown, cause: errUnresponsive}
		case connectionLost:
			if first.doneWithin(ctx, responseTransitTime) {
				return first.wait()
			}
			// Other idle connections of the same age are probably lost as well.
			p.keepAlive.CloseIdleConnections()
			first.abort()
			return p.startAttempt(ctx, p.singleUse, address, request.resent()).waitAsRetry()
		case statusUnavailable:
			if !first.reusedConnection.Load() || !p.hedges.takeToken() {
				return first.wait()
			}
			return raceAttempts(first, p.startAttempt(ctx, p.singleUse, address, request.resent()))
		}
	}
}

// resentSuffix distinguishes the id of a request that is sent again from that of its first attempt, which
// the upstream may still be running.
const resentSuffix = "-resent"

// resent returns the request to send again.
func (r Request) resent() Request {
	r.ID += resentSuffix
	return r
}

// doneWithin reports whether the attempt or ctx ends within d.
func (a *attempt) doneWithin(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-a.done:
		return true
	case <-ctx.Done():
		return true
	case <-timer.C:
		return false
	}
}

// raceAttempts returns the first response of two attempts and aborts the other attempt. If the
// second attempt cannot connect, the upstream is considered lost, and the first attempt is aborted
// too.
func raceAttempts(first, second *attempt) (*Response, error) {
	select {
	case <-first.done:
		if first.err == nil {
			go second.abort()
			return first.response, nil
		}
		return second.waitAsRetry()
	case <-second.done:
	}
	switch {
	case second.err == nil:
		go first.abort()
		return second.response, nil
	case !second.mayHaveSent.Load():
		first.abort()
		return nil, &Error{Outcome: outcome.Unknown, cause: errUnresponsive}
	default:
		return first.wait()
	}
}

// waitAsRetry is wait for a request that was sent before on a connection that was lost. It replaces
// the outcome NotRun by Unknown, because the earlier attempt may have run.
func (a *attempt) waitAsRetry() (*Response, error) {
	response, err := a.wait()
	var failure *Error
	if errors.As(err, &failure) && failure.Outcome == outcome.NotRun {
		return nil, &Error{Outcome: outcome.Unknown, RetryAfter: failure.RetryAfter, cause: failure}
	}
	return response, err
}

// requestStatus is the result of a status query for a request without a response.
type requestStatus uint8

const (
	// statusUnavailable means that the upstream does not report the status of the request.
	statusUnavailable requestStatus = iota
	requestInProgress
	upstreamUnreachable
	connectionLost
)

// responseTransitTime is how long a response may still be in transit after the upstream has
// produced it.
const responseTransitTime = 100 * time.Millisecond

// statusQueryTimeout limits one status query.
const statusQueryTimeout = 2 * time.Second

// maxStatusBytes bounds the body of the response to a status query.
const maxStatusBytes = 64 << 10

// queryStatus queries the status of a request on a new connection.
func (p *Proxy) queryStatus(ctx context.Context, address string, request Request) requestStatus {
	if !request.SupportsStatusQuery {
		return statusUnavailable
	}
	status, err := p.fetchStatus(ctx, address, request.ID)
	switch {
	case errors.Is(err, errNoStatus):
		return statusUnavailable
	case err != nil:
		return upstreamUnreachable
	}
	switch status.State {
	case upstreamapi.RequestWaiting, upstreamapi.RequestRunning:
		if status.Events == 0 || !request.Streamed {
			return requestInProgress
		}
		return connectionLost
	default:
		return connectionLost
	}
}

// errNoStatus means that an upstream answers a status query with anything but a status.
var errNoStatus = errors.New("upstream does not report the status of requests")

// fetchStatus queries the status of a request on a new connection. If the upstream reports none, it returns
// errNoStatus. A status that is cut short is another error, as its upstream may be ending.
func (p *Proxy) fetchStatus(ctx context.Context, address, id string) (upstreamapi.RequestStatus, error) {
	ctx, cancel := context.WithTimeout(ctx, statusQueryTimeout)
	defer cancel()
	var status upstreamapi.RequestStatus
	target := "http://" + address + upstreamapi.RequestsPath + "/" + url.PathEscape(id)
	query, err := http.NewRequestWithContext(ctx, http.MethodGet, target, nil)
	if err != nil {
		return status, errors.Mark(err, errNoStatus)
	}
	response, err := p.singleUse.RoundTrip(query)
	if err != nil {
		return status, err
	}
	defer response.Body.Close()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxStatusBytes))
	switch {
	case err != nil:
		return status, errors.Wrap(err, "status was cut off")
	case response.StatusCode != http.StatusOK:
		return status, errNoStatus
	}
	err = DecodeReply(body, maxStatusBytes, FramingOf(response), &status)
	switch {
	case errors.Is(err, ErrTruncated):
		return status, errors.Wrap(err, "status was cut off")
	case err != nil || status.State == "":
		return status, errNoStatus
	}
	return status, nil
}

// If an upstream does not report the status of a request, the request is hedged: sent a second time
// while the first attempt is pending. Hedged requests are limited to a ratio of all requests plus a
// small burst. Without this limit, the load of an upstream that is merely slow would double.
const (
	hedgeRatio = 0.1
	hedgeBurst = 10
)

// hedgeBudget is a token bucket that each request refills by hedgeRatio. It is safe for concurrent
// use.
type hedgeBudget struct {
	mu sync.Mutex
	// tokens is between 0 and hedgeBurst.
	tokens float64
}

func newHedgeBudget() *hedgeBudget {
	return &hedgeBudget{tokens: hedgeBurst}
}

func (b *hedgeBudget) addRequest() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(b.tokens+hedgeRatio, hedgeBurst)
}

func (b *hedgeBudget) takeToken() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// idleTimeoutBody is a response body that fails if it pauses for too long.
type idleTimeoutBody struct {
	io.ReadCloser
	cancel   context.CancelFunc
	watchdog *watchdog
}

// newIdleTimeoutBody returns body with an idle timeout: cancel is called if a read takes longer than
// timeout. Otherwise the read would block until the deadline.
func newIdleTimeoutBody(body io.ReadCloser, cancel context.CancelFunc, timeout time.Duration) io.ReadCloser {
	return &idleTimeoutBody{ReadCloser: body, cancel: cancel, watchdog: newWatchdog(timeout, cancel)}
}

// Read reads from the body.
func (b *idleTimeoutBody) Read(buffer []byte) (int, error) {
	b.watchdog.begin()
	defer b.watchdog.end()
	return b.ReadCloser.Read(buffer)
}

// Close closes the body and ends the attempt.
func (b *idleTimeoutBody) Close() error {
	b.watchdog.stop()
	err := b.ReadCloser.Close()
	b.cancel()
	return err
}
