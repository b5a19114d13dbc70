package quarantine

import "time"

// successes is a bounded set of the requests that recently ended with a complete response.
// The oldest are removed first. The zero value is empty.
type successes struct {
	// newer holds the requests since startedAt, and older those of the period before.
	newer, older map[Digest]struct{}
	startedAt    time.Time
}

const (
	// successRetention is the minimum time for which a request is kept, unless maxSuccesses
	// newer ones are added before.
	successRetention = time.Minute
	maxSuccesses     = 4096
)

func (s *successes) add(now time.Time, digest Digest) {
	s.rotate(now)
	s.newer[digest] = struct{}{}
}

func (s *successes) rotate(now time.Time) {
	if s.newer != nil && len(s.newer) < maxSuccesses && now.Sub(s.startedAt) < successRetention {
		return
	}
	s.newer, s.older, s.startedAt = map[Digest]struct{}{}, s.newer, now
}

func (s *successes) contains(now time.Time, digest Digest) bool {
	s.rotate(now)
	_, newer := s.newer[digest]
	_, older := s.older[digest]
	return newer || older
}
