package resumption

import (
	"maps"
	"time"
)

// Beginners holds the instances at which streams begin, and when each was last heard from. One that is cut off
// may go on to begin streams at a version that is in use nowhere else. The zero value is empty and ready to use.
// It is not safe for concurrent use.
type Beginners struct {
	lastHeard map[string]time.Time
}

// Observe records that an instance was last heard from at the given time. If it is draining, no further streams
// begin there. Instances that have been silent for MaxRetention are forgotten.
func (b *Beginners) Observe(now time.Time, name string, at time.Time, draining bool) {
	if b.lastHeard == nil {
		b.lastHeard = map[string]time.Time{}
	}
	maps.DeleteFunc(b.lastHeard, func(_ string, last time.Time) bool { return now.Sub(last) > MaxRetention })
	if draining {
		delete(b.lastHeard, name)
		return
	}
	b.lastHeard[name] = at
}

// AnySilentSince reports whether an instance was last heard from at the given time or before, and not longer ago
// than MaxRetention.
func (b *Beginners) AnySilentSince(now, since time.Time) bool {
	for _, last := range b.lastHeard {
		if !last.After(since) && now.Sub(last) <= MaxRetention {
			return true
		}
	}
	return false
}
