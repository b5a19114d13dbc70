// Package upstreamapi holds the wire types of the HTTP interface that model
// engines and plain services speak with the system. docs/UPSTREAMS.md describes
// it for those who write an upstream.
//
// All of it stands in this one package, so that the dialect of another engine
// is one new package beside it.
package upstreamapi

import "time"

// Paths that an instance serves to upstreams.
const (
	// AnnouncePath takes a POST of an Announcement and answers a Welcome.
	AnnouncePath = "/upstream/v1/announce"
	// LeavePath takes a POST of a Leave and answers 204.
	LeavePath = "/upstream/v1/leave"
)

// Headers that a request carries from an instance to an upstream.
const (
	// RequestIDHeader names one attempt at one request.
	RequestIDHeader = "Lovagelift-Request"
	// PriorityHeader carries the priority of the service, 0 being the highest.
	PriorityHeader = "Lovagelift-Priority"
	// DeadlineHeader carries the milliseconds that are left to the deadline.
	DeadlineHeader = "Lovagelift-Deadline-Milliseconds"
	// RefusedHeader is set to "not-run" by an upstream that refused a request
	// before running any of it.
	RefusedHeader = "Lovagelift-Refused"
)

// RefusedNotRun is the value of RefusedHeader.
const RefusedNotRun = "not-run"

// Kind says what an upstream is.
type Kind string

// The kinds of upstream.
const (
	KindEngine  Kind = "engine"
	KindService Kind = "service"
)

// Fencing says whether an upstream refuses an order that carries an older
// fencing number than one it has seen.
type Fencing string

// The kinds of fencing. Anything else, absence included, counts as
// FencingIgnored.
const (
	FencingChecked Fencing = "checked"
	FencingIgnored Fencing = "ignored"
)

// Announcement is what an upstream tells an instance when it starts and then
// once every renewal interval. Each announcement is complete: it replaces the
// one before.
type Announcement struct {
	// Name is unique among upstreams and stays the same over restarts.
	Name string `json:"name"`
	// Incarnation grows with every start of the upstream's process.
	Incarnation uint64 `json:"incarnation"`
	// Sequence grows with every announcement of an incarnation. An announcement
	// that arrives after one with a higher sequence is ignored.
	Sequence uint64 `json:"sequence"`
	// Address is the IP number and port at which the upstream is called.
	Address string `json:"address"`
	Kind    Kind   `json:"kind"`
	// FailureDomain is one of the declared failure domains.
	FailureDomain string  `json:"failure-domain"`
	Fencing       Fencing `json:"fencing,omitempty"`
	// Services are the names of the plain services it answers for, if Kind is
	// KindService.
	Services []string `json:"services,omitempty"`
	// Accelerators are the accelerators of an engine.
	Accelerators []Accelerator `json:"accelerators,omitempty"`
	// Resident is what an engine holds in memory and can run now.
	Resident []Resident `json:"resident,omitempty"`
	Load     Load       `json:"load"`
}

// Accelerator is one accelerator of an engine.
type Accelerator struct {
	Name string `json:"name"`
	// MemoryBytes is the memory that models, adapters and KV cache may take.
	MemoryBytes int64 `json:"memory-bytes"`
}

// Resident is a model that an engine holds in memory, with its adapters.
type Resident struct {
	Model   string `json:"model"`
	Version string `json:"version,omitempty"`
	// Adapters are the names of the adapters loaded beside the model.
	Adapters []string `json:"adapters,omitempty"`
	// Accelerators are the names of those the model takes memory of.
	Accelerators []string `json:"accelerators,omitempty"`
	// MemoryBytes is what the model, its adapters and its KV space take of each
	// of Accelerators.
	MemoryBytes int64 `json:"memory-bytes,omitempty"`
}

// Load is an engine's or a service's own report of its load, which lags.
type Load struct {
	// Age is how old the figures were when the announcement was sent, in
	// nanoseconds.
	Age time.Duration `json:"age,omitempty"`
	// Running is the number of requests in the running batch.
	Running int `json:"running"`
	// Waiting is the number of requests in the upstream's own queue.
	Waiting int `json:"waiting"`
	// MaxRunning is the most requests that run at once, 0 if not known.
	MaxRunning int `json:"max-running,omitempty"`
	// WaitingPromptTokens is the number of prompt tokens yet to be prefilled.
	WaitingPromptTokens int `json:"waiting-prompt-tokens,omitempty"`
	// PrefillTokensPerSecond is the measured prefill speed, 0 if not known.
	PrefillTokensPerSecond float64 `json:"prefill-tokens-per-second,omitempty"`
	// TokenInterval is the measured time between tokens of one stream, in
	// nanoseconds, 0 if not known.
	TokenInterval time.Duration `json:"token-interval,omitempty"`
	// KVUsedTokens and KVTotalTokens say how full the KV cache is.
	KVUsedTokens  int64 `json:"kv-used-tokens,omitempty"`
	KVTotalTokens int64 `json:"kv-total-tokens,omitempty"`
}

// Welcome answers an Announcement.
type Welcome struct {
	// RenewEvery is how often to announce again, in nanoseconds.
	RenewEvery time.Duration `json:"renew-every"`
	// Lease is how long the announcement stands without another, in
	// nanoseconds. After it, the upstream receives no new work.
	Lease time.Duration `json:"lease"`
	// Instances are upstream addresses of other instances, to announce to when
	// this one is lost.
	Instances []string `json:"instances,omitempty"`
}

// Leave tells an instance that an upstream will stop. It receives no new work
// from then on, and should go on until its running requests have ended.
type Leave struct {
	Name        string `json:"name"`
	Incarnation uint64 `json:"incarnation"`
}
