package ratelimit

import (
	"maps"
	"math"
	"strconv"
	"strings"
	"time"
)

// MaxPushback is the longest accepted pushback. An upstream that needs longer repeats it.
const MaxPushback = 10 * time.Minute

// ParsePushback parses the value of a Retry-After header in seconds, which may have a
// fraction. A longer time than MaxPushback counts as MaxPushback. If the value is missing or
// invalid, ParsePushback returns 0.
func ParsePushback(retryAfter string) time.Duration {
	seconds, err := strconv.ParseFloat(strings.TrimSpace(retryAfter), 64)
	if err != nil || math.IsNaN(seconds) || seconds <= 0 {
		return 0
	}
	return time.Duration(min(seconds, MaxPushback.Seconds()) * float64(time.Second))
}

// Pushbacks are the times until which an upstream wants no requests, by sender. It is
// immutable; the zero value has none.
type Pushbacks[Sender comparable] struct {
	until map[Sender]time.Time
}

// With returns the pushbacks after the upstream asked sender for a pushback of the given
// length. It never shortens an earlier one: responses may arrive out of order.
func (p Pushbacks[Sender]) With(now time.Time, sender Sender, length time.Duration) Pushbacks[Sender] {
	until := now.Add(length)
	if length <= 0 || !until.After(p.until[sender]) {
		return p
	}
	next := maps.Clone(p.until)
	if next == nil {
		next = map[Sender]time.Time{}
	}
	maps.DeleteFunc(next, func(_ Sender, end time.Time) bool { return !now.Before(end) })
	next[sender] = until
	return Pushbacks[Sender]{until: next}
}

// Until returns the end of a sender's pushback. It is zero if there is none.
func (p Pushbacks[Sender]) Until(sender Sender) time.Time {
	return p.until[sender]
}
