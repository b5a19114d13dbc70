package counter

import (
	"math"
	"time"

	"github.com/lovagelift/lovagelift/internal/permit"
	"github.com/lovagelift/lovagelift/internal/reservation"
)

// While the routes mix urgency, the owner of a model tells the callers that it rejects when to return,
// and serves those that do so first. Otherwise they would be rejected again, and callers that retry
// immediately would take what becomes free in the meantime.

var reservationOptions = reservation.Options{
	// At 1.5 times the capacity, six in ten first attempts need nine tenths of it.
	Share:   0.08,
	MinWait: minRetryAfter,
	// A caller that returns 100 ms early waits for that long at most. After 1 s it has left.
	Early: 100 * time.Millisecond, Late: time.Second,
	Transit: 10 * time.Millisecond,
	// Several grants of a model that gets one or two a second.
	RateWindow: 2 * time.Second,
	// A choice among more callers takes over 5 us.
	MaxCallers: 2048,
}

// repeatedForecastShare is the part of the longest forecast wait with which a caller is queued that was
// rejected before and returns without a reservation. While capacity is short, first attempts fill the queue
// beyond that. With less, callers are rejected twice that could be served below the capacity.
const repeatedForecastShare = 0.5

// waitedTolerance is how much earlier or later than its longest wait a request is withdrawn that has waited
// in vain. One that is withdrawn before that has been left by its caller.
const waitedTolerance = 100 * time.Millisecond

// reservationResult is what became of a reservation. It is also the metric tag.
type reservationResult string

const (
	reservationBooked reservationResult = "booked"
	// reservationKept means that the caller was served at its reserved time, or before.
	reservationKept reservationResult = "kept"
	// reservationBroken means that the caller returned in time and was refused.
	reservationBroken reservationResult = "broken"
	// reservationMissed means that the caller did not return in time, or left.
	reservationMissed reservationResult = "missed"
)

// isReservable reports whether this instance decides on the reservations of a request. Only the owner of
// its model does, because the caller may return at any instance.
func (w *waiter) isReservable() bool {
	return w.requirements.sharesEngines() && w.placingInstances == 1
}

// schedule returns the reservations for the model of a request, nil if there are none. p.mu is held.
func (p *Proxy) schedule(w *waiter) *reservation.Schedule {
	if !w.isReservable() {
		return nil
	}
	return p.queue.reservations[w.requirements.modelKey()]
}

// newSchedule is schedule, but adds one if there is none.
func (p *Proxy) newSchedule(now time.Time, w *waiter) *reservation.Schedule {
	schedule := p.schedule(w)
	if schedule == nil {
		schedule = reservation.New(now, reservationOptions)
		p.queue.reservations[w.requirements.modelKey()] = schedule
	}
	return schedule
}

// useReservation sets the standing of a request that arrives. p.mu is held.
func (p *Proxy) useReservation(now time.Time, w *waiter) {
	schedule := p.schedule(w)
	if schedule == nil {
		return
	}
	p.metrics.countReservations(reservationMissed, schedule.Expire(now))
	w.arrival = schedule.Arrive(now, w.requirements.caller)
	w.requirements.reserved = w.arrival.Standing == reservation.Reserved
}

// recordReservationUse records that a request is granted an upstream. p.mu is held.
func (p *Proxy) recordReservationUse(now time.Time, w *waiter) {
	if !w.isReservable() {
		return
	}
	req := &w.requirements
	if p.newSchedule(now, w).Granted(now, req.caller, req.class()) || req.reserved {
		p.metrics.countReservations(reservationKept, 1)
	}
}

func (req *requirements) class() reservation.Class {
	return reservation.ClassOf(req.priority, req.batch)
}

// maxForecast returns the longest forecast wait with which a request is queued. p.mu is held.
func (p *Proxy) maxForecast(now time.Time, w *waiter) time.Duration {
	longest := w.requirements.maxForecast(now)
	switch w.arrival.Standing {
	case reservation.Reserved:
		return math.MaxInt64
	case reservation.Early:
		return min(longest, 0)
	case reservation.Repeated:
		return scale(longest, repeatedForecastShare)
	default:
		return longest
	}
}

// reservedAhead returns the number of reservations that go before a request that starts after wait. It is
// 0 if no other request waits: what is free is not kept for callers that may not return. p.mu is held.
func (p *Proxy) reservedAhead(now time.Time, w *waiter, waiting int, rate float64) int {
	schedule := p.schedule(w)
	if schedule == nil || waiting == 0 || w.requirements.reserved {
		return 0
	}
	wait := time.Duration(float64(waiting) / rate * float64(time.Second))
	return schedule.Before(now.Add(wait), w.requirements.class())
}

// reserve books a reservation for a rejected request, and tells the caller when it is. A caller that has
// one is told the same. p.mu is held.
func (p *Proxy) reserve(now time.Time, w *waiter, rejected *rejection) {
	if !w.isReservable() {
		return
	}
	req := &w.requirements
	if req.reserved {
		p.metrics.countReservations(reservationBroken, 1)
	}
	if w.arrival.Standing == reservation.Early {
		rejected.retryAfter, rejected.reserved = w.arrival.Due.Sub(now), w.arrival.HasReservation
		return
	}
	// A request that was tried may have run, and then its caller is not told when to return.
	if rejected.reason != permit.WaitTooLong || len(req.tried) > 0 {
		return
	}
	schedule := p.newSchedule(now, w)
	due, ok := time.Time{}, false
	if !req.yields {
		due, ok = schedule.Reserve(now, reservation.Request{
			Caller: req.caller, Class: req.class(), Wait: rejected.forecastWait, Remaining: req.deadline.Sub(now),
		})
	}
	if !ok {
		schedule.Refuse(req.caller, req.class(), now.Add(rejected.retryAfter))
		return
	}
	p.metrics.countReservations(reservationBooked, 1)
	rejected.retryAfter, rejected.reserved = due.Sub(now), true
}

// reserveAfterWait books a reservation for a request that is withdrawn after it has waited in vain. The
// instance that received it computes the time that the caller is told in the same way. There is no
// reservation if another one is too close to that time. p.mu is held.
func (p *Proxy) reserveAfterWait(now time.Time, w *waiter) {
	if !w.isReservable() {
		return
	}
	req := &w.requirements
	overdue := now.Sub(req.arrived) - req.maxWait()
	inVain := overdue >= -waitedTolerance
	switch {
	case req.reserved && inVain:
		p.metrics.countReservations(reservationBroken, 1)
	case req.reserved:
		p.metrics.countReservations(reservationMissed, 1)
	}
	// If it was withdrawn later than that, its caller was told another time, or none.
	if !inVain || overdue > waitedTolerance || w.missing < missingCapacity || len(req.tried) > 0 {
		return
	}
	if _, loading := p.pool.loadTime(now, req.query()); loading {
		return
	}
	schedule, told, ok := p.newSchedule(now, w), req.retryAfterLoad(now, 0, false), false
	if !req.yields {
		request := reservation.Request{Caller: req.caller, Class: req.class()}
		_, ok = schedule.ReserveWithin(now, request, told, told+reservationOptions.Early)
	}
	if !ok {
		schedule.Refuse(req.caller, req.class(), now.Add(told))
		return
	}
	p.metrics.countReservations(reservationBooked, 1)
}

// expireReservations removes the reservations of callers that have not returned in time. p.mu is held.
func (p *Proxy) expireReservations(now time.Time) {
	for key, schedule := range p.queue.reservations {
		p.metrics.countReservations(reservationMissed, schedule.Expire(now))
		if schedule.Idle(now) {
			delete(p.queue.reservations, key)
		}
	}
}

// reservationCount returns the number of reservations. p.mu is held.
func (p *Proxy) reservationCount() int {
	count := 0
	for _, schedule := range p.queue.reservations {
		count += schedule.Reservations()
	}
	return count
}

// countReservations counts what became of reservations.
func (m *metrics) countReservations(result reservationResult, count int) {
	if count > 0 {
		taggedCounter(m.scope, m.reservations, "reservation_results", "result", string(result)).Inc(int64(count))
	}
}
