package ratelimit

import (
	"slices"
	"strconv"
	"strings"
	"time"
)

const (
	// refusalWindow is the time in which refusals are counted. It is longer than the second for
	// which upstreams state their tolerance, because clocks and delays differ.
	refusalWindow = 1200 * time.Millisecond
	// refusalShare is the share of the tolerance that is used. Requests that are under way when it
	// is reached may be refused as well.
	refusalShare = 0.5
	// maxTolerance is the largest accepted tolerance. A larger one restricts nothing.
	maxTolerance = 1 << 16
)

// ParseTolerance parses how many requests an upstream can refuse in a second for lack of capacity
// without failing. If the value is missing or invalid, ParseTolerance returns 0: the upstream states
// no tolerance.
func ParseTolerance(text string) int {
	tolerance, err := strconv.Atoi(strings.TrimSpace(text))
	if err != nil || tolerance <= 0 || tolerance > maxTolerance {
		return 0
	}
	return tolerance
}

// Refusals are the recent refusals of an upstream that fails if it has to refuse too many. It is
// immutable. The zero value is that of an upstream that states no tolerance.
type Refusals struct {
	// tolerance is the number of refusals per second that the upstream tolerates, 0 if it states
	// none.
	tolerance int
	// recent are the times of the refusals within refusalWindow of the latest one, in order.
	recent []time.Time
}

// WithTolerance returns the refusals after the upstream stated its tolerance, 0 for none.
func (r Refusals) WithTolerance(tolerance int) Refusals {
	r.tolerance = tolerance
	return r
}

// With returns the refusals after another one.
func (r Refusals) With(now time.Time) Refusals {
	recent := slices.DeleteFunc(slices.Clone(r.recent), func(at time.Time) bool { return now.Sub(at) >= refusalWindow })
	return Refusals{tolerance: r.tolerance, recent: append(recent, now)}
}

// PausedUntil returns the time until which nothing may be sent to the upstream. It is in the past if
// requests may be sent.
func (r Refusals) PausedUntil() time.Time {
	if r.tolerance == 0 || len(r.recent) == 0 {
		return time.Time{}
	}
	allowed := max(int(refusalShare*float64(r.tolerance)), 1)
	if len(r.recent) >= allowed {
		return r.recent[len(r.recent)-allowed].Add(refusalWindow)
	}
	// Pauses after each refusal spread the refusals over the window.
	return r.recent[len(r.recent)-1].Add(refusalWindow / time.Duration(2*allowed))
}
