// Package registrar answers operators over HTTP and asks on their behalf (admin
// API, server and client): what is in force, changes of it, the state of an
// instance, and its planned stop.
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

// Register is what is in force, kept by the replicated state. Its methods are
// called from many goroutines at once.
type Register interface {
	// InForce returns what is in force as far as this instance knows at now.
	InForce(now time.Time) InForce
	// Change proposes a change and waits until it is accepted or refused. It
	// returns the answer that the change's ID got first, if it was proposed
	// before.
	//
	// If the change is certainly not accepted, and never will be without being
	// proposed again, Change returns a *ConflictError, a *RefusedError or an
	// *UnavailableError. After any other error it may or may not be accepted.
	Change(ctx context.Context, change Change) (Answer, error)
}

// InForce is what is in force.
type InForce struct {
	// Revision counts the accepted changes. It is 0 before the first.
	Revision uint64
	// Preset is the one preset in force, empty before the first change.
	Preset       string
	Declarations declaration.Set
	// Fresh tells whether the instance holds its configuration lease: nothing
	// newer was in force a lease ago.
	Fresh bool
}

// Change is a change of what is in force. It is accepted as a whole or not at
// all.
type Change struct {
	// ID is the idempotent identity: proposing the same change twice under one
	// ID changes nothing twice.
	ID string
	// Expected is the revision that the change was made for. If another is in
	// force, the change is refused with a *ConflictError.
	Expected uint64
	// Declarations replaces all declarations, in the canonical encoding. Nil
	// leaves them.
	Declarations []byte
	// Preset replaces the preset in force. Empty leaves it.
	Preset string
	// By is the operator, and Summary says in one line what changes.
	By      string
	Summary string
	// Now is when the change was asked for.
	Now time.Time
}

// Answer is the answer to an accepted change.
type Answer struct {
	// Revision is the one that the change made.
	Revision uint64
}

// ConflictError is returned when another change was accepted first.
type ConflictError struct {
	// Revision is in force.
	Revision uint64
	// Since lists the changes after the expected revision, the latest first, as
	// far as they are kept.
	Since []registry.Applied
}

// Error says who changed what, one line for each change.
func (e *ConflictError) Error() string {
	text := fmt.Sprintf("registrar: revision %d is in force", e.Revision)
	for _, applied := range e.Since {
		text += "\n" + applied.String()
	}
	return text
}

// RefusedError is returned when the change itself is wrong.
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

// UnavailableError is returned when the change certainly was not accepted, but
// may be if it is proposed again.
type UnavailableError struct {
	Reason string
	// RetryAfter is 0 if nothing is known about it.
	RetryAfter time.Duration
}

// Error returns the reason.
func (e *UnavailableError) Error() string {
	return "registrar: " + e.Reason
}

// House is the instance that the handlers answer for. Its methods are called
// from many goroutines at once.
type House interface {
	Status(now time.Time) Status
	// Drain starts the planned stop and returns at once. Calling it again
	// changes nothing.
	Drain(by string)
}

// Status is the state of one instance and what it knows of the others.
type Status struct {
	Name          string `json:"name"`
	FailureDomain string `json:"failure-domain"`
	Version       string `json:"version"`
	Revision      uint64 `json:"revision"`
	Preset        string `json:"preset"`
	// Fresh is false while the instance admits no new work because it cannot
	// confirm its configuration.
	Fresh    bool `json:"fresh"`
	Draining bool `json:"draining"`
	// Streams is the number of requests in progress.
	Streams int `json:"streams"`
	// Leader is the instance that leads the voters, empty if none is known.
	Leader string `json:"leader"`
	// Term is the fencing number of that leadership.
	Term      uint64           `json:"term"`
	Instances []InstanceStatus `json:"instances"`
	Upstreams []UpstreamStatus `json:"upstreams"`
	// Engines is what is recorded of engines that get orders. It is empty unless
	// the instance is a voter.
	Engines []EngineStatus `json:"engines,omitempty"`
}

// InstanceStatus is an instance as this one knows it.
type InstanceStatus struct {
	Name          string `json:"name"`
	CallerAddress string `json:"caller-address"`
	FailureDomain string `json:"failure-domain"`
	Voter         bool   `json:"voter"`
	Draining      bool   `json:"draining"`
	Stale         bool   `json:"stale"`
	Streams       int    `json:"streams"`
	// Silent is how long it has not been heard of, in nanoseconds.
	Silent time.Duration `json:"silent-nanoseconds"`
}

// UpstreamStatus is an upstream as this instance knows it.
type UpstreamStatus struct {
	Name          string `json:"name"`
	Kind          string `json:"kind"`
	Address       string `json:"address"`
	FailureDomain string `json:"failure-domain"`
	// Holds are the models and adapters of an engine, or the services of a
	// service.
	Holds   []string `json:"holds"`
	Running int      `json:"running"`
	Waiting int      `json:"waiting"`
	Leaving bool     `json:"leaving"`
}
