package quota

import (
	"math"
	"time"
)

const (
	// leaseTime is how long an instance may spend units that it was granted ahead. In any
	// period, as much may be spent as is granted in a period that is longer by this time.
	leaseTime = 250 * time.Millisecond
	// useTime is the time over which the use of an instance is averaged.
	useTime = time.Second
)

// Lease holds the units that an instance was granted ahead of its requests, and how many it
// uses. It is immutable. The zero value holds nothing.
type Lease struct {
	units   float64
	expires time.Time
	// use is the average use in units a second, as of usedAt.
	use    float64
	usedAt time.Time
}

// Spend spends units from the lease. It returns false if the lease holds too few.
func (l Lease) Spend(now time.Time, units float64) (Lease, bool) {
	if !now.Before(l.expires) || l.units < units {
		return l, false
	}
	l.units -= units
	return l, true
}

// WithUse returns the lease after a request that costs units arrived.
func (l Lease) WithUse(now time.Time, units float64) Lease {
	l.use = l.useAt(now) + units/useTime.Seconds()
	l.usedAt = now
	return l
}

// useAt returns the average use at now.
func (l Lease) useAt(now time.Time) float64 {
	return l.use * math.Exp(-now.Sub(l.usedAt).Seconds()/useTime.Seconds())
}

// Ahead returns the units to ask for in addition to those for a request that costs need: the
// expected use in the time of the lease, or 0 if that is less than another such request.
func (l Lease) Ahead(now time.Time, need float64) float64 {
	ahead := l.useAt(now) * leaseTime.Seconds()
	if ahead < need {
		return 0
	}
	return ahead
}

// WithGrant returns the lease after units were granted ahead at now. The units of a lease
// that has expired are lost.
func (l Lease) WithGrant(now time.Time, units float64) Lease {
	if !now.Before(l.expires) {
		l.units = 0
	}
	l.units += units
	l.expires = now.Add(leaseTime)
	return l
}

// Expired returns the lease without its units if it has expired, and the number of those
// units, which belong to the owner again.
func (l Lease) Expired(now time.Time) (rest Lease, units float64) {
	if now.Before(l.expires) {
		return l, 0
	}
	units, l.units = l.units, 0
	return l, units
}

// Share returns the part of a limit that each of several instances may spend without an
// owner. If all do, they spend as much as one owner grants.
func (l Limit) Share(instances int) Limit {
	parts := float64(max(instances, 1))
	l.PerSecond /= parts
	l.Burst /= parts
	return l
}
