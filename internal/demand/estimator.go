// Package demand estimates how much is asked of each model and adapter, at
// several time scales (exponentially weighted moving averages of arrival rates).
//
// The package is pure: reports and the present time go in.
package demand

import (
	"math"
	"slices"
	"time"
)

// The time scales: a burst, what a load can still catch up with, and the hour's
// trend.
const (
	FastScale   = 10 * time.Second
	MiddleScale = 2 * time.Minute
	SlowScale   = 30 * time.Minute
)

// DefaultHold is how long an upstream is taken to hold a request before any has
// ended.
const DefaultHold = 5 * time.Second

// forgotten is the part of a request a second below which a target is dropped.
const forgotten = 1e-6

var scales = [...]time.Duration{FastScale, MiddleScale, SlowScale}

// Estimate is the offered load of one target at three time scales. The unit is
// requests held at once: arrivals a second, times the seconds that upstreams
// hold a request (Little's law). Refused requests count too.
type Estimate struct {
	Target             Target
	Fast, Middle, Slow float64
}

// Rising returns the load for which copies are worth adding, if moves weigh so
// much: a burst counts whole if they weigh nothing, half at 1, a fifth at 4. Most
// bursts are over soon after a load is, so where moves weigh much, only what lasts
// counts.
func (e Estimate) Rising(weightOfMoves float64) float64 {
	return max(e.Middle, e.Fast/(1+max(weightOfMoves, 0)))
}

// Keeping returns the load for which copies are worth keeping. It is not less
// than Rising, so that the same figures never ask for a load and an unload.
func (e Estimate) Keeping() float64 {
	return max(e.Fast, e.Middle, e.Slow)
}

// Estimator turns reports into estimates. It is not safe for concurrent use. The
// zero value is not useful, see New.
type Estimator struct {
	began   time.Time
	targets map[Target]*average
	// seen are the last reports of each instance.
	seen map[string]reported
}

// reported names the last report of an instance.
type reported struct {
	incarnation, sequence uint64
	at                    time.Time
}

// average is what is kept of one target.
type average struct {
	at time.Time
	// rates are the decayed arrivals a second at each of scales.
	rates [len(scales)]float64
	// ended and held decay at SlowScale.
	ended, held float64
}

// New returns an Estimator that has seen nothing before now.
func New(now time.Time) *Estimator {
	return &Estimator{began: now, targets: map[Target]*average{}, seen: map[string]reported{}}
}

// Add takes a report that arrived at now. A copy of one, or one older than the
// last of its instance, changes nothing, and Add returns false.
func (e *Estimator) Add(now time.Time, r Report) bool {
	last := e.seen[r.Instance]
	if r.Incarnation < last.incarnation || r.Incarnation == last.incarnation && r.Sequence <= last.sequence {
		return false
	}
	e.seen[r.Instance] = reported{r.Incarnation, r.Sequence, now}
	for _, c := range r.Counts {
		a := e.targets[c.Target]
		if a == nil {
			a = &average{at: now}
			e.targets[c.Target] = a
		}
		a.decay(now)
		for i, scale := range scales {
			a.rates[i] += float64(max(c.Offered, 0)) / scale.Seconds()
		}
		a.ended += float64(max(c.Ended, 0))
		a.held += max(c.Held.Seconds(), 0)
	}
	return true
}

// decay brings the averages to now. If now is earlier than they are, decay
// changes nothing.
func (a *average) decay(now time.Time) {
	age := now.Sub(a.at)
	if age <= 0 {
		return
	}
	a.at = now
	for i, scale := range scales {
		a.rates[i] *= kept(age, scale)
	}
	part := kept(age, SlowScale)
	a.ended *= part
	a.held *= part
}

// kept returns which part of an average is left after a time.
func kept(age, scale time.Duration) float64 {
	return math.Exp(-age.Seconds() / scale.Seconds())
}

// Estimates returns the loads at now, sorted by target. Targets that nothing has
// been asked of for long are left out, and forgotten.
func (e *Estimator) Estimates(now time.Time) []Estimate {
	estimates := make([]Estimate, 0, len(e.targets))
	for target, a := range e.targets {
		a.decay(now)
		if a.rates[len(scales)-1] < forgotten {
			delete(e.targets, target)
			continue
		}
		estimates = append(estimates, e.estimate(now, target, a))
	}
	for instance, last := range e.seen {
		if now.Sub(last.at) > SlowScale {
			delete(e.seen, instance)
		}
	}
	slices.SortFunc(estimates, func(a, b Estimate) int { return a.Target.compare(b.Target) })
	return estimates
}

func (e *Estimator) estimate(now time.Time, target Target, a *average) Estimate {
	hold := DefaultHold.Seconds()
	if a.ended > forgotten {
		hold = a.held / a.ended
	}
	var loads [len(scales)]float64
	for i, scale := range scales {
		// An average that began a minute ago has seen only a part of its scale:
		// without the division, a new leader would take full demand for little.
		// The bound keeps one request in the first second from counting for ten.
		age := max(now.Sub(e.began), FastScale)
		loads[i] = a.rates[i] / (1 - kept(age, scale)) * hold
	}
	return Estimate{Target: target, Fast: loads[0], Middle: loads[1], Slow: loads[2]}
}
