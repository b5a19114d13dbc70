package admission

import "time"

// Priorities is the number of priorities. 0 is the highest; numbers above the lowest
// count as the lowest.
const Priorities = 10

// Ticket is one request that waits for an upstream.
type Ticket struct {
	// ID is unique among the tickets of a Queue.
	ID uint64
	// Service is the service that the request belongs to. Services of the same
	// priority share the capacity of a pool by weight.
	Service string
	// Pool names the group of upstreams that can run the request: a model or a
	// plain service.
	Pool     string
	Priority uint8
	// Weight is the share of the service among others of its priority. A weight
	// of 0 or less counts as 1.
	Weight float64
	// Work is the expected work of the request, in a unit that is the same for all
	// tickets. Work of 0 or less counts as 1.
	Work float64
	// StartBy is the latest useful start: the last time at which the request can still
	// meet its goal for the first token, or its deadline if it can't meet the goal.
	StartBy time.Time
}

// level returns the priority, at most Priorities-1.
func (t Ticket) level() int {
	return min(int(t.Priority), Priorities-1)
}

// cost returns the work of the ticket in relation to the weight of its service.
func (t Ticket) cost() float64 {
	work, weight := t.Work, t.Weight
	if work <= 0 {
		work = 1
	}
	if weight <= 0 {
		weight = 1
	}
	return work / weight
}

// Cause is the reason for a Refusal.
type Cause uint8

// The causes of a refusal.
const (
	// CauseTooLate means that the request could not start by its StartBy.
	CauseTooLate Cause = iota + 1
	// CauseFull means that the queue of the pool was full of requests that go first.
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

// Refusal is the final result of a request that was not sent to any upstream. Its outcome
// is not-run, and the caller should get it at once.
type Refusal struct {
	Ticket Ticket
	Cause  Cause
	// RetryAfter is the time after which the caller is likely to find room, by the
	// current drain rate of the pool.
	RetryAfter time.Duration
}

// OfferResult is the result of Queue.Offer.
type OfferResult struct {
	// Queued reports whether the ticket waits now. If not, Refused is its refusal.
	Queued  bool
	Refused Refusal
	// Displaced is the refusal of another ticket that lost its place, if its Cause is
	// set.
	Displaced Refusal
}
