package dispatch

import (
	"time"

	"github.com/lovagelift/lovagelift/internal/admission"
)

// predictionMargin is the safety margin of a waiting request, as a share of its predicted
// time to the first token. Predictions are off by about as much.
const predictionMargin = 0.25

// maxSkipped is the maximum number of waiting requests that a call of StartWaiting skips
// because they can't use the free slot.
const maxSkipped = 8

// maxDefaultWait is the maximum wait of a request without goal and deadline.
const maxDefaultWait = 10 * time.Second

// Arrival is a request that needs an upstream.
type Arrival struct {
	Request
	// ID is unique among the open requests of this instance.
	ID uint64
	// Service is the service that the request belongs to, and Weight the fair-share weight
	// of that service among those of the same priority.
	Service string
	Weight  float64
	// At is the time of arrival. Deadline is the time from which the response is useless;
	// the zero time means none.
	At       time.Time
	Deadline time.Time
}

// Start is a request to be sent to an upstream now.
type Start struct {
	Arrival  *Arrival
	Decision Decision
	Attempt  Attempt
}

// ArriveResult is the result of Gate.Arrive. If Start, Queued and Refusal are all unset, no
// upstream can run the request, for the given Reason.
type ArriveResult struct {
	// Start is set, with a non-nil Arrival, if the request is to be sent now.
	Start Start
	// Reason is the reason of the decision.
	Reason Reason
	// Queued is set if the request waits. StartWaiting or RemoveExpired returns it later.
	// StartBy is the latest useful start, after which RemoveExpired returns it.
	Queued  bool
	StartBy time.Time
	// Refusal is set, with a Cause, if the request is refused.
	Refusal admission.Refusal
	// Displaced is set, with a Cause, if another request was removed from the full queue
	// and is refused.
	Displaced admission.Refusal
}

// Gate is the admission control in front of a Dispatcher: it sends a request to an
// upstream, queues it or refuses it.
//
// A Gate is not safe for concurrent use.
type Gate struct {
	dispatcher *Dispatcher
	queue      *admission.Queue
	waiting    map[uint64]*Arrival
}

// NewGate returns a Gate without waiting requests. The caller still reports the progress of
// requests, and upstream updates, directly to dispatcher.
func NewGate(dispatcher *Dispatcher, queue *admission.Queue) *Gate {
	return &Gate{dispatcher: dispatcher, queue: queue, waiting: map[uint64]*Arrival{}}
}

// Arrive starts, queues or refuses a. The Gate keeps a reference to a while it waits.
func (g *Gate) Arrive(now time.Time, a *Arrival) ArriveResult {
	a.Waited = now.Sub(a.At)
	pool := g.dispatcher.poolName(a.Target)
	if reason := g.dispatcher.rejectReason(now, &a.Request); reason != ReasonNoRoom {
		// No upstream can run it, even with room, so waiting is pointless.
		return ArriveResult{Reason: reason}
	}
	if g.queue.Ahead(pool, a.Priority) == 0 {
		decision := g.dispatcher.Choose(now, &a.Request)
		if decision.OK() {
			return ArriveResult{Start: g.start(now, a, decision), Reason: decision.Reason}
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
	return ArriveResult{
		Reason:    ReasonNoRoom,
		Queued:    verdict.Queued,
		StartBy:   ticket.StartBy,
		Refusal:   verdict.Refused,
		Displaced: verdict.Displaced,
	}
}

// StartWaiting starts waiting requests for which the named upstream may have room, and
// appends them to dst. Call it after each Finished, Failed and Update of the upstream.
func (g *Gate) StartWaiting(now time.Time, name string, dst []Start) []Start {
	u := g.dispatcher.upstreams[name]
	if u == nil || g.queue.Size() == 0 || !u.available(now) {
		return dst
	}
	var skipped [maxSkipped]admission.Ticket
	skippedCount := 0
	for skippedCount < maxSkipped {
		lowest, ok := g.dispatcher.lowestWithRoom(now, u)
		if !ok {
			break
		}
		ticket, ok := g.queue.Take(now, lowest, u.poolNames)
		if !ok {
			break
		}
		a := g.waiting[ticket.ID]
		a.Waited = now.Sub(a.At)
		decision := g.dispatcher.Choose(now, &a.Request)
		if !decision.OK() {
			// The upstream with room has already failed this request or is ejected. The
			// request returns to the queue after the loop, so that it doesn't block those
			// behind it.
			skipped[skippedCount] = ticket
			skippedCount++
			continue
		}
		delete(g.waiting, ticket.ID)
		dst = append(dst, g.start(now, a, decision))
	}
	for _, ticket := range skipped[:skippedCount] {
		g.queue.Requeue(now, ticket)
	}
	return dst
}

// RemoveExpired removes the waiting requests that can no longer start in time, and appends
// their refusals to dst. The caller should respond to each of them immediately.
func (g *Gate) RemoveExpired(now time.Time, dst []admission.Refusal) []admission.Refusal {
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

// Cancel removes the waiting request a after its caller disconnected. It reports whether a
// was still waiting.
func (g *Gate) Cancel(a *Arrival) bool {
	if g.waiting[a.ID] != a {
		return false
	}
	delete(g.waiting, a.ID)
	return g.queue.Cancel(a.Target.String(), a.ID)
}

// NextExpiry returns the time at which to call RemoveExpired next. If no request waits, it
// returns false.
func (g *Gate) NextExpiry() (time.Time, bool) {
	return g.queue.NextExpiry()
}

func (g *Gate) start(now time.Time, a *Arrival, decision Decision) Start {
	attempt := g.dispatcher.Sent(now, &a.Request, &decision)
	return Start{Arrival: a, Decision: decision, Attempt: attempt}
}

// ticket returns the ticket of a. If even an idle upstream can't meet the goal, a refusal
// would not help, and StartBy follows from the deadline only.
func (g *Gate) ticket(now time.Time, a *Arrival, pool string) admission.Ticket {
	idle, loaded := g.dispatcher.predictFirstToken(now, &a.Request)
	t := admission.Ticket{
		ID:       a.ID,
		Service:  a.Service,
		Pool:     pool,
		Priority: a.Priority,
		Weight:   a.Weight,
		Work:     float64(a.PromptTokens),
	}
	needed := time.Duration(float64(loaded) * (1 + predictionMargin))
	switch {
	case a.Goal.FirstToken > idle:
		t.StartBy = a.At.Add(a.Goal.FirstToken - needed)
	case !a.Deadline.IsZero():
		t.StartBy = a.Deadline.Add(-needed)
	default:
		t.StartBy = a.At.Add(maxDefaultWait)
	}
	return t
}
