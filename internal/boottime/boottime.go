// Package boottime reads a clock that goes on while the machine is suspended
// (CLOCK_BOOTTIME).
//
// The monotonic clock of the Go runtime stands still during a suspend. A leader
// that was suspended would then take a lease that has long run out for its own,
// and give orders beside its successor.
package boottime

import (
	"time"

	"golang.org/x/sys/unix"
)

// Clock returns the present time. Its values have no monotonic part, so that
// differences between them count suspends, and it never follows steps of the
// time of day.
type Clock struct {
	// base is the time of day at which the clock was made, less the boot time
	// then.
	base time.Time
}

// New returns a Clock that starts at the time of day now.
func New(now time.Time) Clock {
	return Clock{base: now.Round(0).Add(-sinceBoot())}
}

// Now returns the present time.
func (c Clock) Now() time.Time {
	return c.base.Add(sinceBoot())
}

// sinceBoot returns the time since the machine booted. The clock exists on every
// Linux that Go runs on, so that reading it can't fail.
func sinceBoot() time.Duration {
	var now unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &now); err != nil {
		panic(err)
	}
	return time.Duration(now.Nano())
}
