// Package routes is the table by which requests find their service (routing
// table): host and path prefix to a service, with what the operator asks of the
// answers.
//
// A Table is immutable and safe for concurrent use.
package routes

import (
	"math"
	"strings"
	"time"
)

// Kind says what may be repeated of a request.
type Kind uint8

const (
	// Idempotent requests may run more than once.
	Idempotent Kind = iota + 1
	// NonIdempotent requests run at most once.
	NonIdempotent
	// Stream requests are answered by events. They run at most once, unless the
	// route is resumable.
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

// Share is a part of a route's requests.
type Share struct {
	Service string
	// Weight is not negative; those of a route add up to more than 0.
	Weight float64
}

// Route is where requests of one host under one path prefix go.
type Route struct {
	Name string
	Host string
	// Prefix begins and ends with a slash.
	Prefix string
	Kind   Kind
	// Timeout is the longest time that a request is kept waiting. It is above 0.
	Timeout time.Duration
	// Objective is the time within which an answer, or the first event of a
	// stream, is worth most. 0 stands for none.
	Objective time.Duration
	// Gap is the longest pause between two events of a stream that is still on
	// time. 0 stands for none.
	Gap time.Duration
	// Priority ranks the route, 0 being the most urgent.
	Priority uint8
	// Attempts is the most upstreams that run one request. It is at least 1.
	Attempts int
	// Resumable streams may go on at another upstream.
	Resumable bool
	// Shares is not empty.
	Shares []Share
}

// Repeatable says whether a request may run more than once.
func (r *Route) Repeatable() bool {
	return r.Kind == Idempotent || r.Kind == Stream && r.Resumable
}

// Service returns the service for a request, by a number drawn from [0, 1).
func (r *Route) Service(drawn float64) string {
	total := 0.0
	for _, share := range r.Shares {
		total += share.Weight
	}
	drawn *= total
	for _, share := range r.Shares {
		if drawn < share.Weight {
			return share.Service
		}
		drawn -= share.Weight
	}
	return r.Shares[len(r.Shares)-1].Service
}

// Model is a model that the engines of a service may hold.
type Model struct {
	Name string
	// Megabytes is the size of the weights, AdapterMegabytes that of each adapter.
	Megabytes        float64
	AdapterMegabytes float64
	Adapters         int
	// Load is the time of a load from the weight store, WarmLoad of one from the
	// engine's memory and DiskLoad of one from its disk.
	Load     time.Duration
	WarmLoad time.Duration
	DiskLoad time.Duration
}

// Engine is what all engines of a service have in common.
type Engine struct {
	// Slots is how many requests an engine runs at once.
	Slots int
	// Stride is how many tokens an event of a stream holds.
	Stride int
	// KVTokens is the memory of an engine for prompts and answers.
	KVTokens int
	// Megabytes is the memory for weights and adapters.
	Megabytes    float64
	AdapterSlots int
	// LoadsPerSecond bounds the loads from the weight store over all engines.
	LoadsPerSecond float64
	Models         []Model
}

// Model returns the model of that name.
func (e *Engine) Model(name string) (Model, bool) {
	for _, model := range e.Models {
		if model.Name == name {
			return model, true
		}
	}
	return Model{}, false
}

// Service is a set of upstreams that answer the same requests.
type Service struct {
	Name string
	// HealthPath is asked to see whether an upstream takes work.
	HealthPath string
	// Connections is how many an upstream accepts from all callers.
	Connections int
	// Engine is nil for a plain service.
	Engine *Engine
}

// Limits bound what a caller may send. A field that is 0 stands for no limit.
type Limits struct {
	HeaderBytes int
	BodyBytes   int64
	HeaderTime  time.Duration
	IdleTime    time.Duration
}

// Table is the routes and services of one version.
type Table struct {
	Version  uint64
	Limits   Limits
	services map[string]*Service
	hosts    map[string][]*Route
	routes   int
}

// Draft is what a Table is made of.
type Draft struct {
	Version  uint64
	Limits   Limits
	Routes   []Route
	Services []Service
}

// Service returns the service of that name, or nil.
func (t *Table) Service(name string) *Service {
	return t.services[name]
}

// Services returns all services, by name.
func (t *Table) Services() map[string]*Service {
	return t.services
}

// Routes returns how many routes there are.
func (t *Table) Routes() int {
	return t.routes
}

// Match returns the route of host with the longest prefix of path, or nil.
func (t *Table) Match(host, path string) *Route {
	var longest *Route
	for _, route := range t.hosts[strings.ToLower(host)] {
		if strings.HasPrefix(path, route.Prefix) && (longest == nil || len(route.Prefix) > len(longest.Prefix)) {
			longest = route
		}
	}
	return longest
}

// validWeight says whether a weight can be added up.
func validWeight(weight float64) bool {
	return weight >= 0 && !math.IsInf(weight, 1) && !math.IsNaN(weight)
}
