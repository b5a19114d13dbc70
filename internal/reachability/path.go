// Package reachability decides, from the outcomes of connections, whether an instance has lost its
// network path to upstreams that other instances may still reach.
package reachability

import "time"

// Path is an instance's network path to one upstream. The zero value is a path that is not known to
// be lost.
type Path struct {
	// lostAt is when a connection failed for the first time since the last one was made, and zero
	// if none has.
	lostAt time.Time
	// probedAt is when the path was last probed, and zero if it never was.
	probedAt time.Time
}

// WithFailure returns the path after a connection failed.
func (p Path) WithFailure(now time.Time) Path {
	if p.lostAt.IsZero() {
		p.lostAt = now
	}
	return p
}

// WithConnection returns the path after a connection was made.
func (p Path) WithConnection() Path {
	p.lostAt = time.Time{}
	return p
}

// WithProbe returns the path after a probe was started.
func (p Path) WithProbe(now time.Time) Path {
	p.probedAt = now
	return p
}

// IsLost reports whether the last connection failed.
func (p Path) IsLost() bool {
	return !p.lostAt.IsZero()
}

// IsRefuted reports whether the upstream was heard from at a time that shows that it runs although
// the path is lost.
func (p Path) IsRefuted(heardAt time.Time) bool {
	return !p.IsLost() || heardAt.Sub(p.lostAt) > maxReportDelay
}

// maxReportDelay is how long an announcement may be under way when its sender ends.
const maxReportDelay = 500 * time.Millisecond

// ProbedBefore reports whether the path was last probed before the other one.
func (p Path) ProbedBefore(other Path) bool {
	return p.probedAt.Before(other.probedAt)
}
