package counter

import "time"

// historySize is the number of samples kept. At ten requests a second, they cover at least two
// seconds, which is longer than a report takes to arrive.
const historySize = 64

// loadHistory holds the past load estimates of an engine, to compare with a report that arrives
// half a second later.
type loadHistory struct {
	samples [historySize]loadSample
	next    int
}

type loadSample struct {
	at   time.Time
	load float64
}

// record stores the load as of now.
func (h *loadHistory) record(now time.Time, load float64) {
	h.samples[h.next] = loadSample{at: now, load: load}
	h.next = (h.next + 1) % historySize
}

// loadAt returns the load estimate at a past time. It returns false if that time is before the
// oldest sample.
func (h *loadHistory) loadAt(at time.Time) (float64, bool) {
	for i := 1; i <= historySize; i++ {
		s := h.samples[(h.next-i+historySize)%historySize]
		if s.at.IsZero() {
			return 0, false
		}
		if !s.at.After(at) {
			return s.load, true
		}
	}
	return 0, false
}
