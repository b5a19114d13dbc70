package reservation

import (
	"time"

	"github.com/lovagelift/lovagelift/internal/decay"
)

// minRate is the rate of grants, per second, below which it counts as none.
const minRate = 0.01

// grantRates averages the rate of grants of each class, with weights that decay with their age.
type grantRates struct {
	// perSecond are the rates at last.
	perSecond [classes]float64
	last      time.Time
	window    time.Duration
}

// add records a grant.
func (r *grantRates) add(now time.Time, class Class) {
	if now.After(r.last) {
		decay := r.decay(now)
		for i := range r.perSecond {
			r.perSecond[i] *= decay
		}
		r.last = now
	}
	r.perSecond[min(class, classes-1)] += 1 / r.window.Seconds()
}

// rate returns the rate of grants that a request of a class could have: those of its class and of less
// urgent ones.
func (r *grantRates) rate(now time.Time, class Class) float64 {
	sum := 0.0
	for _, rate := range r.perSecond[min(class, classes-1):] {
		sum += rate
	}
	return sum * r.decay(now)
}

// decay returns the factor by which the rates have decayed since the last grant. It is 1 if the clock was
// set back.
func (r *grantRates) decay(now time.Time) float64 {
	return decay.TimeConstant(now.Sub(r.last), r.window)
}
