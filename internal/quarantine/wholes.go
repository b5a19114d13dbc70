package quarantine

import "time"

// wholes remembers which requests ended with a whole answer of late. It takes bounded
// memory: what was remembered first goes first. The zero value is empty.
type wholes struct {
	// older is what was remembered before newer was begun, at begun.
	newer, older map[Digest]struct{}
	begun        time.Time
}

const (
	// wholeTime is how long a whole answer is remembered at the least, unless there are
	// more than maxWholes of them.
	wholeTime = time.Minute
	maxWholes = 4096
)

func (w *wholes) add(now time.Time, digest Digest) {
	w.turn(now)
	w.newer[digest] = struct{}{}
}

func (w *wholes) turn(now time.Time) {
	if w.newer != nil && len(w.newer) < maxWholes && now.Sub(w.begun) < wholeTime {
		return
	}
	w.newer, w.older, w.begun = map[Digest]struct{}{}, w.newer, now
}

func (w *wholes) has(now time.Time, digest Digest) bool {
	w.turn(now)
	_, newer := w.newer[digest]
	_, older := w.older[digest]
	return newer || older
}
