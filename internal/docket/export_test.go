package docket

import "math"

// SetMaxClock sets the clock to its maximum value.
func SetMaxClock(s *Store) {
	s.clock = math.MaxInt64
}

// SetFutureChange sets the last change of the last record to the future.
func SetFutureChange(s *Store) {
	s.byLastChange.last.changedAt = s.clock + 1
}

// DuplicateLastRecord adds a second record with the key of the last one.
func DuplicateLastRecord(s *Store) {
	last := s.byLastChange.last
	duplicate := *last
	s.byLastChange.pushBack(&duplicate)
	s.records[Key{}] = &duplicate
}

// ClearLimits sets all limits to 0.
func ClearLimits(s *Store) {
	s.limits = Limits{}
}
