package clerk

import (
	"fmt"

	"github.com/cockroachdb/errors"

	"github.com/lovagelift/lovagelift/internal/jury"
)

// ErrUnknown means that the outcome of a command is unknown: it may have been applied, may still be
// applied, or may never be. Every *UnknownError matches it.
var ErrUnknown = errors.New("clerk: it is unknown whether the command is carried out")

// UnknownError is ErrUnknown with a cause.
type UnknownError struct {
	Cause error
}

// Error returns the message of ErrUnknown with the cause.
func (e *UnknownError) Error() string {
	return fmt.Sprintf("%v: %v", ErrUnknown, e.Cause)
}

// Is reports whether target is ErrUnknown.
func (e *UnknownError) Is(target error) bool {
	return target == ErrUnknown
}

// Unwrap returns the cause.
func (e *UnknownError) Unwrap() error {
	return e.Cause
}

// RejectedError means that a command was not applied and never will be, unless it is proposed
// again.
type RejectedError struct {
	// Leader is the current leader, to which the command can be sent. It is empty if unknown.
	Leader jury.Identity
	// Retryable reports whether the current or next leader may accept the command.
	Retryable bool
	Cause     error
}

// Error returns a message with the cause.
func (e *RejectedError) Error() string {
	return fmt.Sprintf("clerk: the command was not accepted: %v", e.Cause)
}

// Unwrap returns the cause.
func (e *RejectedError) Unwrap() error {
	return e.Cause
}

// errOverwritten means that another leader's entry was committed at the index of the proposal.
var errOverwritten = errors.New("clerk: another leader's entry was committed in its place")

// errCoveredBySnapshot means that a snapshot from another replica covers the index of the proposal.
var errCoveredBySnapshot = errors.New("clerk: a snapshot of another replica covers the entry")

// ErrClosed means that the replica is closed. It is the cause of other errors; use errors.Is.
var ErrClosed = errors.New("clerk: the replica is closed")
