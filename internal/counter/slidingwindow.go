package counter

import "time"

const (
	// windowSlotTime is the resolution of the window.
	windowSlotTime = 25 * time.Millisecond
	// windowSlots is the length of the window in slots. It covers more than the 1 to 2 s for which
	// an engine's report is the latest.
	windowSlots = 100
)

// slidingWindow counts events over a recent time.
type slidingWindow struct {
	slots    [windowSlots]int
	lastSlot int64
}

// advance clears the slots that have started since the last call.
func (w *slidingWindow) advance(now time.Time) {
	slot := now.UnixNano() / int64(windowSlotTime)
	for steps := 0; w.lastSlot < slot && steps < windowSlots; steps++ {
		w.lastSlot++
		w.slots[w.lastSlot%windowSlots] = 0
	}
	w.lastSlot = max(w.lastSlot, slot)
}

// add counts an event at now.
func (w *slidingWindow) add(now time.Time) {
	w.advance(now)
	w.slots[w.lastSlot%windowSlots]++
}

// sum returns the number of events within the last length.
func (w *slidingWindow) sum(now time.Time, length time.Duration) int {
	w.advance(now)
	total := 0
	for i := range min(int64(length/windowSlotTime)+1, windowSlots) {
		total += w.slots[(w.lastSlot-i+windowSlots)%windowSlots]
	}
	return total
}
