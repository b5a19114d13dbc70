package counter

import (
	"time"

	"github.com/lovagelift/lovagelift/internal/speed"
)

// An engine prefills new prompts between the decode steps of its running requests, so a step takes
// longer by the prompts that arrived in the meantime. Many prompts at once stall all streams of the
// engine. Even under a load that the engines can carry easily, 40 in 100 streams would stall for
// more than the 250 ms that callers tolerate, because all prompts of a quarter of a second may go
// to one engine. So each engine receives prompts one after the other, at the rate at which it
// prefills them.

const (
	// gapMargin is the part of a gap reserved for the network path to the caller and for prompts
	// that peers send at the same moment.
	gapMargin = 30 * time.Millisecond
	// defaultMaxGap is the maximum gap between events where the route does not set one.
	defaultMaxGap = 250 * time.Millisecond
	// minPrefillShare is the minimum share of a gap available for prefill, however slow the engines
	// are. Without it no prompt would ever be served.
	minPrefillShare = 0.25
)

// pacing limits the rate at which an engine receives prompts. Prompts are measured by their prefill
// time, which depends on the model.
type pacing struct {
	// prefillShare is the share of its time that the engine may spend on prefill.
	prefillShare float64
	// serviceTime is the expected time that a request spends at an engine.
	serviceTime time.Duration
}

// prefillSlack is the engine's remaining prefill work at which the next prompt may be sent. It
// covers the network path and the backoff between instances. A larger value would let two large
// prompts fall into one gap.
const prefillSlack = 20 * time.Millisecond

// pacingFor returns the pacing for engines of a given speed whose streams may pause for up to
// maxGap.
func pacingFor(maxGap time.Duration, estimator *speed.Estimator) pacing {
	if maxGap <= 0 {
		maxGap = defaultMaxGap
	}
	return pacing{prefillShare: prefillShare(maxGap, estimator.EventInterval()), serviceTime: estimator.RequestTime()}
}

// prefillTolerance returns the prefill time that fits into one gap of streams whose events follow each
// other in eventInterval.
func prefillTolerance(maxGap, eventInterval time.Duration) time.Duration {
	return maxGap - eventInterval - gapMargin
}

// prefillShare returns the share of its time that an engine with such streams may spend on prefill.
func prefillShare(maxGap, eventInterval time.Duration) float64 {
	return max(prefillTolerance(maxGap, eventInterval).Seconds()/maxGap.Seconds(), minPrefillShare)
}

// promptBacklog is the prefill time of the prompts that an engine has received but not yet
// processed, estimated from the prompts that all instances sent.
type promptBacklog struct {
	prefill      time.Duration
	asOf         time.Time
	prefillShare float64
}

// add records a prompt that is sent at now.
func (b *promptBacklog) add(now time.Time, prefill time.Duration, p pacing) {
	b.prefill, b.asOf, b.prefillShare = b.remaining(now)+prefill, now, p.prefillShare
}

// remaining returns the prefill time that is left at now.
func (b *promptBacklog) remaining(now time.Time) time.Duration {
	return max(b.prefill-scale(now.Sub(b.asOf), b.prefillShare), 0)
}

// readySince returns the time at which the backlog falls to prefillSlack, so that the next prompt
// may be sent. It lies in the past if the engine is ready.
func (b *promptBacklog) readySince(p pacing) time.Time {
	slack := scale(prefillSlack, p.prefillShare)
	if b.prefill <= slack {
		return b.asOf
	}
	return b.asOf.Add(scale(b.prefill-slack, 1/b.prefillShare))
}

func scale(d time.Duration, factor float64) time.Duration {
	return time.Duration(float64(d) * factor)
}
