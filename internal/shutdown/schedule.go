package shutdown

import "time"

// Schedule is what happens when in a planned shutdown, counted from its beginning on.
type Schedule struct {
	// TakeUntil is until when requests are taken whose responses may last until the end, at which they are cut. Later
	// ones are taken only if their deadline is before the end.
	TakeUntil time.Duration
	// AnswersEnd is when requests are answered whose responses have not begun, and BegunEnd, which is later, when
	// responses that have begun are ended. 0 means that requests may run until they end.
	AnswersEnd, BegunEnd time.Duration
	// CutFrom is from when on streams that may be resumed are cut after their next event.
	CutFrom time.Duration
}

// hasEnd reports whether requests are ended at all.
func (s Schedule) hasEnd() bool {
	return s.BegunEnd > 0
}
