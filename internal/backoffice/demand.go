package backoffice

import (
	"time"

	"github.com/lovagelift/lovagelift/internal/courier"
)

const (
	// promptTokensPerSecond is what an engine reads and answerTokensPerSecond what
	// it makes with a full batch, by the users' sheets: 25.8 prompt tokens in a ms,
	// and 64 tokens in a step of 11.5 ms.
	promptTokensPerSecond = 25_800
	answerTokensPerSecond = 5_500
	// demandSlot is the step in which demand is counted, and the windows are what
	// it is averaged over: the short one shows within a second that a model rises,
	// the long one keeps a pause of a few requests from looking like an end.
	demandSlot  = 250 * time.Millisecond
	shortWindow = 4
	longWindow  = 16
	// shortTrust is the part of the short window's rate that counts, since few
	// requests come in it.
	shortTrust = 0.8
	// idleAfter is how long nobody asks for a model before its last copy may make
	// way.
	idleAfter = 6 * time.Second
)

// demandKey names a model of a service.
type demandKey struct {
	service, model string
}

// demandOf is the work that was asked for of one model, slot by slot.
type demandOf struct {
	// slots are a ring of work in seconds of an engine.
	slots [longWindow]float64
	// last is when it was last asked for.
	last time.Time
	// at is the slot that is being filled, counted from 1970.
	at int64
	// waiting is how many requests wait at each entry instance, as it told last.
	waiting map[string]waits
}

// work returns the seconds of an engine that requests take.
func work(d courier.Demand) float64 {
	return float64(d.PromptTokens) / promptTokensPerSecond
}

// add counts work at now.
func (d *demandOf) add(now time.Time, seconds float64) {
	d.last = now
	d.advance(now)
	d.slots[d.at%longWindow] += seconds
}

// advance empties the slots that have begun anew.
func (d *demandOf) advance(now time.Time) {
	slot := now.UnixNano() / int64(demandSlot)
	for steps := 0; d.at < slot && steps < longWindow; steps++ {
		d.at++
		d.slots[d.at%longWindow] = 0
	}
	d.at = slot
}

// rate returns the work that is asked for at now, in engines.
func (d *demandOf) rate(now time.Time) float64 {
	d.advance(now)
	long, short := 0.0, 0.0
	for i := range int64(longWindow) {
		seconds := d.slots[(d.at-i+longWindow)%longWindow]
		long += seconds
		if i < shortWindow {
			short += seconds
		}
	}
	slot := demandSlot.Seconds()
	return max(long/(longWindow*slot), shortTrust*short/(shortWindow*slot))
}

// waits is how many requests waited at an entry instance.
type waits struct {
	at    time.Time
	count int
}

// waitsKept is how long what an entry instance told of waiting requests counts: it
// tells nothing of a model any more that nobody there asks for.
const waitsKept = 1500 * time.Millisecond

// wait notes that count more requests wait at an entry instance.
func (d *demandOf) wait(now time.Time, entry string, count int) {
	told := d.waiting[entry]
	if told.at.Equal(now) {
		// Requests with other adapters of the model came in the same call.
		count += told.count
	}
	if d.waiting == nil {
		d.waiting = map[string]waits{}
	}
	d.waiting[entry] = waits{at: now, count: count}
}

// waitingAt returns how many requests wait at all entry instances.
func (d *demandOf) waitingAt(now time.Time) int {
	total := 0
	for entry, told := range d.waiting {
		if now.Sub(told.at) >= waitsKept {
			delete(d.waiting, entry)
			continue
		}
		total += told.count
	}
	return total
}
