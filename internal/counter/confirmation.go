package counter

import (
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
	nothingLeft
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
		return t.route.Kind == routes.Stream && t.route.Resumable
	}
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
