package docket

import "math"

// SetMaxClock sets the clock to its maximum value.
func SetMaxClock(d *Store) {
	d.clock = math.MaxInt64
}

// SetFutureChange sets the last change of the last record to the future.
func SetFutureChange(d *Store) {
	d.byLastChange.last.changedAt = d.clock + 1
}

// DuplicateLastRecord adds a second record with the key of the last one.
func DuplicateLastRecord(d *Store) {
	last := d.byLastChange.last
	duplicate := *last
	d.byLastChange.pushBack(&duplicate)
	d.records[Key{}] = &duplicate
}

// ClearLimits sets all limits to 0.
func ClearLimits(d *Store) {
	d.limits = Limits{}
}
