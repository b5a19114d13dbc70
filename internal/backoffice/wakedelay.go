package backoffice

import "time"

const (
	// maxNormalWakeDelay is the highest average delay of an instance that has enough
	// processor time.
	maxNormalWakeDelay = 20 * time.Millisecond
	// wakeDelayRounds is the number of rounds over which the delay is averaged. They take
	// half a second, which is less than a leader may be silent.
	wakeDelayRounds = 4
)

// wakeDelay is the average delay with which a control instance wakes from its
// timer. A leader that lacks processor time sends its heartbeats with the same delay,
// and is replaced.
type wakeDelay time.Duration

// averagedWith returns the average after a round that began with the given delay.
func (d wakeDelay) averagedWith(delay time.Duration) wakeDelay {
	return d + (wakeDelay(delay)-d)/wakeDelayRounds
}

// isStarved reports whether the instance lacks processor time.
func (d wakeDelay) isStarved() bool {
	return time.Duration(d) > maxNormalWakeDelay
}
