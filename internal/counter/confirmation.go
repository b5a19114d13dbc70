package counter

import (
	"net/http"

	"github.com/lovagelift/lovagelift/internal/outcome"
	"github.com/lovagelift/lovagelift/internal/permit"
	"github.com/lovagelift/lovagelift/internal/retry"
	"github.com/lovagelift/lovagelift/internal/routes"
	"github.com/lovagelift/lovagelift/internal/shuttle"
)

// confirmation is what confirms that a response is whole which has ended with its connection.
type confirmation uint8

const (
	// notEnded means that there is nothing to confirm: the response has not ended with its connection, or
	// it has visibly been broken off.
	notEnded confirmation = iota
	// processEnded means that the process of the upstream is not known to have outlived the response.
	processEnded
	// unconfirmed means that the process runs, which may have broken off the response all the same.
	unconfirmed
	// outputLimit means that a stream has as many events as the largest answer.
	outputLimit
	// nothingLeft means that a stream was resumed and brought no event: two runs ended at the same one.
	// nothingLeftTwice means that it was sent to two upstreams, neither of which brought any.
	nothingLeft
	nothingLeftTwice
)

// String returns the name of the confirmation in logs and metrics.
func (c confirmation) String() string {
	switch c {
	case processEnded:
		return "process-ended"
	case outputLimit:
		return "output-limit"
	case nothingLeft:
		return "nothing-left"
	case nothingLeftTwice:
		return "nothing-left-twice"
	default:
		return "unconfirmed"
	}
}

// confirmWhole records what confirms that the response is whole after its end, at which a read returned
// err, nil for a regular end.
func (t *transaction) confirmWhole(a *upstreamAttempt, err error) {
	switch {
	case a.framing != shuttle.UntilClose:
	case err != nil && (a.liveness == Ended || a.liveness == LivenessUnknown):
		a.confirmation = processEnded
	case err != nil:
	case t.reachesOutputLimit(a):
		a.confirmation = outputLimit
	case t.mayHaveNothingLeft() && a.events != nil && a.events.IsEmpty():
		a.confirmation = nothingLeft
		if t.emptyRuns > 1 {
			a.confirmation = nothingLeftTwice
		}
	default:
		a.confirmation = unconfirmed
	}
}

// mayHaveNothingLeft reports whether the request resumes a stream after an event, which may have been the
// last one. Events are counted from 1.
func (t *transaction) mayHaveNothingLeft() bool {
	switch t.lastEvent() {
	case "", "0":
		return false
	default:
		return t.route.HasResumableStreams()
	}
}

// needsAnotherRun reports whether the request is sent once more because its response resumes a stream until
// close and brings no event: that may be a whole run that had nothing left, or one that was broken off. It reads
// ahead until the first event.
func (t *transaction) needsAnotherRun(a *upstreamAttempt, response *http.Response) bool {
	if a.framing != shuttle.UntilClose || a.events == nil || !t.mayHaveNothingLeft() || !a.awaitEvent(response) {
		return false
	}
	t.emptyRuns++
	if t.emptyRuns > 1 || t.possibleRuns >= t.route.MaxAttempts {
		return false
	}
	p := t.proxy
	now := p.options.Now()
	p.mu.Lock()
	verdict := p.budgets.Get(now, t.service).Decide(now, retry.Attempt{
		Number: t.sends, Outcome: outcome.Ran, Idempotent: true, IsConfirmation: true, Deadline: t.deadline,
	})
	p.mu.Unlock()
	if verdict != retry.Again {
		return false
	}
	a.outcome = permit.Succeeded
	t.reportSuccess(a, response.StatusCode)
	t.tried = append(t.tried, a.upstream.name)
	p.logAttempt(t, a, "nothing left", response.StatusCode, verdict.String())
	return true
}

// awaitEvent reads ahead until an event begins or the buffer is full, and reports whether the response has
// ended regularly before it.
func (a *upstreamAttempt) awaitEvent(response *http.Response) (ended bool) {
	beginning := readAhead(response, func(int) bool { return !a.events.IsEmpty() })
	return beginning.Ended && a.events.IsEmpty()
}

// isLeftToCaller reports whether the caller has to find out whether the response is whole, by resuming it
// after its last event. Compressed streams are left out, whose encoding marks their end, and so is what the
// caller could only begin anew.
func (t *transaction) isLeftToCaller(a *upstreamAttempt) bool {
	return a.confirmation == unconfirmed && t.route.Resumable && a.events != nil && a.events.HasID()
}

// reachesOutputLimit reports whether the response has as many events as the maximum of the answer
// allows. The events before those of a resumed stream do not count: its caller may state the maximum of
// the rest.
func (t *transaction) reachesOutputLimit(a *upstreamAttempt) bool {
	if t.route.Kind != routes.Stream || a.events == nil || t.call.MaxOutputTokens == 0 {
		return false
	}
	tokensPerEvent := 1
	if service := t.proxy.serviceOf(a.upstream); service != nil && service.Engine != nil {
		tokensPerEvent = max(service.Engine.TokensPerEvent, 1)
	}
	// Rounded up, as the last event may have fewer tokens.
	return a.events.Dispatched() >= (t.call.MaxOutputTokens-1)/tokensPerEvent+1
}
