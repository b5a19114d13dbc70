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

// Pushbacks are the times until which upstreams want no requests. The key is the sender, the
// upstream, or whatever else distinguishes them. It is immutable; the zero value has none.
type Pushbacks[Key comparable] struct {
	until map[Key]time.Time
}

// With returns the pushbacks after one of the given length for key. It never shortens an
// earlier one: responses may arrive out of order.
func (p Pushbacks[Key]) With(now time.Time, key Key, length time.Duration) Pushbacks[Key] {
	until := now.Add(length)
	if length <= 0 || !until.After(p.until[key]) {
		return p
	}
	next := maps.Clone(p.until)
	if next == nil {
		next = map[Key]time.Time{}
	}
	maps.DeleteFunc(next, func(_ Key, end time.Time) bool { return !now.Before(end) })
	next[key] = until
	return Pushbacks[Key]{until: next}
}

// Without returns the pushbacks without the one for key.
func (p Pushbacks[Key]) Without(key Key) Pushbacks[Key] {
	if p.until[key].IsZero() {
		return p
	}
	next := maps.Clone(p.until)
	delete(next, key)
	return Pushbacks[Key]{until: next}
}

// Until returns the end of the pushback for key. It is zero if there is none.
func (p Pushbacks[Key]) Until(key Key) time.Time {
	return p.until[key]
}
