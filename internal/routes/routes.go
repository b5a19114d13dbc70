// Package routes is the routing table of requests: it maps a host and path prefix to
// services, with the operator's requirements for the responses.
//
// A Table is immutable and safe for concurrent use.
package routes

import (
	"maps"
	"math"
	"slices"
	"strings"
	"time"

	"github.com/lovagelift/lovagelift/internal/workspace"
)

// Kind says whether requests of a route may run more than once.
type Kind uint8

const (
	// Idempotent requests may run more than once.
	Idempotent Kind = iota + 1
	// NonIdempotent requests run at most once.
	NonIdempotent
	// Stream requests have a stream of events as the response. They run at most once, unless
	// the route is resumable.
	Stream
)

// String returns the word for the log.
func (k Kind) String() string {
	switch k {
	case Idempotent:
		return "idempotent"
	case NonIdempotent:
		return "non-idempotent"
	case Stream:
		return "stream"
	default:
		return "none"
	}
}

// Share is the part of a route's requests that goes to one service.
type Share struct {
	Service string
	// Weight is not negative. The weights of a route add up to more than 0.
	Weight float64
}

// Route describes the requests of one host under one path prefix.
type Route struct {
	Name string
	Host string
	// Prefix begins and ends with a slash.
	Prefix string
	Kind   Kind
	// Timeout is the longest time that a request waits for its response. It is above 0.
	Timeout time.Duration
	// Objective is the target time for a response, or for the first event of a stream. 0
	// means no target.
	Objective time.Duration
	// MaxEventGap is the target for the longest pause between two events of a stream. 0
	// means no target.
	MaxEventGap time.Duration
	// Priority is the priority of the requests, 0 being the most urgent.
	Priority uint8
	// MaxAttempts is the maximum number of upstreams that may run one request. It is at
	// least 1.
	MaxAttempts int
	// Resumable reports that a stream may continue at another upstream.
	Resumable bool
	// Public reports that callers need no key.
	Public bool
	// Shares is not empty.
	Shares []Share
}

// BatchObjective is the objective from which on nobody watches for the response: people keep their
// attention on a reply for about 10 s.
const BatchObjective = 10 * time.Second

// IsBatch reports whether requests with an objective are work that can wait.
func IsBatch(objective time.Duration) bool {
	return objective >= BatchObjective
}

// Batch reports whether the requests are work that can wait.
func (r *Route) Batch() bool {
	return IsBatch(r.Objective)
}

// Repeatable reports whether a request may run more than once.
func (r *Route) Repeatable() bool {
	return r.Kind == Idempotent || r.HasResumableStreams()
}

// HasResumableStreams reports whether the responses are streams that may be resumed.
func (r *Route) HasResumableStreams() bool {
	return r.Kind == Stream && r.Resumable
}

// Services returns the services to which requests may go.
func (r *Route) Services() map[string]bool {
	services := make(map[string]bool, len(r.Shares))
	for _, share := range r.Shares {
		if share.Weight > 0 {
			services[share.Service] = true
		}
	}
	return services
}

// goesLike reports whether the requests of r go to the services of other.
func (r *Route) goesLike(other *Route) bool {
	return slices.Equal(r.Shares, other.Shares) || maps.Equal(r.Services(), other.Services())
}

// LeadsTo reports whether requests may go to a service.
func (r *Route) LeadsTo(service string) bool {
	return r.Services()[service]
}

// Service returns the service for a request, given a random number from [0, 1).
func (r *Route) Service(random float64) string {
	total := 0.0
	for _, share := range r.Shares {
		total += share.Weight
	}
	random *= total
	for _, share := range r.Shares {
		if random < share.Weight {
			return share.Service
		}
		random -= share.Weight
	}
	return r.Shares[len(r.Shares)-1].Service
}

// Model is a model that the engines of a service may hold.
type Model struct {
	Name string
	// Megabytes is the size of the weights, AdapterMegabytes the size of each adapter.
	Megabytes        float64
	AdapterMegabytes float64
	Adapters         int
	// LoadTime is the time of a load from the weight store, MemoryLoadTime from the
	// engine's memory and DiskLoadTime from its disk.
	LoadTime       time.Duration
	MemoryLoadTime time.Duration
	DiskLoadTime   time.Duration
}

// Engine holds the properties that all engines of a service share.
type Engine struct {
	// Slots is the number of requests that an engine runs at once.
	Slots int
	// TokensPerEvent is the number of tokens in an event of a stream.
	TokensPerEvent int
	// KVTokens is the capacity of an engine's KV cache, in tokens of prompts and
	// answers.
	KVTokens int
	// Megabytes is the memory of an engine for weights and adapters.
	Megabytes    float64
	AdapterSlots int
	// LoadsPerSecond limits the loads from the weight store, over all engines.
	LoadsPerSecond float64
	Models         []Model
	// indexes are those of Models by name. They are nil outside of a Table.
	indexes map[string]int
}

// Model returns the model with the given name.
func (e *Engine) Model(name string) (Model, bool) {
	if e.indexes != nil {
		i, found := e.indexes[name]
		if !found {
			return Model{}, false
		}
		return e.Models[i], true
	}
	for i := range e.Models {
		if e.Models[i].Name == name {
			return e.Models[i], true
		}
	}
	return Model{}, false
}

// indexModels makes Model independent of the number of models. Of several with a name, the first counts.
func (e *Engine) indexModels() {
	e.indexes = make(map[string]int, len(e.Models))
	for i := range e.Models {
		if _, found := e.indexes[e.Models[i].Name]; !found {
			e.indexes[e.Models[i].Name] = i
		}
	}
}

// Service is a set of upstreams that serve the same requests.
type Service struct {
	Name string
	// HealthPath is the path that shows whether an upstream accepts work.
	HealthPath string
	// MaxConnections is the number of connections that an upstream accepts from all
	// callers.
	MaxConnections int
	// Engine is nil for a plain service.
	Engine *Engine
}

// Limits bounds the requests of callers. A field that is 0 means no limit.
type Limits struct {
	HeaderBytes int
	BodyBytes   int64
	HeaderTime  time.Duration
	IdleTime    time.Duration
}

// Table holds the routes, services and workspaces of one version of the configuration.
type Table struct {
	Version uint64
	Limits  Limits
	// Workspaces are the workspaces whose keys callers present, none if callers need no key.
	Workspaces *workspace.Directory

	services map[string]*Service
	hosts    map[string][]*Route
	routes   int
	// mixesUrgency is true if there are batch routes and interactive routes.
	mixesUrgency bool
	// resumableTimeout is the longest timeout of the routes whose streams may be resumed, and
	// resumableDigest is a hash of the services to which they lead, resumableServices.
	resumableTimeout  time.Duration
	resumableDigest   uint64
	resumableServices map[string]bool
}

// HasResumableStreams reports whether streams of a service may be resumed.
func (t *Table) HasResumableStreams(service string) bool {
	return t.resumableServices[service]
}

// ResumableDigest returns a hash of the services to which the routes lead whose streams may be resumed. It
// is not 0.
func (t *Table) ResumableDigest() uint64 {
	return t.resumableDigest
}

// ResumableTimeout returns the longest timeout of the routes whose streams may be resumed, 0 if there are
// none.
func (t *Table) ResumableTimeout() time.Duration {
	return t.resumableTimeout
}

// Draft is the unchecked content of a Table.
type Draft struct {
	Version  uint64
	Limits   Limits
	Routes   []Route
	Services []Service
	// Workspaces may be empty.
	Workspaces []workspace.Workspace
}

// NeedsKey reports whether a request of route needs the key of a workspace.
func (t *Table) NeedsKey(route *Route) bool {
	return !route.Public && !t.Workspaces.Empty()
}

// Service returns the service with the given name, or nil.
func (t *Table) Service(name string) *Service {
	return t.services[name]
}

// Services returns all services by name.
func (t *Table) Services() map[string]*Service {
	return t.services
}

// MixesUrgency reports whether the table has batch routes beside interactive ones, that is, routes with
// a shorter objective.
func (t *Table) MixesUrgency() bool {
	return t.mixesUrgency
}

// Routes returns the number of routes.
func (t *Table) Routes() int {
	return t.routes
}

// Match returns the route of host with the longest prefix that path starts with, or nil.
func (t *Table) Match(host, path string) *Route {
	var longest *Route
	for _, route := range t.hosts[strings.ToLower(host)] {
		if strings.HasPrefix(path, route.Prefix) && (longest == nil || len(route.Prefix) > len(longest.Prefix)) {
			longest = route
		}
	}
	return longest
}

// validWeight reports whether a weight is finite and not negative.
func validWeight(weight float64) bool {
	return weight >= 0 && !math.IsInf(weight, 1) && !math.IsNaN(weight)
}
