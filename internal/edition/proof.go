package edition

import "time"

// Reading is what a replica tells of the document that it has.
type Reading struct {
	// Version is that of the document.
	Version uint64
	// Confirmed says that the replica has applied all that was committed Age ago. To know
	// who leads is no confirmation: a replica that has just started may know it before it
	// has applied what is committed.
	Confirmed bool
	Age       time.Duration
}

// Proof is how new a copy of the document is known to be. It is immutable. The zero value
// proves nothing; only With makes one that proves something.
type Proof struct {
	// asOf is a time such that the copy holds all that was committed then, zero if there is
	// none. It never goes back.
	asOf time.Time
	// voucher is who confirmed it.
	voucher string
}

// With returns the proof of a copy of which version is held, after a replica answered
// with reading to a question that was asked at a time. The answer may have been held up on
// its way, so that its age counts back from the question. If reading proves nothing newer,
// With returns p.
func (p Proof) With(asked time.Time, voucher string, held uint64, reading Reading) Proof {
	asOf := asked.Add(-reading.Age)
	if !reading.Confirmed || held < reading.Version || !asOf.After(p.asOf) {
		return p
	}
	return Proof{asOf: asOf, voucher: voucher}
}

// Covers reports whether the copy is known to hold all that was committed at a time.
func (p Proof) Covers(at time.Time) bool {
	return !p.asOf.IsZero() && !p.asOf.Before(at)
}

// Age returns how long ago the copy is known to have been the newest. If that was never
// known, Age returns false.
func (p Proof) Age(now time.Time) (age time.Duration, ok bool) {
	return now.Sub(p.asOf), !p.asOf.IsZero()
}

// Voucher returns who confirmed it last, empty if nobody has.
func (p Proof) Voucher() string {
	return p.voucher
}
