// Package desk answers callers over HTTP (API server): which instance to use,
// which models there are, completions in the OpenAI-compatible form, and the
// calls of plain services.
package desk

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/labstack/echo/v4"
	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"github.com/lovagelift/lovagelift/internal/coroner"
	"github.com/lovagelift/lovagelift/internal/declaration"
	"github.com/lovagelift/lovagelift/internal/docket"
	"github.com/lovagelift/lovagelift/internal/gazette"
	"github.com/lovagelift/lovagelift/internal/registry"
	"github.com/lovagelift/lovagelift/internal/roster"
	"github.com/lovagelift/lovagelift/internal/shuttle"
	"github.com/lovagelift/lovagelift/internal/upstreamapi"
)

// Instance is what the desk asks of the instance that it answers for. Its
// methods are called from many goroutines at once.
type Instance interface {
	// Admits returns nil, or the refusal of new work while the instance is
	// draining or can't confirm its configuration.
	Admits(now time.Time) *RefusalError
	// Entries returns the addresses that the named caller may use, the one to use
	// first.
	Entries(now time.Time, caller string) Entries
	// Issue returns the configuration in force. A request takes one and uses no
	// other.
	Issue() *gazette.Issue
	// Propose and Lookup are those of chamber.Chamber.
	Propose(ctx context.Context, command registry.Command) (registry.Result, error)
	Lookup(ctx context.Context, key docket.Key) (docket.Answer, error)
	// Upstreams returns the upstreams that may receive new work, by name. Requests
	// go by what Update was told.
	Upstreams(now time.Time) []roster.Upstream
	// Upstream returns what was heard last of an upstream, and false if it is not known.
	Upstream(name string) (roster.Upstream, bool)
}

// Entries is where callers may connect.
type Entries struct {
	List []Entry
	// Keep is how long a caller may use List before it asks again.
	Keep time.Duration
}

// Entry is one instance that callers may connect to.
type Entry struct {
	Name          string
	Address       string
	FailureDomain string
}

// Limits bounds what a caller may send and what is held for it.
type Limits struct {
	// BodyBytes is the largest body of a request.
	BodyBytes int64
	// AnswerBytes is the largest answer that is read whole before it goes to
	// the caller.
	AnswerBytes int64
	// Deadline is the time for a request whose service gives none.
	Deadline time.Duration
	// Goal is that of completions whose service gives none. Calls of plain
	// services have a goal only if it is declared: what comes first of their
	// answers is no token.
	Goal declaration.Goal
	// Streams is the most requests in progress, 0 for no limit.
	Streams int
	// QueueLength is the most requests that wait for the upstreams of one model
	// or service, 0 for the default of package admission.
	QueueLength int
	// Attempts is the most upstreams that one request is sent to.
	Attempts int
	// ProgressWait is how long a request waits for another with its key that is
	// in progress.
	ProgressWait time.Duration
	// RecordedBytes is the largest body that is recorded with what came of a
	// request. A larger one would go through the log of every voter, for the
	// docket to drop it.
	RecordedBytes int64
}

// DefaultLimits are used for what Options leaves at zero.
var DefaultLimits = Limits{
	BodyBytes:     8 << 20,
	AnswerBytes:   8 << 20,
	Deadline:      2 * time.Minute,
	Attempts:      3,
	ProgressWait:  5 * time.Second,
	RecordedBytes: int64(docket.DefaultLimits().MaxBodyBytes),
}

// Options configures a Desk.
type Options struct {
	Instance Instance
	// Name and Incarnation are those of the instance.
	Name        string
	Incarnation uint64
	Shuttle     *shuttle.Shuttle
	// Coroner looks for upstreams that end under requests.
	Coroner *coroner.Coroner
	// FailureDomain is that of the instance, RemoteDelay the time one way to
	// another one.
	FailureDomain string
	RemoteDelay   time.Duration
	// Instances is the number of instances that share the upstreams, 0 stands
	// for 1.
	Instances int
	// UpstreamLease is how long an upstream receives new work after it was heard
	// of.
	UpstreamLease time.Duration
	// Now returns the present time.
	Now    func() time.Time
	Log    zerolog.Logger
	Limits Limits
	// Metrics is where the desk counts. Nil stands for nowhere.
	Metrics tally.Scope
}

// Desk is the handler of all callers' requests. It is safe for concurrent use.
type Desk struct {
	options Options
	echo    *echo.Echo
	streams atomic.Int64
	counts  counts
	// claims numbers the claims of this incarnation.
	claims atomic.Uint64
	// background is the recordings that callers don't wait for.
	background sync.WaitGroup
	router     *router
}

// New returns a Desk.
func New(options Options) *Desk {
	options.Limits = withDefaults(options.Limits)
	d := &Desk{
		options: options,
		echo:    echo.New(),
		counts:  newCounts(options.Metrics),
		router:  newRouter(options),
	}
	d.echo.HTTPErrorHandler = d.handleError
	d.echo.Use(d.recoverPanic)
	d.echo.Use(d.limitStreams)
	d.echo.GET(entriesPath, d.entries)
	d.echo.GET("/v1/models", d.models)
	d.echo.POST("/v1/chat/completions", d.completions)
	d.echo.POST("/v1/completions", d.completions)
	d.echo.GET("/v1/requests/:key", d.requests)
	d.echo.Any("/services/:name", d.services)
	d.echo.Any("/services/:name/*", d.services)
	return d
}

// ServeHTTP answers one request of a caller.
func (d *Desk) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	d.counts.open(d.streams.Add(1))
	defer func() { d.counts.open(d.streams.Add(-1)) }()
	d.echo.ServeHTTP(w, r)
}

// Update takes in what has changed of the upstreams.
func (d *Desk) Update(upstreams []roster.Upstream) {
	d.router.update(upstreams)
}

// Cached takes in what happened in an engine's prefix cache.
func (d *Desk) Cached(now time.Time, events upstreamapi.CacheEvents) {
	d.router.cached(now, events)
}

// Wait returns when everything that was begun is recorded. No request may be in
// progress.
func (d *Desk) Wait() {
	d.background.Wait()
}

// Streams returns the number of requests in progress.
func (d *Desk) Streams() int {
	return int(d.streams.Load())
}

func withDefaults(limits Limits) Limits {
	if limits.BodyBytes == 0 {
		limits.BodyBytes = DefaultLimits.BodyBytes
	}
	if limits.AnswerBytes == 0 {
		limits.AnswerBytes = DefaultLimits.AnswerBytes
	}
	if limits.Deadline == 0 {
		limits.Deadline = DefaultLimits.Deadline
	}
	if limits.ProgressWait == 0 {
		limits.ProgressWait = DefaultLimits.ProgressWait
	}
	if limits.Attempts == 0 {
		limits.Attempts = DefaultLimits.Attempts
	}
	if limits.RecordedBytes == 0 {
		limits.RecordedBytes = DefaultLimits.RecordedBytes
	}
	return limits
}
