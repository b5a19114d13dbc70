// Package retry implements the retry policy and retry budget: it decides whether a failed
// attempt at a request is followed by another one.
//
// The package only makes decisions: it takes the current time as an argument, does no
// I/O and starts no goroutine.
package retry

import (
	"time"

	"github.com/lovagelift/lovagelift/internal/outcome"
)

// AttemptHeader is sent with every request to an upstream. It holds the number of the
// attempt, starting at 1. A request that arrives at an instance with this header is
// itself an attempt of another instance or an upstream, and gets one attempt only.
const AttemptHeader = "Lovagelift-Attempt"

// Verdict is the decision on another attempt: Again, or the reason why not.
type Verdict uint8

// The verdicts.
const (
	// Again means that another attempt may go out now.
	Again Verdict = iota + 1
	// MayHaveRun means that the request is not idempotent and may have run.
	MayHaveRun
	// AnswerBegun means that the caller already has part of the response.
	AnswerBegun
	// AttemptsSpent means that the request has had all its attempts.
	AttemptsSpent
	// AlreadyRetry means that the request arrived with AttemptHeader.
	AlreadyRetry
	// TooLate means that another attempt would not end by the deadline.
	TooLate
	// BudgetSpent means that the retry budget of the service is empty.
	BudgetSpent
)

// String returns the word for the log.
func (v Verdict) String() string {
	switch v {
	case Again:
		return "again"
	case MayHaveRun:
		return "may-have-run"
	case AnswerBegun:
		return "answer-begun"
	case AttemptsSpent:
		return "attempts-spent"
	case AlreadyRetry:
		return "retry-of-a-retry"
	case TooLate:
		return "too-late"
	case BudgetSpent:
		return "budget-spent"
	default:
		return "none"
	}
}

// Attempt is an attempt that another one may follow.
type Attempt struct {
	// Number is the number of the attempt, starting at 1.
	Number int
	// Outcome says whether the attempt ran at its upstream.
	Outcome outcome.Outcome
	// Idempotent reports that the request may run more than once without harm.
	Idempotent bool
	// AnswerBegun reports that part of the response was sent to the caller.
	AnswerBegun bool
	// IsRetry reports that the request arrived with AttemptHeader.
	IsRetry bool
	// IsConfirmation reports that the attempt has not failed, and another one would only confirm it.
	IsConfirmation bool
	// Deadline is the time from which the response is useless. Zero means no deadline.
	Deadline time.Time
	// MinDuration is the shortest time in which another attempt can end.
	MinDuration time.Duration
}

// Options are the settings of a Budget. The zero value is useful.
type Options struct {
	// MaxAttempts is the maximum number of attempts at one request, 3 if 0.
	MaxAttempts int
	// Share is the number of retries that each new request adds to the budget, 0.1 if
	// 0.
	Share float64
	// Reserve is the maximum number of retries in the budget, 10 if 0. A budget starts
	// full, so that services with few requests can retry.
	Reserve float64
	// RefillPerSecond is the number of retries that the budget gains each second,
	// independent of requests, 0.2 if 0.
	RefillPerSecond float64
}

const (
	defaultAttempts = 3
	defaultShare    = 0.1
	defaultReserve  = 10
	// defaultRefillPerSecond keeps a service with few requests from staying without
	// retries for long once its reserve is spent.
	defaultRefillPerSecond = 0.2
	// keptForFailures is the share of the reserve that attempts which only confirm others leave untouched.
	keptForFailures = 0.5
)

// Budget is a token bucket that bounds the retries of one service to a share of its new
// requests.
//
// Without it, a fault that fails every attempt multiplies the load by the number of
// attempts, just when the upstreams can handle the least. With it, the load grows by no
// more than Share, besides the reserve and the refill, for as long as the fault lasts.
//
// A Budget is not safe for concurrent use.
type Budget struct {
	options Options
	// tokens is at most options.Reserve.
	tokens     float64
	refilledAt time.Time
}

// NewBudget returns a Budget whose reserve is full.
func NewBudget(now time.Time, options Options) *Budget {
	if options.MaxAttempts <= 0 {
		options.MaxAttempts = defaultAttempts
	}
	if options.Share <= 0 {
		options.Share = defaultShare
	}
	if options.Reserve <= 0 {
		options.Reserve = defaultReserve
	}
	if options.RefillPerSecond <= 0 {
		options.RefillPerSecond = defaultRefillPerSecond
	}
	return &Budget{options: options, tokens: options.Reserve, refilledAt: now}
}

// AddRequest adds the share of one new request to the budget. It must not be called for
// retries.
func (b *Budget) AddRequest() {
	b.tokens = min(b.tokens+b.options.Share, b.options.Reserve)
}

// Decide decides whether another attempt follows a, and takes a token if so.
func (b *Budget) Decide(now time.Time, a Attempt) Verdict {
	if elapsed := now.Sub(b.refilledAt); elapsed > 0 {
		b.tokens = min(b.tokens+elapsed.Seconds()*b.options.RefillPerSecond, b.options.Reserve)
		b.refilledAt = now
	}
	if verdict := a.denial(now, b.options.MaxAttempts); verdict != 0 {
		return verdict
	}
	kept := 0.0
	if a.IsConfirmation {
		kept = b.options.Reserve * keptForFailures
	}
	if b.tokens < 1+kept {
		return BudgetSpent
	}
	b.tokens--
	return Again
}

// denial returns the reason why no attempt may follow a, whatever the budget, or 0 if
// there is none.
func (a *Attempt) denial(now time.Time, maxAttempts int) Verdict {
	switch {
	case !a.Idempotent && a.Outcome != outcome.NotRun:
		// The request may have run or may still be running. Another attempt could run
		// it a second time, for example charge a card twice.
		return MayHaveRun
	case a.AnswerBegun:
		return AnswerBegun
	case a.IsRetry:
		return AlreadyRetry
	case a.Number >= maxAttempts:
		return AttemptsSpent
	case !a.Deadline.IsZero() && now.Add(a.MinDuration).After(a.Deadline):
		return TooLate
	default:
		return 0
	}
}
