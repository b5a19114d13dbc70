package quarantine

import (
	"slices"
	"time"
)

// unprovenEnds are the responses that ended with their connection, which looks the same whether
// they are complete or the upstream crashed. The zero value is empty.
type unprovenEnds struct {
	ends []unprovenEnd
}

type unprovenEnd struct {
	at       time.Time
	lifetime Lifetime
	digest   Digest
	parts    []Digest
}

const (
	// proofTime is the time after which the upstream of such a response would be known to have
	// crashed.
	proofTime = investigationTime
	// maxUnproven bounds the responses that are kept.
	maxUnproven = 1024
)

func (u *unprovenEnds) add(end unprovenEnd) {
	if len(u.ends) < maxUnproven {
		u.ends = append(u.ends, end)
	}
}

// drop removes the responses of an upstream that has crashed.
func (u *unprovenEnds) drop(lifetime Lifetime) {
	u.ends = slices.DeleteFunc(u.ends, func(end unprovenEnd) bool { return end.lifetime == lifetime })
}

// takeProven removes and returns the responses that were complete.
func (u *unprovenEnds) takeProven(now time.Time) []unprovenEnd {
	proven := 0
	for proven < len(u.ends) && now.Sub(u.ends[proven].at) > proofTime {
		proven++
	}
	taken := slices.Clone(u.ends[:proven])
	u.ends = slices.Delete(u.ends, 0, proven)
	return taken
}
