// Package boottime is a clock that includes the time during which the machine was suspended
// (CLOCK_BOOTTIME).
//
// The monotonic clock of the Go runtime stops during a suspend. With it, a leader that was
// suspended would consider its lease valid long after it expired, and would send commands in
// parallel with its successor.
package boottime

import (
	"time"

	"golang.org/x/sys/unix"
)

// Clock returns the current time. Its values have no monotonic reading, so that differences between
// them include suspends. It does not follow adjustments of the wall clock.
type Clock struct {
	// base is the wall clock time at which the Clock was created minus the boot time at that
	// moment.
	base time.Time
}

// New returns a Clock that starts at the wall clock time now.
func New(now time.Time) Clock {
	return Clock{base: now.Round(0).Add(-sinceBoot())}
}

// Now returns the current time of the Clock.
func (c Clock) Now() time.Time {
	return c.base.Add(sinceBoot())
}

// sinceBoot returns the time since the machine booted. Every Linux kernel that Go supports has this
// clock, so reading it can't fail.
func sinceBoot() time.Duration {
	var now unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &now); err != nil {
		panic(err)
	}
	return time.Duration(now.Nano())
}
