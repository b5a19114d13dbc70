package counter

import (
	"context"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/lovagelift/lovagelift/internal/outcome"
	"github.com/lovagelift/lovagelift/internal/permit"
	"github.com/lovagelift/lovagelift/internal/retry"
	"github.com/lovagelift/lovagelift/internal/shutdown"
)

// attempt sends the request to the granted upstream, and reports whether the caller was answered.
func (t *transaction) attempt(ctx context.Context, w http.ResponseWriter, granted grant) bool {
	p := t.proxy
	a := &upstreamAttempt{grant: granted}
	defer p.finishAttempt(t, a)
	if !p.mayStillSend(a.upstream) {
		return false
	}
	if wait, ok := p.allowByLimit(ctx, a.upstream); !ok {
		return t.handleRateLimit(w, a, wait)
	}
	if !t.renewCharge(ctx, w) {
		return true
	}
	if ruling, allowed := t.admission.Send(ctx); !allowed {
		t.refuseByRuling(w, ruling)
		return true
	}
	if t.remaining() <= 0 {
		// ctx may not have ended yet if the process stood still.
		t.admission.NotRun()
		t.refuseFailed(w, true)
		return true
	}
	if !t.endsInTime() {
		t.admission.NotRun()
		t.refuseStopping(w, shutdown.ReasonTooLong)
		return true
	}
	t.sends++
	t.timing.sent = p.options.Now()
	response, err := t.roundTrip(ctx, a)
	if err != nil {
		return t.handleFailure(ctx, w, a, err)
	}
	defer response.Body.Close()
	t.observeFraming(a, response)
	if !a.relayedBy.IsValid() {
		// Another instance that relays the response confirms its end itself.
		p.confirmEnd(ctx, a.upstream, response, a.framing, func(liveness Liveness) { a.liveness = liveness })
	}
	class := p.options.Dialect.Classify(response, t.call.ID)
	if class == Answered || class == NotRun {
		p.observeLimit(t, a, response.Header)
		a.pushback = p.options.Dialect.ParsePushback(response)
		a.statesLeave = p.options.Dialect.StatesLeave(response.Header)
		a.tolerance = p.options.Dialect.ParseRefusalTolerance(response.Header)
		p.observeRefusals(a, class)
		p.observePushback(a)
		p.observeLeave(a)
	}
	switch class {
	case NotRun, Misdirected:
		return t.handleNotRun(w, a, response, class)
	case Mismatched:
		return t.handleFailure(ctx, w, a, errors.New("counter: response belongs to another request"))
	default:
		return t.passResponse(ctx, w, a, response)
	}
}

// handleNotRun handles an upstream that did not run the request.
func (t *transaction) handleNotRun(w http.ResponseWriter, a *upstreamAttempt, response *http.Response, class ResponseClass) bool {
	p := t.proxy
	now := p.options.Now()
	t.admission.NotRun()
	a.outcome = permit.Full
	if class == Misdirected && t.model != "" {
		a.outcome = permit.ModelAbsent
	}
	p.mu.Lock()
	verdict := p.budgets.Get(now, t.service).Decide(now, retry.Attempt{
		Number: t.sends, Outcome: outcome.NotRun, Deadline: t.deadline,
	})
	p.mu.Unlock()
	p.logAttempt(t, a, "refused", response.StatusCode, verdict.String())
	if class != Misdirected || t.call.Model == "" {
		t.tried = append(t.tried, a.upstream.name)
	}
	if verdict == retry.Again {
		return false
	}
	if t.possibleRuns > 0 {
		p.refuse(w, t.call, t.route, refusal{status: http.StatusBadGateway, text: "refused after an earlier attempt"})
		return true
	}
	p.refuse(w, t.call, t.route, refusal{
		status: http.StatusServiceUnavailable, text: "the upstream refused", retryAfter: t.retryAfterNow(),
	})
	return true
}

// handleFailure handles an attempt without a complete response.
func (t *transaction) handleFailure(ctx context.Context, w http.ResponseWriter, a *upstreamAttempt, cause error) bool {
	p := t.proxy
	now := p.options.Now()
	run := outcome.NotRun
	if a.mayHaveSent.Load() {
		run = outcome.Unknown
		t.possibleRuns++
	} else {
		t.admission.NotRun()
	}
	if t.request.Context().Err() != nil {
		t.reportCallerLeft(a)
		p.shutdown.CountLeft()
		p.logAttempt(t, a, "caller disconnected", 0, "the caller left")
		panic(http.ErrAbortHandler)
	}
	if shutdown.IsStopped(ctx) {
		t.recordStopped(a, 0)
		t.refuseStopping(w, shutdown.ReasonWaited)
		return true
	}
	p.mu.Lock()
	p.metrics.countFailedStep(a.failedStep())
	verdict := retry.TooLate
	if t.isOverdueBody(ctx, a) {
		a.outcome = permit.Failed
	}
	if ctx.Err() == nil {
		if run != outcome.NotRun || !p.pool.isServiceLost(now, t.service) {
			a.outcome = permit.Failed
		}
		verdict = t.verdict(now, run)
	}
	p.mu.Unlock()
	if ctx.Err() != nil && t.group != "" {
		a.speed = t.measuredSpeed()
	}
	t.lastError = cause
	t.reportBroken(a, cause)
	p.logAttempt(t, a, "attempt failed", 0, verdict.String())
	t.tried = append(t.tried, a.upstream.name)
	if verdict == retry.Again {
		return false
	}
	t.refuseFailed(w, ctx.Err() != nil)
	return true
}

// refuseFailed answers a request of which no attempt has succeeded. tooLate is true if its time has ended.
func (t *transaction) refuseFailed(w http.ResponseWriter, tooLate bool) {
	answer := refusal{status: http.StatusBadGateway, text: "the upstream's answer was lost"}
	switch {
	case t.possibleRuns == 0:
		answer = refusal{status: http.StatusServiceUnavailable, text: "no upstream was reached", retryAfter: t.retryAfterNow()}
	case tooLate:
		answer = refusal{status: http.StatusGatewayTimeout, text: "no answer in time"}
	}
	t.proxy.refuse(w, t.call, t.route, answer)
}

// verdict decides whether the request is retried. A failure to connect is not charged to the retry
// budget, because the upstream has no work from it.
func (t *transaction) verdict(now time.Time, run outcome.Outcome) retry.Verdict {
	if run == outcome.NotRun && t.sends < maxSends {
		return retry.Again
	}
	if t.possibleRuns >= t.route.MaxAttempts {
		return retry.AttemptsSpent
	}
	return t.proxy.budgets.Get(now, t.service).Decide(now, retry.Attempt{
		Number: t.sends, Outcome: run, Idempotent: t.route.Repeatable(), Deadline: t.deadline,
	})
}
