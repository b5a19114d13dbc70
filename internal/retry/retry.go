// Package retry decides whether a failed attempt at a request is followed by
// another one (retries).
//
// It decides only. It takes the present time as an argument, does no I/O and
// starts no goroutine.
package retry

import (
	"time"

	"github.com/lovagelift/lovagelift/internal/outcome"
)

// AttemptHeader carries the number of the attempt, the first being 1, on every
// request to an upstream. A request that comes to an instance with it is itself
// a retry of another instance or of an upstream, and gets one attempt only.
const AttemptHeader = "Lovagelift-Attempt"

// Verdict says whether to try again, and if not, why.
type Verdict uint8

// The verdicts.
const (
	// Again means that another attempt may go out now.
	Again Verdict = iota + 1
	// MayHaveRun means that the request is not idempotent and may have run.
	MayHaveRun
	// AnswerBegun means that the caller has part of the answer.
	AnswerBegun
	// AttemptsSpent means that the request has had all its attempts.
	AttemptsSpent
	// Stacked means that the request is a retry already.
	Stacked
	// TooLate means that another attempt would not end by the deadline.
	TooLate
	// BudgetSpent means that retries have reached their share of the requests of
	// the service.
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
	case Stacked:
		return "retry-of-a-retry"
	case TooLate:
		return "too-late"
	case BudgetSpent:
		return "budget-spent"
	default:
		return "none"
	}
}

// Attempt is an attempt that has failed.
type Attempt struct {
	// Number counts the attempts at the request, the first being 1.
	Number int
	// Outcome says whether the attempt ran at its upstream.
	Outcome outcome.Outcome
	// Idempotent says that running the request twice does no harm.
	Idempotent bool
	// AnswerBegun says that part of the answer has gone to the caller.
	AnswerBegun bool
	// Stacked says that the request came in with AttemptHeader.
	Stacked bool
	// Deadline is when the answer is of no use any more, never if zero.
	Deadline time.Time
	// Needed is the shortest time in which another attempt may end.
	Needed time.Duration
}

// Options are the settings of a Budget. The zero value is useful.
type Options struct {
	// Attempts is the most attempts at one request, 3 if 0.
	Attempts int
	// Share is the part of fresh requests that may be retried, 0.1 if 0.
	Share float64
	// Reserve is the number of retries that a service may make at once whatever
	// its requests, 10 if 0. It carries services of few requests.
	Reserve float64
	// Refill is the number of retries that a service gains each second whatever its
	// requests, 0.2 if 0.
	Refill float64
}

const (
	defaultAttempts = 3
	defaultShare    = 0.1
	defaultReserve  = 10
	// defaultRefill keeps a service of few requests from being left without a
	// retry for long after its reserve was spent.
	defaultRefill = 0.2
)

// Budget bounds the retries of one service to a share of its fresh requests (a
// token bucket).
//
// Without it, a fault that fails every attempt multiplies the load by the number
// of attempts just when the upstreams can carry least. With it the load grows by
// Share at most, for as long as the fault lasts.
//
// A Budget is not safe for concurrent use.
type Budget struct {
	options Options
	// tokens is at most options.Reserve.
	tokens float64
	at     time.Time
}

// NewBudget returns a Budget whose reserve is full.
func NewBudget(now time.Time, options Options) *Budget {
	if options.Attempts <= 0 {
		options.Attempts = defaultAttempts
	}
	if options.Share <= 0 {
		options.Share = defaultShare
	}
	if options.Reserve <= 0 {
		options.Reserve = defaultReserve
	}
	if options.Refill <= 0 {
		options.Refill = defaultRefill
	}
	return &Budget{options: options, tokens: options.Reserve, at: now}
}

// Fresh takes in that a new request has come. Retries are not counted.
func (b *Budget) Fresh() {
	b.tokens = min(b.tokens+b.options.Share, b.options.Reserve)
}

// Decide returns whether the attempt a is followed by another, and takes a token
// if it is.
func (b *Budget) Decide(now time.Time, a Attempt) Verdict {
	if elapsed := now.Sub(b.at); elapsed > 0 {
		b.tokens = min(b.tokens+elapsed.Seconds()*b.options.Refill, b.options.Reserve)
		b.at = now
	}
	if verdict := a.barred(now, b.options.Attempts); verdict != 0 {
		return verdict
	}
	if b.tokens < 1 {
		return BudgetSpent
	}
	b.tokens--
	return Again
}

// barred returns why the request must not be tried again, whatever the budget,
// or 0.
func (a *Attempt) barred(now time.Time, most int) Verdict {
	switch {
	case !a.Idempotent && a.Outcome != outcome.NotRun:
		// The request may have run, and be running still. Sent again it could run
		// twice: a rider would be charged twice.
		return MayHaveRun
	case a.AnswerBegun:
		return AnswerBegun
	case a.Stacked:
		return Stacked
	case a.Number >= most:
		return AttemptsSpent
	case !a.Deadline.IsZero() && now.Add(a.Needed).After(a.Deadline):
		return TooLate
	default:
		return 0
	}
}
