package jury

import (
	"time"

	"github.com/cockroachdb/errors"
)

// The defaults of Options.
const (
	defaultHeartbeat       = 60 * time.Millisecond
	defaultElectionTimeout = 600 * time.Millisecond
	defaultClockDrift      = 0.05
	defaultOrderFlight     = 2 * time.Second
	defaultInflight        = 8
	defaultAppendBytes     = 256 << 10
	defaultUncommitted     = 8192
	defaultUncommittedSize = 16 << 20
	defaultKept            = 1024
)

// maxClockDrift bounds ClockDrift: beyond it no useful lease is left.
const maxClockDrift = 0.25

// Options are what a Member is built with. The zero value of each field but
// Self selects its default.
type Options struct {
	// Self is the identity of the member. It must not be empty.
	Self Identity
	// Seed seeds the random election timeouts and the tokens of freshness
	// questions. It must differ between two starts of one member, so that a
	// late answer to the earlier start matches no question of the later one.
	Seed uint64
	// Heartbeat is the time between two heartbeats of a leader.
	Heartbeat time.Duration
	// ElectionTimeout is how long a member refuses its vote after it heard from
	// a leader or started. A member campaigns after one to two of them.
	ElectionTimeout time.Duration
	// ClockDrift bounds the rate of each member's monotonic clock: while one
	// second passes, a clock advances by at least 1-ClockDrift and at most
	// 1+ClockDrift seconds.
	ClockDrift float64
	// OrderFlight is the longest time from a leader's check of its right to
	// order until the order has either reached its upstream or never will. It
	// includes the longest pause of the process between check and send.
	OrderFlight time.Duration
	// Inflight bounds the appends under way to one member.
	Inflight int
	// AppendBytes bounds the data in one append, but for a single entry.
	AppendBytes int
	// Uncommitted bounds the entries that a leader holds uncommitted. Further
	// proposals are refused.
	Uncommitted int
	// UncommittedBytes bounds the data in them likewise, but for a single one.
	UncommittedBytes int
	// Kept is how many entries before a snapshot stay in memory for members
	// that are a little behind.
	Kept int
}

// withDefaults returns o with each zero field replaced by its default.
func (o Options) withDefaults() Options {
	o.Heartbeat = defaulted(o.Heartbeat, defaultHeartbeat)
	o.ElectionTimeout = defaulted(o.ElectionTimeout, defaultElectionTimeout)
	o.ClockDrift = defaulted(o.ClockDrift, defaultClockDrift)
	o.OrderFlight = defaulted(o.OrderFlight, defaultOrderFlight)
	o.Inflight = defaulted(o.Inflight, defaultInflight)
	o.AppendBytes = defaulted(o.AppendBytes, defaultAppendBytes)
	o.Uncommitted = defaulted(o.Uncommitted, defaultUncommitted)
	o.UncommittedBytes = defaulted(o.UncommittedBytes, defaultUncommittedSize)
	o.Kept = defaulted(o.Kept, defaultKept)
	return o
}

// check returns an error if o cannot work.
func (o Options) check() error {
	switch {
	case o.Self == "":
		return errors.New("jury: the member has no identity")
	case o.ClockDrift < 0 || o.ClockDrift > maxClockDrift:
		return errors.Newf("jury: clock drift %g is outside 0 to %g", o.ClockDrift, maxClockDrift)
	case o.Heartbeat <= 0 || o.Lease() < 3*o.Heartbeat:
		return errors.Newf("jury: election timeout %s leaves a lease of %s, less than three heartbeats of %s",
			o.ElectionTimeout, o.Lease(), o.Heartbeat)
	case o.OrderFlight < 0 || o.Inflight < 1 || o.AppendBytes < 1 || o.Uncommitted < 1 || o.UncommittedBytes < 1 || o.Kept < 0:
		return errors.New("jury: an option is negative")
	}
	return nil
}

// Lease returns how long a leader's lease lasts on its own clock, counted from
// when it sent the heartbeat that a quorum answered.
//
// The slowest leader's lease takes Lease/(1-ClockDrift) of true time; the
// fastest follower refuses its vote for ElectionTimeout/(1+ClockDrift). The
// lease is as long as it can be without outlasting the refusal.
func (o Options) Lease() time.Duration {
	return scale(o.ElectionTimeout, (1-o.ClockDrift)/(1+o.ClockDrift))
}

// Takeover returns how long a new leader waits, on its own clock, before it has
// the right to order. It covers the lease of the leader before it and an order
// that was under way when that lease ended, at any two rates of the clocks.
func (o Options) Takeover() time.Duration {
	stretch := (1 + o.ClockDrift) / (1 - o.ClockDrift)
	return scale(o.Lease()+o.OrderFlight, stretch)
}

func scale(d time.Duration, factor float64) time.Duration {
	return time.Duration(float64(d) * factor)
}

func defaulted[T comparable](value, fallback T) T {
	var zero T
	if value == zero {
		return fallback
	}
	return value
}
