package lease

import "time"

// Sightings is when a replica saw other instances take leases last, by its own
// clock. A lease was taken before it is seen, so that whoever waits from a sighting
// on waits long enough. It is not safe for concurrent use.
type Sightings struct {
	self  string
	taken map[string]time.Time
}

// NewSightings returns the sightings of the replica of an instance.
func NewSightings(self string) *Sightings {
	return &Sightings{self: self, taken: map[string]time.Time{}}
}

// Saw notes that take was applied at now.
func (s *Sightings) Saw(now time.Time, take Take) {
	for _, upstream := range take.Forget {
		delete(s.taken, upstream)
	}
	if take.Holder == s.self {
		return
	}
	for _, upstream := range take.Upstreams {
		s.taken[upstream] = now
	}
}

// SawAll notes leases that came as a whole. Who took them when is not known, so
// that each may have been taken just now.
func (s *Sightings) SawAll(now time.Time, leases Leases) {
	clear(s.taken)
	for _, upstream := range leases.Upstreams() {
		s.taken[upstream] = now
	}
}

// Free reports whether no other instance took the lease of upstream within the last
// wait.
func (s *Sightings) Free(now time.Time, upstream string, wait time.Duration) bool {
	at, seen := s.taken[upstream]
	return !seen || now.Sub(at) >= wait
}
