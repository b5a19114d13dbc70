package lovagelift

import (
	"context"
	"crypto/tls"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/lovagelift/lovagelift/internal/caller"
	"github.com/lovagelift/lovagelift/internal/outcome"
)

// CallerOptions configures a Caller.
type CallerOptions struct {
	// Instances are addresses of instances, IP number and port, to ask first
	// which ones to use. At least one is needed.
	Instances []string
	// TLS is used towards the instances, if it is not nil.
	TLS *tls.Config
}

// Caller asks models. It is safe for concurrent use.
type Caller struct {
	inner *caller.Caller
}

// NewCaller returns a Caller.
func NewCaller(options CallerOptions) *Caller {
	return &Caller{inner: caller.New(caller.Options{Known: options.Instances, TLS: options.TLS})}
}

// Outcome says whether a request ran. docs/CALLERS.md describes the promise.
type Outcome string

// The outcomes.
const (
	// OutcomeNotRun means that no upstream has run the request, nor ever will.
	OutcomeNotRun Outcome = "not-run"
	// OutcomeRan means that an upstream ran it, wholly or in part.
	OutcomeRan Outcome = "ran"
	// OutcomeUnknown means that an upstream may have run it.
	OutcomeUnknown Outcome = "unknown"
)

// Error is returned when there is no whole answer.
type Error struct {
	Outcome Outcome
	// Code names the reason, empty if the system gave none.
	Code    string
	Message string
	// RetryAfter is when to come back, 0 if that was not said.
	RetryAfter time.Duration
}

// Error returns the outcome and the message.
func (e *Error) Error() string {
	return "lovagelift: " + string(e.Outcome) + ": " + e.Message
}

// Ask asks a model and calls piece with each part of the answer as it comes. It
// returns the whole answer. If there is none, Ask returns an *Error; parts may
// have been handed to piece before.
func (c *Caller) Ask(ctx context.Context, model, text string, piece func(string)) (string, error) {
	if piece == nil {
		piece = func(string) {}
	}
	answer, err := c.inner.Ask(ctx, caller.Question{Model: model, Text: text}, piece)
	if err == nil {
		return answer.Text, nil
	}
	var failure *caller.Error
	if !errors.As(err, &failure) {
		return "", &Error{Outcome: OutcomeUnknown, Message: err.Error()}
	}
	return "", &Error{
		Outcome:    outcomeOf(failure.Outcome),
		Code:       failure.Code,
		Message:    failure.Message,
		RetryAfter: failure.RetryAfter,
	}
}

func outcomeOf(o outcome.Outcome) Outcome {
	switch o {
	case outcome.NotRun:
		return OutcomeNotRun
	case outcome.Ran:
		return OutcomeRan
	default:
		return OutcomeUnknown
	}
}
