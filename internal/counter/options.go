// Package counter is the reverse proxy of an entry instance: it matches a caller's request to a
// route, selects an upstream, waits for capacity there and relays the response.
//
// Routes, upstreams and loaded models are synchronized from control instances several times a
// second. While no control instance answers, the proxy continues with the last known state: serving
// a caller by a route that is a minute old is better than refusing it.
package counter

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"github.com/lovagelift/lovagelift/internal/courier"
	"github.com/lovagelift/lovagelift/internal/quarantine"
	"github.com/lovagelift/lovagelift/internal/quota"
	"github.com/lovagelift/lovagelift/internal/ratelimit"
	"github.com/lovagelift/lovagelift/internal/routes"
)

// Options configures a Proxy.
type Options struct {
	// Name is the address at which other instances reach this one, over PeerConn as well.
	// CallerAddress is the address at which callers reach it.
	Name          string
	CallerAddress string
	FailureDomain string
	// Seeds are the inner addresses of the first control instances to contact, at least one.
	Seeds []string
	Dial  courier.Dial
	// DialUpstream connects to an upstream, within the time that ctx allows. Default TCP.
	DialUpstream func(ctx context.Context, network, address string) (net.Conn, error)
	// PeerConn carries the messages that entry instances exchange to share engines. The Proxy closes
	// it. If it is nil, this instance places all its requests itself.
	PeerConn net.PacketConn
	// UpstreamLease is how long an upstream remains eligible for requests after it was last heard
	// from.
	UpstreamLease time.Duration
	// Retries limits the retries of each service.
	Retries RetryLimits
	// QuotaTolerance is the tolerated excess over the quota of a workspace.
	QuotaTolerance quota.Tolerance
	// ParseRoutes parses the routes that an operator submitted.
	ParseRoutes func(content []byte) (*routes.Table, error)
	// MaxRouteUpdateDelay is the longest time between the acknowledgement of a route change to the
	// operator and its effect at an instance that can reach a control instance. Default 2 s.
	MaxRouteUpdateDelay time.Duration
	// MemoryBytes is the memory that the process may take. A third of it is for the bodies of requests;
	// what does not fit is refused. With 0, bodies have no common bound.
	MemoryBytes int64
	// Dialect is the protocol spoken with upstreams.
	Dialect Dialect
	Now     func() time.Time
	Log     zerolog.Logger
	// Metrics is the scope of the instance's metrics. If it is nil, none are recorded.
	Metrics tally.Scope
}

// bodyMemoryShare is the divisor of the memory for the bodies of requests. The garbage of as much again
// may not be collected yet.
const bodyMemoryShare = 3

// RetryLimits limits the retries that all entry instances together send to the upstreams of one
// service.
type RetryLimits struct {
	// Ratio is the number of retries allowed for each new request.
	Ratio float64
	// Burst is the number of additional retries allowed within Window.
	Burst  float64
	Window time.Duration
}

// Dialect covers the differences between the protocols that upstreams speak.
type Dialect interface {
	// Prepare completes the header of a request to an upstream.
	Prepare(header http.Header, attempt Attempt)
	// Classify classifies a response by its status and header.
	Classify(response *http.Response, requestID string) ResponseClass
	// ParseLimit parses the rate limit that a response header states: the requests per second that
	// the upstream accepts from all senders together.
	ParseLimit(header http.Header) ratelimit.Observation
	// ParsePushback returns for how long an upstream that refuses a request wants no others from
	// this instance, 0 if the response states no time.
	ParsePushback(response *http.Response) time.Duration
	// ParseRefusalTolerance returns how many requests per second the upstream can refuse for lack of
	// capacity without failing, 0 if the response header does not state it.
	ParseRefusalTolerance(header http.Header) int
	// StatesLeave reports whether a response header states that the upstream is leaving.
	StatesLeave(header http.Header) bool
	// LivenessCheck returns the path and the header of a GET request that a process of a service answers
	// as long as it runs, and no other process does. service is nil if it is not in the routes. If there is
	// no such request, the path is empty.
	LivenessCheck(service *routes.Service, process quarantine.Lifetime) (path string, header http.Header)
	// ParseLiveness returns what the response to a liveness check tells about a process.
	ParseLiveness(response *http.Response, process quarantine.Lifetime) Liveness
}

// Attempt describes one attempt to send a request to an upstream.
type Attempt struct {
	RequestID string
	// Upstream is the name of the intended process. Any other process at the same address must not
	// run the request.
	Upstream string
	// Remaining is the time left until the request's deadline.
	Remaining time.Duration
	// Priority is the priority of the route; 0 is the most urgent.
	Priority uint8
	// Workspace is the name of the caller's workspace, empty if the request has none.
	Workspace string
}

// ResponseClass classifies an upstream's response.
type ResponseClass uint8

const (
	// Answered means that the upstream ran the request and this is its response.
	Answered ResponseClass = iota + 1
	// NotRun means that the upstream did not run the request and never will.
	NotRun
	// Misdirected is NotRun from a process that is not the intended one, or that has not loaded the
	// model.
	Misdirected
	// Mismatched means that this is the response to another request.
	Mismatched
)

// Call holds the values of a caller's request headers.
type Call struct {
	ID string
	// Resumes is the ID of the caller's earlier request that brought the first event of the stream
	// that this request resumes, empty if it resumes none.
	Resumes string
	// Key is the API key of the caller's workspace, empty if the headers have none.
	Key string
	// Timeout is how long the caller waits, 0 if the headers do not state it.
	Timeout time.Duration
	Model   string
	// Adapter is empty for the base model.
	Adapter      string
	PromptTokens int
	// OutputTokens is the expected number of tokens of the answer, and MaxOutputTokens the maximum, 0 if the
	// headers do not state it.
	OutputTokens    int
	MaxOutputTokens int
	// PromptParts are the ids of the parts of the prompt that other requests may share, each once.
	PromptParts []string
	// Session is the id of the last part of the prompt, which belongs to the request or its session,
	// empty if the headers list no parts. All attempts of a request have the same one.
	Session string
	// Size is what a quota counts. Unlike OutputTokens, it includes the maximum of the answer.
	Size quota.Size
}

// Intervals and timeouts of the calls to control instances and upstreams.
const (
	// minSyncInterval is the time between two syncs with a control instance, unless many entry
	// instances share it. Routes and leaving upstreams take effect here well within 1 s.
	minSyncInterval = 250 * time.Millisecond
	// minSyncSpacing is the minimum average time between the syncs that one control instance
	// serves: a leader with 0.12 of a core has 20 ms of CPU time for 28 syncs. maxSyncInterval
	// bounds the resulting interval, because a leaving upstream must be known within 2 s.
	minSyncSpacing  = 6 * time.Millisecond
	maxSyncInterval = time.Second
	// syncSpacingPerUpstream is the minimum average time between these syncs for each upstream: a
	// reply renews all of them.
	syncSpacingPerUpstream = 24 * time.Microsecond
	// syncTimeout is how long a control instance has to reply before another one is tried.
	syncTimeout = 600 * time.Millisecond
	// loadTimeout bounds how long a control instance waits for a requested load, and
	// loadCallTimeout the call itself.
	loadTimeout     = 800 * time.Millisecond
	loadCallTimeout = 1200 * time.Millisecond
	// connectTimeout bounds connecting to an upstream. A round trip between failure domains takes
	// 3 ms.
	connectTimeout = 250 * time.Millisecond
)
