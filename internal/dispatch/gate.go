package dispatch

import (
	"time"

	"github.com/lovagelift/lovagelift/internal/admission"
)

// startMargin is the part of the predicted time to the first token that is kept
// free besides, when a request waits: predictions miss by about as much.
const startMargin = 0.25

// maxPassed is how many waiting requests that can't use a free place are passed
// over at once.
const maxPassed = 8

// longestWait is how long a request without goal and deadline waits.
const longestWait = 10 * time.Second

// Arrival is a request that asks for an upstream.
type Arrival struct {
	Request
	// ID is unique among the open requests of this instance.
	ID uint64
	// Service is the one that the request belongs to, Weight its share among
	// those of the same priority.
	Service string
	Weight  float64
	// At is when the request came in. Deadline is when its answer is of no use any
	// more, never if zero.
	At       time.Time
	Deadline time.Time
}

// Start says that a request goes to an upstream now.
type Start struct {
	Arrival  *Arrival
	Decision Decision
	Flight   Flight
}

// Answer says what becomes of an arrival.
type Answer struct {
	// Start is set if the request goes to an upstream now: Start.Arrival is not
	// nil then.
	Start Start
	// Reason is that of the last decision.
	Reason Reason
	// Queued says that the request waits. It comes out of Freed or Expired, of the
	// latter at StartBy at the latest.
	Queued  bool
	StartBy time.Time
	// Refusal is the final answer if its Cause is set.
	Refusal admission.Refusal
	// Displaced is the final answer to another request, which gave its place in
	// the queue up, if its Cause is set.
	Displaced admission.Refusal
}

// Gate joins a Dispatcher and a Queue: a request goes to an upstream, waits for
// one or is refused. The zero value of Answer without any of these means that no
// upstream can run the request; Answer.Reason says why.
//
// A Gate is not safe for concurrent use.
type Gate struct {
	dispatcher *Dispatcher
	queue      *admission.Queue
	waiting    map[uint64]*Arrival
}

// NewGate returns a Gate in which nothing waits. It uses dispatcher and queue
// from then on; the driver gives feedback to dispatcher itself.
func NewGate(dispatcher *Dispatcher, queue *admission.Queue) *Gate {
	return &Gate{dispatcher: dispatcher, queue: queue, waiting: map[uint64]*Arrival{}}
}

// Arrive decides on a. The Gate keeps a while it waits.
func (g *Gate) Arrive(now time.Time, a *Arrival) Answer {
	a.Waited = now.Sub(a.At)
	pool := g.dispatcher.poolName(a.Target)
	if reason := g.dispatcher.reach(now, &a.Request); reason != ReasonNoRoom {
		// Nothing can run it, room or not: it must not wait for that.
		return Answer{Reason: reason}
	}
	if g.queue.Waiting(pool, a.Priority) == 0 {
		decision := g.dispatcher.Choose(now, &a.Request)
		if decision.OK() {
			return Answer{Start: g.start(now, a, decision), Reason: decision.Reason}
		}
	}
	ticket := g.ticket(now, a, pool)
	verdict := g.queue.Offer(now, ticket, g.dispatcher.Capacity(now, a.Target))
	if verdict.Queued {
		g.waiting[a.ID] = a
	}
	if verdict.Displaced.Cause != 0 {
		delete(g.waiting, verdict.Displaced.Ticket.ID)
	}
	return Answer{
		Reason:    ReasonNoRoom,
		Queued:    verdict.Queued,
		StartBy:   ticket.StartBy,
		Refusal:   verdict.Refused,
		Displaced: verdict.Displaced,
	}
}

// Freed appends the requests that go out now, because the named upstream may
// have room, to dst. It is to be called after each Finished, Failed and Update
// of the upstream.
func (g *Gate) Freed(now time.Time, name string, dst []Start) []Start {
	u := g.dispatcher.upstreams[name]
	if u == nil || g.queue.Size() == 0 || !u.alive(now) {
		return dst
	}
	var passed [maxPassed]admission.Ticket
	count := 0
	for count < maxPassed {
		lowest, ok := g.dispatcher.lowestWithRoom(now, u)
		if !ok {
			break
		}
		t, ok := g.queue.Take(now, lowest, u.poolNames)
		if !ok {
			break
		}
		a := g.waiting[t.ID]
		a.Waited = now.Sub(a.At)
		decision := g.dispatcher.Choose(now, &a.Request)
		if !decision.OK() {
			// The room is at an upstream that has failed this request before or is
			// ejected. It waits for another one, and must not hold up those behind it.
			passed[count] = t
			count++
			continue
		}
		delete(g.waiting, t.ID)
		dst = append(dst, g.start(now, a, decision))
	}
	for _, t := range passed[:count] {
		g.queue.Return(now, t)
	}
	return dst
}

// Expired appends the refusals of waiting requests that can't start in time any
// more to dst. Each is to be answered at once.
func (g *Gate) Expired(now time.Time, dst []admission.Refusal) []admission.Refusal {
	if g.queue.Size() == 0 {
		return dst
	}
	before := len(dst)
	dst = g.queue.Expire(now, dst)
	for _, refusal := range dst[before:] {
		delete(g.waiting, refusal.Ticket.ID)
	}
	return dst
}

// Cancel takes the waiting request a out, because its caller has gone. It
// reports whether a was still waiting.
func (g *Gate) Cancel(a *Arrival) bool {
	if g.waiting[a.ID] != a {
		return false
	}
	delete(g.waiting, a.ID)
	return g.queue.Cancel(a.Target.String(), a.ID)
}

// NextExpiry returns when Expired is to be called next. If nothing waits,
// NextExpiry returns false.
func (g *Gate) NextExpiry() (time.Time, bool) {
	return g.queue.NextExpiry()
}

func (g *Gate) start(now time.Time, a *Arrival, decision Decision) Start {
	flight := g.dispatcher.Sent(now, &a.Request, &decision)
	return Start{Arrival: a, Decision: decision, Flight: flight}
}

// ticket returns the ticket of a. If even an idle upstream can't meet the goal,
// refusing would help nobody: the deadline alone counts then.
func (g *Gate) ticket(now time.Time, a *Arrival, pool string) admission.Ticket {
	idle, loaded := g.dispatcher.forecast(now, &a.Request)
	t := admission.Ticket{
		ID:       a.ID,
		Service:  a.Service,
		Pool:     pool,
		Priority: a.Priority,
		Weight:   a.Weight,
		Work:     float64(a.PromptTokens),
	}
	needed := time.Duration(float64(loaded) * (1 + startMargin))
	switch {
	case a.Goal.FirstToken > idle:
		t.StartBy = a.At.Add(a.Goal.FirstToken - needed)
	case !a.Deadline.IsZero():
		t.StartBy = a.Deadline.Add(-needed)
	default:
		t.StartBy = a.At.Add(longestWait)
	}
	return t
}
