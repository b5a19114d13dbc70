package admission

import (
	"time"
)

// Bounds and steps of a Limit. They are the classic additive increase and
// multiplicative decrease; docs/DISPATCH.md gives the measurement.
const (
	limitFloor     = 1.0
	limitDecrease  = 0.9
	limitIncrease  = 1.0
	limitBusyShare = 0.8
	limitHeadroom  = 0.8
	reserveShare   = 0.1
)

// Limit is the number of requests that this instance keeps open at one upstream
// at once (an adaptive concurrency limit).
//
// It grows by about one a round of answers while first tokens come well within
// the goal and the limit is in use, and shrinks by a fixed share when a first
// token misses the goal. It shrinks once a round at most, because answers to
// requests sent before the last cut say nothing about the limit after it.
//
// A Limit is an immutable value.
type Limit struct {
	// value is at least limitFloor and at most ceiling.
	value   float64
	ceiling float64
	cutAt   time.Time
}

// NewLimit returns a Limit that starts at start and never exceeds ceiling. If
// start is under 1, it counts as 1. If ceiling is under start, it counts as start.
func NewLimit(start, ceiling int) Limit {
	value := max(float64(start), limitFloor)
	return Limit{value: value, ceiling: max(float64(ceiling), value)}
}

// Value returns the number of requests that may be open at once.
func (l Limit) Value() int {
	return int(max(l.value, limitFloor))
}

// Float returns the exact limit, of which Value is the whole part.
func (l Limit) Float() float64 {
	return max(l.value, limitFloor)
}

// Calm reports whether the limit was not cut in the time before now.
func (l Limit) Calm(now time.Time, since time.Duration) bool {
	return now.Sub(l.cutAt) > since
}

// Room reports whether a request of the given priority may be added to inFlight
// open ones. Priority 0 may go over the limit by a tenth, at least one, and the
// others stay a tenth under it, so that a burst of other work can't hold every
// place when an urgent request comes. One place is always open to all.
func (l Limit) Room(inFlight int, priority uint8) bool {
	value := max(l.value, limitFloor)
	if priority == 0 {
		return inFlight < int(value+max(1, value*reserveShare))
	}
	return inFlight < max(1, int(value*(1-reserveShare)))
}

// WithFirstToken returns the Limit that follows from a first token that came
// took after its request was sent at sentAt, inFlight being the number of
// requests that were open then. If goal is 0, the Limit stays as it is.
func (l Limit) WithFirstToken(now, sentAt time.Time, took, goal time.Duration, inFlight int) Limit {
	if goal <= 0 {
		return l
	}
	if took > goal {
		return l.WithCut(now, sentAt)
	}
	busy := float64(inFlight) >= l.value*limitBusyShare
	early := float64(took) <= float64(goal)*limitHeadroom
	if busy && early {
		l.value = min(l.value+limitIncrease/l.value, l.ceiling)
	}
	return l
}

// WithAnswer returns the Limit that follows from an answer which says nothing of
// the time to its first token, but came from an upstream without a queue.
func (l Limit) WithAnswer(inFlight int) Limit {
	if float64(inFlight) >= l.value*limitBusyShare {
		l.value = min(l.value+limitIncrease/l.value, l.ceiling)
	}
	return l
}

// WithCut returns the Limit that follows from a request, sent at sentAt, that
// the upstream answered too late or refused for want of room.
func (l Limit) WithCut(now, sentAt time.Time) Limit {
	if sentAt.Before(l.cutAt) {
		return l
	}
	l.value = max(l.value*limitDecrease, limitFloor)
	l.cutAt = now
	return l
}

// WithCeiling returns the Limit bounded by another ceiling. If ceiling is under
// 1, it counts as 1.
func (l Limit) WithCeiling(ceiling int) Limit {
	l.ceiling = max(float64(ceiling), limitFloor)
	l.value = min(l.value, l.ceiling)
	return l
}
