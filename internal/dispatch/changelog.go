package dispatch

import "time"

const maxLoadChanges = 256

// loadChange is a change of an upstream's load through a request of this instance.
type loadChange struct {
	at time.Time
	// requests and promptTokens are negative for a decrease.
	requests     int32
	promptTokens int32
}

// changeLog holds the load changes at one upstream since the time of its last load report.
// The report plus these changes is this instance's best estimate of the current load.
//
// A changeLog is bounded: when full, it merges the two oldest changes into one at the later
// time. The only effect is that the older one may be dropped too late.
type changeLog struct {
	// ring is a ring buffer in time order.
	ring  []loadChange
	first int
	size  int
	// requests and promptTokens are the sums over all changes.
	requests     int
	promptTokens int
}

func (l *changeLog) at(i int) *loadChange {
	return &l.ring[(l.first+i)%len(l.ring)]
}

func (l *changeLog) add(change loadChange) {
	if l.size == len(l.ring) {
		l.growOrMerge()
	}
	l.size++
	*l.at(l.size - 1) = change
	l.requests += int(change.requests)
	l.promptTokens += int(change.promptTokens)
}

func (l *changeLog) growOrMerge() {
	if len(l.ring) < maxLoadChanges {
		larger := make([]loadChange, max(8, 2*len(l.ring)))
		for i := range l.size {
			larger[i] = *l.at(i)
		}
		l.ring, l.first = larger, 0
		return
	}
	oldest, second := l.at(0), l.at(1)
	second.requests += oldest.requests
	second.promptTokens += oldest.promptTokens
	l.first = (l.first + 1) % len(l.ring)
	l.size--
}

// dropUntil drops the changes up to loadAt, which a report of that time includes.
func (l *changeLog) dropUntil(loadAt time.Time) {
	for l.size > 0 && !l.at(0).at.After(loadAt) {
		oldest := l.at(0)
		l.requests -= int(oldest.requests)
		l.promptTokens -= int(oldest.promptTokens)
		l.first = (l.first + 1) % len(l.ring)
		l.size--
	}
}
