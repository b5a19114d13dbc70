// Package permit is the distributed admission control of entry instances. It determines
// which instance owns a model, and defines the messages by which the other instances
// acquire a permit from the owner before they send a request to an engine.
//
// An instance that decides alone sees only a fraction of an engine's load. If every
// instance broadcast every request, each would see the whole load, but at a cost that
// grows with the square of the number of instances. Here, rendezvous hashing gives each
// model one owner among the instances, which queues the requests for the model and
// assigns them to engines. A request costs three messages, however many instances there
// are: a permit request, its reply and a release.
//
// Ownership balances load; correctness does not depend on it. If two instances both act
// as the owner, or none replies, engines receive slightly more requests than they should.
//
// The package does no I/O.
package permit

import (
	"time"

	"github.com/lovagelift/lovagelift/internal/quarantine"
	"github.com/lovagelift/lovagelift/internal/ratelimit"
	"github.com/lovagelift/lovagelift/internal/resumption"
)

// ID distinguishes the permit and rate limit requests of one instance.
type ID uint64

// Message is a message from one instance to another. The types that implement it are all
// in this package.
type Message interface {
	message()
}

// Request requests a permit from the owner of a model. It may be sent again: the owner
// repeats its decision.
type Request struct {
	ID      ID
	Service string
	Model   string
	// Adapter is empty for a request to the base model. In a request without a model it is the group
	// of upstreams of a plain service.
	Adapter      string
	PromptTokens int
	AnswerTokens int
	// Priority is that of the workspace and the route; 0 is the most urgent.
	Priority uint8
	// Yields is set if the workspace uses more than the rate of its quota: others with the
	// same priority go first.
	Yields bool
	// Objective is the longest time to the first event, and MaxEventGap the longest pause
	// between events, for a response that is on time. 0 means that there is no such
	// objective.
	Objective   time.Duration
	MaxEventGap time.Duration
	// Age is the time since the request arrived, and Remaining the time that its caller still
	// waits.
	Age       time.Duration
	Remaining time.Duration
	// Tried are the names of the upstreams at which earlier attempts failed.
	Tried []string
	// Software limits the upstreams, if the request resumes a stream, or begins one that may be resumed at
	// an instance that may not know the upstream.
	Software resumption.Constraint
	// Workspace is the name of the caller's workspace, empty if it has none or the requesting instance
	// does not schedule by workspace.
	Workspace string
	// Caller identifies the caller's piece of work across its attempts, 0 if it is not known.
	Caller uint64
}

// identified reports whether the request names its workspace or caller.
func (m Request) identified() bool {
	return m.Workspace != "" || m.Caller != 0
}

// Granted replies to a permit request with the upstream to send to.
type Granted struct {
	ID       ID
	Upstream string
	// Address is included because the requesting instance may not know the upstream yet.
	Address string
	// PrefillBacklog is the time that the engine needs to prefill the prompts ahead of this
	// one.
	PrefillBacklog time.Duration
	// Described is set in the reply to a request that is limited to recorded versions, for a requesting
	// instance that may know an older process under the name of the upstream, or none. Incarnation and
	// SoftwareVersion are those of the upstream then.
	Described       bool
	Incarnation     uint64
	SoftwareVersion string
}

// Queued replies to a permit request while no upstream has room. A grant follows when one
// has.
type Queued struct {
	ID ID
}

// Rejected replies to a permit request that can't be served in time.
type Rejected struct {
	ID     ID
	Reason Reason
	// RetryAfter is the time after which the caller may retry, and EstimatedWait the estimated
	// wait of the request in the queue.
	RetryAfter    time.Duration
	EstimatedWait time.Duration
	Survey        Survey
	// Reserved is true if the caller has a reservation that begins after RetryAfter.
	Reserved bool
	// RelativeUse is the use of the request's workspace over its weight, relative to the mean of the
	// workspaces, 0 if it is not known or the request names no workspace.
	RelativeUse float64
}

// identified reports whether the message says more than that an unnamed request is rejected.
func (m Rejected) identified() bool {
	return m.Reserved || m.RelativeUse > 0
}

// Survey counts the upstreams that could run a request, by the reason for which
// they were not chosen.
type Survey struct {
	// Holders is the number of live upstreams that hold the model and the adapter.
	Holders int
	// Full are upstreams without a free slot, PrefillBusy those with too long a prefill queue,
	// Yielding those that other instances may use first, and Avoided those at which
	// earlier attempts failed.
	Full, PrefillBusy, Yielding, Avoided int
	// ReportAge is the age of the oldest load report among the holders.
	ReportAge time.Duration
}

// ShuttingDown replies to a permit request at an instance that is shutting down: another one
// owns the model.
type ShuttingDown struct {
	ID ID
}

// Release releases a permit, or withdraws a permit request.
type Release struct {
	ID      ID
	Outcome Outcome
	// FirstEventTime is the time to the first event without the prefill of earlier prompts, RunTime
	// the time that the engine had the request, and Events the number of events after the
	// first, which arrived over StreamTime. All are 0 unless the first attempt got the
	// complete response.
	FirstEventTime time.Duration
	RunTime        time.Duration
	Events         int
	StreamTime     time.Duration
}

// LoadReport reports a request at an engine to the owners of the engine's other models.
type LoadReport struct {
	Upstream string
	// PrefillTime is the prefill time of the prompt, and ActiveRequests the number of requests that
	// the sender has at the engine, including this one.
	PrefillTime    time.Duration
	ActiveRequests int
}

// LimitReport reports to all instances the rate limit that a response of an upstream
// states.
type LimitReport struct {
	Upstream string
	// Incarnation is that of the upstream. The limit doesn't apply to another process of
	// the same name.
	Incarnation uint64
	// Named is true if the response states Limit, and false if it states no limit.
	Named bool
	Limit ratelimit.Limit
	// Age is the time since the request for that response was sent.
	Age time.Duration
}

// PushbackReport reports to the owners of an upstream's models that the upstream wants no
// requests from the sender for a while.
type PushbackReport struct {
	Upstream string
	// Incarnation is that of the upstream, 0 if the sender doesn't know it.
	Incarnation uint64
	// Remaining is the rest of that time.
	Remaining time.Duration
}

// LeaveReport reports to all instances that a response of an upstream states its leave.
type LeaveReport struct {
	Upstream string
	// Incarnation is that of the upstream, 0 if the sender doesn't know it.
	Incarnation uint64
}

// RefusalReport reports to all instances that an upstream that states how many refusals it tolerates
// has refused a request.
type RefusalReport struct {
	Upstream string
	// Incarnation is that of the upstream, 0 if the sender doesn't know it.
	Incarnation uint64
	// Tolerance is the stated number of refusals per second.
	Tolerance int
}

// SpeedReport reports the speed of an engine to the owners of its other models.
type SpeedReport struct {
	Upstream string
	// Incarnation is that of the upstream, 0 if the sender doesn't know it.
	Incarnation uint64
	// Factor is the factor of the engine's times against the mean of its service, from speed.MinFactor to
	// speed.MaxFactor, and Samples the number of responses from which the sender has learned it.
	Factor  float64
	Samples int
}

// SendRequest asks the owner of an upstream's rate limit for permission to send one request. It
// may be sent again: the owner repeats its decision.
type SendRequest struct {
	ID       ID
	Upstream string
	// Limit is the limit known to the requesting instance. The owner may not know it yet.
	Limit ratelimit.Limit
}

// TrialRequest asks the owner of a trial for permission to send a suspected request. It may be
// sent again: the owner repeats its decision.
type TrialRequest struct {
	ID    ID
	Trial quarantine.Trial
}

// TrialEnded tells the owner of a trial that it has ended without a crash.
type TrialEnded struct {
	Trial quarantine.Trial
}

// SendAllowed replies to a rate limit request or a trial request: one request may be sent.
type SendAllowed struct {
	ID ID
}

// SendDelayed replies to a rate limit request or a trial request: no request may be sent before Wait has passed.
type SendDelayed struct {
	ID   ID
	Wait time.Duration
}

// QuotaRequest asks the owner of a workspace's quota for units. It may be sent again: the
// owner repeats its decision.
type QuotaRequest struct {
	ID        ID
	Workspace string
	// PerSecond and Burst are the limit known to the requesting instance. The owner may not
	// know it yet.
	PerSecond, Burst float64
	// Need are the units of one request, and Ahead those for further requests, which may be
	// granted in part.
	Need, Ahead float64
}

// QuotaGranted replies to a quota request: the units may be spent.
type QuotaGranted struct {
	ID    ID
	Units float64
	// Scarce is set if the workspace uses more than its rate.
	Scarce bool
}

// QuotaDenied replies to a quota request: nothing may be spent before Wait has passed.
type QuotaDenied struct {
	ID   ID
	Wait time.Duration
}

// QuotaReturn returns units that were granted and not spent.
type QuotaReturn struct {
	Workspace string
	Units     float64
}

// QuotaDebit reports units that were spent without being granted, because a request was sent
// a second time.
type QuotaDebit struct {
	Workspace string
	Units     float64
}

// QuotaContinued tells the owner of a workspace's quota that another instance began to grant units of
// it to the sender Age ago.
type QuotaContinued struct {
	Workspace string
	Age       time.Duration
}

// StreamReport reports where a stream began that may be resumed, to the instances that rank first
// for it.
type StreamReport struct {
	Stream resumption.StreamID
	Origin resumption.Origin
	// Remaining is the time for which the stream may be resumed.
	Remaining time.Duration
}

// StreamQuery asks another instance where a stream began. It may be sent again.
type StreamQuery struct {
	ID     ID
	Stream resumption.StreamID
}

// StreamFound replies to a StreamQuery with the origin of the stream.
type StreamFound struct {
	ID     ID
	Origin resumption.Origin
}

// StreamUnknown replies to a StreamQuery: the instance does not know the stream.
type StreamUnknown struct {
	ID ID
}

func (Request) message()        {}
func (Granted) message()        {}
func (Queued) message()         {}
func (Rejected) message()       {}
func (ShuttingDown) message()   {}
func (Release) message()        {}
func (LoadReport) message()     {}
func (LimitReport) message()    {}
func (PushbackReport) message() {}
func (LeaveReport) message()    {}
func (RefusalReport) message()  {}
func (SpeedReport) message()    {}
func (SendRequest) message()    {}
func (TrialEnded) message()     {}
func (TrialRequest) message()   {}
func (SendAllowed) message()    {}
func (SendDelayed) message()    {}
func (QuotaRequest) message()   {}
func (QuotaGranted) message()   {}
func (QuotaDenied) message()    {}
func (QuotaReturn) message()    {}
func (QuotaDebit) message()     {}
func (QuotaContinued) message() {}
func (StreamReport) message()   {}
func (StreamQuery) message()    {}
func (StreamFound) message()    {}
func (StreamUnknown) message()  {}

// Reply is a message that replies to a request of its recipient.
type Reply interface {
	Message
	// RequestID returns the ID of the request.
	RequestID() ID
}

// RequestID returns the ID of the request.
func (m Granted) RequestID() ID { return m.ID }

// RequestID returns the ID of the request.
func (m Queued) RequestID() ID { return m.ID }

// RequestID returns the ID of the request.
func (m Rejected) RequestID() ID { return m.ID }

// RequestID returns the ID of the request.
func (m ShuttingDown) RequestID() ID { return m.ID }

// RequestID returns the ID of the request.
func (m SendAllowed) RequestID() ID { return m.ID }

// RequestID returns the ID of the request.
func (m SendDelayed) RequestID() ID { return m.ID }

// RequestID returns the ID of the request.
func (m QuotaGranted) RequestID() ID { return m.ID }

// RequestID returns the ID of the request.
func (m QuotaDenied) RequestID() ID { return m.ID }

// RequestID returns the ID of the request.
func (m StreamFound) RequestID() ID { return m.ID }

// RequestID returns the ID of the request.
func (m StreamUnknown) RequestID() ID { return m.ID }

// Reason is the reason for which a permit request is rejected.
type Reason uint8

// Reasons for a rejection.
const (
	// WaitTooLong means that the request would wait too long in the queue.
	WaitTooLong Reason = iota + 1
	// ModelUnavailable means that no upstream holds the model or will hold it in time.
	ModelUnavailable
	// LimitsExhausted means that the rate limits of the upstreams are exhausted.
	LimitsExhausted
	// UpstreamsPushBack means that the upstreams want no requests from the sender now.
	UpstreamsPushBack
	// VersionUnavailable means that no upstream has the software version that began the stream.
	VersionUnavailable
)

// Outcome is the result of a request for which a permit was granted.
type Outcome uint8

// Outcomes of a request.
const (
	// Unused means that nothing was sent, or that the caller disconnected.
	Unused Outcome = iota
	// Succeeded means that the upstream sent a proper response.
	Succeeded
	// Full means that the upstream had no room.
	Full
	// ModelAbsent means that the upstream doesn't hold the model or the adapter.
	ModelAbsent
	// Failed means that the upstream was unreachable or sent no proper response.
	Failed
	// RateLimited means that nothing was sent, because of the rate limit of the upstream.
	RateLimited
)
