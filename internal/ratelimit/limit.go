// Package ratelimit keeps the senders of an upstream within the limit that it names in its
// answers: so many requests a second from all of them together, for as long as it says so
// (distributed rate limiting).
//
// One sender, the owner of the limit, paces all of them (Pace); the others ask it for each
// request. A sender that reaches no owner sends what is safe even if all others do the same
// (Share). What an upstream has said last is decided by when requests were sent and answers
// came (Known).
//
// It is pure: it takes the present time as an argument and does no I/O.
package ratelimit

import (
	"math"
	"time"
)

// Limit is the requests a second that an upstream takes. A valid one is finite and not
// below 0.
type Limit float64

// highest is above any limit that an upstream means.
const highest Limit = 1e6

// Valid reports whether an upstream can have meant l.
func (l Limit) Valid() bool {
	return l >= 0 && l <= highest
}

// What upstreams bear: in any window of Window at most Tolerance times what the limit
// allows, and Slack requests more.
const (
	Window    = 4 * time.Second
	Tolerance = 1.5
	Slack     = 5
)

// Allowed returns how many requests an upstream bears in a window.
func Allowed(l Limit) float64 {
	return Tolerance*float64(l)*Window.Seconds() + Slack
}

// Said is what an answer says of the limit of its upstream: Named, Unnamed or Unclear.
type Said interface {
	said()
}

// Named is an answer that names a limit, which is valid.
type Named struct {
	Limit Limit
}

// Unnamed is an answer that names none: the upstream is in no need.
type Unnamed struct{}

// Unclear is an answer that names what is no limit. It neither names one nor ends one.
type Unclear struct {
	// Text is what it says.
	Text string
}

func (Named) said()   {}
func (Unnamed) said() {}
func (Unclear) said() {}

// Known is what is known of the limit of an upstream. It is immutable. The zero value knows
// of none.
type Known struct {
	limit Limit
	// named is when the newest answer that names the limit came, zero if there is none in
	// force.
	named time.Time
}

// Limit returns the limit in force. It returns false if there is none.
func (k Known) Limit() (Limit, bool) {
	return k.limit, !k.named.IsZero()
}

// With returns what is known after an answer came at now to a request that was sent at a
// time. Answers overtake each other: one that takes a limit back, or raises it, counts only
// if its request was sent after the limit was last named; a lower limit counts at once.
func (k Known) With(now, sent time.Time, said Said) Known {
	limit, limited := k.Limit()
	later := sent.After(k.named)
	switch s := said.(type) {
	case Named:
		if limited && s.Limit > limit && !later {
			return k
		}
		return Known{limit: s.Limit, named: now}
	case Unnamed:
		if limited && !later {
			return k
		}
		return Known{}
	default:
		return k
	}
}

// leastRate is the requests a second that are sent whatever the limit, so that the end of
// the need is noticed. It is within what upstreams bear at a limit of 0.
const leastRate = 0.5

// rate returns the requests a second that all senders may send.
func (l Limit) rate() float64 {
	return max(float64(l), leastRate)
}

// Period returns the time between two requests of all senders.
func (l Limit) Period() time.Duration {
	return time.Duration(math.Ceil(float64(time.Second) / l.rate()))
}

// Probes returns the requests a second that each of some senders may send whatever the limit,
// so that the end of the need is noticed. Their paces should be phased (NewPhasedPace).
func Probes(senders int) float64 {
	return leastRate / float64(max(senders, 1))
}

// Share returns the requests a second that each of some senders may send without an owner.
// It is 0 if one request of each is more than the upstream bears.
func Share(l Limit, senders int) float64 {
	if senders < 1 || l.rate()*Window.Seconds()+float64(senders) > Allowed(l) {
		return 0
	}
	return l.rate() / float64(senders)
}
