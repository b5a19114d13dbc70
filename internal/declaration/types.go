// Package declaration is the desired state of the system, which operators declare
// and all instances must agree on: failure domains, accelerator classes, services
// with their goals, models, adapters and presets.
//
// Operators keep declarations in version control as a folder of TOML files, see
// Read. Accepted declarations are transmitted as canonical JSON, see
// Set.Canonical and Decode. The package does no I/O except through the fs.FS
// passed to Read. docs/operators/declarations.md describes every key.
package declaration

import (
	"path"
	"slices"
	"strings"
	"time"

	"github.com/labstack/gommon/bytes"
)

// Bytes is an amount of memory in bytes.
type Bytes int64

// String returns the amount with a binary unit, rounded to two places.
func (b Bytes) String() string {
	return bytes.FormatBinary(int64(b))
}

// FailureDomain is a part of the deployment that fails as a whole.
type FailureDomain struct {
	Name string `json:"name"`
}

// AcceleratorClass is a group of identical accelerators that the operator pays
// for. If any class is declared, declarations that cannot fit on the accelerators
// of all classes are refused.
type AcceleratorClass struct {
	Name string `json:"name"`
	// Memory is the memory of one accelerator that is available for models,
	// adapters and the KV cache. It is above 0.
	Memory Bytes `json:"memory-bytes"`
	// Count is the number of accelerators. It is above 0.
	Count int `json:"count"`
}

// ServiceKind is the kind of back end that answers a service's requests.
type ServiceKind string

// The kinds of service.
const (
	// ModelBacked services are answered by model engines.
	ModelBacked ServiceKind = "model-backed"
	// Plain services are answered by upstreams that announce the service's name.
	Plain ServiceKind = "plain"
)

// DefaultPriority is the priority of a service that does not set one.
const DefaultPriority = 1

// Goal is the service level objective for the requests of a service. A duration
// of 0 stands for the default in the instance's settings.
type Goal struct {
	FirstToken    time.Duration `json:"first-token-nanoseconds"`
	BetweenTokens time.Duration `json:"between-tokens-nanoseconds"`
	// Deadline is later than FirstToken if both are set.
	Deadline time.Duration `json:"deadline-nanoseconds"`
	// Priority is from 0, the highest, to 9.
	Priority int `json:"priority"`
}

// WithDefaults returns the goal with each duration of 0 replaced by that of
// defaults.
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

// Call is a pattern that matches calls of a plain service.
type Call struct {
	// Method is an HTTP method in capitals, or * for any.
	Method string `json:"method"`
	// Path is a pattern in the syntax of path.Match. If its last segment is **,
	// that matches one or more segments.
	Path string `json:"path"`
}

// String returns the call as written in a declaration, such as "POST /pay/**".
func (c Call) String() string {
	return c.Method + " " + c.Path
}

// Matches reports whether the pattern matches a call of method. callPath is the
// unescaped path after the name of the service.
func (c Call) Matches(method, callPath string) bool {
	if c.Method != anyMethod && c.Method != method {
		return false
	}
	if prefix, ok := strings.CutSuffix(c.Path, "/**"); ok {
		return matchesDescendant(prefix, callPath)
	}
	matched, err := path.Match(c.Path, callPath)
	return err == nil && matched
}

const anyMethod = "*"

// matchesDescendant reports whether callPath is a descendant of a path that
// matches prefix.
func matchesDescendant(prefix, callPath string) bool {
	depth := strings.Count(prefix, "/")
	segments := strings.Split(callPath, "/")
	if len(segments) < depth+2 {
		return false
	}
	matched, err := path.Match(prefix, strings.Join(segments[:depth+1], "/"))
	return err == nil && matched
}

// Service is an API that callers address by name.
type Service struct {
	Name string      `json:"name"`
	Kind ServiceKind `json:"kind"`
	Goal Goal        `json:"goal"`
	// Models are the models that a model-backed service uses, at least one.
	Models []string `json:"models"`
	// NonIdempotent is set if completions of a model-backed service have side
	// effects, so that none may run twice.
	NonIdempotent bool `json:"non-idempotent"`
	// NonRepeatable matches the calls of a plain service that must not run
	// twice, Repeatable those that may. See MayRepeat for all other calls.
	NonRepeatable []Call `json:"non-repeatable"`
	Repeatable    []Call `json:"repeatable"`
}

// MayRepeat reports whether a call of a plain service may run twice. callPath is
// the unescaped path after the name of the service.
//
// A call that NonRepeatable matches must not run twice. Any other call may if
// Repeatable matches it, or if HTTP defines its method as idempotent. An
// undeclared POST is therefore never repeated: a missing declaration must not
// charge a rider twice.
func (s Service) MayRepeat(method, callPath string) bool {
	// The upstream receives a path such as /a/../pay unchanged, and may serve it
	// as /pay.
	cleanedPath := path.Clean("/" + callPath)
	if anyMatches(s.NonRepeatable, method, callPath) || anyMatches(s.NonRepeatable, method, cleanedPath) {
		return false
	}
	if anyMatches(s.Repeatable, method, callPath) && cleanedPath == callPath {
		return true
	}
	switch method {
	case "GET", "HEAD", "OPTIONS", "TRACE", "PUT", "DELETE":
		return true
	default:
		return false
	}
}

func anyMatches(calls []Call, method, callPath string) bool {
	for _, call := range calls {
		if call.Matches(method, callPath) {
			return true
		}
	}
	return false
}

// Layout is the number of accelerators that a copy of a model is spread over, and
// the memory that it takes on each.
type Layout struct {
	// Accelerators is above 0.
	Accelerators int `json:"accelerators"`
	// Memory is the memory of the weights on each of the accelerators. It is
	// above 0.
	Memory Bytes `json:"memory-bytes"`
}

// Version is one version of a model's weights.
type Version struct {
	Name string `json:"name"`
	// Weights identifies the version in the weight store.
	Weights string `json:"weights"`
}

// Model is a model that engines load.
type Model struct {
	Name string `json:"name"`
	// Layouts are the ways to lay out a copy, at least one, with different
	// numbers of accelerators.
	Layouts []Layout `json:"layouts"`
	// KVCacheMemory is the memory that the KV cache of a copy needs on each of its
	// accelerators.
	KVCacheMemory Bytes `json:"kv-space-bytes"`
	// Versions has at least one version. Their names are unique.
	Versions []Version `json:"versions"`
	// Version is the name of the version in Versions that engines must run.
	Version string `json:"version"`
}

// Adapter is loaded beside a copy of its base model.
type Adapter struct {
	Name string `json:"name"`
	// Model is the base model.
	Model string `json:"model"`
	// Memory is the memory that the adapter takes on each accelerator of the
	// copy. It is above 0.
	Memory Bytes `json:"memory-bytes"`
	// Weights identifies the adapter in the weight store.
	Weights string `json:"weights"`
	// Services are the services that use the adapter. Each of them uses Model.
	Services []string `json:"services"`
}

// Floor is the minimum of copies and failure domains of a model.
type Floor struct {
	Model string `json:"model"`
	// Copies is at least 1, so that every model stays reachable.
	Copies int `json:"copies"`
	// FailureDomains is the minimum number of failure domains that hold a copy,
	// from 1 to Copies.
	FailureDomains int `json:"failure-domains"`
}

// Share is the weight of a service relative to others of the same priority.
type Share struct {
	Service string `json:"service"`
	// Weight is above 0. Services without a Share have a weight of 1.
	Weight float64 `json:"weight"`
}

// Preset is an operating mode of the whole system. Exactly one is in force.
type Preset struct {
	Name string `json:"name"`
	// Initial marks the preset that is in force until an operator selects one.
	// Exactly one preset of a Set has it.
	Initial bool `json:"first"`
	// Copies is the minimum of copies, at least 1, of models without an entry in
	// Floors.
	Copies int `json:"copies"`
	// Floors is sorted by model, Shares by service.
	Floors []Floor `json:"floors"`
	// ReservePercent is the percentage of accelerator memory that is kept free.
	ReservePercent int `json:"reserve-percent"`
	// TolerateEngines and TolerateFailureDomains are the numbers of engines and
	// failure domains whose loss must leave each model reachable, as far as
	// memory allows.
	TolerateEngines        int `json:"tolerate-engines"`
	TolerateFailureDomains int `json:"tolerate-failure-domains"`
	// WeightOfMoves is the gain in goal attainment that a move must bring, as a
	// multiple of the cost of the move. A negative number stands for the value in
	// the instance's settings.
	WeightOfMoves float64 `json:"weight-of-moves"`
	Shares        []Share `json:"shares"`
}

// Floor returns the floor of the model under the preset.
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
