package admission

import (
	"math"
	"time"
)

const (
	drainWindow = 2 * time.Second
	// drainTrust is how long a pool must have been backlogged before its own
	// drain says more than the capacity that the dispatcher computed.
	drainTrust = 2 * drainWindow
)

// drain estimates how many tickets a second leave a pool, by an exponentially
// decaying count.
//
// The count says nothing while there is no backlog: the pool then drains as
// slowly as requests come. Trusting it would refuse the start of every burst
// that follows a quiet time, with idle upstreams at hand.
type drain struct {
	count float64
	at    time.Time
	// capacity is what the dispatcher last computed from limits and holding
	// times, in tickets per second, 0 if not known.
	capacity     float64
	backlogSince time.Time
}

func (d *drain) decay(now time.Time) {
	if elapsed := now.Sub(d.at); elapsed > 0 {
		d.count *= math.Exp(-elapsed.Seconds() / drainWindow.Seconds())
		d.at = now
	}
}

func (d *drain) took(now time.Time) {
	d.decay(now)
	d.count++
}

// rate returns tickets per second, 0 if neither the drain nor the capacity is
// known.
func (d *drain) rate(now time.Time) float64 {
	d.decay(now)
	measured := d.count / drainWindow.Seconds()
	trusted := !d.backlogSince.IsZero() && now.Sub(d.backlogSince) >= drainTrust
	if trusted && measured > 0 || d.capacity <= 0 {
		return measured
	}
	return d.capacity
}
