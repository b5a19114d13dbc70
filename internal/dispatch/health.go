package dispatch

import "time"

const (
	// ejectAfter is how many failures in a row eject an upstream.
	ejectAfter = 5
	// ejectShare is the share of failures that ejects one, after ejectLeast
	// answers.
	ejectShare = 0.5
	ejectLeast = 10
	// ejectFor is how long the first ejection lasts; each that follows within
	// forgetAfter lasts twice as long as the one before, up to ejectLongest.
	ejectFor     = 2 * time.Second
	ejectLongest = 60 * time.Second
	forgetAfter  = 5 * time.Minute
	// returnOver is how long an upstream that comes back takes to get its full
	// share of requests again.
	returnOver   = 20 * time.Second
	returnFloor  = 0.05
	failureDecay = 0.9
	// ejectedCap is the largest share of a pool that is ejected at once.
	ejectedCap = 1.0 / 3
)

// health is the record of one upstream's failures.
type health struct {
	inRow int
	// failures and answers are exponentially decaying counts.
	failures float64
	answers  float64
	// ejectedUntil is when the upstream is tried again. From then on it returns
	// slowly.
	ejectedUntil time.Time
	ejections    int
}

func (h *health) succeeded() {
	h.inRow = 0
	h.failures *= failureDecay
	h.answers = h.answers*failureDecay + 1
}

func (h *health) failed() {
	h.inRow++
	h.failures = h.failures*failureDecay + 1
	h.answers = h.answers*failureDecay + 1
}

func (h *health) bad() bool {
	if h.inRow >= ejectAfter {
		return true
	}
	// answers converges to 1/(1-failureDecay) = 10.
	enough := h.answers >= ejectLeast*0.65
	return enough && h.failures > h.answers*ejectShare
}

func (h *health) ejected(now time.Time) bool {
	return now.Before(h.ejectedUntil)
}

// eject takes the upstream out for a time, and forgets the failures that led to
// it: what follows is judged afresh.
func (h *health) eject(now time.Time) {
	if now.Sub(h.ejectedUntil) > forgetAfter {
		h.ejections = 0
	}
	lasting := ejectLongest
	if h.ejections < 5 {
		lasting = min(ejectFor<<h.ejections, ejectLongest)
	}
	h.ejections++
	h.ejectedUntil = now.Add(lasting)
	h.inRow, h.failures, h.answers = 0, 0, 0
}

// share returns the part of its requests that the upstream should get: 1 but for
// returnOver after an ejection. Without the slow return, an upstream that is
// still broken would get its full share at once, each time its ejection ends.
func (h *health) share(now time.Time) float64 {
	if h.ejections == 0 {
		return 1
	}
	back := now.Sub(h.ejectedUntil)
	if back >= returnOver {
		return 1
	}
	return max(returnFloor, back.Seconds()/returnOver.Seconds())
}
