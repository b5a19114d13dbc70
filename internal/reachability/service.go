package reachability

import (
	"iter"
	"time"
)

// Service is what an instance knows of its network paths to a service as a whole. The zero value is
// a service to which no connection was made.
type Service struct {
	// connectedAt is when the last connection to any upstream was made, and zero if none was.
	connectedAt time.Time
}

// WithConnection returns the service after a connection to one of its upstreams was made.
func (s Service) WithConnection(now time.Time) Service {
	s.connectedAt = now
	return s
}

// minLostPaths is the number of upstreams that must have become unreachable since the last
// connection. A single one may have crashed.
const minLostPaths = 2

// IsLost reports whether the fault is on the instance's side, so that the upstreams to which it has
// not tried to connect are unreachable as well. paths are the lost ones to upstreams that the
// instance knows to be running.
func (s Service) IsLost(paths iter.Seq[Path]) bool {
	lost := 0
	for path := range paths {
		if path.IsLost() && !path.lostAt.Before(s.connectedAt) {
			lost++
		}
		if lost == minLostPaths {
			return true
		}
	}
	return false
}
