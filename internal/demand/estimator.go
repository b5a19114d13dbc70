// Package demand is the load estimator: it turns reports of request counts into
// the offered load of each model and adapter, with exponentially weighted
// moving averages of arrival rates at several time scales.
//
// The package is pure: reports and the current time go in.
package demand

import (
	"slices"
	"time"

	"github.com/lovagelift/lovagelift/internal/decay"
)

// Time scales of the averages: a burst, the time within which loading a copy
// still helps, and the trend over half an hour.
const (
	FastScale   = 10 * time.Second
	MiddleScale = 2 * time.Minute
	SlowScale   = 30 * time.Minute
)

// DefaultHoldTime is how long an upstream is assumed to hold a request before
// any request has ended.
const DefaultHoldTime = 5 * time.Second

// negligible is the arrival rate, in requests per second, below which a target
// is dropped. It is also the decayed number of ended responses below which
// DefaultHoldTime is used instead of their hold time.
const negligible = 1e-6

var scales = [...]time.Duration{FastScale, MiddleScale, SlowScale}

// Estimate is the offered load of one target at three time scales, in
// concurrent requests: the arrivals per second times the seconds that upstreams
// hold a request (Little's law). Rejected requests count too.
type Estimate struct {
	Target             Target
	Fast, Middle, Slow float64
}

// ScaleUpLoad returns the load for which copies are worth adding. At a weight
// of moves of 0 a burst counts in full, at 1 by half, at 4 by a fifth. Most
// bursts end soon after a load has finished, so where moves weigh much, only
// lasting load counts.
func (e Estimate) ScaleUpLoad(weightOfMoves float64) float64 {
	return max(e.Middle, e.Fast/(1+max(weightOfMoves, 0)))
}

// RetainedLoad returns the load for which copies are worth keeping. It is never
// less than ScaleUpLoad, so the same estimate never causes both a load and an
// unload of a model.
func (e Estimate) RetainedLoad() float64 {
	return max(e.Fast, e.Middle, e.Slow)
}

// Estimator computes estimates from reports. It is not safe for concurrent use.
// Use New to create one.
type Estimator struct {
	startedAt time.Time
	targets   map[Target]*targetAverages
	// lastReports is the last report of each instance.
	lastReports map[string]lastReport
}

// lastReport identifies the last report of an instance.
type lastReport struct {
	incarnation, sequence uint64
	receivedAt            time.Time
}

// targetAverages are the averages of one target at updatedAt.
type targetAverages struct {
	updatedAt time.Time
	// rates are the decayed arrivals per second at each of scales.
	rates [len(scales)]float64
	// ended counts responses that have ended, and heldSeconds sums the time
	// that upstreams held their requests. Both decay at SlowScale.
	ended, heldSeconds float64
}

// New returns an Estimator without reports whose averages begin at now.
func New(now time.Time) *Estimator {
	return &Estimator{startedAt: now, targets: map[Target]*targetAverages{}, lastReports: map[string]lastReport{}}
}

// Add counts a report that arrived at now. It ignores a duplicate, or a report
// that is older than the last one of its instance, and then returns false.
func (e *Estimator) Add(now time.Time, r Report) bool {
	previous := e.lastReports[r.Instance]
	if r.Incarnation < previous.incarnation || r.Incarnation == previous.incarnation && r.Sequence <= previous.sequence {
		return false
	}
	e.lastReports[r.Instance] = lastReport{r.Incarnation, r.Sequence, now}
	for _, c := range r.Counts {
		a := e.targets[c.Target]
		if a == nil {
			a = &targetAverages{updatedAt: now}
			e.targets[c.Target] = a
		}
		a.decay(now)
		for i, scale := range scales {
			a.rates[i] += float64(max(c.Offered, 0)) / scale.Seconds()
		}
		a.ended += float64(max(c.Ended, 0))
		a.heldSeconds += max(c.HoldTime.Seconds(), 0)
	}
	return true
}

// decay advances the averages to now. It does nothing if now is earlier than
// updatedAt.
func (a *targetAverages) decay(now time.Time) {
	age := now.Sub(a.updatedAt)
	if age <= 0 {
		return
	}
	a.updatedAt = now
	for i, scale := range scales {
		a.rates[i] *= decay.TimeConstant(age, scale)
	}
	factor := decay.TimeConstant(age, SlowScale)
	a.ended *= factor
	a.heldSeconds *= factor
}

// Estimates returns the estimates at now, sorted by target. It drops targets
// whose arrival rate has become negligible, and instances that have not
// reported for SlowScale.
func (e *Estimator) Estimates(now time.Time) []Estimate {
	estimates := make([]Estimate, 0, len(e.targets))
	for target, a := range e.targets {
		a.decay(now)
		if a.rates[len(scales)-1] < negligible {
			delete(e.targets, target)
			continue
		}
		estimates = append(estimates, e.estimate(now, target, a))
	}
	for instance, last := range e.lastReports {
		if now.Sub(last.receivedAt) > SlowScale {
			delete(e.lastReports, instance)
		}
	}
	slices.SortFunc(estimates, func(a, b Estimate) int { return a.Target.compare(b.Target) })
	return estimates
}

func (e *Estimator) estimate(now time.Time, target Target, a *targetAverages) Estimate {
	holdSeconds := DefaultHoldTime.Seconds()
	if a.ended > negligible {
		holdSeconds = a.heldSeconds / a.ended
	}
	var loads [len(scales)]float64
	for i, scale := range scales {
		// An average that began a minute ago has seen only a part of its scale.
		// Without the division, a new leader would underestimate the demand.
		// The lower bound on age keeps one request in the first second from
		// counting as ten.
		age := max(now.Sub(e.startedAt), FastScale)
		loads[i] = a.rates[i] / (1 - decay.TimeConstant(age, scale)) * holdSeconds
	}
	return Estimate{Target: target, Fast: loads[0], Middle: loads[1], Slow: loads[2]}
}
