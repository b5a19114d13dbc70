// Package registrar is the admin API, both its HTTP server and its client. It
// reads and changes the active configuration, reports the state of an instance,
// drains it, and manages voters and quarantined requests.
//
// docs/operators/commands.md describes the commands that use it.
package registrar

import (
	"context"
	"fmt"
	"time"

	"github.com/lovagelift/lovagelift/internal/declaration"
	"github.com/lovagelift/lovagelift/internal/finding"
	"github.com/lovagelift/lovagelift/internal/registry"
)

// ConfigStore reads and changes the active configuration, which the replicated state
// machine stores. Its methods must be safe for concurrent use.
type ConfigStore interface {
	// ActiveConfig returns the latest configuration known to this instance.
	ActiveConfig(now time.Time) ActiveConfig
	// Change proposes a change and waits until it is accepted or rejected. If a
	// change with this ID was proposed before, it returns the first result.
	//
	// Change returns a *ConflictError, a *RefusedError or an *UnavailableError if
	// this proposal was not accepted and cannot be accepted later. After any other
	// error, the change may have been accepted.
	Change(ctx context.Context, change Change) (ChangeResult, error)
}

// ActiveConfig is the active configuration as known to one instance.
type ActiveConfig struct {
	// Revision is the number of accepted changes.
	Revision uint64
	// Preset is the active preset, empty before the first change.
	Preset       string
	Declarations declaration.Set
	// HasConfigLease reports whether the instance holds its configuration lease. If
	// so, no newer configuration was active one lease duration ago.
	HasConfigLease bool
}

// Change is an atomic change to the active configuration.
type Change struct {
	// ID is the idempotency key. A change that is proposed again under the same ID
	// is applied only once.
	ID string
	// ExpectedRevision is the revision that the change is based on. If another revision is
	// active, the change fails with a *ConflictError.
	ExpectedRevision uint64
	// Declarations replaces all declarations, in the canonical encoding. Nil keeps
	// the current ones.
	Declarations []byte
	// Preset replaces the active preset. Empty keeps the current one.
	Preset string
	// Operator is the name of the operator who requested the change, and Summary
	// describes the change in one line.
	Operator string
	Summary  string
	// RequestedAt is when the operator requested the change.
	RequestedAt time.Time
}

// ChangeResult is the result of an accepted change.
type ChangeResult struct {
	// Revision is the revision that the change created.
	Revision uint64
}

// ConflictError is returned when another change was accepted first.
type ConflictError struct {
	// Revision is the active revision.
	Revision uint64
	// ChangesSince lists the changes after the expected revision, latest first, as
	// far back as the replicated state keeps them.
	ChangesSince []registry.AppliedChange
}

// Error lists the changes and their operators, one line for each change.
func (e *ConflictError) Error() string {
	text := fmt.Sprintf("registrar: revision %d is in force", e.Revision)
	for _, applied := range e.ChangesSince {
		text += "\n" + applied.String()
	}
	return text
}

// RefusedError is returned when the change itself is invalid.
type RefusedError struct {
	Reason string
	// Findings may be empty.
	Findings []finding.Finding
}

// Error returns the reason and one line for each finding.
func (e *RefusedError) Error() string {
	text := "registrar: " + e.Reason
	for _, f := range e.Findings {
		text += "\n" + f.String()
	}
	return text
}

// UnavailableError is returned when a request was certainly not carried out. The
// caller may retry it.
type UnavailableError struct {
	Reason string
	// RetryAfter is the suggested delay before a retry, or 0 if unknown.
	RetryAfter time.Duration
}

// Error returns the reason.
func (e *UnavailableError) Error() string {
	return "registrar: " + e.Reason
}

// Instance is the instance that the server reports on and drains. Its methods
// must be safe for concurrent use.
type Instance interface {
	Status(now time.Time) Status
	// Drain starts a graceful shutdown and returns immediately. Repeated calls have
	// no effect.
	Drain(operator string)
}

// Status is the state of one instance and its view of the cluster.
type Status struct {
	Name          string `json:"name"`
	FailureDomain string `json:"failure-domain"`
	Version       string `json:"version"`
	Revision      uint64 `json:"revision"`
	Preset        string `json:"preset"`
	// HasConfigLease reports whether the instance holds its configuration lease. Without the
	// lease it admits no new requests.
	HasConfigLease bool `json:"fresh"`
	Draining       bool `json:"draining"`
	// ActiveRequests is the number of active requests.
	ActiveRequests int `json:"streams"`
	// Leader is the instance that leads the voters, or empty if unknown.
	Leader string `json:"leader"`
	// Term is the leader's term, which serves as a fencing number.
	Term      uint64           `json:"term"`
	Instances []InstanceStatus `json:"instances"`
	Upstreams []UpstreamStatus `json:"upstreams"`
	// Engines lists the engines whose placement the leader controls. It is empty
	// unless the instance is a voter.
	Engines []EngineStatus `json:"engines,omitempty"`
}

// InstanceStatus is the reporting instance's view of an instance.
type InstanceStatus struct {
	Name           string `json:"name"`
	CallerAddress  string `json:"caller-address"`
	FailureDomain  string `json:"failure-domain"`
	Voter          bool   `json:"voter"`
	Draining       bool   `json:"draining"`
	Stale          bool   `json:"stale"`
	ActiveRequests int    `json:"streams"`
	// SinceLastContact is the time since the last contact.
	SinceLastContact time.Duration `json:"silent-nanoseconds"`
}

// UpstreamStatus is the reporting instance's view of an upstream.
type UpstreamStatus struct {
	Name          string `json:"name"`
	Kind          string `json:"kind"`
	Address       string `json:"address"`
	FailureDomain string `json:"failure-domain"`
	// Serves lists the models and adapters that an engine has loaded, or the
	// services that a plain upstream offers.
	Serves  []string `json:"holds"`
	Running int      `json:"running"`
	Waiting int      `json:"waiting"`
	Leaving bool     `json:"leaving"`
}
