package docket

// expire moves the clock on, gives up overdue claims and drops old records.
func (d *Docket) expire(c Expire) Answer {
	step := c.Now.Sub(d.reported)
	if d.reported.IsZero() {
		step = 0
	}
	d.reported = c.Now
	if c.Limits.Valid() {
		d.limits = c.Limits
	}
	d.clock += min(max(step, 0), d.limits.MaxStep)
	answer := Answer{Verdict: VerdictRecorded}
	for r := d.order.first; r != nil && r.touched+d.limits.Retention <= d.clock; r = d.order.first {
		switch {
		case r.state != StateInFlight:
			d.drop(r)
			answer.Expired++
		case r.until < d.clock:
			d.giveUp(r)
			answer.Overdue++
		default:
			d.touch(r)
		}
	}
	d.trimResponses()
	d.counters.Expired += uint64(answer.Expired)
	d.counters.Overdue += uint64(answer.Overdue)
	return answer
}

// abandon gives up the claims of an instance's earlier incarnations.
func (d *Docket) abandon(c Abandon) Answer {
	answer := Answer{Verdict: VerdictRecorded}
	last := d.order.last
	for r := d.order.first; r != nil; {
		next := r.next
		end := r == last
		if r.state == StateInFlight && r.owner.Instance == c.Instance && r.owner.Incarnation < c.Incarnation {
			d.giveUp(r)
			answer.Overdue++
		}
		if end {
			break
		}
		r = next
	}
	d.counters.Overdue += uint64(answer.Overdue)
	return answer
}

func (d *Docket) giveUp(r *entry) {
	r.state = StateUnknown
	d.touch(r)
}

func (d *Docket) drop(r *entry) {
	if r.response != nil {
		d.dropResponse(r)
	}
	d.order.remove(r)
	delete(d.records, r.key)
}
