package admission

import "time"

// Priorities is the number of priorities, 0 being the highest. A Ticket of a
// lower priority than the last counts as the last.
const Priorities = 10

// Ticket is one request that waits for an upstream.
type Ticket struct {
	// ID is unique among the tickets of a Queue.
	ID uint64
	// Service is the service that the request belongs to. Services of the same
	// priority share the drain of a pool by weight.
	Service string
	// Pool names the group of upstreams that can run the request: a model or a
	// plain service.
	Pool     string
	Priority uint8
	// Weight is the share of the service among others of its priority. A weight
	// of 0 or less counts as 1.
	Weight float64
	// Work is the expected work of the request, in any unit that is the same for
	// all tickets. Work of 0 or less counts as 1.
	Work float64
	// StartBy is the last time at which starting the request still makes sense:
	// its goal for the first token can be met, or its deadline if no goal can.
	StartBy time.Time
}

func (t Ticket) level() int {
	return min(int(t.Priority), Priorities-1)
}

func (t Ticket) charge() float64 {
	work, weight := t.Work, t.Weight
	if work <= 0 {
		work = 1
	}
	if weight <= 0 {
		weight = 1
	}
	return work / weight
}

// Cause says why a request was refused.
type Cause uint8

// The causes of a refusal.
const (
	// CauseTooLate means that the request could not start by its StartBy.
	CauseTooLate Cause = iota + 1
	// CauseFull means that the queue of the pool was full of requests that go
	// first.
	CauseFull
)

// String returns the word for the log: "too-late" or "queue-full".
func (c Cause) String() string {
	switch c {
	case CauseTooLate:
		return "too-late"
	case CauseFull:
		return "queue-full"
	default:
		return "none"
	}
}

// Refusal is the final answer to a request that has not been sent anywhere. Its
// outcome is not-run, and it is to be given to the caller at once.
type Refusal struct {
	Ticket Ticket
	Cause  Cause
	// RetryAfter is when the caller may come back and find room, as far as the
	// present drain of the pool tells.
	RetryAfter time.Duration
}

// Verdict answers Queue.Offer.
type Verdict struct {
	// Queued says whether the ticket waits now. If not, Refused is its answer.
	Queued  bool
	Refused Refusal
	// Displaced is the answer to another ticket that gave up its place, if its
	// Cause is set.
	Displaced Refusal
}
