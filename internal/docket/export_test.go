package docket

import "math"

// SetMaxClock sets the clock to its maximum value.
func SetMaxClock(d *Docket) {
	d.clock = math.MaxInt64
}

// SetFutureChange sets the last change of the last record to the future.
func SetFutureChange(d *Docket) {
	d.byLastChange.last.changedAt = d.clock + 1
}

// DuplicateLastRecord adds a second record with the key of the last one.
func DuplicateLastRecord(d *Docket) {
	last := d.byLastChange.last
	duplicate := *last
	d.byLastChange.pushBack(&duplicate)
	d.records[Key{}] = &duplicate
}

// ClearLimits sets all limits to 0.
func ClearLimits(d *Docket) {
	d.limits = Limits{}
}
