package docket

import "math"

// ClockAtEnd sets the clock to the last moment it can count.
func ClockAtEnd(d *Docket) {
	d.clock = math.MaxInt64
}

// TouchedLater makes the last record one that changes in the future.
func TouchedLater(d *Docket) {
	d.order.last.touched = d.clock + 1
}

// KeyTwice gives the last record a twin.
func KeyTwice(d *Docket) {
	last := d.order.last
	twin := *last
	d.order.push(&twin)
	d.records[Key{}] = &twin
}

// NoLimits takes all limits off.
func NoLimits(d *Docket) {
	d.limits = Limits{}
}
