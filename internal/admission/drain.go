package admission

import (
	"math"
	"time"
)

const (
	// drainWindow is the time in which the count decays to 1/e.
	drainWindow = 2 * time.Second
	// minBacklogTime is how long a pool must have had a backlog before its measured
	// drain rate is used instead of the capacity that the dispatcher computed.
	minBacklogTime = 2 * drainWindow
)

// drainEstimator estimates the number of tickets a second that leave a pool, from an
// exponentially decaying count.
//
// Without a backlog the count only shows the rate at which requests arrive. Its use as
// the drain rate would refuse the start of every burst after a quiet time, although
// upstreams are idle.
type drainEstimator struct {
	count     float64
	updatedAt time.Time
	// capacity is the rate that the dispatcher last computed from limits and the time that
	// requests are open, in tickets per second, 0 if unknown.
	capacity float64
	// backlogSince is zero if no tickets wait.
	backlogSince time.Time
}

func (d *drainEstimator) decay(now time.Time) {
	if elapsed := now.Sub(d.updatedAt); elapsed > 0 {
		d.count *= math.Exp(-elapsed.Seconds() / drainWindow.Seconds())
		d.updatedAt = now
	}
}

func (d *drainEstimator) add(now time.Time) {
	d.decay(now)
	d.count++
}

// rate returns the drain rate in tickets per second, 0 if neither a measurement nor the
// capacity is known.
func (d *drainEstimator) rate(now time.Time) float64 {
	d.decay(now)
	measured := d.count / drainWindow.Seconds()
	reliable := !d.backlogSince.IsZero() && now.Sub(d.backlogSince) >= minBacklogTime
	if reliable && measured > 0 || d.capacity <= 0 {
		return measured
	}
	return d.capacity
}
