package jury

import (
	"time"

	"github.com/cockroachdb/errors"
)

// The defaults of Options.
const (
	defaultHeartbeat          = 60 * time.Millisecond
	defaultElectionTimeout    = 600 * time.Millisecond
	defaultClockDrift         = 0.05
	defaultOrderTimeout       = 2 * time.Second
	defaultInflightAppends    = 8
	defaultAppendBytes        = 256 << 10
	defaultUncommittedEntries = 8192
	defaultUncommittedBytes   = 16 << 20
	defaultKeptEntries        = 1024
)

// maxClockDrift is the upper limit of Options.ClockDrift. With more drift the
// lease becomes too short to be useful.
const maxClockDrift = 0.25

// Options configure a Member. The zero value of each field except Self and Seed
// selects its default.
type Options struct {
	// Self is the identity of the member. It must not be empty.
	Self Identity
	// Seed seeds the random election timeouts and the tokens of read requests.
	// It must differ between two starts of one member, so that a delayed answer
	// to a request from before the restart matches no later request.
	Seed uint64
	// Heartbeat is the interval between a leader's heartbeats.
	Heartbeat time.Duration
	// ElectionTimeout is how long a member withholds its vote after a message
	// from a leader or after its own start. A member without a leader campaigns
	// after one to two election timeouts.
	ElectionTimeout time.Duration
	// ClockDrift is the maximum rate error of each member's monotonic clock: in
	// one second of true time, a clock advances by at least 1-ClockDrift and at
	// most 1+ClockDrift seconds.
	ClockDrift float64
	// OrderTimeout is the maximum time from a leader's OrderRight check until
	// the order has reached its upstream or has been lost. It includes the
	// longest pause of the process between check and send.
	OrderTimeout time.Duration
	// MaxInflightAppends limits the unanswered appends to one member.
	MaxInflightAppends int
	// MaxAppendBytes limits the data in one append. A single larger entry is
	// still sent.
	MaxAppendBytes int
	// MaxUncommittedEntries limits the uncommitted entries of a leader. Further
	// proposals are refused.
	MaxUncommittedEntries int
	// MaxUncommittedBytes limits the data in the uncommitted entries of a
	// leader's term. A single larger entry is still accepted.
	MaxUncommittedBytes int
	// KeptEntries is how many of the entries that a snapshot covers stay in
	// memory, for members that are slightly behind.
	KeptEntries int
}

// withDefaults returns o with each zero field replaced by its default.
func (o Options) withDefaults() Options {
	o.Heartbeat = orDefault(o.Heartbeat, defaultHeartbeat)
	o.ElectionTimeout = orDefault(o.ElectionTimeout, defaultElectionTimeout)
	o.ClockDrift = orDefault(o.ClockDrift, defaultClockDrift)
	o.OrderTimeout = orDefault(o.OrderTimeout, defaultOrderTimeout)
	o.MaxInflightAppends = orDefault(o.MaxInflightAppends, defaultInflightAppends)
	o.MaxAppendBytes = orDefault(o.MaxAppendBytes, defaultAppendBytes)
	o.MaxUncommittedEntries = orDefault(o.MaxUncommittedEntries, defaultUncommittedEntries)
	o.MaxUncommittedBytes = orDefault(o.MaxUncommittedBytes, defaultUncommittedBytes)
	o.KeptEntries = orDefault(o.KeptEntries, defaultKeptEntries)
	return o
}

// check returns an error if an option is out of range or the options conflict.
func (o Options) check() error {
	switch {
	case o.Self == "":
		return errors.New("jury: the member has no identity")
	case o.ClockDrift < 0 || o.ClockDrift > maxClockDrift:
		return errors.Newf("jury: clock drift %g is outside 0 to %g", o.ClockDrift, maxClockDrift)
	case o.Heartbeat <= 0 || o.Lease() < 3*o.Heartbeat:
		return errors.Newf("jury: election timeout %s leaves a lease of %s, less than three heartbeats of %s",
			o.ElectionTimeout, o.Lease(), o.Heartbeat)
	case o.OrderTimeout < 0 || o.MaxInflightAppends < 1 || o.MaxAppendBytes < 1 || o.MaxUncommittedEntries < 1 || o.MaxUncommittedBytes < 1 || o.KeptEntries < 0:
		return errors.New("jury: an option is negative")
	}
	return nil
}

// Lease returns the length of a leader's lease on the leader's clock. The lease
// starts when the leader sends a message that a quorum then answers.
//
// With the slowest clock, a leader's lease takes Lease/(1-ClockDrift) of true
// time; with the fastest clock, a follower withholds its vote for
// ElectionTimeout/(1+ClockDrift) of true time. Lease is the longest lease for
// which the first time does not exceed the second.
func (o Options) Lease() time.Duration {
	return scaleDuration(o.ElectionTimeout, (1-o.ClockDrift)/(1+o.ClockDrift))
}

// TakeoverWait returns how long a new leader waits, on its own clock, before it
// may send orders to upstreams. The wait covers the previous leader's lease and
// an order in flight when that lease ends, at any two clock rates within
// ClockDrift.
func (o Options) TakeoverWait() time.Duration {
	stretch := (1 + o.ClockDrift) / (1 - o.ClockDrift)
	return scaleDuration(o.Lease()+o.OrderTimeout, stretch)
}

func scaleDuration(d time.Duration, factor float64) time.Duration {
	return time.Duration(float64(d) * factor)
}

func orDefault[T comparable](value, fallback T) T {
	var zero T
	if value == zero {
		return fallback
	}
	return value
}
