package docket

// applyExpire updates the limits, advances the clock, and removes the records
// whose retention has ended. In-flight records are not removed. They change to
// StateUnknown or, if they aren't overdue yet, stay in flight, and their
// retention starts again.
func (d *Store) applyExpire(c Expire) Answer {
	step := c.Now.Sub(d.leaderTime)
	if d.leaderTime.IsZero() {
		step = 0
	}
	d.leaderTime = c.Now
	if c.Limits.Valid() {
		d.limits = c.Limits
	}
	d.clock += min(max(step, 0), d.limits.MaxStep)
	answer := Answer{Verdict: VerdictRecorded}
	for r := d.byLastChange.first; r != nil && r.changedAt+d.limits.Retention <= d.clock; r = d.byLastChange.first {
		switch {
		case r.state != StateInFlight:
			d.removeRecord(r)
			answer.Expired++
		case r.unknownAfter < d.clock:
			d.markUnknown(r)
			answer.Overdue++
		default:
			d.markChanged(r)
		}
	}
	d.evictResponses()
	d.counters.Expired += uint64(answer.Expired)
	d.counters.Overdue += uint64(answer.Overdue)
	return answer
}

// applyAbandon changes the in-flight claims of an instance's earlier incarnations
// to StateUnknown.
func (d *Store) applyAbandon(c Abandon) Answer {
	answer := Answer{Verdict: VerdictRecorded}
	// Changed records move to the end of the list, so the loop stops after the
	// record that is last at the start.
	last := d.byLastChange.last
	for r := d.byLastChange.first; r != nil; {
		next := r.next
		isLast := r == last
		if r.state == StateInFlight && r.claimant.Instance == c.Instance && r.claimant.Incarnation < c.Incarnation {
			d.markUnknown(r)
			answer.Overdue++
		}
		if isLast {
			break
		}
		r = next
	}
	d.counters.Overdue += uint64(answer.Overdue)
	return answer
}

func (d *Store) markUnknown(r *storedRecord) {
	r.state = StateUnknown
	d.markChanged(r)
}

func (d *Store) removeRecord(r *storedRecord) {
	if r.response != nil {
		d.dropResponse(r)
	}
	d.byLastChange.remove(r)
	delete(d.records, r.key)
}
