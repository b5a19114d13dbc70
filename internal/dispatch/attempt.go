package dispatch

import "time"

const (
	// meanWeight is the weight of one observation in the moving means.
	meanWeight = 0.1
	// Bounds of the bias. Beyond them, a constant factor can't correct the prediction, and
	// limits and ejection take effect.
	minBias = 0.5
	maxBias = 4.0
	// overheadRiseWeight is the weight of an observation above the current overhead.
	overheadRiseWeight = 0.002
	// minPredictionSeconds is the shortest prediction that updates the bias.
	minPredictionSeconds = 0.002
	// minOpenSeconds is the minimum of expectedOpenSeconds, by which Capacity divides.
	minOpenSeconds = 0.001
	// budgetSlackShare is the share of the slack to the goal that a request may spend at the
	// upstream.
	budgetSlackShare = 0.2
)

// Attempt is one open request of this instance at an upstream. The caller reports its
// progress to the Dispatcher: FirstByte at most once, then either Finished or Failed once.
type Attempt struct {
	upstream     *upstream
	sentAt       time.Time
	firstTokenAt time.Time
	// unbiasedSeconds is the predicted time to the first token divided by the bias of the
	// upstream.
	unbiasedSeconds float64
	// budget is the longest time to the first token that doesn't reduce the limit. 0 means
	// that the request has no goal.
	budget       time.Duration
	promptTokens int32
	priority     uint8
}

// Sent records that r is sent to the chosen upstream of decision.
func (d *Dispatcher) Sent(now time.Time, r *Request, decision *Decision) Attempt {
	chosen := &decision.Chosen
	u := chosen.upstream
	attempt := Attempt{
		upstream:        u,
		sentAt:          now,
		unbiasedSeconds: chosen.FirstToken.Seconds() / u.bias,
		budget:          u.firstTokenBudget(r, chosen.CachedTokens),
		promptTokens:    int32(max(r.PromptTokens-chosen.CachedTokens, 0)),
		priority:        r.Priority,
	}
	d.addInFlight(u, r.Priority, 1)
	u.pendingPromptTokens += int(attempt.promptTokens)
	u.changes.add(loadChange{at: now, requests: 1, promptTokens: attempt.promptTokens})
	// Record the prompt as cached before its prefill: a request with the same prefix that
	// arrives before the first token is faster at the same upstream, even if it waits there.
	for _, block := range r.Blocks {
		d.prefixes.add(block, u.id)
	}
	return attempt
}

// FirstByte records the arrival of the first token, or of the response of a plain service.
func (d *Dispatcher) FirstByte(now time.Time, attempt *Attempt) {
	u := attempt.upstream
	attempt.firstTokenAt = now
	elapsed := now.Sub(attempt.sentAt)
	u.changes.add(loadChange{at: now, promptTokens: -attempt.promptTokens})
	u.pendingPromptTokens -= int(attempt.promptTokens)
	u.firstTokenSeconds = movingMean(u.firstTokenSeconds, elapsed.Seconds())
	u.observeOverhead(elapsed.Seconds() - u.prefillSeconds(int(attempt.promptTokens)))
	if attempt.unbiasedSeconds >= minPredictionSeconds {
		ratio := elapsed.Seconds() / attempt.unbiasedSeconds
		u.bias = min(max(u.bias+meanWeight*(ratio-u.bias), minBias), maxBias)
	}
	d.setLimit(u, u.limit.WithFirstToken(now, attempt.sentAt, elapsed, attempt.budget, u.inFlight))
	u.health.succeeded()
}

// Finished records the end of a complete response. If the request has no goal, or FirstByte
// was not called, the limit may grow if the upstream reports an empty queue.
func (d *Dispatcher) Finished(now time.Time, attempt *Attempt) {
	u := attempt.upstream
	if attempt.firstTokenAt.IsZero() {
		u.health.succeeded()
	} else {
		u.decodeSeconds = movingMean(u.decodeSeconds, now.Sub(attempt.firstTokenAt).Seconds())
	}
	if (attempt.firstTokenAt.IsZero() || attempt.budget == 0) && u.view.Load.Waiting == 0 {
		d.setLimit(u, u.limit.WithAnswer(u.inFlight))
	}
	d.release(now, attempt)
}

// firstTokenBudget returns the longest time to the first token that doesn't indicate
// overload of u: the time at an idle upstream plus budgetSlackShare of the slack to the
// goal. The rest of the slack is for the wait at the instance.
func (u *upstream) firstTokenBudget(r *Request, cachedTokens int) time.Duration {
	if r.Goal.FirstToken <= 0 {
		return 0
	}
	idle := u.idleFirstTokenSeconds(max(r.PromptTokens-cachedTokens, 0))
	// For an upstream that can't meet the goal even when idle, the slack is based on its
	// idle time.
	slack := max(r.Goal.FirstToken.Seconds()-idle, idle)
	return time.Duration((idle + slack*budgetSlackShare) * float64(time.Second))
}

// observeOverhead updates the overhead from a time to the first token minus its prefill.
// The overhead drops to a lower value at once and rises slowly, so that queueing at a
// busy upstream hardly counts as overhead.
func (u *upstream) observeOverhead(seconds float64) {
	seconds = max(seconds, 0)
	if !u.overheadKnown || seconds < u.overheadSeconds {
		u.overheadSeconds, u.overheadKnown = seconds, true
		return
	}
	u.overheadSeconds += overheadRiseWeight * (seconds - u.overheadSeconds)
}

// Failure is the reason for an incomplete response.
type Failure uint8

// The kinds of failure.
const (
	// FailureOverloaded means that the upstream rejected the request because it was full.
	FailureOverloaded Failure = iota + 1
	// FailureError means that the upstream was unreachable, closed the connection early,
	// timed out or responded with an error.
	FailureError
	// FailureCanceled means that the caller disconnected. It doesn't affect the health of
	// the upstream.
	FailureCanceled
)

// Failed records that a request ended without a complete response. It reports whether this
// ejected the upstream.
func (d *Dispatcher) Failed(now time.Time, attempt *Attempt, failure Failure) bool {
	u := attempt.upstream
	d.release(now, attempt)
	switch failure {
	case FailureOverloaded:
		d.setLimit(u, u.limit.WithDecrease(now, attempt.sentAt))
	case FailureError:
		u.health.failed()
		return d.maybeEject(now, u)
	case FailureCanceled:
	}
	return false
}

// release removes a request from the load of its upstream.
func (d *Dispatcher) release(now time.Time, attempt *Attempt) {
	u := attempt.upstream
	d.addInFlight(u, attempt.priority, -1)
	change := loadChange{at: now, requests: -1}
	if attempt.firstTokenAt.IsZero() {
		change.promptTokens = -attempt.promptTokens
		u.pendingPromptTokens -= int(attempt.promptTokens)
	}
	u.changes.add(change)
}

// maybeEject ejects u if it is unhealthy, unless more than maxEjectedShare of one of its
// pools would be ejected, or all of it. Without this bound, a fault that affects all
// members, or this instance's network, would eject every upstream.
//
// Pools of an adapter or a version don't count, because they often have a single member.
// Their requests go to an ejected upstream if there is no other.
func (d *Dispatcher) maybeEject(now time.Time, u *upstream) bool {
	if !u.health.unhealthy() || u.health.ejected(now) {
		return false
	}
	for _, p := range u.pools {
		if p.target.Adapter != "" || p.target.Version != "" {
			continue
		}
		ejected, available := 1, 0
		for _, m := range p.members {
			if !m.available(now) {
				continue
			}
			available++
			if m != u && m.health.ejected(now) {
				ejected++
			}
		}
		if ejected >= available || float64(ejected) > max(1, float64(available)*maxEjectedShare) {
			return false
		}
	}
	u.health.eject(now)
	return true
}

// expectedOpenSeconds returns the expected time for which a request is open at u.
func (u *upstream) expectedOpenSeconds() float64 {
	if u.firstTokenSeconds <= 0 {
		return u.expectedDecodeSeconds()
	}
	return max(u.firstTokenSeconds+u.decodeSeconds, minOpenSeconds)
}

// movingMean returns mean updated by an observation. A mean of 0 means that there was none
// before.
func movingMean(mean, observed float64) float64 {
	if mean <= 0 {
		return observed
	}
	return mean + meanWeight*(observed-mean)
}
