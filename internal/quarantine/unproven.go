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
	// crashed, and aliveTime the time after which another response of it proves that it has not.
	proofTime = investigationTime
	aliveTime = 500 * time.Millisecond
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

// takeProven removes and returns the responses that were complete by now.
func (u *unprovenEnds) takeProven(now time.Time) []unprovenEnd {
	return u.take(func(end unprovenEnd) bool { return now.Sub(end.at) > proofTime })
}

// takeAlive removes and returns the responses that were complete because another response of the
// upstream has arrived.
func (u *unprovenEnds) takeAlive(now time.Time, lifetime Lifetime) []unprovenEnd {
	return u.take(func(end unprovenEnd) bool { return end.lifetime == lifetime && now.Sub(end.at) > aliveTime })
}

func (u *unprovenEnds) take(isProven func(unprovenEnd) bool) []unprovenEnd {
	var taken []unprovenEnd
	u.ends = slices.DeleteFunc(u.ends, func(end unprovenEnd) bool {
		proven := isProven(end)
		if proven {
			taken = append(taken, end)
		}
		return proven
	})
	return taken
}
