package backoffice

import "time"

const (
	// calmLate is how late a control instance that has processor time to spare wakes at the
	// most.
	calmLate = 20 * time.Millisecond
	// lateRounds is over how many rounds lateness is averaged: half a second, which is less
	// than a leader can be silent.
	lateRounds = 4
)

// lateness is how late a control instance wakes of late. Where it has no processor time to
// spare, its heartbeats are as late, and it will be replaced as leader.
type lateness time.Duration

// with returns the lateness after a round that began late by so much.
func (l lateness) with(late time.Duration) lateness {
	return l + (lateness(late)-l)/lateRounds
}

// short reports whether the instance is short of processor time.
func (l lateness) short() bool {
	return time.Duration(l) > calmLate
}
