package counter

import (
	"math"
	"time"

	"github.com/lovagelift/lovagelift/internal/speed"
)

// An engine that becomes several times slower sends no complete response for many seconds, in which it
// would receive requests as before. So the requests that are still running there count, too: once two of
// them have taken longer than expected, the engine's factor is at least the ratio.

// overdueMargin is the ratio of the longest expected time of a response to the mean one. Callers declare
// the longest length of a response, and the mean is about half of it.
const overdueMargin = 2

// overdue holds the two largest lower bounds of an engine's factor by the requests that run there. A
// single one may be an unusual response.
type overdue struct {
	largest, second float64
}

func (o *overdue) observe(bound float64) {
	switch {
	case bound > o.largest:
		o.largest, o.second = bound, o.largest
	case bound > o.second:
		o.second = bound
	}
}

// factorCacheTime is how long a computed factor is used. It changes little in that time, unless a sample
// arrives.
const factorCacheTime = 50 * time.Millisecond

// Factor returns the factor of the engine, which is not below that of overdue requests.
func (s *upstreamSpeed) Factor(now time.Time) float64 {
	if age := now.Sub(s.cachedAt); age < 0 || age >= factorCacheTime {
		s.cached, s.cachedAt = s.atLeastOverdue(s.Relative.Factor(now)), now
	}
	return s.cached
}

// atLeastOverdue returns factor or the lower bound by overdue requests, whichever is larger.
func (s *upstreamSpeed) atLeastOverdue(factor float64) float64 {
	if s.overdue.second > 1 {
		return max(factor, min(s.overdue.second, speed.MaxFactor))
	}
	return factor
}

// updateOverdue updates the lower bounds of the engines' factors by the peers' requests that this
// instance has placed and that have not ended. p.mu is held.
func (p *Proxy) updateOverdue(now time.Time) {
	if !p.mixesUrgency() {
		return
	}
	for _, u := range p.pool.byName {
		u.speed.overdue, u.speed.cachedAt = overdue{}, time.Time{}
	}
	for _, record := range p.permits {
		if u := record.grant.upstream; u != nil && record.waiter.requirements.model != "" {
			u.speed.overdue.observe(p.overdueRatio(now, record))
		}
	}
	for _, u := range p.pool.byName {
		if u.speed.overdue.second > 1 {
			p.reportSpeed(now, u)
		}
	}
}

// overdueRatio returns the ratio of the time that a request has taken since its grant to the longest
// expected time on the mean engine.
func (p *Proxy) overdueRatio(now time.Time, record *permitRecord) float64 {
	req := &record.waiter.requirements
	estimator := p.estimators[req.service]
	if estimator == nil {
		return 0
	}
	model := req.eventInterval.Seconds() / max(estimator.EventInterval().Seconds(), math.SmallestNonzeroFloat64)
	expected := req.prefillTime.Seconds() + gapMargin.Seconds() + overdueMargin*req.decodeTime.Seconds()*model
	return (now.Sub(record.granted) - record.grant.prefillAhead).Seconds() / expected
}
