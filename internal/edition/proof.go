package edition

import "time"

// Reading is the state of a replica's document, as the replica reports it.
type Reading struct {
	// Version is the version of the document.
	Version uint64
	// Confirmed reports that the replica has applied everything that was committed Age
	// ago. Knowing the leader is not enough: a replica that has just started may know it
	// before it has applied the committed log.
	Confirmed bool
	Age       time.Duration
}

// Proof shows how recent a copy of the document is. It is immutable. The zero value proves
// nothing; only With makes one that proves something.
type Proof struct {
	// asOf is a time up to which the copy includes everything that was committed, zero
	// if there is none. It never decreases.
	asOf time.Time
	// confirmedBy names the replica that confirmed asOf.
	confirmedBy string
}

// With returns the proof for a copy with version heldVersion, after the named replica
// responded with reading to a request that was sent at sentAt. The response may have been
// delayed, so the age of the reading is counted back from sentAt. If reading proves nothing
// newer, With returns p.
func (p Proof) With(sentAt time.Time, replica string, heldVersion uint64, reading Reading) Proof {
	asOf := sentAt.Add(-reading.Age)
	if !reading.Confirmed || heldVersion < reading.Version || !asOf.After(p.asOf) {
		return p
	}
	return Proof{asOf: asOf, confirmedBy: replica}
}

// Covers reports whether the copy includes everything that was committed by the given
// time.
func (p Proof) Covers(at time.Time) bool {
	return !p.asOf.IsZero() && !p.asOf.Before(at)
}

// Age returns the time since the copy was last proven to be current. If it never was, Age
// returns false.
func (p Proof) Age(now time.Time) (age time.Duration, ok bool) {
	return now.Sub(p.asOf), !p.asOf.IsZero()
}

// ConfirmedBy returns the name of the replica that confirmed the copy last, empty if none
// has.
func (p Proof) ConfirmedBy() string {
	return p.confirmedBy
}
