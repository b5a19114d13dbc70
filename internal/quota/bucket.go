package quota

import (
	"math"
	"time"
)

// Bucket is the token bucket of a workspace at the owner of its quota. It is immutable.
type Bucket struct {
	// units may be spent as of filledAt. It is negative after a request that costs more than
	// the burst, and after an Adjust by negative units.
	units    float64
	filledAt time.Time
	// promised are the units for requests that were denied and told when to come back.
	promised float64
}

// NewBucket returns a Bucket that holds the given units.
func NewBucket(now time.Time, units float64) Bucket {
	return Bucket{units: units, filledAt: now}
}

// Decision is the answer to a request for units: Granted or Denied.
type Decision interface {
	isDecision()
}

// Granted means that Units may be spent, at least as many as needed.
type Granted struct {
	Units float64
	// Scarce is set if the workspace has used up most of its burst, because it uses more than
	// its rate. Its requests then yield to those of other workspaces.
	Scarce bool
}

// Denied means that nothing may be spent before Wait has passed.
type Denied struct {
	Wait time.Duration
}

func (Granted) isDecision() {}
func (Denied) isDecision()  {}

// scarceShare is the share of the burst below which a bucket is scarce.
const scarceShare = 0.25

// maxDenial bounds the wait of a Denied, because the limit may rise in the meantime.
const maxDenial = 30 * time.Second

// Take decides whether need units may be spent now, and if so, grants up to ahead more. Units
// ahead of need are taken from the upper half of the burst only: the lower half is kept for
// the requests of other instances.
func (b Bucket) Take(now time.Time, l Limit, need, ahead float64) (Bucket, Decision) {
	b = b.filled(now, l)
	// A request that costs more than the burst is granted from a full bucket. Otherwise it
	// would never be served.
	required := min(need, l.Burst)
	if b.units >= required {
		granted := need + min(ahead, max(b.units-need-l.Burst/2, 0))
		b.units -= granted
		return b, Granted{Units: granted, Scarce: b.units < scarceShare*l.Burst}
	}
	missing := required - b.units + b.promised
	b.promised += need
	wait := time.Duration(math.Ceil(missing / l.PerSecond * float64(time.Second)))
	return b, Denied{Wait: min(wait, maxDenial)}
}

// Adjust puts back units that were granted and not spent. If units is negative, it spends units
// that the bucket may not hold, for a request that was sent again.
func (b Bucket) Adjust(now time.Time, l Limit, units float64) Bucket {
	b = b.filled(now, l)
	b.units = min(b.units+units, l.Burst)
	return b
}

// Paused returns the bucket as if no time had passed since it was last filled: what has come in since
// then may have been granted elsewhere.
func (b Bucket) Paused(now time.Time) Bucket {
	b.filledAt = now
	return b
}

// filled returns the bucket with the units that have come in until now.
func (b Bucket) filled(now time.Time, l Limit) Bucket {
	if elapsed := now.Sub(b.filledAt); elapsed > 0 {
		income := l.PerSecond * elapsed.Seconds()
		b.units += income
		b.promised = max(b.promised-income, 0)
		b.filledAt = now
	}
	b.units = min(b.units, l.Burst)
	return b
}
