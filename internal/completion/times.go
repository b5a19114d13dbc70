// Package completion estimates how long requests take, from those that were completed. It does no I/O and reads no
// clock: measurements go in, estimates come out.
package completion

import "time"

// Times are the times that complete requests have taken, by a key whose requests take similar ones. It is not safe
// for concurrent use. Use a map literal or make.
type Times[K comparable] map[K]Time

// Time holds moving averages of a time and of its deviation from them.
type Time struct {
	mean, deviation time.Duration
}

const (
	// maxKeys bounds the keys, whose names may change again and again.
	maxKeys = 8192
	// The weights of a sample, and the deviations above the mean that few requests exceed, are those of
	// retransmission timeouts (RFC 6298).
	meanSamples      = 8
	deviationSamples = 4
	longDeviations   = 4
)

// Observe records the time that a complete request has taken.
func (t Times[K]) Observe(key K, sample time.Duration) {
	known, ok := t[key]
	if !ok {
		if len(t) >= maxKeys {
			clear(t)
		}
		t[key] = Time{mean: sample, deviation: sample / 2}
		return
	}
	known.deviation += ((sample - known.mean).Abs() - known.deviation) / deviationSamples
	known.mean += (sample - known.mean) / meanSamples
	t[key] = known
}

// Longest returns a time within which nearly all requests of a key complete. It returns false if none has completed
// yet.
func (t Times[K]) Longest(key K) (time.Duration, bool) {
	known, ok := t[key]
	return known.mean + longDeviations*known.deviation, ok
}

// Usual returns a time within which most requests of a key complete, 0 if none has completed yet.
func (t Times[K]) Usual(key K) time.Duration {
	known := t[key]
	return known.mean + known.deviation
}
