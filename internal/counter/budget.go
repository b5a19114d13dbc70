package counter

// The instances share RetryLimits.Burst evenly. An instance may use reserveShare of its part at
// once and regains refillShare of it within RetryLimits.Window. Any period of that length may
// contain a full reserve and a full refill, so the two shares add up to less than 1.
const (
	reserveShare = 0.6
	refillShare  = 0.3
	// minReserve is the minimum reserve, because less than one retry has no effect.
	minReserve = 1
)

// perInstance returns the reserve and the refill per second of each instance.
func (l RetryLimits) perInstance(instances int) (reserve, refill float64) {
	share := l.Burst / float64(max(instances, 1))
	return max(share*reserveShare, minReserve), share * refillShare / l.Window.Seconds()
}
