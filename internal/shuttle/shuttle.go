// Package shuttle carries one request to one upstream and its answer back
// (reverse proxy).
//
// It sends exactly what it is told to send, and follows no redirects. What must
// not run twice goes out once. What is idempotent goes out again only to the same
// upstream, when the connection that carried it has gone silent. Whether to try
// another upstream is decided elsewhere.
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
	"github.com/lovagelift/lovagelift/internal/upstreamapi"
)

// Request is what is sent to an upstream.
type Request struct {
	// ID names this attempt; the upstream knows the request by it.
	ID string
	// Method, Target and Header are the caller's. Target is the path and query.
	Method string
	Target string
	Header http.Header
	Body   []byte
	// Idempotent is true if running the request twice does no harm.
	Idempotent bool
	// Streamed is true if the answer is a stream of events, whose head comes
	// with the first.
	Streamed bool
	// AskAfter is true if the upstream answers questions after a request. A plain
	// service may take such a question for a call of its own.
	AskAfter bool
	Priority int
	// Remaining is the time that is left to the deadline.
	Remaining time.Duration
}

// Answer is an upstream's answer whose body is still to be read.
type Answer struct {
	Status int
	Header http.Header
	// Limit is what the answer says of the requests that the upstream takes.
	Limit ratelimit.Said
	// Length is the number of bytes of Body, negative if it is not known.
	Length int64
	Body   io.ReadCloser
	// whole is the body if it was read ahead whole, else nil.
	whole []byte
}

// Whole returns the body if Prefetch read it whole. Body still gives it too.
func (a *Answer) Whole() (body []byte, ok bool) {
	return a.whole, a.whole != nil
}

// Error says why there is no whole answer, and whether the request ran.
type Error struct {
	// Outcome is what may be promised to the caller.
	Outcome outcome.Outcome
	// Refused is true if the upstream said that it ran nothing of the request.
	Refused bool
	// RetryAfter is the time that the upstream asked for, 0 if it did not.
	RetryAfter time.Duration
	// Limit is what the refusal says of the requests that the upstream takes, nil if Refused
	// is false.
	Limit ratelimit.Said
	cause error
}

// Error returns the cause and the outcome.
func (f *Error) Error() string {
	return "shuttle: " + f.Outcome.String() + ": " + f.cause.Error()
}

// Unwrap returns the cause.
func (f *Error) Unwrap() error {
	return f.cause
}

// Shuttle sends requests to upstreams. It is safe for concurrent use.
type Shuttle struct {
	kept  *http.Transport
	fresh *http.Transport
	// silence is how long an idempotent request may go without an answer before
	// the upstream is asked after it.
	silence     time.Duration
	bodySilence time.Duration
	hedges      *hedgeBudget
}

// Options configures a Shuttle. The zero value uses TCP and the defaults.
type Options struct {
	// Dial connects to an upstream. Nil stands for TCP.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	// ConnectTimeout bounds the time to connect, 0 stands for 1 s.
	ConnectTimeout time.Duration
	// IdleConnections is how many idle connections are kept to each upstream, 0
	// stands for 64.
	IdleConnections int
	// SilenceTime is how long an idempotent request may go without an answer
	// before the upstream is asked after it on another connection, 0 stands for
	// 1 s.
	SilenceTime time.Duration
	// BodySilence is how long an answer may pause before it counts as cut off, 0
	// stands for 15 s.
	BodySilence time.Duration
}

// Defaults of Options.
const (
	defaultConnectTimeout  = time.Second
	defaultIdleConnections = 64
	defaultSilenceTime     = time.Second
	defaultBodySilence     = 15 * time.Second
	idleConnectionTimeout  = 30 * time.Second
)

// New returns a Shuttle.
func New(options Options) *Shuttle {
	if options.ConnectTimeout == 0 {
		options.ConnectTimeout = defaultConnectTimeout
	}
	if options.IdleConnections == 0 {
		options.IdleConnections = defaultIdleConnections
	}
	if options.SilenceTime == 0 {
		options.SilenceTime = defaultSilenceTime
	}
	if options.BodySilence == 0 {
		options.BodySilence = defaultBodySilence
	}
	if options.Dial == nil {
		options.Dial = (&net.Dialer{}).DialContext
	}
	dial := func(ctx context.Context, network, address string) (net.Conn, error) {
		ctx, cancel := context.WithTimeout(ctx, options.ConnectTimeout)
		defer cancel()
		return options.Dial(ctx, network, address)
	}
	return &Shuttle{
		silence:     options.SilenceTime,
		bodySilence: options.BodySilence,
		hedges:      newHedgeBudget(),
		kept: &http.Transport{
			DialContext:         dial,
			DisableCompression:  true,
			MaxIdleConnsPerHost: options.IdleConnections,
			IdleConnTimeout:     idleConnectionTimeout,
		},
		fresh: &http.Transport{
			DialContext:        dial,
			DisableCompression: true,
			DisableKeepAlives:  true,
		},
	}
}

// Close closes the idle connections.
func (s *Shuttle) Close() {
	s.kept.CloseIdleConnections()
	s.fresh.CloseIdleConnections()
}

// Send sends request to the upstream at address and waits for the head of its
// answer. If there is none, or the upstream refused before running, Send
// returns a *Error. The body of the Answer must be closed.
//
// ctx bounds the whole attempt, reading the body included. A request that must
// not run twice goes out exactly once. One that is idempotent may go out again to
// the same upstream, on another connection, if the first has gone silent.
func (s *Shuttle) Send(ctx context.Context, address string, request Request) (*Answer, error) {
	if request.Idempotent {
		return s.sendWatched(ctx, address, request)
	}
	// On a kept connection that the other end has lost track of, the request
	// would be written and never answered: its outcome would be unknown although
	// it never arrived. net/http would moreover resend on another connection what
	// it takes for idempotent, and an Idempotency-Key header is enough for that.
	// On a connection of its own net/http resends nothing.
	return s.begin(ctx, s.fresh, address, request).wait()
}

// attempt is a request on one connection.
type attempt struct {
	cancel context.CancelFunc
	// reached is true once bytes may have gone out.
	reached atomic.Bool
	// reused is true if the connection had carried a request before.
	reused atomic.Bool
	done   chan struct{}
	// answer and err are set before done is closed.
	answer *Answer
	err    error
}

// begin sends request on a connection of transport.
func (s *Shuttle) begin(ctx context.Context, transport *http.Transport, address string, request Request) *attempt {
	ctx, cancel := context.WithCancel(ctx)
	a := &attempt{cancel: cancel, done: make(chan struct{})}
	go func() {
		defer close(a.done)
		a.answer, a.err = s.roundTrip(ctx, a, transport, address, request)
		if a.err != nil {
			cancel()
		}
	}()
	return a
}

// wait returns the head of the answer.
func (a *attempt) wait() (*Answer, error) {
	<-a.done
	return a.answer, a.err
}

// drop ends the attempt and whatever it brings yet.
func (a *attempt) drop() {
	a.cancel()
	<-a.done
	if a.answer != nil {
		a.answer.Body.Close()
	}
}

func (s *Shuttle) roundTrip(
	ctx context.Context, a *attempt, transport *http.Transport, address string, request Request,
) (*Answer, error) {
	traced := httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		// From here on bytes may go out. Everything before is connecting.
		GotConn: func(info httptrace.GotConnInfo) {
			a.reached.Store(true)
			a.reused.Store(info.Reused)
		},
	})
	outgoing, err := s.build(traced, address, request)
	if err != nil {
		return nil, &Error{Outcome: outcome.NotRun, cause: err}
	}
	response, err := transport.RoundTrip(outgoing)
	if err != nil {
		return nil, failed(err, a.reached.Load())
	}
	if response.Header.Get(upstreamapi.RefusedHeader) == outcome.NotRun.String() {
		defer response.Body.Close()
		return nil, refused(response)
	}
	return &Answer{
		Status: response.StatusCode,
		Header: response.Header,
		Limit:  limitOf(response.Header),
		Length: response.ContentLength,
		Body:   watchBody(response.Body, a.cancel, s.bodySilence),
	}, nil
}

func (s *Shuttle) build(ctx context.Context, address string, request Request) (*http.Request, error) {
	outgoing, err := http.NewRequestWithContext(ctx, request.Method, "http://"+address+request.Target, nil)
	if err != nil {
		return nil, errors.Wrap(err, "building the request")
	}
	outgoing.Header = Forwardable(request.Header)
	outgoing.Header.Set(upstreamapi.RequestIDHeader, request.ID)
	outgoing.Header.Set(upstreamapi.PriorityHeader, strconv.Itoa(request.Priority))
	outgoing.Header.Set(upstreamapi.DeadlineHeader, strconv.FormatInt(request.Remaining.Milliseconds(), 10))
	outgoing.ContentLength = int64(len(request.Body))
	// A body that net/http can't rewind, even an empty one, keeps it from ever
	// sending the request again by itself.
	outgoing.Body = io.NopCloser(bytes.NewReader(request.Body))
	outgoing.GetBody = nil
	return outgoing, nil
}

func failed(err error, reached bool) *Error {
	if !reached {
		return &Error{Outcome: outcome.NotRun, cause: err}
	}
	return &Error{Outcome: outcome.Unknown, cause: err}
}

func refused(response *http.Response) *Error {
	return &Error{
		Outcome:    outcome.NotRun,
		Refused:    true,
		RetryAfter: retryAfter(response.Header),
		Limit:      limitOf(response.Header),
		cause:      errors.Newf("upstream refused with status %d", response.StatusCode),
	}
}

func limitOf(header http.Header) ratelimit.Said {
	return ratelimit.Read(header.Values(upstreamapi.LimitHeader))
}

// retryAfter reads a Retry-After header given in seconds; the form with a date
// is not used between upstreams and the system.
func retryAfter(header http.Header) time.Duration {
	seconds, err := strconv.Atoi(header.Get("Retry-After"))
	if err != nil || seconds < 0 {
		return 0
	}
	return time.Duration(seconds) * time.Second
}

// errSilent is the cause of the Error of a request whose upstream went silent.
var errSilent = errors.New("the upstream went silent and can't be asked")
