package docket

// applyExpire updates the limits, advances the clock, and removes the records
// whose retention has ended. In-flight records are not removed. They change to
// StateUnknown or, if they aren't overdue yet, stay in flight, and their
// retention starts again.
func (s *Store) applyExpire(c Expire) Answer {
	step := c.Now.Sub(s.leaderTime)
	if s.leaderTime.IsZero() {
		step = 0
	}
	s.leaderTime = c.Now
	if c.Limits.Valid() {
		s.limits = c.Limits
	}
	s.clock += min(max(step, 0), s.limits.MaxStep)
	answer := Answer{Verdict: VerdictRecorded}
	for r := s.byLastChange.first; r != nil && r.changedAt+s.limits.Retention <= s.clock; r = s.byLastChange.first {
		switch {
		case r.state != StateInFlight:
			s.removeRecord(r)
			answer.Expired++
		case r.unknownAfter < s.clock:
			s.markUnknown(r)
			answer.Overdue++
		default:
			s.markChanged(r)
		}
	}
	s.evictResponses()
	s.counters.Expired += uint64(answer.Expired)
	s.counters.Overdue += uint64(answer.Overdue)
	return answer
}

// applyAbandon changes the in-flight claims of an instance's earlier incarnations
// to StateUnknown.
func (s *Store) applyAbandon(c Abandon) Answer {
	answer := Answer{Verdict: VerdictRecorded}
	// Changed records move to the end of the list, so the loop stops after the
	// record that is last at the start.
	last := s.byLastChange.last
	for r := s.byLastChange.first; r != nil; {
		next := r.next
		isLast := r == last
		if r.state == StateInFlight && r.claimant.Instance == c.Instance && r.claimant.Incarnation < c.Incarnation {
			s.markUnknown(r)
			answer.Overdue++
		}
		if isLast {
			break
		}
		r = next
	}
	s.counters.Overdue += uint64(answer.Overdue)
	return answer
}

func (s *Store) markUnknown(r *storedRecord) {
	r.state = StateUnknown
	s.markChanged(r)
}

func (s *Store) removeRecord(r *storedRecord) {
	if r.response != nil {
		s.dropResponse(r)
	}
	s.byLastChange.remove(r)
	delete(s.records, r.key)
}
