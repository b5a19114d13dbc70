package shutdown

import "time"

// Schedule is what happens when in a planned shutdown, counted from its beginning on.
type Schedule struct {
	// TakeUntil is until when requests are taken that may run out: their responses are cut if they last until the end.
	// Of later ones, only those are taken that end in time whatever their upstreams do.
	TakeUntil time.Duration
	// AnswersEnd is when requests are answered whose responses have not begun, and BegunEnd, which is later, when
	// responses that have begun are ended. 0 means that requests may run until they end.
	AnswersEnd, BegunEnd time.Duration
}

// hasEnd reports whether requests are ended at all.
func (s Schedule) hasEnd() bool {
	return s.BegunEnd > 0
}
