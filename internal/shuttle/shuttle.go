// Package shuttle is the reverse proxy: it sends one request to one upstream and relays the
// response.
//
// It sends requests unchanged, apart from hop-by-hop headers and the headers of the upstream API,
// and follows no redirects. A request that is not idempotent is sent once. An idempotent request may
// be sent again, but only to the same upstream, if the first connection has become unresponsive. The
// caller of this package decides about retries at other upstreams.
package shuttle

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/lovagelift/lovagelift/internal/outcome"
	"github.com/lovagelift/lovagelift/internal/ratelimit"
	"github.com/lovagelift/lovagelift/internal/transport"
	"github.com/lovagelift/lovagelift/internal/upstreamapi"
)

// Request is a request to an upstream.
type Request struct {
	// ID identifies this attempt to the upstream.
	ID string
	// Method, Target and Header are those of the caller's request. Target is the path and query.
	Method string
	Target string
	Header http.Header
	Body   []byte
	// Idempotent is true if running the request twice does no harm.
	Idempotent bool
	// Streamed is true if the response is an event stream, whose header is sent with the first
	// event.
	Streamed bool
	// SupportsStatusQuery is true if the upstream supports status queries for requests. A plain
	// service may mistake a status query for a regular request.
	SupportsStatusQuery bool
	Priority            int
	// Remaining is the time left until the deadline.
	Remaining time.Duration
}

// Response is an upstream's response with an unread body.
type Response struct {
	// RequestID identifies to the upstream the attempt that the response belongs to.
	RequestID string

	Status int
	Header http.Header
	// Limit is the rate limit that the response states.
	Limit ratelimit.Observation
	// Length is the number of bytes of Body, negative if unknown.
	Length  int64
	Framing Framing
	Body    io.ReadCloser
	// prefetched is the whole body if Prefetch has read it, else nil.
	prefetched []byte
	// prefetchBudget bounds the memory of all prefetched bodies. It may be nil.
	prefetchBudget *ByteBudget
}

// PrefetchedBody returns the body if Prefetch has read all of it. Body still returns it as well.
func (r *Response) PrefetchedBody() (body []byte, ok bool) {
	return r.prefetched, r.prefetched != nil
}

// Error describes why there is no complete response, and whether the request ran.
type Error struct {
	// Outcome is the outcome that may be promised to the caller.
	Outcome outcome.Outcome
	// Refused is true if the upstream reported that it ran no part of the request.
	Refused bool
	// RetryAfter is the delay that the upstream requested, 0 if none.
	RetryAfter time.Duration
	// Limit is the rate limit that the refusal states, nil if Refused is false.
	Limit ratelimit.Observation
	cause error
}

// Error returns the outcome and the cause.
func (e *Error) Error() string {
	return "shuttle: " + e.Outcome.String() + ": " + e.cause.Error()
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error {
	return e.cause
}

// Proxy sends requests to upstreams. It is safe for concurrent use.
type Proxy struct {
	dial      func(ctx context.Context, network, address string) (net.Conn, error)
	keepAlive *transport.Transport
	singleUse *transport.Transport
	// statusQueryDelay is how long an idempotent request waits for a response before its status is
	// queried.
	statusQueryDelay time.Duration
	bodyIdleTimeout  time.Duration
	hedges           *hedgeBudget
	prefetchBudget   *ByteBudget
}

// Options configures a Proxy. The zero value uses TCP and the defaults.
type Options struct {
	// Dial connects to an upstream. Nil means TCP.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	// ConnectTimeout limits the time to connect. 0 means 1 s.
	ConnectTimeout time.Duration
	// IdleConnections is the maximum number of idle connections to each upstream. 0 means 64.
	IdleConnections int
	// StatusQueryDelay is how long an idempotent request waits for a response before its status is
	// queried on another connection. 0 means 1 s.
	StatusQueryDelay time.Duration
	// BodyIdleTimeout is how long a response may pause before it counts as truncated. 0 means 15 s.
	BodyIdleTimeout time.Duration
	// PrefetchBudgetBytes bounds the memory of all prefetched bodies. 0 means 64 MiB.
	PrefetchBudgetBytes int64
}

// Defaults of Options.
const (
	defaultConnectTimeout   = time.Second
	defaultIdleConnections  = 64
	defaultStatusQueryDelay = time.Second
	defaultBodyIdleTimeout  = 15 * time.Second
	// defaultPrefetchBudgetBytes holds several of the largest bodies that are prefetched by default.
	defaultPrefetchBudgetBytes = 64 << 20
	idleConnectionTimeout      = 30 * time.Second
)

// New returns a Proxy.
func New(options Options) *Proxy {
	if options.ConnectTimeout == 0 {
		options.ConnectTimeout = defaultConnectTimeout
	}
	if options.IdleConnections == 0 {
		options.IdleConnections = defaultIdleConnections
	}
	if options.StatusQueryDelay == 0 {
		options.StatusQueryDelay = defaultStatusQueryDelay
	}
	if options.BodyIdleTimeout == 0 {
		options.BodyIdleTimeout = defaultBodyIdleTimeout
	}
	if options.PrefetchBudgetBytes == 0 {
		options.PrefetchBudgetBytes = defaultPrefetchBudgetBytes
	}
	if options.Dial == nil {
		options.Dial = (&net.Dialer{}).DialContext
	}
	dial := func(ctx context.Context, network, address string) (net.Conn, error) {
		ctx, cancel := context.WithTimeout(ctx, options.ConnectTimeout)
		defer cancel()
		return options.Dial(ctx, network, address)
	}
	return &Proxy{
		dial:             dial,
		statusQueryDelay: options.StatusQueryDelay,
		bodyIdleTimeout:  options.BodyIdleTimeout,
		hedges:           newHedgeBudget(),
		prefetchBudget:   NewByteBudget(options.PrefetchBudgetBytes),
		keepAlive: transport.New(&http.Transport{
			DialContext:         dial,
			DisableCompression:  true,
			MaxIdleConnsPerHost: options.IdleConnections,
			IdleConnTimeout:     idleConnectionTimeout,
		}),
		singleUse: transport.New(&http.Transport{
			DialContext:        dial,
			DisableCompression: true,
			DisableKeepAlives:  true,
		}),
	}
}

// Close closes the idle connections.
func (p *Proxy) Close() {
	p.keepAlive.CloseIdleConnections()
	p.singleUse.CloseIdleConnections()
}

// Send sends request to the upstream at address and waits for the header of the response. If there
// is none, or the upstream refused the request before running it, Send returns a *Error. The body
// of the Response must be closed.
//
// ctx limits the whole attempt, including reading the body. A request that is not idempotent is
// sent exactly once. An idempotent request may be sent again to the same upstream on another
// connection if the first one has become unresponsive.
func (p *Proxy) Send(ctx context.Context, address string, request Request) (*Response, error) {
	if request.Idempotent {
		return p.sendIdempotent(ctx, address, request)
	}
	// If the upstream's end has lost the state of a keep-alive connection, a request on it would be
	// written and never answered: its outcome would be unknown although it never arrived. Besides,
	// net/http retries requests that it considers idempotent on another connection, for which an
	// Idempotency-Key header is sufficient. On a single-use connection it retries nothing.
	return p.startAttempt(ctx, p.singleUse, address, request).wait()
}

// attempt is a request on one connection.
type attempt struct {
	cancel context.CancelFunc
	// mayHaveSent is true once bytes may have been sent.
	mayHaveSent atomic.Bool
	// reusedConnection is true if the connection has carried an earlier request.
	reusedConnection atomic.Bool
	done             chan struct{}
	// response and err are set before done is closed.
	response *Response
	err      error
}

// startAttempt sends request on a connection of client.
func (p *Proxy) startAttempt(ctx context.Context, client *transport.Transport, address string, request Request) *attempt {
	ctx, cancel := context.WithCancel(ctx)
	a := &attempt{cancel: cancel, done: make(chan struct{})}
	go func() {
		defer close(a.done)
		a.response, a.err = p.roundTrip(ctx, a, client, address, request)
		if a.err != nil {
			cancel()
		}
	}()
	return a
}

// wait blocks until the header of the response has arrived, and returns the response or the error.
func (a *attempt) wait() (*Response, error) {
	<-a.done
	return a.response, a.err
}

// abort cancels the attempt and closes the body of any response.
func (a *attempt) abort() {
	a.cancel()
	<-a.done
	if a.response != nil {
		a.response.Body.Close()
	}
}

func (p *Proxy) roundTrip(
	ctx context.Context, a *attempt, client *transport.Transport, address string, request Request,
) (*Response, error) {
	traced := httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		// From here on bytes may be sent. All earlier steps only establish the connection.
		GotConn: func(info httptrace.GotConnInfo) {
			a.mayHaveSent.Store(true)
			a.reusedConnection.Store(info.Reused)
		},
	})
	outgoing, err := p.buildRequest(traced, address, request)
	if err != nil {
		return nil, &Error{Outcome: outcome.NotRun, cause: err}
	}
	response, err := client.RoundTrip(outgoing)
	if err != nil {
		return nil, transportError(err, a.mayHaveSent.Load())
	}
	if response.Header.Get(upstreamapi.RefusedHeader) == outcome.NotRun.String() {
		defer response.Body.Close()
		return nil, refusalError(response)
	}
	return &Response{
		RequestID: request.ID,

		Status:  response.StatusCode,
		Header:  response.Header,
		Limit:   rateLimitOf(response.Header),
		Length:  response.ContentLength,
		Framing: FramingOf(response),
		Body:    newIdleTimeoutBody(response.Body, a.cancel, p.bodyIdleTimeout),

		prefetchBudget: p.prefetchBudget,
	}, nil
}

func (p *Proxy) buildRequest(ctx context.Context, address string, request Request) (*http.Request, error) {
	outgoing, err := http.NewRequestWithContext(ctx, request.Method, "http://"+address+request.Target, nil)
	if err != nil {
		return nil, errors.Wrap(err, "building the request")
	}
	outgoing.Header = EndToEndHeader(request.Header)
	outgoing.Header.Set(upstreamapi.RequestIDHeader, request.ID)
	outgoing.Header.Set(upstreamapi.PriorityHeader, strconv.Itoa(request.Priority))
	outgoing.Header.Set(upstreamapi.DeadlineHeader, strconv.FormatInt(request.Remaining.Milliseconds(), 10))
	outgoing.ContentLength = int64(len(request.Body))
	// net/http never retries a request whose body, even an empty one, cannot be rewound.
	outgoing.Body = io.NopCloser(bytes.NewReader(request.Body))
	outgoing.GetBody = nil
	return outgoing, nil
}

func transportError(err error, mayHaveSent bool) *Error {
	if !mayHaveSent {
		return &Error{Outcome: outcome.NotRun, cause: err}
	}
	return &Error{Outcome: outcome.Unknown, cause: err}
}

func refusalError(response *http.Response) *Error {
	return &Error{
		Outcome:    outcome.NotRun,
		Refused:    true,
		RetryAfter: ratelimit.ParsePushback(response.Header.Get("Retry-After")),
		Limit:      rateLimitOf(response.Header),
		cause:      errors.Newf("upstream refused with status %d", response.StatusCode),
	}
}

func rateLimitOf(header http.Header) ratelimit.Observation {
	return ratelimit.ParseHeader(header.Values(upstreamapi.LimitHeader))
}

// errUnresponsive is the cause of the Error for an upstream that neither responds nor can be
// queried.
var errUnresponsive = errors.New("upstream neither responds nor can be queried")
