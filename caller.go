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
	// Instances are seed addresses, IP and port, of instances. The Caller queries
	// them for the instances to use. At least one is required.
	Instances []string
	// TLS is the TLS configuration for connections to instances. Nil disables TLS.
	TLS *tls.Config
}

// Caller is a client that sends requests to models. It is safe for concurrent use.
type Caller struct {
	inner *caller.Caller
}

// NewCaller returns a Caller.
func NewCaller(options CallerOptions) *Caller {
	return &Caller{inner: caller.New(caller.Options{Seeds: options.Instances, TLS: options.TLS})}
}

// Outcome reports whether a request was executed. docs/CALLERS.md describes the
// guarantees.
type Outcome string

const (
	// OutcomeNotRun means that no upstream has executed the request or ever will.
	OutcomeNotRun Outcome = "not-run"
	// OutcomeRan means that an upstream executed the request, at least in part.
	OutcomeRan Outcome = "ran"
	// OutcomeUnknown means that an upstream may have executed the request.
	OutcomeUnknown Outcome = "unknown"
)

// Error is returned when there is no complete answer.
type Error struct {
	Outcome Outcome
	// Code is the error code, empty if unknown.
	Code    string
	Message string
	// RetryAfter is the suggested delay before a retry, or 0 if unknown.
	RetryAfter time.Duration
}

// Error returns the outcome and the message.
func (e *Error) Error() string {
	return "lovagelift: " + string(e.Outcome) + ": " + e.Message
}

// Ask sends text to a model, calls piece with each part of the answer as it is
// streamed, and returns the complete answer. If the answer is incomplete, Ask
// returns an *Error. In this case, piece may already have received parts.
func (c *Caller) Ask(ctx context.Context, model, text string, piece func(string)) (string, error) {
	if piece == nil {
		piece = func(string) {}
	}
	answer, err := c.inner.Complete(ctx, caller.Request{Model: model, Prompt: text}, piece)
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
