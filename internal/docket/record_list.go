package docket

import "time"

// storedRecord is the idempotency record of one key. It is an element of a
// recordList.
type storedRecord struct {
	key         Key
	fingerprint Fingerprint
	claimant    Claimant
	attempt     uint32
	state       State
	// unknownAfter is the time on the store's clock after which an in-flight
	// record counts as unknown.
	unknownAfter time.Duration
	// changedAt is the time of the last change on the store's clock.
	changedAt time.Duration
	// response is nil unless state is StateCompleted.
	response *Response
	// previous and next are the neighbors in the list.
	previous, next *storedRecord
}

// recordList is a doubly linked list of records, least recently changed first.
type recordList struct {
	first, last *storedRecord
}

func (l *recordList) pushBack(r *storedRecord) {
	r.previous, r.next = l.last, nil
	if l.last == nil {
		l.first = r
	} else {
		l.last.next = r
	}
	l.last = r
}

func (l *recordList) remove(r *storedRecord) {
	if r.previous == nil {
		l.first = r.next
	} else {
		r.previous.next = r.next
	}
	if r.next == nil {
		l.last = r.previous
	} else {
		r.next.previous = r.previous
	}
	r.previous, r.next = nil, nil
}
