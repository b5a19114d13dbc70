package admission

import (
	"time"
)

// Parameters of the additive increase and multiplicative decrease of a Limit, see
// docs/DISPATCH.md.
const (
	minLimit = 1.0
	// limitDecreaseFactor multiplies the limit when a first token misses its goal.
	limitDecreaseFactor = 0.9
	// limitIncreasePerRound is the growth over a round, in which as many requests finish
	// as the limit allows.
	limitIncreasePerRound = 1.0
	// minUsedShare is the share of the limit that must be in use for it to grow.
	minUsedShare = 0.8
	// maxGoalShare is the largest ratio of the time to the first token to its goal at
	// which the limit grows.
	maxGoalShare = 0.8
	// priorityReserveShare is the share of the limit by which requests of priority 0
	// may exceed it, and by which all others must stay under it.
	priorityReserveShare = 0.1
)

// Limit is an adaptive concurrency limit: the number of requests that this instance
// keeps open at one upstream.
//
// It grows by about one for each round of responses, while first tokens come well within
// the goal and the limit is in use. It shrinks by a fixed share when a first token misses
// the goal, at most once a round, because responses to requests sent before the last
// decrease say nothing about the limit after it.
//
// A Limit is an immutable value.
type Limit struct {
	// value is at least minLimit and at most ceiling.
	value       float64
	ceiling     float64
	decreasedAt time.Time
}

// NewLimit returns a Limit that starts at start and never exceeds ceiling. A start under
// 1 counts as 1, and a ceiling under start counts as start.
func NewLimit(start, ceiling int) Limit {
	value := max(float64(start), minLimit)
	return Limit{value: value, ceiling: max(float64(ceiling), value)}
}

// Value returns the number of requests that may be open at once.
func (l Limit) Value() int {
	return int(max(l.value, minLimit))
}

// Exact returns the exact limit. Value is its integer part.
func (l Limit) Exact() float64 {
	return max(l.value, minLimit)
}

// StableFor reports whether the last decrease of the limit is longer ago than period.
func (l Limit) StableFor(now time.Time, period time.Duration) bool {
	return now.Sub(l.decreasedAt) > period
}

// Allows reports whether a request of the given priority may be added to inFlight open ones.
// Requests of priority 0 may exceed the limit by a tenth, at least by one. All others stay
// a tenth under it, so that a burst of them can't occupy the whole limit when an urgent
// request comes. An upstream without open requests has room for any priority.
func (l Limit) Allows(inFlight int, priority uint8) bool {
	value := max(l.value, minLimit)
	if priority == 0 {
		return inFlight < int(value+max(1, value*priorityReserveShare))
	}
	return inFlight < max(1, int(value*(1-priorityReserveShare)))
}

// WithFirstToken returns the Limit after a first token that took the given time since its
// request was sent at sentAt. inFlight is the number of requests that were open when the
// token came. If goal is 0, the Limit stays as it is.
func (l Limit) WithFirstToken(now, sentAt time.Time, took, goal time.Duration, inFlight int) Limit {
	if goal <= 0 {
		return l
	}
	if took > goal {
		return l.WithDecrease(now, sentAt)
	}
	used := float64(inFlight) >= l.value*minUsedShare
	early := float64(took) <= float64(goal)*maxGoalShare
	if used && early {
		l.value = min(l.value+limitIncreasePerRound/l.value, l.ceiling)
	}
	return l
}

// WithAnswer returns the Limit after a response of an upstream without a queue. It is for
// responses whose time to the first token is unknown or has no goal.
func (l Limit) WithAnswer(inFlight int) Limit {
	if float64(inFlight) >= l.value*minUsedShare {
		l.value = min(l.value+limitIncreasePerRound/l.value, l.ceiling)
	}
	return l
}

// WithDecrease returns the Limit after a request, sent at sentAt, that the upstream answered
// too late or refused because it had no room.
func (l Limit) WithDecrease(now, sentAt time.Time) Limit {
	if sentAt.Before(l.decreasedAt) {
		return l
	}
	l.value = max(l.value*limitDecreaseFactor, minLimit)
	l.decreasedAt = now
	return l
}

// WithCeiling returns the Limit with another ceiling. A ceiling under 1 counts as 1.
func (l Limit) WithCeiling(ceiling int) Limit {
	l.ceiling = max(float64(ceiling), minLimit)
	l.value = min(l.value, l.ceiling)
	return l
}
