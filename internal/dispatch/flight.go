package dispatch

import "time"

const (
	// learnRate is the weight of one observation in the moving means.
	learnRate = 0.1
	// The bounds of the bias. Beyond them the prediction is wrong for a reason
	// that one factor does not mend, and the limit and the ejection act.
	leastBias = 0.5
	mostBias  = 4.0
	// baseRate is the weight of a slower answer in the base.
	baseRate = 0.002
	// leastForecast is the shortest prediction in seconds that says anything of
	// the bias.
	leastForecast = 0.002
	leastOpen     = 0.001
	// budgetShare is the part of the slack to the goal that a request may spend at
	// the upstream.
	budgetShare = 0.2
)

// Flight is one request that this instance has open at an upstream. It is given
// back to the Dispatcher with what comes of the request: FirstByte once or never,
// then Finished or Failed once.
type Flight struct {
	upstream *upstream
	sentAt   time.Time
	firstAt  time.Time
	// predicted is the forecast in seconds without the bias of the upstream.
	predicted float64
	// budget is the longest time to the first token that lets the limit be.
	budget       time.Duration
	promptTokens int32
	priority     uint8
}

// Sent takes in that r goes to the upstream that decision chose.
func (d *Dispatcher) Sent(now time.Time, r *Request, decision *Decision) Flight {
	chosen := &decision.Chosen
	u := chosen.upstream
	flight := Flight{
		upstream:     u,
		sentAt:       now,
		predicted:    chosen.FirstToken.Seconds() / u.bias,
		budget:       u.budget(r, chosen.CachedTokens),
		promptTokens: int32(max(r.PromptTokens-chosen.CachedTokens, 0)),
		priority:     r.Priority,
	}
	d.fly(u, r.Priority, 1)
	u.unanswered += int(flight.promptTokens)
	u.trail.add(step{at: now, requests: 1, promptTokens: flight.promptTokens})
	// The cache will hold the prompt, and requests with the same prefix that come
	// before the first token gain by waiting at the same upstream.
	for _, block := range r.Blocks {
		d.prefixes.add(block, u.id)
	}
	return flight
}

// FirstByte takes in that the first token, or the answer of a plain service, has
// come.
func (d *Dispatcher) FirstByte(now time.Time, flight *Flight) {
	u := flight.upstream
	flight.firstAt = now
	took := now.Sub(flight.sentAt)
	u.trail.add(step{at: now, promptTokens: -flight.promptTokens})
	u.unanswered -= int(flight.promptTokens)
	u.answer = moved(u.answer, took.Seconds())
	u.learnBase(took.Seconds() - u.prefillTime(int(flight.promptTokens)))
	if flight.predicted >= leastForecast {
		ratio := took.Seconds() / flight.predicted
		u.bias = min(max(u.bias+learnRate*(ratio-u.bias), leastBias), mostBias)
	}
	d.setLimit(u, u.limit.WithFirstToken(now, flight.sentAt, took, flight.budget, u.inFlight))
	u.health.succeeded()
}

// Finished takes in that the whole answer has come. If nothing is known of its
// first token, the limit of the upstream goes by the queue that it reports.
func (d *Dispatcher) Finished(now time.Time, flight *Flight) {
	u := flight.upstream
	if flight.firstAt.IsZero() {
		u.health.succeeded()
	} else {
		u.hold = moved(u.hold, now.Sub(flight.firstAt).Seconds())
	}
	if (flight.firstAt.IsZero() || flight.budget == 0) && u.view.Load.Waiting == 0 {
		d.setLimit(u, u.limit.WithAnswer(u.inFlight))
	}
	d.end(now, flight)
}

// budget returns the longest time to the first token that is no sign of too many
// requests at u: an idle engine's time and a part of what is left to the goal.
// The rest is for the time that requests wait at the instance.
func (u *upstream) budget(r *Request, cached int) time.Duration {
	if r.Goal.FirstToken <= 0 {
		return 0
	}
	idle := u.idle(max(r.PromptTokens-cached, 0))
	// An upstream that can't meet the goal even when idle is held to its own time.
	left := max(r.Goal.FirstToken.Seconds()-idle, idle)
	return time.Duration((idle + left*budgetShare) * float64(time.Second))
}

// learnBase takes in the time of a first token without its prefill. The base
// follows a faster answer at once and slower ones slowly, so that the time that
// requests wait at a busy upstream is not taken for its own.
func (u *upstream) learnBase(seconds float64) {
	seconds = max(seconds, 0)
	if !u.answered || seconds < u.base {
		u.base, u.answered = seconds, true
		return
	}
	u.base += baseRate * (seconds - u.base)
}

// Failure says what kept an answer from coming whole.
type Failure uint8

// The kinds of failure.
const (
	// FailureRefused means that the upstream refused for want of room.
	FailureRefused Failure = iota + 1
	// FailureBroken means that it could not be reached, broke off, was silent for
	// too long or answered with an error of its own.
	FailureBroken
	// FailureCanceled means that the caller went away, which says nothing about
	// the upstream.
	FailureCanceled
)

// Failed takes in that the answer will not come whole. It reports whether the
// upstream was ejected for it.
func (d *Dispatcher) Failed(now time.Time, flight *Flight, failure Failure) bool {
	u := flight.upstream
	d.end(now, flight)
	switch failure {
	case FailureRefused:
		d.setLimit(u, u.limit.WithCut(now, flight.sentAt))
	case FailureBroken:
		u.health.failed()
		return d.maybeEject(now, u)
	case FailureCanceled:
	}
	return false
}

// end gives the place of a flight back.
func (d *Dispatcher) end(now time.Time, flight *Flight) {
	u := flight.upstream
	d.fly(u, flight.priority, -1)
	s := step{at: now, requests: -1}
	if flight.firstAt.IsZero() {
		s.promptTokens = -flight.promptTokens
		u.unanswered -= int(flight.promptTokens)
	}
	u.trail.add(s)
}

// maybeEject ejects u if it is bad, unless more than ejectedCap of one of its
// pools would be out, or none would be left. A fault that is common to all of
// them, or to this instance's network, would otherwise eject them all.
//
// Pools of one adapter or version don't count, as they are often of one member.
// Their requests go to an ejected one if no other holds what they need.
func (d *Dispatcher) maybeEject(now time.Time, u *upstream) bool {
	if !u.health.bad() || u.health.ejected(now) {
		return false
	}
	for _, p := range u.pools {
		if p.target.Adapter != "" || p.target.Version != "" {
			continue
		}
		out, alive := 1, 0
		for _, m := range p.members {
			if !m.alive(now) {
				continue
			}
			alive++
			if m != u && m.health.ejected(now) {
				out++
			}
		}
		if out >= alive || float64(out) > max(1, float64(alive)*ejectedCap) {
			return false
		}
	}
	u.health.eject(now)
	return true
}

// openFor returns the expected seconds that a request is open at u.
func (u *upstream) openFor() float64 {
	if u.answer <= 0 {
		return u.holding()
	}
	return max(u.answer+u.hold, leastOpen)
}

func moved(mean, observed float64) float64 {
	if mean <= 0 {
		return observed
	}
	return mean + learnRate*(observed-mean)
}
