package counter

import "time"

// completionKey identifies requests that take similar times.
type completionKey struct {
	route, model string
}

// completionTimes are the times from sending requests to the ends of their responses. Use a map literal or make. It
// is not safe for concurrent use.
type completionTimes map[completionKey]completionTime

// completionTime holds moving averages of a time and of its deviation from them.
type completionTime struct {
	mean, deviation time.Duration
}

const (
	// maxCompletionTimes bounds the keys. Manifests may rename routes again and again.
	maxCompletionTimes = 8192
	// The weights of a sample, and the deviations above the mean that few requests exceed, are those of
	// retransmission timeouts (RFC 6298).
	meanSamples      = 8
	deviationSamples = 4
	longDeviations   = 4
)

// observe records the time of a complete response.
func (c completionTimes) observe(key completionKey, sample time.Duration) {
	known, ok := c[key]
	if !ok {
		if len(c) >= maxCompletionTimes {
			clear(c)
		}
		c[key] = completionTime{mean: sample, deviation: sample / 2}
		return
	}
	known.deviation += ((sample - known.mean).Abs() - known.deviation) / deviationSamples
	known.mean += (sample - known.mean) / meanSamples
	c[key] = known
}

// longest returns a time within which nearly all requests of a key complete. It returns false if none has completed
// yet.
func (c completionTimes) longest(key completionKey) (time.Duration, bool) {
	known, ok := c[key]
	return known.mean + longDeviations*known.deviation, ok
}
