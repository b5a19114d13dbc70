// Package concurrency decides how the entry instances share the upstreams of a plain service, which
// run a few requests at once and refuse what exceeds their queue: how many requests each upstream has
// at once, which upstream the next request is sent to, and how the upstreams are divided into groups
// that are placed by one instance each.
//
// The package only decides: it takes the present time as an argument and does no I/O.
package concurrency

import (
	"math"
	"time"

	"github.com/lovagelift/lovagelift/internal/decay"
)

const (
	// handoverTime is the time from the end of a request at an upstream until the next one arrives
	// there: the response, the release, the grant and the request each take one way between failure
	// domains, and instances that are short of CPU time add some ms.
	handoverTime = 10 * time.Millisecond
	// workSamples and usualSamples are the numbers of samples over which the work time and the usual
	// work time are smoothed.
	workSamples  = 8
	usualSamples = 1024
	// maxSampleFactor bounds a sample in multiples of the work time, so that a single stalled
	// response does not change the choice.
	maxSampleFactor = 4
	// slowFactor is the work time, in multiples of the usual one, from which an upstream counts as
	// slowed down.
	slowFactor = 1.5
	// failureSamples is the number of responses over which the share of failures is smoothed.
	failureSamples = 16
	// staleAfter is the age of the last sample after which the work time returns to the usual one and
	// the share of failures to 0, with a half-life of staleHalfLife. An upstream that is avoided yields
	// no samples, and would never be used again otherwise.
	staleAfter    = 500 * time.Millisecond
	staleHalfLife = time.Second
	// refusalFactor is the share of the requests in flight that remains the limit after a refusal.
	refusalFactor = 0.8
	// raiseInterval is the time in which a limit that was reduced by a refusal rises by one.
	raiseInterval = 250 * time.Millisecond
	// reduceInterval is the shortest time between two reductions. Refusals within it were sent under
	// the same limit.
	reduceInterval = 100 * time.Millisecond
)

// Unlimited is the limit of an upstream whose slots are not known and which has not refused a request.
const Unlimited = math.MaxInt32

// Limiter is the concurrency limit of one upstream. It follows the upstream's work time and refusals.
// The zero value has seen no request. It is not safe for concurrent use.
type Limiter struct {
	// work is the smoothed time that the upstream takes for a request that finds a free slot, and
	// usual the same over a longer time. Both are 0 before the first sample.
	work, usual time.Duration
	// failures is the smoothed share of requests that failed.
	failures float64
	// sampled is the time of the last sample of a time or of a failure.
	sampled time.Time
	// ceiling is the limit after the last refusal as of reduced, 0 if there was none.
	ceiling float64
	reduced time.Time
}

// Finished records a complete response, which took runTime. inFlight is the number of requests at the
// upstream when the request was sent, this one included, 0 if it is not known. A run time that is not
// positive is ignored.
func (l *Limiter) Finished(now time.Time, slots, inFlight int, runTime time.Duration) {
	if runTime <= 0 {
		return
	}
	sample := scale(runTime, 1/queueFactor(slots, inFlight))
	if l.work == 0 {
		l.work, l.usual = sample, sample
	}
	work, failures := l.WorkTime(now), l.FailureShare(now)
	l.work = work + (min(sample, maxSampleFactor*work)-work)/workSamples
	l.failures = failures - failures/failureSamples
	l.sampled = now
	// The usual time falls as fast as the work time, but rises slowly: it is that of an upstream
	// without disturbance.
	samples := time.Duration(usualSamples)
	if l.work < l.usual {
		samples = workSamples
	}
	l.usual += (l.work - l.usual) / samples
}

// queueFactor returns the time of a request in multiples of the work time. It exceeds 1 if more
// requests are in flight than the upstream runs at once.
func queueFactor(slots, inFlight int) float64 {
	if slots <= 0 || inFlight <= slots {
		return 1
	}
	return float64(inFlight) / float64(slots)
}

// Failed records a request that got no proper response.
func (l *Limiter) Failed(now time.Time) {
	work, failures := l.WorkTime(now), l.FailureShare(now)
	l.work, l.failures = work, failures+(1-failures)/failureSamples
	l.sampled = now
}

// Refused records that the upstream refused a request for lack of capacity while inFlight requests
// were there.
func (l *Limiter) Refused(now time.Time, slots, inFlight int) {
	if age := now.Sub(l.reduced); age >= 0 && age < reduceInterval {
		return
	}
	l.ceiling = max(refusalFactor*float64(min(inFlight, l.Limit(now, slots))), 1)
	l.reduced = now
}

// WorkTime returns how long the upstream takes for a request that finds a free slot, 0 if it is not
// known.
func (l *Limiter) WorkTime(now time.Time) time.Duration {
	return l.usual + scale(l.work-l.usual, l.weight(now))
}

// FailureShare returns the share of requests that fail.
func (l *Limiter) FailureShare(now time.Time) float64 {
	return l.failures * l.weight(now)
}

// weight returns the weight of the last samples, which decreases with their age, between 0 and 1.
func (l *Limiter) weight(now time.Time) float64 {
	return decay.HalfLife(now.Sub(l.sampled)-staleAfter, staleHalfLife)
}

// Limit returns how many requests an upstream with a number of slots, 0 if it is not known, may have
// at once: its slots, and a queue that keeps them busy during the handover from one request to the
// next. A longer queue would only make requests wait where they cannot be placed elsewhere.
func (l *Limiter) Limit(now time.Time, slots int) int {
	limit := Unlimited
	if slots > 0 {
		limit = slots + l.queue(now, slots)
	}
	if l.ceiling > 0 {
		raised := max(now.Sub(l.reduced), 0).Seconds() / raiseInterval.Seconds()
		limit = int(min(float64(limit), l.ceiling+raised))
	}
	return max(limit, 1)
}

// queue returns how many requests may wait at the upstream. None may while it is slowed down: other
// upstreams serve them earlier.
func (l *Limiter) queue(now time.Time, slots int) int {
	work := l.WorkTime(now)
	switch {
	case work <= 0:
		return 1
	case work > scale(l.usual, slowFactor):
		return 0
	}
	return min(max(int(math.Round(float64(slots)*handoverTime.Seconds()/work.Seconds())), 1), slots)
}

func scale(d time.Duration, factor float64) time.Duration {
	return time.Duration(float64(d) * factor)
}
