package dispatch

import "time"

const (
	// maxConsecutiveFailures is the number of consecutive failures that ejects an upstream.
	maxConsecutiveFailures = 5
	// An upstream is also ejected if more than maxFailureShare of its requests fail, after
	// at least minOutcomes requests.
	maxFailureShare = 0.5
	minOutcomes     = 10
	// baseEjectionTime is the duration of the first ejection. Each one that follows within
	// ejectionResetTime after the end of the last is twice as long, up to maxEjectionTime.
	baseEjectionTime  = 2 * time.Second
	maxEjectionTime   = 60 * time.Second
	ejectionResetTime = 5 * time.Minute
	// After an ejection, the share of requests that an upstream receives rises linearly to 1
	// within slowStartTime, from at least slowStartMinShare.
	slowStartTime     = 20 * time.Second
	slowStartMinShare = 0.05
	// outcomeDecay is the factor by which each outcome reduces the weight of the previous
	// ones.
	outcomeDecay = 0.9
	// maxEjectedShare is the largest share of a pool that may be ejected at once.
	maxEjectedShare = 1.0 / 3
)

// health tracks the failures of one upstream for outlier ejection.
type health struct {
	consecutiveFailures int
	// failures and outcomes are exponentially decaying counts. outcomes includes failures.
	failures float64
	outcomes float64
	// ejectedUntil is the end of the last ejection and the start of the slow start.
	ejectedUntil time.Time
	// ejections is the number of ejections since the last reset after ejectionResetTime.
	ejections int
}

func (h *health) succeeded() {
	h.consecutiveFailures = 0
	h.failures *= outcomeDecay
	h.outcomes = h.outcomes*outcomeDecay + 1
}

func (h *health) failed() {
	h.consecutiveFailures++
	h.failures = h.failures*outcomeDecay + 1
	h.outcomes = h.outcomes*outcomeDecay + 1
}

func (h *health) unhealthy() bool {
	if h.consecutiveFailures >= maxConsecutiveFailures {
		return true
	}
	// The decaying count converges to 1/(1-outcomeDecay) = 10. It exceeds 6.5 after
	// minOutcomes outcomes.
	enough := h.outcomes >= minOutcomes*0.65
	return enough && h.failures > h.outcomes*maxFailureShare
}

func (h *health) ejected(now time.Time) bool {
	return now.Before(h.ejectedUntil)
}

// eject ejects the upstream for a time that grows with the number of recent ejections. It
// resets the failure counts, so that only later outcomes can eject it again.
func (h *health) eject(now time.Time) {
	if now.Sub(h.ejectedUntil) > ejectionResetTime {
		h.ejections = 0
	}
	duration := maxEjectionTime
	if h.ejections < 5 {
		duration = min(baseEjectionTime<<h.ejections, maxEjectionTime)
	}
	h.ejections++
	h.ejectedUntil = now.Add(duration)
	h.consecutiveFailures, h.failures, h.outcomes = 0, 0, 0
}

// trafficShare returns the share of its usual requests that the upstream should receive. It
// is below 1 during the slow start after an ejection. Without the slow start, an upstream
// that still fails would receive its full share each time an ejection ends.
func (h *health) trafficShare(now time.Time) float64 {
	if h.ejections == 0 {
		return 1
	}
	sinceEjection := now.Sub(h.ejectedUntil)
	if sinceEjection >= slowStartTime {
		return 1
	}
	return max(slowStartMinShare, sinceEjection.Seconds()/slowStartTime.Seconds())
}
