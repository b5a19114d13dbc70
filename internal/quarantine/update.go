package quarantine

import (
	"slices"
	"time"
)

// Update is what instances report, as one command of the replicated log. It may be
// carried out more than once.
type Update struct {
	// Now is the time at the instance that proposes it.
	Now     time.Time `json:"now"`
	Reports []Report  `json:"reports,omitempty"`
	// Succeeded are requests that ended with a whole answer.
	Succeeded []Digest `json:"succeeded,omitempty"`
	// Alive are upstreams that had not ended after all.
	Alive []Lifetime `json:"alive,omitempty"`
	// Lifted are requests that an operator clears.
	Lifted []Digest `json:"lifted,omitempty"`
}

// Empty reports whether the update changes nothing.
func (u Update) Empty() bool {
	return len(u.Reports)+len(u.Succeeded)+len(u.Alive)+len(u.Lifted) == 0
}

// Newest returns the update with no more than limit of each kind, the newest.
func (u Update) Newest(limit int) Update {
	u.Reports = u.Reports[max(0, len(u.Reports)-limit):]
	u.Succeeded = u.Succeeded[max(0, len(u.Succeeded)-limit):]
	return u
}

// With returns the update that says what both say, as of the later of their times.
func (u Update) With(other Update) Update {
	now := u.Now
	if other.Now.After(now) {
		now = other.Now
	}
	return Update{
		Now:       now,
		Reports:   slices.Concat(u.Reports, other.Reports),
		Succeeded: slices.Concat(u.Succeeded, other.Succeeded),
		Alive:     slices.Concat(u.Alive, other.Alive),
		Lifted:    slices.Concat(u.Lifted, other.Lifted),
	}
}
