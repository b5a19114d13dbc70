// Package aging finds what is asked for again and again and not served (starvation), so
// that it can be given a turn whatever goes before it otherwise.
//
// It is pure: it takes the present time as an argument and does no I/O.
package aging

import "time"

// Options configures Ages. All fields must be above 0.
type Options struct {
	// After is how long a key is asked for without being served until it starves.
	After time.Duration
	// Forget is how long a key is not asked for until it is forgotten. It is above After.
	Forget time.Duration
	// Keys bounds the keys that are known. Those that come after are left out.
	Keys int
}

// Ages is how long each key has been asked for without being served. It is not safe for
// concurrent use.
type Ages[K comparable] struct {
	options Options
	// unserved holds keys that were asked for since they were served last, len(unserved) is
	// at most options.Keys.
	unserved map[K]age
}

// age is when a key was first and last asked for since it was served. first is not after
// last.
type age struct {
	first, last time.Time
}

// New returns Ages without keys.
func New[K comparable](options Options) *Ages[K] {
	return &Ages[K]{options: options, unserved: map[K]age{}}
}

// Asked notes that a key is asked for.
func (a *Ages[K]) Asked(now time.Time, key K) {
	known, found := a.unserved[key]
	switch {
	case found && now.Sub(known.last) <= a.options.Forget:
		known.last = now
	case !found && len(a.unserved) >= a.options.Keys && !a.makeRoom(now):
		return
	default:
		known = age{first: now, last: now}
	}
	a.unserved[key] = known
}

// makeRoom forgets the keys that are not asked for any more, and reports whether there
// were any.
func (a *Ages[K]) makeRoom(now time.Time) bool {
	before := len(a.unserved)
	for key, known := range a.unserved {
		if now.Sub(known.last) > a.options.Forget {
			delete(a.unserved, key)
		}
	}
	return len(a.unserved) < before
}

// Served notes that a key is served.
func (a *Ages[K]) Served(key K) {
	delete(a.unserved, key)
}

// Starved returns for how long a key has been asked for without being served. If that is
// not long enough for a turn of its own, Starved returns false.
func (a *Ages[K]) Starved(now time.Time, key K) (time.Duration, bool) {
	known, found := a.unserved[key]
	if !found || now.Sub(known.last) > a.options.Forget {
		return 0, false
	}
	since := now.Sub(known.first)
	return since, since >= a.options.After
}
