package counter

import (
	"context"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/lovagelift/lovagelift/internal/outcome"
	"github.com/lovagelift/lovagelift/internal/permit"
	"github.com/lovagelift/lovagelift/internal/retry"
)

// attempt sends the request to where it was granted a place, and reports whether the
// caller was answered.
func (t *trip) attempt(ctx context.Context, w http.ResponseWriter, granted place) bool {
	c := t.counter
	a := &sending{place: granted}
	defer c.finish(t, a)
	if c.coroner.Holds(t.digest) {
		t.refuseQuarantined(w)
		return true
	}
	if wait, ok := c.allow(ctx, a.upstream); !ok {
		return t.held(w, a, wait)
	}
	t.sends++
	t.timing.sent = c.options.Now()
	response, err := t.send(ctx, a)
	if err != nil {
		return t.failed(ctx, w, a, err)
	}
	defer response.Body.Close()
	judged := c.options.Dialect.Judge(response, t.call.ID)
	if judged == Answered || judged == NotRun {
		c.noteLimit(t, a, response.Header)
	}
	switch judged {
	case NotRun, Misdirected:
		return t.refused(w, a, response, judged)
	case Mismatched:
		t.runs++
		return t.failed(ctx, w, a, errors.New("counter: the answer is another request's"))
	default:
		return t.answer(ctx, w, a, response)
	}
}

// refused deals with an upstream that did not run the request.
func (t *trip) refused(w http.ResponseWriter, a *sending, response *http.Response, judged Judgement) bool {
	c := t.counter
	now := c.options.Now()
	a.outcome = permit.Full
	if judged == Misdirected && t.model != "" {
		a.outcome = permit.Absent
	}
	c.mu.Lock()
	verdict := c.budgets.Of(now, t.service).Decide(now, retry.Attempt{
		Number: t.sends, Outcome: outcome.NotRun, Deadline: t.deadline,
	})
	c.mu.Unlock()
	c.logAttempt(t, a, "refused", response.StatusCode, verdict.String())
	if judged != Misdirected || t.call.Model == "" {
		t.tried = append(t.tried, a.upstream.name)
	}
	if verdict == retry.Again {
		return false
	}
	if t.runs > 0 {
		c.refuse(w, t.call, t.route, refusal{status: http.StatusBadGateway, why: "refused after an earlier attempt"})
		return true
	}
	c.refuse(w, t.call, t.route, refusal{
		status: http.StatusServiceUnavailable, why: "the upstream refused", comeBack: t.comeBackNow(),
	})
	return true
}

// failed deals with an attempt without a whole answer.
func (t *trip) failed(ctx context.Context, w http.ResponseWriter, a *sending, cause error) bool {
	c := t.counter
	now := c.options.Now()
	if t.request.Context().Err() != nil {
		t.noteLeft(a)
		c.logAttempt(t, a, "left", 0, "the caller left")
		panic(http.ErrAbortHandler)
	}
	run := outcome.NotRun
	if a.reached.Load() {
		run = outcome.Unknown
		t.runs++
	}
	c.mu.Lock()
	verdict := retry.TooLate
	if ctx.Err() == nil {
		a.outcome = permit.Failed
		verdict = t.verdict(now, run)
	}
	c.mu.Unlock()
	t.cause = cause
	t.noteBroken(a, cause)
	c.logAttempt(t, a, "attempt failed", 0, verdict.String())
	t.tried = append(t.tried, a.upstream.name)
	if verdict == retry.Again {
		return false
	}
	switch {
	case t.runs == 0:
		c.refuse(w, t.call, t.route, refusal{
			status: http.StatusServiceUnavailable, why: "no upstream was reached", comeBack: t.comeBackNow(),
		})
	case ctx.Err() != nil:
		c.refuse(w, t.call, t.route, refusal{status: http.StatusGatewayTimeout, why: "no answer in time"})
	default:
		c.refuse(w, t.call, t.route, refusal{status: http.StatusBadGateway, why: "the upstream's answer was lost"})
	}
	return true
}

// verdict decides whether the request is sent again. Connecting costs nothing of
// the budget: the upstream that was not reached has no work of it.
func (t *trip) verdict(now time.Time, run outcome.Outcome) retry.Verdict {
	if run == outcome.NotRun && t.sends < maxAttempts {
		return retry.Again
	}
	if t.runs >= t.route.Attempts {
		return retry.AttemptsSpent
	}
	return t.counter.budgets.Of(now, t.service).Decide(now, retry.Attempt{
		Number: t.sends, Outcome: run, Idempotent: t.route.Repeatable(), Deadline: t.deadline,
	})
}
