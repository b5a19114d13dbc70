package lease

import "time"

// Observations holds the times at which a replica last saw other instances take
// leases, by its own clock. A replica sees a lease only after it was taken, so a
// wait that starts at the observation is never too short. It is not safe for
// concurrent use.
type Observations struct {
	self string
	// seenAt is keyed by the name of the upstream.
	seenAt map[string]time.Time
}

// NewObservations returns empty Observations for the replica of the instance self.
func NewObservations(self string) *Observations {
	return &Observations{self: self, seenAt: map[string]time.Time{}}
}

// Record records that this replica applied take at now.
func (o *Observations) Record(now time.Time, take Take) {
	for _, upstream := range take.Forget {
		delete(o.seenAt, upstream)
	}
	if take.Holder == o.self {
		return
	}
	for _, upstream := range take.Upstreams {
		o.seenAt[upstream] = now
	}
}

// Reset replaces the observations after leases were restored from a snapshot. The
// snapshot does not say when each lease was taken, so each is treated as taken at
// now.
func (o *Observations) Reset(now time.Time, leases Leases) {
	clear(o.seenAt)
	for _, upstream := range leases.Upstreams() {
		o.seenAt[upstream] = now
	}
}

// Free reports whether this replica saw no other instance take the lease of
// upstream within the duration wait before now.
func (o *Observations) Free(now time.Time, upstream string, wait time.Duration) bool {
	at, seen := o.seenAt[upstream]
	return !seen || now.Sub(at) >= wait
}
