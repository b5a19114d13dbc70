package ratelimit

import (
	"math"
	"time"
)

const (
	// takeover is how long a pace sends nothing after it was made: the owner before may have
	// sent up to then.
	takeover = time.Second
	// burstTime is the time whose requests may be sent at once after a rest, one at the least.
	burstTime = 250 * time.Millisecond
	// never is a time to wait that stands for ever.
	never = time.Duration(math.MaxInt64)
)

// Pace spreads requests over time (token bucket). It is not safe for concurrent use.
type Pace struct {
	// tokens are the requests that may be sent at filled, which is when they were counted
	// last. They are below 0 until the pace begins.
	tokens float64
	filled time.Time
}

// NewPace returns a Pace that begins a moment after now.
func NewPace(now time.Time) *Pace {
	return &Pace{filled: now.Add(takeover)}
}

// NewPhasedPace returns a Pace that begins a moment after now with a part of its first request,
// 0 to 1: those of many senders that begin together come apart.
func NewPhasedPace(now time.Time, phase float64) *Pace {
	return &Pace{tokens: phase, filled: now.Add(takeover)}
}

// Take takes a request at rate, in requests a second. If it may not be sent now, Take
// returns after what time the next one may.
func (p *Pace) Take(now time.Time, rate float64) (wait time.Duration, ok bool) {
	if rate <= 0 {
		return never, false
	}
	if passed := now.Sub(p.filled); passed > 0 {
		burst := max(rate*burstTime.Seconds(), 1)
		p.tokens = min(p.tokens+rate*passed.Seconds(), burst)
		p.filled = now
	}
	if p.tokens >= 1 {
		p.tokens--
		return 0, true
	}
	missing := time.Duration(math.Ceil((1 - p.tokens) / rate * float64(time.Second)))
	return max(p.filled.Sub(now), 0) + missing, false
}

// TakeOwned is Take for the owner of a limit.
func (p *Pace) TakeOwned(now time.Time, l Limit) (wait time.Duration, ok bool) {
	return p.Take(now, l.rate())
}
