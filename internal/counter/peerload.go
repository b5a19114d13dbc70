package counter

import (
	"time"

	"github.com/lovagelift/lovagelift/internal/decay"
)

// peerLoad estimates how many requests the other instances have at an engine. Each instance reports
// its count with every request that it sends there. A reported count decays with the service time
// of requests until the next report.
//
// Reports of the engine itself are at least half a second old. An estimate from such a report plus
// all requests sent since would show an engine of 24 slots as full while a quarter of them is free,
// with requests of one second.
type peerLoad struct {
	byInstance map[uint32]peerCount
	total      float64
	asOf       time.Time
	// latest is the latest result of estimate. A selection needs the load of each engine several times.
	latest loadEstimate
}

// loadEstimate is an estimated load with the arguments for which it was computed. It is invalid if at is
// zero.
type loadEstimate struct {
	at          time.Time
	serviceTime time.Duration
	load        float64
}

// peerCount is the last count reported by one instance.
type peerCount struct {
	active int
	at     time.Time
}

// set replaces the count of a peer.
func (l *peerLoad) set(now time.Time, serviceTime time.Duration, peer uint32, active int) {
	if l.byInstance == nil {
		l.byInstance = map[uint32]peerCount{}
	}
	previous := l.byInstance[peer]
	rest := l.estimate(now, serviceTime) - float64(previous.active)*decay.TimeConstant(now.Sub(previous.at), serviceTime)
	l.total, l.asOf = max(rest, 0)+float64(active), now
	l.latest = loadEstimate{}
	l.byInstance[peer] = peerCount{active: active, at: now}
}

// correct adjusts the estimate after a report that showed difference more requests at a past time
// than estimated.
func (l *peerLoad) correct(now, at time.Time, serviceTime time.Duration, difference float64) {
	rest := l.estimate(now, serviceTime) + difference*decay.TimeConstant(now.Sub(at), serviceTime)
	l.total, l.asOf = max(rest, 0), now
	l.latest = loadEstimate{}
}

// estimate returns the estimated number of requests at now.
func (l *peerLoad) estimate(now time.Time, serviceTime time.Duration) float64 {
	if l.latest.at.IsZero() || l.latest.serviceTime != serviceTime || !l.latest.at.Equal(now) {
		l.latest = loadEstimate{at: now, serviceTime: serviceTime, load: l.total * decay.TimeConstant(now.Sub(l.asOf), serviceTime)}
	}
	return l.latest.load
}
