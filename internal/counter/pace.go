package counter

import (
	"time"

	"github.com/lovagelift/lovagelift/internal/routes"
)

// An engine reads prompts between the tokens of the answers that it makes: a
// token takes as long as the prompts that came meanwhile. If many come at once,
// all streams of the engine pause. Under a load that the engines can carry easily,
// 40 in 100 streams had a pause above the 250 ms that callers bear, since the
// arrivals of a quarter of a second fell on one engine by chance. So each engine
// gets no more prompt tokens within the longest pause than it can read in it.

const (
	// readRate is the prompt tokens that an engine reads in a second, by the users'
	// sheets.
	readRate = 25_800
	// stepTime is about what a step takes beside the reading, with thirty requests
	// in the batch.
	stepTime = 10 * time.Millisecond
	// paceMargin is left of a pause for the way to the caller and for what other
	// instances have sent at the same moment.
	paceMargin = 30 * time.Millisecond
	// defaultGap is the longest pause where no route names one.
	defaultGap = 250 * time.Millisecond
	// assumedStride is how many tokens an event holds if nothing is known.
	assumedStride = 3
	// paceSlot is the step in which sendings are counted.
	paceSlot = 25 * time.Millisecond
	// paceSlots is the longest window, in slots: longer than the longest pause, and
	// than the 1 s for which a report of an engine is the newest.
	paceSlots = 60
)

// window counts what was sent to an engine of late, by any instance.
type window struct {
	slots [paceSlots]sent
	at    int64
}

// sent is requests and the prompt tokens in them.
type sent struct {
	requests int
	tokens   int
}

// advance empties the slots that have begun anew.
func (w *window) advance(now time.Time) {
	slot := now.UnixNano() / int64(paceSlot)
	for steps := 0; w.at < slot && steps < paceSlots; steps++ {
		w.at++
		w.slots[w.at%paceSlots] = sent{}
	}
	w.at = max(w.at, slot)
}

// add counts a request that is sent at now.
func (w *window) add(now time.Time, tokens int) {
	w.advance(now)
	slot := &w.slots[w.at%paceSlots]
	slot.requests++
	slot.tokens += tokens
}

// sum returns what was sent within the last span.
func (w *window) sum(now time.Time, span time.Duration) sent {
	w.advance(now)
	var total sent
	for i := range min(int64(span/paceSlot)+1, paceSlots) {
		slot := w.slots[(w.at-i+paceSlots)%paceSlots]
		total.requests += slot.requests
		total.tokens += slot.tokens
	}
	return total
}

// pace is how many prompt tokens an engine may get within a span.
type pace struct {
	span   time.Duration
	tokens int
}

// paceOf returns the pace for the engines of a service whose streams may pause
// for gap.
func paceOf(gap time.Duration, spec *routes.Engine) pace {
	if gap <= 0 {
		gap = defaultGap
	}
	stride := assumedStride
	if spec != nil && spec.Stride > 0 {
		stride = spec.Stride
	}
	reading := gap - time.Duration(stride)*stepTime - paceMargin
	return pace{span: gap, tokens: int(reading.Seconds() * readRate)}
}

// room reports whether the engine may get tokens now. One that got none lately
// may get any number: a prompt that is larger than the pace must go somewhere.
func (p pace) room(now time.Time, w *window, tokens int) bool {
	before := w.sum(now, p.span).tokens
	return before == 0 || before+tokens <= p.tokens
}
