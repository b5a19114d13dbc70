package deferral

import (
	"time"

	"github.com/lovagelift/lovagelift/internal/decay"
)

const (
	// evidenceHalfLife is the half-life of grants and waiting time: the shortest objective of a batch
	// request.
	evidenceHalfLife = 10 * time.Second
	// maxObservationGap is the longest time between two observations of waiting requests during which
	// they count as waiting. It exceeds the time between two dispatches many times.
	maxObservationGap = 100 * time.Millisecond
	// priorGrants is the number of grants that the assumed rate counts for.
	priorGrants = 1.0
)

// Throughput estimates the rate at which batch requests of one model are granted while some wait, with
// the capacity that urgent requests leave. Requests that are granted at once don't count, because they
// don't show how many others could have been, nor do those that have become ordinary requests, because
// they displace urgent ones. Its zero value has no evidence. It is not safe for concurrent use.
type Throughput struct {
	// grants is the number of requests granted after a wait, and waitedSeconds the time in which at
	// least one waited, both decayed as of decayedAt.
	grants        float64
	waitedSeconds float64
	decayedAt     time.Time
	// observedAt is the time of the last observation of a waiting request.
	observedAt time.Time
}

// ObserveWaiting records that requests wait at now. It is called frequently while they do.
func (t *Throughput) ObserveWaiting(now time.Time) {
	elapsed := now.Sub(t.observedAt)
	if elapsed == 0 {
		return
	}
	t.observedAt = now
	t.decay(now)
	if elapsed > 0 && elapsed <= maxObservationGap {
		t.waitedSeconds += elapsed.Seconds()
	}
}

// RecordGrant records that a request that had to wait, and still left headroom, was granted an engine.
func (t *Throughput) RecordGrant(now time.Time) {
	t.decay(now)
	t.grants++
}

// decay reduces the evidence by its age. If the clock has stepped back, nothing is reduced.
func (t *Throughput) decay(now time.Time) {
	factor := decay.HalfLife(now.Sub(t.decayedAt), evidenceHalfLife)
	t.decayedAt = now
	t.grants *= factor
	t.waitedSeconds *= factor
}

// Forecast returns how long a request waits that has ahead others before it. assumedRate is the rate of
// grants per second without any evidence.
func (t *Throughput) Forecast(now time.Time, ahead int, assumedRate float64) time.Duration {
	t.decay(now)
	if assumedRate <= 0 {
		return 0
	}
	rate := (t.grants + priorGrants) / (t.waitedSeconds + priorGrants/assumedRate)
	if ahead <= 0 {
		return 0
	}
	return time.Duration(min(float64(ahead)/rate, maxForecastSeconds) * float64(time.Second))
}

// maxForecastSeconds bounds a forecast, so that it can be represented as a duration.
const maxForecastSeconds = 3600
