// Package desk is the API server for callers. It serves OpenAI-compatible completions and calls
// of plain services by proxying them to upstreams, and lists the models and the instances that
// callers can use.
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
	"github.com/lovagelift/lovagelift/internal/shutdown"
	"github.com/lovagelift/lovagelift/internal/shuttle"
	"github.com/lovagelift/lovagelift/internal/upstreamapi"
)

// Instance gives the server access to the state of its instance. Its methods are called
// concurrently.
type Instance interface {
	// CheckAdmission returns nil if the instance accepts new requests. It returns a refusal while
	// the instance is draining or cannot confirm its configuration.
	CheckAdmission(now time.Time) *RefusalError
	// Entries returns the addresses that the named caller may connect to, the preferred one
	// first.
	Entries(now time.Time, caller string) Entries
	// Configuration returns the configuration in force. Each request reads it only once.
	Configuration() *gazette.Configuration
	// Propose and Lookup behave like the methods of chamber.ControlPlane.
	Propose(ctx context.Context, command registry.Command) (registry.Result, error)
	Lookup(ctx context.Context, key docket.Key) (docket.Answer, error)
	// Upstreams returns the upstreams that may receive new requests, by name. Routing does not
	// use it; it uses the states passed to UpdateUpstreams.
	Upstreams(now time.Time) []roster.Upstream
	// Upstream returns the latest known state of an upstream, or false if the upstream is
	// unknown.
	Upstream(name string) (roster.Upstream, bool)
}

// Entries is a list of addresses for a caller.
type Entries struct {
	Instances []Entry
	// TTL is how long a caller may use Instances before it must request a new one.
	TTL time.Duration
}

// Entry is an instance that callers may connect to.
type Entry struct {
	Name          string
	Address       string
	FailureDomain string
}

// Limits bounds requests and the resources that each of them may use.
type Limits struct {
	// MaxBodyBytes is the maximum size of a request body.
	MaxBodyBytes int64
	// MaxPrefetchBytes is the maximum size of a response that is read in full before any of it
	// is sent to the caller. Larger responses and event streams are relayed as they arrive.
	MaxPrefetchBytes int64
	// DefaultDeadline is the time limit of a request whose service sets none.
	DefaultDeadline time.Duration
	// DefaultGoal is the latency goal of completions whose service sets none. It does not apply to
	// calls of plain services, as the first byte of their responses is not a token; they have a
	// goal only if their service declares one.
	DefaultGoal declaration.Goal
	// MaxActiveRequests is the maximum number of concurrent requests. 0 means no limit.
	MaxActiveRequests int
	// MaxQueueLength is the maximum number of requests in the queue of one model or service. 0
	// means the default of package admission.
	MaxQueueLength int
	// MaxAttempts is the maximum number of upstreams that one request is sent to.
	MaxAttempts int
	// InProgressWait is how long a request waits for another one with the same idempotency key
	// that is in progress.
	InProgressWait time.Duration
	// MaxRecordedBytes is the maximum size of a response body in an idempotency record. A larger
	// body would be replicated through the log of every voter, only for the idempotency store to
	// discard it.
	MaxRecordedBytes int64
}

// DefaultLimits has the values for limits that Options.Limits leaves at zero.
var DefaultLimits = Limits{
	MaxBodyBytes:     8 << 20,
	MaxPrefetchBytes: 8 << 20,
	DefaultDeadline:  2 * time.Minute,
	MaxAttempts:      3,
	InProgressWait:   5 * time.Second,
	MaxRecordedBytes: int64(docket.DefaultLimits().MaxBodyBytes),
}

// Options configures a Server.
type Options struct {
	Instance Instance
	// Name and Incarnation identify the instance.
	Name        string
	Incarnation uint64
	Proxy       *shuttle.Proxy
	// CrashDetector attributes crashes of upstreams to requests.
	CrashDetector *coroner.CrashDetector
	// FailureDomain is the failure domain of the instance. RemoteDelay is the one-way network
	// delay to another failure domain.
	FailureDomain string
	RemoteDelay   time.Duration
	// Instances is the number of instances that share the upstreams. 0 means 1.
	Instances int
	// UpstreamLease is how long an upstream receives new requests after its last announcement.
	UpstreamLease time.Duration
	// Now returns the current time.
	Now    func() time.Time
	Log    zerolog.Logger
	Limits Limits
	// Metrics receives the server's metrics. Nil discards them.
	Metrics tally.Scope
}

// Server is the HTTP handler for callers. It is safe for concurrent use.
type Server struct {
	options        Options
	echo           *echo.Echo
	activeRequests atomic.Int64
	metrics        metrics
	// lastClaimID is the number of the last idempotency claim of this incarnation.
	lastClaimID atomic.Uint64
	// pendingRecords tracks idempotency records that are written in the background.
	pendingRecords sync.WaitGroup
	router         *router
	workspaces     *workspaces
	bodySizes      *bodySizes
	shutdown       *shutdown.Plan[completionKey]
}

// New returns a Server.
func New(options Options) *Server {
	options.Limits = withDefaults(options.Limits)
	s := &Server{
		options: options,
		echo:    echo.New(),
		metrics: newMetrics(options.Metrics),
		router:  newRouter(options),

		workspaces: newWorkspaces(options.Instances),
		bodySizes:  newBodySizes(),
		shutdown:   shutdown.New[completionKey](),
	}
	s.echo.HTTPErrorHandler = s.handleError
	s.echo.Use(s.recoverPanic)
	s.echo.Use(s.limitActiveRequests)
	s.echo.GET(entriesPath, s.handleEntries)
	s.echo.GET("/v1/models", s.handleModels)
	s.echo.POST("/v1/chat/completions", s.handleCompletion)
	s.echo.POST("/v1/completions", s.handleCompletion)
	s.echo.GET("/v1/requests/:key", s.handleRequestStatus)
	s.echo.Any("/services/:name", s.handleServiceCall)
	s.echo.Any("/services/:name/*", s.handleServiceCall)
	return s
}

// ServeHTTP handles a caller's request.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.metrics.setActiveRequests(s.activeRequests.Add(1))
	defer func() { s.metrics.setActiveRequests(s.activeRequests.Add(-1)) }()
	s.echo.ServeHTTP(w, r)
}

// UpdateUpstreams applies changed upstream states.
func (s *Server) UpdateUpstreams(upstreams []roster.Upstream) {
	s.router.update(upstreams)
}

// ApplyCacheEvents applies events of an engine's prefix cache.
func (s *Server) ApplyCacheEvents(now time.Time, events upstreamapi.CacheEvents) {
	s.router.applyCacheEvents(now, events)
}

// Wait blocks until all background records are written. It must not be called while requests
// are in progress.
func (s *Server) Wait() {
	s.pendingRecords.Wait()
}

// ActiveRequests returns the number of requests in progress.
func (s *Server) ActiveRequests() int {
	return int(s.activeRequests.Load())
}

func withDefaults(limits Limits) Limits {
	if limits.MaxBodyBytes == 0 {
		limits.MaxBodyBytes = DefaultLimits.MaxBodyBytes
	}
	if limits.MaxPrefetchBytes == 0 {
		limits.MaxPrefetchBytes = DefaultLimits.MaxPrefetchBytes
	}
	if limits.DefaultDeadline == 0 {
		limits.DefaultDeadline = DefaultLimits.DefaultDeadline
	}
	if limits.InProgressWait == 0 {
		limits.InProgressWait = DefaultLimits.InProgressWait
	}
	if limits.MaxAttempts == 0 {
		limits.MaxAttempts = DefaultLimits.MaxAttempts
	}
	if limits.MaxRecordedBytes == 0 {
		limits.MaxRecordedBytes = DefaultLimits.MaxRecordedBytes
	}
	return limits
}
