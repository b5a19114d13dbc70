package quarantine

import "time"

// successes remembers which requests ended with a whole answer of late. It takes bounded
// memory: what was remembered first goes first. The zero value is empty.
type successes struct {
	// older is what was remembered before newer was begun, at begun.
	newer, older map[Digest]struct{}
	begun        time.Time
}

const (
	// successTime is how long a whole answer is remembered at the least, unless there are
	// more than maxSuccesses of them.
	successTime  = time.Minute
	maxSuccesses = 4096
)

func (s *successes) add(now time.Time, digest Digest) {
	s.turn(now)
	s.newer[digest] = struct{}{}
}

func (s *successes) turn(now time.Time) {
	if s.newer != nil && len(s.newer) < maxSuccesses && now.Sub(s.begun) < successTime {
		return
	}
	s.newer, s.older, s.begun = map[Digest]struct{}{}, s.newer, now
}

func (s *successes) has(now time.Time, digest Digest) bool {
	s.turn(now)
	_, newer := s.newer[digest]
	_, older := s.older[digest]
	return newer || older
}
