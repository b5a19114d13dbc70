package counter

import (
	"math"
	"net/netip"
	"time"

	"github.com/lovagelift/lovagelift/internal/speed"
)

// An engine that becomes several times slower sends no complete response for many seconds, in which it
// would receive requests as before. So the requests that are still running there count, too: once those
// of two instances have taken longer than expected, the engine's factor is at least the ratio.

// overdueMargin is the ratio of the longest expected time of a response to the mean one. Callers declare
// the longest length of a response, and the mean is about half of it.
const overdueMargin = 2

// overdue holds the two largest lower bounds of an engine's factor by the requests that run there, of
// different instances. A single one may be an unusual response, and the requests of one instance may have
// ended with it.
type overdue struct {
	largest, second float64
	instance        netip.AddrPort
}

func (o *overdue) observe(instance netip.AddrPort, bound float64) {
	switch {
	case instance == o.instance:
		o.largest = max(o.largest, bound)
	case bound > o.largest:
		o.largest, o.second, o.instance = bound, o.largest, instance
	case bound > o.second:
		o.second = bound
	}
}

// confirmed reports whether two instances have overdue requests at the engine.
func (o *overdue) confirmed() bool {
	return o.second > 1
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
	if s.overdue.confirmed() {
		return max(factor, min(s.overdue.second, speed.MaxFactor))
	}
	return factor
}

// updateOverdue updates the lower bounds of the engines' factors by the peers' requests that this
// instance has placed and that have not ended. Permits at an engine with overdue requests last until the
// deadline: otherwise they would expire before the responses are complete, and those would not be learned
// from. p.mu is held.
func (p *Proxy) updateOverdue(now time.Time) {
	if !p.mixesUrgency() {
		return
	}
	for _, u := range p.pool.byName {
		u.speed.overdue, u.speed.cachedAt = overdue{}, time.Time{}
	}
	for requester, record := range p.permits {
		// Instances that are gone release no permits.
		if u := record.grant.upstream; u != nil && p.owners.assignment.Contains(requester.address) {
			u.speed.overdue.observe(requester.address, p.overdueRatio(now, record))
		}
	}
	for _, record := range p.permits {
		if u := record.grant.upstream; u != nil && u.speed.overdue.confirmed() && !now.After(record.expires) {
			record.expires = record.waiter.requirements.deadline
		}
	}
	for _, u := range p.pool.byName {
		if u.speed.overdue.confirmed() {
			p.reportSpeed(now, u)
		}
	}
}

// overdueRatio returns the ratio of the time that a request has taken since its grant to the longest
// expected time on the mean engine, 0 if that is not known. It is also 0 if the engine has completed a
// response since the request became overdue: the factor follows from that then, and a release may have
// been lost.
func (p *Proxy) overdueRatio(now time.Time, record *permitRecord) float64 {
	req := &record.waiter.requirements
	estimator := p.estimators[req.service]
	if estimator == nil || !req.mixed || req.outputTokens <= 0 {
		return 0
	}
	model := req.eventInterval.Seconds() / max(estimator.EventInterval().Seconds(), math.SmallestNonzeroFloat64)
	expected := req.prefillTime.Seconds() + gapMargin.Seconds() + overdueMargin*req.decodeTime.Seconds()*model
	due := record.granted.Add(record.grant.prefillAhead + time.Duration(expected*float64(time.Second)))
	if record.grant.upstream.speed.LastSample().After(due) {
		return 0
	}
	return (now.Sub(record.granted) - record.grant.prefillAhead).Seconds() / expected
}
