// Package declaration holds what operators declare and all instances must agree
// on: services with their goals, models, adapters and presets (desired state).
//
// Declarations are kept in version control as a folder of TOML files, see Read.
// Once accepted they travel as canonical JSON, see Set.Canonical and Decode. The
// package is pure: it does no I/O but through the file system it is given.
// docs/operators/declarations.md describes every key.
package declaration

import (
	"path"
	"slices"
	"strings"
	"time"

	"github.com/labstack/gommon/bytes"
)

// Bytes is an amount of memory.
type Bytes int64

// String returns the amount with a binary unit, rounded to two places.
func (b Bytes) String() string {
	return bytes.FormatBinary(int64(b))
}

// FailureDomain is a part of the deployment that fails as a whole.
type FailureDomain struct {
	Name string `json:"name"`
}

// AcceleratorClass is a number of equal accelerators that are paid for. With
// classes declared, declarations that cannot fit on them are refused.
type AcceleratorClass struct {
	Name string `json:"name"`
	// Memory is what models, adapters and KV space may take of one accelerator.
	// It is above 0.
	Memory Bytes `json:"memory-bytes"`
	// Count is how many accelerators there are. It is above 0.
	Count int `json:"count"`
}

// ServiceKind says what answers a service's requests.
type ServiceKind string

// The kinds of service.
const (
	// ModelBacked services are answered by model engines.
	ModelBacked ServiceKind = "model-backed"
	// Plain services are answered by upstreams that announce the service's name.
	Plain ServiceKind = "plain"
)

// DefaultPriority is the priority of a service that names none.
const DefaultPriority = 1

// Goal is what a service's requests must meet. A duration of 0 stands for the
// default in the instance's settings.
type Goal struct {
	FirstToken    time.Duration `json:"first-token-nanoseconds"`
	BetweenTokens time.Duration `json:"between-tokens-nanoseconds"`
	// Deadline is later than FirstToken if both are set.
	Deadline time.Duration `json:"deadline-nanoseconds"`
	// Priority is from 0, the highest, to 9.
	Priority int `json:"priority"`
}

// WithDefaults returns the goal with the durations of defaults where it has
// none.
func (g Goal) WithDefaults(defaults Goal) Goal {
	if g.FirstToken == 0 {
		g.FirstToken = defaults.FirstToken
	}
	if g.BetweenTokens == 0 {
		g.BetweenTokens = defaults.BetweenTokens
	}
	if g.Deadline == 0 {
		g.Deadline = defaults.Deadline
	}
	return g
}

// Call names calls of a plain service.
type Call struct {
	// Method is an HTTP method in capitals, or * for any.
	Method string `json:"method"`
	// Path is a pattern as of path.Match, in which * stands for any part of one
	// segment. A last segment of ** stands for one or more segments.
	Path string `json:"path"`
}

// String returns the call as it is declared.
func (c Call) String() string {
	return c.Method + " " + c.Path
}

// Matches tells whether the pattern covers a call of method at the unescaped
// path below the service.
func (c Call) Matches(method, called string) bool {
	if c.Method != anyMethod && c.Method != method {
		return false
	}
	if prefix, ok := strings.CutSuffix(c.Path, "/**"); ok {
		return matchesBelow(prefix, called)
	}
	matched, err := path.Match(c.Path, called)
	return err == nil && matched
}

const anyMethod = "*"

// matchesBelow tells whether called is below a path that matches prefix.
func matchesBelow(prefix, called string) bool {
	depth := strings.Count(prefix, "/")
	segments := strings.Split(called, "/")
	if len(segments) < depth+2 {
		return false
	}
	matched, err := path.Match(prefix, strings.Join(segments[:depth+1], "/"))
	return err == nil && matched
}

// Service is what callers call by name.
type Service struct {
	Name string      `json:"name"`
	Kind ServiceKind `json:"kind"`
	Goal Goal        `json:"goal"`
	// Models are the models that a model-backed service uses, at least one.
	Models []string `json:"models"`
	// NonIdempotent tells that completions of a model-backed service have
	// effects, so that none may run twice.
	NonIdempotent bool `json:"non-idempotent"`
	// NonRepeatable and Repeatable say which calls of a plain service may not,
	// or may, run twice, see MayRepeat.
	NonRepeatable []Call `json:"non-repeatable"`
	Repeatable    []Call `json:"repeatable"`
}

// MayRepeat tells whether a call of a plain service may run twice: method and
// the unescaped path below the service.
//
// A call that NonRepeatable covers may not. Any other may if Repeatable covers
// it, or if HTTP defines its method as idempotent. A POST that nobody declared
// is therefore not repeated: a forgotten line must not charge a rider twice.
func (s Service) MayRepeat(method, called string) bool {
	// A path such as /a/../pay reaches the upstream as written, which may well
	// serve it as /pay.
	cleaned := path.Clean("/" + called)
	if covers(s.NonRepeatable, method, called) || covers(s.NonRepeatable, method, cleaned) {
		return false
	}
	if covers(s.Repeatable, method, called) && cleaned == called {
		return true
	}
	switch method {
	case "GET", "HEAD", "OPTIONS", "TRACE", "PUT", "DELETE":
		return true
	default:
		return false
	}
}

func covers(calls []Call, method, called string) bool {
	for _, call := range calls {
		if call.Matches(method, called) {
			return true
		}
	}
	return false
}

// Layout is what one copy of a model takes when it is spread over a number of
// accelerators.
type Layout struct {
	// Accelerators is above 0.
	Accelerators int `json:"accelerators"`
	// Memory is what the weights take of each of the accelerators. It is above
	// 0.
	Memory Bytes `json:"memory-bytes"`
}

// Version is one version of a model's weights.
type Version struct {
	Name string `json:"name"`
	// Weights is what the weight store knows the version by.
	Weights string `json:"weights"`
}

// Model is a model that engines load.
type Model struct {
	Name string `json:"name"`
	// Layouts are the ways to lay out a copy, at least one, with different
	// numbers of accelerators.
	Layouts []Layout `json:"layouts"`
	// KVSpace is the KV cache that a copy needs on each of its accelerators.
	KVSpace Bytes `json:"kv-space-bytes"`
	// Versions has at least one version; names differ.
	Versions []Version `json:"versions"`
	// Version names the one of Versions that is to run.
	Version string `json:"version"`
}

// Adapter is loaded beside a copy of its base model.
type Adapter struct {
	Name string `json:"name"`
	// Model is the base model.
	Model string `json:"model"`
	// Memory is what it takes of each accelerator of the copy. It is above 0.
	Memory Bytes `json:"memory-bytes"`
	// Weights is what the weight store knows the adapter by.
	Weights string `json:"weights"`
	// Services are the services that use it. Each of them uses Model.
	Services []string `json:"services"`
}

// Floor is the least a model keeps.
type Floor struct {
	Model string `json:"model"`
	// Copies is at least 1: every model stays reachable.
	Copies int `json:"copies"`
	// FailureDomains is over how many failure domains the copies are spread,
	// from 1 to Copies.
	FailureDomains int `json:"failure-domains"`
}

// Share is the weight of a service against others of its priority.
type Share struct {
	Service string `json:"service"`
	// Weight is above 0. Services that no Share names have a weight of 1.
	Weight float64 `json:"weight"`
}

// Preset is a mode of running the whole system. Exactly one is in force.
type Preset struct {
	Name string `json:"name"`
	// First marks the preset that is in force when there is none yet. Exactly
	// one preset of a Set has it.
	First bool `json:"first"`
	// Copies is the floor of models that Floors does not name, at least 1.
	Copies int `json:"copies"`
	// Floors and Shares are sorted by the names of their models and services.
	Floors []Floor `json:"floors"`
	// ReservePercent is the part of accelerator memory that is kept free.
	ReservePercent int `json:"reserve-percent"`
	// TolerateEngines and TolerateFailureDomains are the losses that must leave
	// each model reachable, as far as memory allows.
	TolerateEngines        int `json:"tolerate-engines"`
	TolerateFailureDomains int `json:"tolerate-failure-domains"`
	// WeightOfMoves is the attainment that a move must gain as a multiple of its
	// cost. A negative number stands for the one in the instance's settings.
	WeightOfMoves float64 `json:"weight-of-moves"`
	Shares        []Share `json:"shares"`
}

// Floor returns the least that the model keeps under the preset.
func (p Preset) Floor(model string) Floor {
	i, ok := slices.BinarySearchFunc(p.Floors, model, func(f Floor, name string) int { return strings.Compare(f.Model, name) })
	if ok {
		return p.Floors[i]
	}
	return Floor{Model: model, Copies: p.Copies, FailureDomains: 1}
}

// Share returns the weight of the service under the preset.
func (p Preset) Share(service string) float64 {
	i, ok := slices.BinarySearchFunc(p.Shares, service, func(s Share, name string) int { return strings.Compare(s.Service, name) })
	if ok {
		return p.Shares[i].Weight
	}
	return 1
}
