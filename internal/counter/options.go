// Package counter is an entry instance: it takes callers' requests, finds their
// route, chooses an upstream and relays its answer (reverse proxy).
//
// What it knows of routes, upstreams and models it learns from control
// instances, several times a second. While these are lost it goes on with what
// it knew last: a caller that is served by a route a minute old is better off
// than one that is refused.
package counter

import (
	"net"
	"net/http"
	"time"

	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"github.com/lovagelift/lovagelift/internal/courier"
	"github.com/lovagelift/lovagelift/internal/ratelimit"
	"github.com/lovagelift/lovagelift/internal/routes"
)

// Options configures a Counter.
type Options struct {
	// Name is the address at which others reach this instance, Peers included. CallerAddress is where callers
	// reach this one.
	Name          string
	CallerAddress string
	FailureDomain string
	// Seeds are the inner addresses of control instances to begin with.
	Seeds []string
	Dial  courier.Dial
	// Peers is where other entry instances ask this one to place requests, and answer. The
	// Counter closes it. If it is nil, this one decides by itself.
	Peers net.PacketConn
	// UpstreamLease is how long an upstream gets work after it was heard of.
	UpstreamLease time.Duration
	// Retries bounds the requests that are sent once more, for each service.
	Retries RetryLimits
	// Table reads the routes that an operator sent.
	Table func(content []byte) (*routes.Table, error)
	// RoutesWithin is how soon after an operator was told so a change of the routes is in
	// force at an instance that control instances reach. Default 2 s.
	RoutesWithin time.Duration
	// Dialect is how upstreams are spoken to.
	Dialect Dialect
	Now     func() time.Time
	Log     zerolog.Logger
	// Metrics is where the instance counts; nowhere if nil.
	Metrics tally.Scope
}

// RetryLimits bound the requests that all entry instances together send to the
// upstreams of a service once more.
type RetryLimits struct {
	// Share is how many there may be for each fresh request.
	Share float64
	// Slack is how many there may be beyond that within Window.
	Slack  float64
	Window time.Duration
}

// Dialect is what differs between the protocols that upstreams speak.
type Dialect interface {
	// Prepare completes the header of a request to an upstream.
	Prepare(header http.Header, attempt Attempt)
	// Judge tells what an answer's head says of the request.
	Judge(response *http.Response, requestID string) Judgement
	// Limit tells what an answer's head says of the requests a second that its upstream takes
	// from all senders together.
	Limit(header http.Header) ratelimit.Said
}

// Attempt is one sending of a request to an upstream.
type Attempt struct {
	RequestID string
	// Upstream is the name of the process that is meant. Whoever else answers at
	// the address must not run the request.
	Upstream string
	// Remaining is the time that is left.
	Remaining time.Duration
	// Priority is that of the route, 0 being the most urgent.
	Priority uint8
}

// Judgement is what an answer's head says of a request.
type Judgement uint8

// The judgements.
const (
	// Answered means that the upstream ran the request and this is its answer.
	Answered Judgement = iota + 1
	// NotRun means that the upstream did not run the request and never will.
	NotRun
	// Misdirected is NotRun by a process that is not the one that was meant, or
	// that does not hold the model.
	Misdirected
	// Mismatched means that this is the answer to another request.
	Mismatched
)

// Call is what a caller's headers say of its request.
type Call struct {
	ID string
	// Caller is who sends it, empty if it does not say.
	Caller string
	// Patience is how long the caller waits, 0 if it does not say.
	Patience time.Duration
	Model    string
	// Adapter is empty for the model itself.
	Adapter      string
	PromptTokens int
	AnswerTokens int
}

// The intervals and limits of an entry instance.
const (
	// syncEvery is the time between two questions to a control instance: routes
	// and departures are in force here well within 1 s.
	syncEvery = 250 * time.Millisecond
	// syncShare is the time between the questions of two entry instances at the least, so
	// that a leader with 0.12 of a core has 20 ms of it for every 28 questions. syncMost
	// bounds the pause that follows: what leaves must be known within 2 s.
	syncShare = 6 * time.Millisecond
	syncMost  = time.Second
	// syncTimeout is how long a control instance has to answer before another is
	// asked.
	syncTimeout = 600 * time.Millisecond
	// loadTimeout bounds how long a control instance waits for a load that a request
	// asks for, and wantTimeout the call.
	loadTimeout = 800 * time.Millisecond
	wantTimeout = 1200 * time.Millisecond
	// connectTimeout bounds connecting to an upstream: a round trip between
	// failure domains takes 3 ms.
	connectTimeout = 250 * time.Millisecond
)
