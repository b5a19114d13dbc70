package counter

import (
	"cmp"
	"math/rand/v2"
	"time"

	"github.com/lovagelift/lovagelift/internal/courier"
)

// need is what a request asks of an upstream, and by when.
type need struct {
	demandKey
	promptTokens int
	answerTokens int
	// priority is that of the route, 0 being the most urgent.
	priority uint8
	// objective is the time within which an answer is on time, 0 if there is none.
	objective time.Duration
	// gap is the longest pause between events that the route bears, 0 if it names none.
	gap   time.Duration
	began time.Time
	// deadline is when an answer must have been given.
	deadline time.Time
	// tried are the names of upstreams that have failed it.
	tried []string
	// pace bounds what an engine gets.
	pace pace
	// reading is how long an engine reads its prompt, and answering how long its answer
	// takes a place in the batch.
	reading   time.Duration
	answering time.Duration
}

// wish returns what the request asks of the choice of an upstream.
func (n *need) wish() wish {
	return wish{service: n.service, model: n.model, adapter: n.adapter, pace: n.pace, tried: n.tried}
}

// modelKey names the model of the request.
func (n *need) modelKey() modelKey {
	return modelKey{n.service, n.model}
}

// wanted is what a request that lacks something has the leader load.
func (n *need) wanted(missing lack) courier.WantArgs {
	args := courier.WantArgs{Service: n.service, Model: n.model, Timeout: loadTimeout}
	if missing == lackAdapter {
		args.Adapter = n.adapter
	}
	return args
}

// compare returns a number below 0 if n goes before other.
func (n *need) compare(now time.Time, other *need) int {
	return cmp.Or(
		boolCompare(n.late(now), other.late(now)),
		cmp.Compare(n.priority, other.priority),
		n.onTimeUntil().Compare(other.onTimeUntil()),
	)
}

func boolCompare(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	default:
		return 1
	}
}

// onTimeUntil is when the request must be sent for its answer to be on time.
func (n *need) onTimeUntil() time.Time {
	if n.objective <= 0 {
		return n.deadline
	}
	return n.began.Add(n.objective - n.reading - paceMargin)
}

func (n *need) late(now time.Time) bool {
	return now.After(n.onTimeUntil())
}

// lateWait is how long a request waits for an upstream, in objectives: its answer
// will be late then, but callers stay for about four.
const lateWait = 1.5

// longestWait is how long a request waits for an upstream that can run it.
func (n *need) longestWait() time.Duration {
	total := n.deadline.Sub(n.began)
	if n.objective > 0 {
		return min(time.Duration(lateWait*float64(n.objective)), total/2)
	}
	return total / 2
}

// bearable is the longest forecast with which a request waits: its answer can still be
// on time, or it is late already.
func (n *need) bearable(now time.Time) time.Duration {
	if n.late(now) || n.objective <= 0 {
		return n.began.Add(n.longestWait()).Sub(now)
	}
	return n.onTimeUntil().Sub(now)
}

// comeBackAfter is when a caller may come back to a queue that takes wait to empty.
// Callers that were refused together come back apart.
func (n *need) comeBackAfter(now time.Time, wait time.Duration) time.Duration {
	left := n.deadline.Sub(now)
	spread := 0.5 + rand.Float64()/2
	return max(time.Duration(spread*float64(min(wait, left/3))), minComeBack)
}

// comeBack is when a caller that found nothing may come back: after a third of the time
// that it has left at most, or it would not come at all. arrival is when its model will
// be there, if an upstream loads it.
func (n *need) comeBack(now time.Time, arrival time.Duration, comes bool) time.Duration {
	left := n.deadline.Sub(now)
	wait := min(time.Second, left/4)
	if comes {
		wait = max(wait, arrival+time.Duration(rand.Float64()*float64(arrivalSpread)))
	}
	return max(min(wait, left/3), minComeBack)
}

const (
	// arrivalSpread is the time over which callers come back to a model that has just been
	// loaded: all at once would find no room.
	arrivalSpread = 500 * time.Millisecond
	// minComeBack is the shortest time after which a caller may come back.
	minComeBack = 50 * time.Millisecond
)
