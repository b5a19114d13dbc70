package counter

// Instances share the slack of the retries evenly. reserveShare of an instance's
// part may be used at once, and refillShare of it comes back within a window; the
// rest is left for windows that slide over both.
const (
	reserveShare = 0.6
	refillShare  = 0.3
	// leastReserve is the smallest reserve: less than one retry is none.
	leastReserve = 1
)

// of returns the reserve and the refill, a second, of one among so many instances.
func (l RetryLimits) of(instances int) (reserve, refill float64) {
	part := l.Slack / float64(max(instances, 1))
	return max(part*reserveShare, leastReserve), part * refillShare / l.Window.Seconds()
}
