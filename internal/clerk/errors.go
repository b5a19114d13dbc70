package clerk

import (
	"fmt"

	"github.com/cockroachdb/errors"

	"github.com/lovagelift/lovagelift/internal/jury"
)

// ErrUnknown means that a command may or may not be carried out, now or later.
// Each *UnknownError is ErrUnknown.
var ErrUnknown = errors.New("clerk: it is unknown whether the command is carried out")

// UnknownError is an ErrUnknown with its cause.
type UnknownError struct {
	Cause error
}

// Error returns what is unknown and why.
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

// NotAcceptedError means that a command was not carried out and never will be.
type NotAcceptedError struct {
	// Leader is the replica to ask instead, or empty if none is known.
	Leader jury.Identity
	// Passing says that whichever replica leads next may accept the command.
	Passing bool
	Cause   error
}

// Error returns the cause.
func (e *NotAcceptedError) Error() string {
	return fmt.Sprintf("clerk: the command was not accepted: %v", e.Cause)
}

// Unwrap returns the cause.
func (e *NotAcceptedError) Unwrap() error {
	return e.Cause
}

// errReplaced means that another leader's entry took the place of a proposal.
var errReplaced = errors.New("clerk: another leader's entry was committed in its place")

// errCovered means that a snapshot took the place of an entry.
var errCovered = errors.New("clerk: a snapshot of another replica covers the entry")

// errClosed means that the clerk is closed.
var errClosed = errors.New("clerk: the replica is closed")
