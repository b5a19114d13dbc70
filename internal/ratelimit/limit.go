// Package ratelimit is the distributed rate limiting of requests to an upstream that
// states a limit in its responses: a number of requests a second from all senders
// together, in force until the upstream changes or ends it.
//
// One sender owns the limit and paces the requests of all (TokenBucket); the others ask it
// for permission for each request. A sender that can't reach the owner sends at its share
// of the limit, which is safe even if all others do the same (ShareRate). Responses may
// arrive out of order, so the limit in force depends on when their requests were sent and
// when the responses arrived (State).
//
// An upstream may also ask one sender for a time without requests (Pushbacks).
//
// The package is pure: it takes the present time as an argument and does no I/O.
package ratelimit

import (
	"math"
	"time"
)

// Limit is the number of requests a second that an upstream accepts. A valid limit is
// finite and not negative.
type Limit float64

// maxPlausible is the largest plausible limit.
const maxPlausible Limit = 1e6

// Valid reports whether l is a plausible limit.
func (l Limit) Valid() bool {
	return l >= 0 && l <= maxPlausible
}

// An upstream tolerates in any period of length Window at most Tolerance times the
// requests that its limit allows, plus Slack requests.
const (
	Window    = 4 * time.Second
	Tolerance = 1.5
	Slack     = 5
)

// MaxRequests returns the number of requests that an upstream tolerates within Window.
func MaxRequests(l Limit) float64 {
	return Tolerance*float64(l)*Window.Seconds() + Slack
}

// Observation is the information in a response about the limit of its upstream: NamedLimit,
// NoLimit or InvalidLimit.
type Observation interface {
	isObservation()
}

// NamedLimit means that the response states a valid limit.
type NamedLimit struct {
	Limit Limit
}

// NoLimit means that the response states no limit: the upstream needs none.
type NoLimit struct{}

// InvalidLimit means that the response states an invalid limit. It leaves the limit in force
// unchanged.
type InvalidLimit struct {
	// Text is the start of the invalid value.
	Text string
}

func (NamedLimit) isObservation()   {}
func (NoLimit) isObservation()      {}
func (InvalidLimit) isObservation() {}

// State is the limit in force at an upstream, according to its responses. It is immutable;
// the zero value has no limit in force.
type State struct {
	limit Limit
	// setAt is the arrival time of the newest response that set the limit, and zero if
	// no limit is in force.
	setAt time.Time
}

// Limit returns the limit in force, and false if there is none.
func (state State) Limit() (Limit, bool) {
	return state.limit, !state.setAt.IsZero()
}

// With returns the state after a response that arrived at now to a request that was sent
// at sent. Responses may arrive out of order, so one that raises or ends the limit counts
// only if its request was sent after the limit was last set. A lower limit counts at
// once.
func (state State) With(now, sent time.Time, observation Observation) State {
	limit, inForce := state.Limit()
	sentLater := sent.After(state.setAt)
	switch s := observation.(type) {
	case NamedLimit:
		if inForce && s.Limit > limit && !sentLater {
			return state
		}
		return State{limit: s.Limit, setAt: now}
	case NoLimit:
		if inForce && !sentLater {
			return state
		}
		return State{}
	default:
		return state
	}
}

// minRate is the rate in requests a second at which all senders together send even at a
// lower limit, so that they notice the end of the limit. Upstreams tolerate it at a limit
// of 0.
const minRate = 0.5

// rate returns the rate of all senders together, in requests a second.
func (l Limit) rate() float64 {
	return max(float64(l), minRate)
}

// Period returns the time between two requests of all senders together.
func (l Limit) Period() time.Duration {
	return time.Duration(math.Ceil(float64(time.Second) / l.rate()))
}

// ProbeRate returns the rate in requests a second at which each sender may send whatever the
// limit, so that it notices the end of the limit. The senders should use NewPhasedTokenBucket,
// so that they don't send at the same time.
func ProbeRate(senders int) float64 {
	return minRate / float64(max(senders, 1))
}

// ShareRate returns the rate in requests a second at which each sender may send without an
// owner. It is 0 if the upstream does not tolerate one more request from each sender at
// once.
func ShareRate(l Limit, senders int) float64 {
	if senders < 1 || l.rate()*Window.Seconds()+float64(senders) > MaxRequests(l) {
		return 0
	}
	return l.rate() / float64(senders)
}
