package quarantine

import (
	"slices"
	"time"
)

// Recall finds upstreams that were reported as ended and are heard of later all the
// same, as behind a link that refuses. It is not safe for concurrent use. The zero value
// is ready for use.
type Recall struct {
	// seen is when each crash was first seen here.
	seen     map[Lifetime]time.Time
	revision uint64
}

const (
	// lateTime is how late a liveness report that an upstream sent before its end may
	// arrive.
	lateTime = time.Second
	// recallTime is how long after a crash its upstream is listened for.
	recallTime = 15 * time.Second
)

// Alive returns the upstreams that have not ended. heard returns when a lifetime was
// heard of last, and false if it was not.
func (r *Recall) Alive(now time.Time, records Records, heard func(Lifetime) (time.Time, bool)) []Lifetime {
	if records.Revision() != r.revision {
		r.revision = records.Revision()
		r.look(now, records)
	}
	var alive []Lifetime
	for lifetime, at := range r.seen {
		if now.Sub(at) > recallTime {
			continue
		}
		if last, known := heard(lifetime); known && last.Sub(at) > lateTime {
			alive = append(alive, lifetime)
		}
	}
	return slices.SortedFunc(slices.Values(alive), compareLifetimes)
}

// look takes in the crashes of the records.
func (r *Recall) look(now time.Time, records Records) {
	before := r.seen
	r.seen = map[Lifetime]time.Time{}
	for _, c := range records.cases {
		for _, crash := range c.Crashes {
			at, known := before[crash.Lifetime]
			if !known {
				at = now
			}
			r.seen[crash.Lifetime] = at
		}
	}
}
