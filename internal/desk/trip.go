package desk

import (
	"context"
	"io"
	"net/http"
	"sync"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"

	"github.com/lovagelift/lovagelift/internal/dispatch"
	"github.com/lovagelift/lovagelift/internal/outcome"
	"github.com/lovagelift/lovagelift/internal/retry"
	"github.com/lovagelift/lovagelift/internal/shuttle"
)

// trip is one request at one upstream, from the decision to the end of the
// answer. It is safe for concurrent use.
type trip struct {
	router   *router
	decision dispatch.Decision

	first sync.Once
	ended sync.Once
	// flight is guarded by the router's mutex.
	flight dispatch.Flight
}

// whole is the failure of a trip that had none.
const whole dispatch.Failure = 0

func (r *router) newTrip(start dispatch.Start) *trip {
	return &trip{router: r, decision: start.Decision, flight: start.Flight}
}

// firstByte takes in that the answer has begun. Only the first call counts.
func (t *trip) firstByte() {
	t.first.Do(func() {
		t.router.mu.Lock()
		defer t.router.mu.Unlock()
		t.router.dispatcher.FirstByte(t.router.now(), &t.flight)
	})
}

// end gives the place at the upstream back. Only the first call counts.
func (t *trip) end(failure dispatch.Failure) {
	t.ended.Do(func() {
		t.first.Do(func() {})
		r := t.router
		r.mu.Lock()
		defer r.mu.Unlock()
		now := r.now()
		if failure == whole {
			r.dispatcher.Finished(now, &t.flight)
		} else {
			r.dispatcher.Failed(now, &t.flight, failure)
		}
		r.freed(now, t.decision.Chosen.Name)
	})
}

// noted is a body that tells its trip when it begins.
type noted struct {
	io.ReadCloser
	trip *trip
}

// Read reads from the body.
func (n *noted) Read(p []byte) (int, error) {
	count, err := n.ReadCloser.Read(p)
	if count > 0 {
		n.trip.firstByte()
	}
	return count, err
}

// failureOf returns what an attempt without an answer says of its upstream.
func failureOf(ctx context.Context, err error) dispatch.Failure {
	var failure *shuttle.Error
	switch {
	case errors.As(err, &failure) && failure.Refused:
		return dispatch.FailureRefused
	case errors.Is(ctx.Err(), context.Canceled):
		return dispatch.FailureCanceled
	default:
		return dispatch.FailureBroken
	}
}

// failureOfAnswer returns what an answer and the error of its relay say of the
// upstream. An error of another kind than a shuttle.Error is the caller's.
func failureOfAnswer(status int, err error) dispatch.Failure {
	var cutOff *shuttle.Error
	switch {
	case errors.As(err, &cutOff):
		return dispatch.FailureBroken
	case err != nil:
		return dispatch.FailureCanceled
	case status >= http.StatusInternalServerError:
		return dispatch.FailureBroken
	default:
		return whole
	}
}

// outcomeOf returns what may be promised of a request that ended with err.
func outcomeOf(err error) outcome.Outcome {
	var failure *shuttle.Error
	var refusal *RefusalError
	switch {
	case errors.As(err, &failure):
		return failure.Outcome
	case errors.As(err, &refusal):
		return refusal.Outcome
	case errors.Is(err, errUnreachable):
		return outcome.NotRun
	default:
		return outcome.Unknown
	}
}

// graver returns the error of two attempts that the caller must be told: one
// that may have run goes before one that did not.
func graver(before, now error) error {
	if before != nil && outcomeOf(before) != outcome.NotRun {
		return before
	}
	return now
}

// logRoute writes the one line of a routing decision.
func (d *Desk) logRoute(task task, attempt int, trip *trip) {
	runnersUp := zerolog.Arr()
	for _, candidate := range trip.decision.RunnersUp() {
		runnersUp.Dict(zerolog.Dict().Str("upstream", candidate.Name).Float64("cost", candidate.Cost))
	}
	chosen := &trip.decision.Chosen
	d.options.Log.Info().
		Str("request", task.id).
		Int("attempt", attempt).
		Str("model", task.need.model).
		Str("service", task.service).
		Str("upstream", chosen.Name).
		Stringer("reason", trip.decision.Reason).
		Float64("cost", chosen.Cost).
		Stringer("predicted-first-token", chosen.FirstToken).
		Int("cached-tokens", chosen.CachedTokens).
		Array("runners-up", runnersUp).
		Msg("route")
}

// logNoRoute writes the one line of a decision that sends a request nowhere.
func (d *Desk) logNoRoute(task task, attempt int, err error) {
	event := d.options.Log.Info()
	var refusal *RefusalError
	if errors.As(err, &refusal) {
		event = event.Str("reason", string(refusal.Code)).Stringer("retry-after", refusal.RetryAfter)
	} else {
		event = event.Stringer("reason", dispatch.ReasonNoCandidate)
	}
	event.
		Str("request", task.id).
		Int("attempt", attempt).
		Str("model", task.need.model).
		Str("service", task.service).
		Msg("not routed")
}

func (d *Desk) logFailure(task task, attempt int, trip *trip, verdict retry.Verdict, err error) {
	d.options.Log.Warn().
		Err(err).
		Str("request", task.id).
		Int("attempt", attempt).
		Str("upstream", trip.decision.Chosen.Name).
		Stringer("retry", verdict).
		Msg("attempt failed")
}
