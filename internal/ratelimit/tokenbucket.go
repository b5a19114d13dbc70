package ratelimit

import (
	"math"
	"time"
)

const (
	// startDelay is the time for which a new TokenBucket allows no request, because the
	// previous owner may have sent requests until the change of owner.
	startDelay = time.Second
	// burstDuration bounds the requests that may be sent at once after a pause to those of
	// this time, but to no fewer than one.
	burstDuration = 250 * time.Millisecond
	// waitForever is the wait at a rate of 0.
	waitForever = time.Duration(math.MaxInt64)
)

// TokenBucket is a token bucket whose rate may change with each call of Take. It is not
// safe for concurrent use.
type TokenBucket struct {
	// tokens are the requests that may be sent, as of filledAt. filledAt is in the future
	// until startDelay has passed.
	tokens   float64
	filledAt time.Time
}

// NewTokenBucket returns an empty TokenBucket that starts to fill one second after now.
func NewTokenBucket(now time.Time) *TokenBucket {
	return &TokenBucket{filledAt: now.Add(startDelay)}
}

// NewPhasedTokenBucket returns a TokenBucket that holds phase tokens, from 0 to 1, and
// starts to fill one second after now. With random phases, senders that start at the same
// time send their first requests at different times.
func NewPhasedTokenBucket(now time.Time, phase float64) *TokenBucket {
	return &TokenBucket{tokens: phase, filledAt: now.Add(startDelay)}
}

// Take takes a token for one request, at a rate in requests a second. If there is none,
// Take returns false and the time until the next one.
func (b *TokenBucket) Take(now time.Time, rate float64) (wait time.Duration, ok bool) {
	if rate <= 0 {
		return waitForever, false
	}
	if elapsed := now.Sub(b.filledAt); elapsed > 0 {
		burst := max(rate*burstDuration.Seconds(), 1)
		b.tokens = min(b.tokens+rate*elapsed.Seconds(), burst)
		b.filledAt = now
	}
	if b.tokens >= 1 {
		b.tokens--
		return 0, true
	}
	missing := time.Duration(math.Ceil((1 - b.tokens) / rate * float64(time.Second)))
	return max(b.filledAt.Sub(now), 0) + missing, false
}

// TakeAtLimit is Take at the rate of all senders together, for the owner of the limit.
func (b *TokenBucket) TakeAtLimit(now time.Time, l Limit) (wait time.Duration, ok bool) {
	return b.Take(now, l.rate())
}
