package quarantine

import (
	"slices"
	"time"
)

// Update is a command of the replicated log with the reports of one or more instances.
// Applying it more than once is safe.
type Update struct {
	// Now is the time at the instance that proposes the update.
	Now     time.Time `json:"now"`
	Reports []Report  `json:"reports,omitempty"`
	// Succeeded are requests that ended with a complete response.
	Succeeded []Digest `json:"succeeded,omitempty"`
	// Alive are upstreams that were reported as ended by mistake.
	Alive []Lifetime `json:"alive,omitempty"`
	// Lifted are requests that an operator has cleared.
	Lifted []Digest `json:"lifted,omitempty"`
}

// Empty reports whether the update contains nothing.
func (u Update) Empty() bool {
	return len(u.Reports)+len(u.Succeeded)+len(u.Alive)+len(u.Lifted) == 0
}

// HasParts reports whether a report names parts of prompts.
func (u Update) HasParts() bool {
	return slices.ContainsFunc(u.Reports, func(r Report) bool {
		return slices.ContainsFunc(r.Suspects, func(s Suspect) bool { return len(s.Parts) > 0 })
	})
}

// Newest returns the update with only the newest limit reports and the newest limit
// successes.
func (u Update) Newest(limit int) Update {
	u.Reports = u.Reports[max(0, len(u.Reports)-limit):]
	u.Succeeded = u.Succeeded[max(0, len(u.Succeeded)-limit):]
	return u
}

// With returns the update that contains both, with the later of their times.
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
