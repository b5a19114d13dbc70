// Package reservation decides when the callers of rejected requests should return, and which of them
// have a reservation when they do.
//
// The package is pure: it takes the present time as an argument and does no I/O.
package reservation

import (
	"slices"
	"time"
)

// Options configures a Schedule. All fields must be above 0.
type Options struct {
	// Share is the part of the rate of grants that reservations may take. The other part is for
	// first attempts: with a larger share, more of those are rejected.
	Share float64
	// MinWait is the shortest time from a rejection to the reserved time.
	MinWait time.Duration
	// Early and Late are how much earlier and later than the reserved time the caller may return.
	Early, Late time.Duration
	// Transit is the time that a reply takes to reach the caller. Its remaining time is shorter by
	// then.
	Transit time.Duration
	// RateWindow is the time over which the rate of grants is averaged.
	RateWindow time.Duration
	// MaxCallers is the largest number of callers in a Schedule.
	MaxCallers int
}

// maxWaitShare is the part of its remaining time for which a caller waits before it returns.
const maxWaitShare = 1.0 / 3

// Schedule holds the reservations for one model, and the rejected callers without one. It is not safe
// for concurrent use.
type Schedule struct {
	options Options
	// epoch is the time to which the entries' times are relative.
	epoch time.Time
	// entries are sorted by due, at most options.MaxCallers, and at most one for each caller. callers
	// are those of the entries: searching a slice of their own takes a third of the time.
	entries []entry
	callers []uint64
	rates   grantRates
}

// entry is when a caller was told to return.
type entry struct {
	// due is the time that the caller was told, relative to the epoch.
	due   time.Duration
	class Class
	// reserved is false if the caller was told a time without a reservation.
	reserved bool
}

// New returns an empty Schedule.
func New(now time.Time, options Options) *Schedule {
	return &Schedule{options: options, epoch: now, rates: grantRates{last: now, window: options.RateWindow}}
}

// Standing is what an arriving request's caller is known for.
type Standing uint8

const (
	// Newcomer is a caller that was not told a time, or returns too late.
	Newcomer Standing = iota
	// Reserved is a caller that returns at its reserved time.
	Reserved
	// Early is a caller that returns before the time it was told.
	Early
	// Repeated is a caller that returns at the time it was told without a reservation.
	Repeated
)

// Arrival is the result of Arrive.
type Arrival struct {
	Standing Standing
	// Due is the time that the caller was told. It is zero for a newcomer.
	Due time.Time
	// HasReservation is true if an early caller has a reservation.
	HasReservation bool
}

// Arrive returns the standing of a caller whose request arrives. Its reservation is used by that, unless
// it is early.
func (s *Schedule) Arrive(now time.Time, caller uint64) Arrival {
	i := s.find(caller)
	if i < 0 {
		return Arrival{}
	}
	e := s.entries[i]
	arrival := Arrival{Due: s.epoch.Add(e.due)}
	switch since := now.Sub(s.epoch) - e.due; {
	case since < -s.options.Early:
		arrival.Standing, arrival.HasReservation = Early, e.reserved
		return arrival
	case since > s.options.Late:
		// Expire removes the entry and counts it.
		return Arrival{}
	case e.reserved:
		arrival.Standing = Reserved
	default:
		arrival.Standing = Repeated
	}
	s.remove(i, i+1)
	return arrival
}

// Request is a rejected request.
type Request struct {
	// Caller identifies the caller, 0 if it is not known.
	Caller uint64
	Class  Class
	// Wait is the time until those that wait now are served.
	Wait time.Duration
	// Remaining is the caller's remaining time.
	Remaining time.Duration
}

// Reserve returns the reserved time of a rejected request. It is the first time after the wait at which
// the rate of grants leaves room for the request. If there is none within a third of the caller's
// remaining time, or the caller is not known or was told a time before, Reserve returns false.
func (s *Schedule) Reserve(now time.Time, r Request) (time.Time, bool) {
	latest := time.Duration(float64(r.Remaining)*maxWaitShare) - s.options.Transit
	return s.ReserveWithin(now, r, max(r.Wait, s.options.MinWait), latest)
}

// ReserveWithin is Reserve with given limits of the time from now to the reserved time.
func (s *Schedule) ReserveWithin(now time.Time, r Request, earliest, latest time.Duration) (time.Time, bool) {
	spacing, ok := s.spacing(now, r.Class)
	if !ok || r.Caller == 0 || len(s.entries) >= s.options.MaxCallers || s.find(r.Caller) >= 0 {
		return time.Time{}, false
	}
	since := now.Sub(s.epoch)
	due := s.firstGap(since+earliest, spacing)
	if due > since+latest {
		return time.Time{}, false
	}
	s.insert(r.Caller, entry{due: due, class: r.Class, reserved: true})
	return s.epoch.Add(due), true
}

// Refuse records the time that a rejected caller without a reservation was told.
func (s *Schedule) Refuse(caller uint64, class Class, due time.Time) {
	if caller == 0 || len(s.entries) >= s.options.MaxCallers || s.find(caller) >= 0 {
		return
	}
	s.insert(caller, entry{class: class, due: due.Sub(s.epoch)})
}

// Granted records that a request is granted an upstream. It reports whether its caller had a reservation
// that was not used. That is free again.
func (s *Schedule) Granted(now time.Time, caller uint64, class Class) bool {
	s.rates.add(now, class)
	i := s.find(caller)
	if i < 0 {
		return false
	}
	reserved := s.entries[i].reserved
	s.remove(i, i+1)
	return reserved
}

// Before returns the number of reservations until a time that go before newcomers of a class.
func (s *Schedule) Before(until time.Time, class Class) int {
	count := 0
	for _, e := range s.entries[:s.indexOf(until.Sub(s.epoch)+1)] {
		if e.reserved && e.class <= class {
			count++
		}
	}
	return count
}

// Expire removes the callers that have not returned in time, and returns how many of them had a
// reservation.
func (s *Schedule) Expire(now time.Time) int {
	expired := s.indexOf(now.Sub(s.epoch) - s.options.Late)
	missed := 0
	for _, e := range s.entries[:expired] {
		if e.reserved {
			missed++
		}
	}
	s.remove(0, expired)
	return missed
}

// Idle reports whether the Schedule holds nothing that a new one would not.
func (s *Schedule) Idle(now time.Time) bool {
	return len(s.entries) == 0 && s.rates.rate(now, 0) < minRate
}

// Reservations returns the number of reservations.
func (s *Schedule) Reservations() int {
	count := 0
	for _, e := range s.entries {
		if e.reserved {
			count++
		}
	}
	return count
}

// spacing returns the shortest time between two reservations. It returns false if the requests of the
// class are granted so rarely that a returning caller could wait for longer than its reservation holds.
func (s *Schedule) spacing(now time.Time, class Class) (time.Duration, bool) {
	rate := s.rates.rate(now, class)
	if rate*s.options.Late.Seconds() < 1 {
		return 0, false
	}
	return time.Duration(float64(time.Second) / (rate * s.options.Share)), true
}

// firstGap returns the first time from earliest on that has the given distance from all reservations.
func (s *Schedule) firstGap(earliest, spacing time.Duration) time.Duration {
	due := earliest
	for _, e := range s.entries[s.indexOf(earliest-spacing):] {
		if e.due >= due+spacing {
			break
		}
		if e.reserved {
			due = max(due, e.due+spacing)
		}
	}
	return due
}

// indexOf returns the index of the first entry that is due at a time or later.
func (s *Schedule) indexOf(due time.Duration) int {
	i, _ := slices.BinarySearchFunc(s.entries, due, func(e entry, due time.Duration) int {
		if e.due < due {
			return -1
		}
		return 1
	})
	return i
}

func (s *Schedule) insert(caller uint64, e entry) {
	i := s.indexOf(e.due)
	s.entries = slices.Insert(s.entries, i, e)
	s.callers = slices.Insert(s.callers, i, caller)
}

// remove removes the entries from index i up to j.
func (s *Schedule) remove(i, j int) {
	s.entries = slices.Delete(s.entries, i, j)
	s.callers = slices.Delete(s.callers, i, j)
}

// find returns the index of a caller's entry, or -1.
func (s *Schedule) find(caller uint64) int {
	if caller == 0 {
		return -1
	}
	return slices.Index(s.callers, caller)
}
