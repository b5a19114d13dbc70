package docket

import "time"

// entry is what is known of one key.
type entry struct {
	key         Key
	fingerprint Fingerprint
	owner       Claimant
	attempt     uint32
	state       State
	// until is, on the docket's clock, when an in-flight record counts as
	// unknown.
	until time.Duration
	// touched is, on the docket's clock, when the record last changed.
	touched time.Duration
	// response is nil unless state is StateCompleted.
	response *Response
	// previous and next are the entries touched before and after.
	previous, next *entry
}

// queue is the entries in the order in which they were last touched.
type queue struct {
	first, last *entry
}

func (q *queue) push(r *entry) {
	r.previous, r.next = q.last, nil
	if q.last == nil {
		q.first = r
	} else {
		q.last.next = r
	}
	q.last = r
}

func (q *queue) remove(r *entry) {
	if r.previous == nil {
		q.first = r.next
	} else {
		r.previous.next = r.next
	}
	if r.next == nil {
		q.last = r.previous
	} else {
		r.next.previous = r.previous
	}
	r.previous, r.next = nil, nil
}
