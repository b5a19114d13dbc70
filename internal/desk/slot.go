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

// slot is the place of one request at its upstream, from the routing decision to the end of the
// response. It is safe for concurrent use.
type slot struct {
	router   *router
	decision dispatch.Decision

	firstByteOnce sync.Once
	releaseOnce   sync.Once
	// attempt is guarded by the router's mutex.
	attempt dispatch.Attempt
}

// noFailure stands for a complete response.
const noFailure dispatch.Failure = 0

func (r *router) newSlot(start dispatch.Start) *slot {
	return &slot{router: r, decision: start.Decision, attempt: start.Attempt}
}

// markFirstByte records that the response has begun. Only the first call has an effect.
func (s *slot) markFirstByte() {
	s.firstByteOnce.Do(func() {
		s.router.mu.Lock()
		defer s.router.mu.Unlock()
		s.router.dispatcher.FirstByte(s.router.now(), &s.attempt)
	})
}

// release frees the slot, reports the result to the dispatcher and starts queued requests that
// can use the slot. Only the first call has an effect.
func (s *slot) release(failure dispatch.Failure) {
	s.releaseOnce.Do(func() {
		s.firstByteOnce.Do(func() {})
		r := s.router
		r.mu.Lock()
		defer r.mu.Unlock()
		now := r.now()
		if failure == noFailure {
			r.dispatcher.Finished(now, &s.attempt)
		} else {
			r.dispatcher.Failed(now, &s.attempt, failure)
		}
		r.startWaiting(now, s.decision.Chosen.Name)
	})
}

// firstByteReader is a response body that records in its slot when the first byte is read.
type firstByteReader struct {
	io.ReadCloser
	slot *slot
}

// Read implements io.Reader.
func (r *firstByteReader) Read(p []byte) (int, error) {
	n, err := r.ReadCloser.Read(p)
	if n > 0 {
		r.slot.markFirstByte()
	}
	return n, err
}

// attemptFailure returns the failure to record for the upstream of an attempt that got no
// response.
func attemptFailure(ctx context.Context, err error) dispatch.Failure {
	var failure *shuttle.Error
	switch {
	case errors.As(err, &failure) && failure.Refused:
		return dispatch.FailureOverloaded
	case errors.Is(ctx.Err(), context.Canceled):
		return dispatch.FailureCanceled
	default:
		return dispatch.FailureError
	}
}

// relayFailure returns the failure to record for the upstream of a relayed response. An error
// that is not a shuttle.Error comes from the connection to the caller.
func relayFailure(status int, err error) dispatch.Failure {
	var cutOff *shuttle.Error
	switch {
	case errors.As(err, &cutOff):
		return dispatch.FailureError
	case err != nil:
		return dispatch.FailureCanceled
	case status >= http.StatusInternalServerError:
		return dispatch.FailureError
	default:
		return noFailure
	}
}

// outcomeOf returns the outcome that may be reported for a request that failed with err.
func outcomeOf(err error) outcome.Outcome {
	var failure *shuttle.Error
	var refusal *RefusalError
	switch {
	case errors.As(err, &failure):
		return failure.Outcome
	case errors.As(err, &refusal):
		return refusal.Outcome
	case errors.Is(err, errNoCandidate):
		return outcome.NotRun
	default:
		return outcome.Unknown
	}
}

// worseOutcome returns the error to report to the caller after two attempts: one that may have
// run the request takes precedence over one that did not.
func worseOutcome(earlier, latest error) error {
	if earlier != nil && outcomeOf(earlier) != outcome.NotRun {
		return earlier
	}
	return latest
}

// logRoute logs a routing decision in a single line.
func (s *Server) logRoute(task task, attempt int, slot *slot) {
	runnersUp := zerolog.Arr()
	for _, candidate := range slot.decision.RunnersUp() {
		runnersUp.Dict(zerolog.Dict().Str("upstream", candidate.Name).Float64("cost", candidate.Cost))
	}
	chosen := &slot.decision.Chosen
	s.options.Log.Info().
		Str("request", task.id).
		Int("attempt", attempt).
		Str("model", task.requirement.model).
		Str("service", task.service).
		Str("upstream", chosen.Name).
		Stringer("reason", slot.decision.Reason).
		Float64("cost", chosen.Cost).
		Stringer("predicted-first-token", chosen.FirstToken).
		Int("cached-tokens", chosen.CachedTokens).
		Array("runners-up", runnersUp).
		Msg("request routed")
}

// logRefusal logs in a single line why a request was not routed.
func (s *Server) logRefusal(task task, attempt int, err error) {
	event := s.options.Log.Info()
	var refusal *RefusalError
	if errors.As(err, &refusal) {
		event = event.Str("reason", string(refusal.Code)).Stringer("retry-after", refusal.RetryAfter)
	} else {
		event = event.Stringer("reason", dispatch.ReasonNoCandidate)
	}
	event.
		Str("request", task.id).
		Int("attempt", attempt).
		Str("model", task.requirement.model).
		Str("service", task.service).
		Msg("request not routed")
}

func (s *Server) logFailedAttempt(task task, attempt int, slot *slot, verdict retry.Verdict, err error) {
	s.options.Log.Warn().
		Err(err).
		Str("request", task.id).
		Int("attempt", attempt).
		Str("upstream", slot.decision.Chosen.Name).
		Stringer("retry", verdict).
		Msg("attempt failed")
}
