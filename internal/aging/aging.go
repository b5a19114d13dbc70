// Package aging detects starvation: keys that are requested again and again and never
// served, so that a scheduler can serve them out of turn.
//
// The package is pure: it takes the present time as an argument and does no I/O.
package aging

import "time"

// Options configures a Tracker. All fields must be above 0.
type Options struct {
	// StarvedAfter is the time without service after which a requested key starves.
	StarvedAfter time.Duration
	// ForgetAfter is the time without a request after which a key is forgotten. It must be
	// longer than StarvedAfter.
	ForgetAfter time.Duration
	// MaxKeys is the largest number of keys that are tracked. Further keys are ignored.
	MaxKeys int
}

// Tracker tracks how long each key has been requested without being served. It is not safe
// for concurrent use.
type Tracker[K comparable] struct {
	options Options
	// unserved holds the keys that were requested since they were last served, at most
	// options.MaxKeys of them.
	unserved map[K]requestTimes
}

// requestTimes holds the times of the first and the last request for a key since it was
// last served.
type requestTimes struct {
	first, last time.Time
}

// New returns a Tracker that tracks no keys.
func New[K comparable](options Options) *Tracker[K] {
	return &Tracker[K]{options: options, unserved: map[K]requestTimes{}}
}

// Requested records a request for a key.
func (t *Tracker[K]) Requested(now time.Time, key K) {
	times, found := t.unserved[key]
	switch {
	case found && now.Sub(times.last) <= t.options.ForgetAfter:
		times.last = now
	case !found && len(t.unserved) >= t.options.MaxKeys && !t.removeExpired(now):
		return
	default:
		times = requestTimes{first: now, last: now}
	}
	t.unserved[key] = times
}

// removeExpired forgets the keys that are no longer requested, and reports whether there
// were any.
func (t *Tracker[K]) removeExpired(now time.Time) bool {
	count := len(t.unserved)
	for key, times := range t.unserved {
		if now.Sub(times.last) > t.options.ForgetAfter {
			delete(t.unserved, key)
		}
	}
	return len(t.unserved) < count
}

// Served records that a key was served.
func (t *Tracker[K]) Served(key K) {
	delete(t.unserved, key)
}

// Starved returns the time for which a key has been requested without being served, and
// whether that is long enough for starvation. A key that is no longer requested doesn't
// starve.
func (t *Tracker[K]) Starved(now time.Time, key K) (time.Duration, bool) {
	times, found := t.unserved[key]
	if !found || now.Sub(times.last) > t.options.ForgetAfter {
		return 0, false
	}
	unservedFor := now.Sub(times.first)
	return unservedFor, unservedFor >= t.options.StarvedAfter
}
