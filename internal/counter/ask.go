package counter

import (
	"cmp"
	"time"

	"github.com/lovagelift/lovagelift/internal/edition"
	"github.com/lovagelift/lovagelift/internal/rendezvous"
)

// pauseAmong returns how long so many entry instances pause between questions, so that
// they leave the one that all of them ask its time.
func pauseAmong(entries int) time.Duration {
	return min(max(syncEvery, time.Duration(entries)*syncShare), syncMost)
}

// crowded reports whether so many entry instances are too many for one control instance to
// answer as often as each likes to ask.
func crowded(entries int) bool {
	return time.Duration(entries)*syncShare > syncEvery
}

// ask chooses whom to ask next, by what the instance that was asked told last. A few
// entry instances ask the leader, who knows first what engines hold. Many would take the
// time that it needs to lead: they share the others, who ask the leader themselves. They
// ask in their own failure domain if they can, since bytes between domains are paid for.
func (l *links) ask(now time.Time, self string) string {
	if !crowded(l.entries) {
		if l.unreachable(now, l.leader) {
			return l.asked
		}
		return l.leader
	}
	return cmp.Or(l.share(now, self, l.near), l.share(now, self, l.alive), l.asked)
}

// unreachable reports whether a control instance did not answer a moment ago.
func (l *links) unreachable(now time.Time, address string) bool {
	return address == l.failed && now.Sub(l.failedAt) < avoidLeader
}

// laggardTime is how long a control instance is asked that does not prove the routes: after
// the loss of all of them, each needs its time to catch up.
const laggardTime = time.Second

// answered takes in what the asked instance proved of the routes, and chooses whom to ask
// next. One that lags behind the others for long is passed over.
func (l *links) answered(now time.Time, self string, reading edition.Reading, within time.Duration) string {
	next := l.ask(now, self)
	if next != l.asked || reading.Confirmed && reading.Age < within {
		l.laggingSince = time.Time{}
		return next
	}
	if l.laggingSince.IsZero() {
		l.laggingSince = now
	}
	if now.Sub(l.laggingSince) < laggardTime {
		return l.asked
	}
	l.laggingSince = time.Time{}
	l.failed, l.failedAt = l.asked, now
	return l.another()
}

// another returns the control instance after the one that was asked last.
func (l *links) another() string {
	l.next++
	return l.controls[l.next%len(l.controls)]
}

// share returns which of some control instances this entry instance asks, or nothing. Each is
// asked by about as many.
func (l *links) share(now time.Time, self string, among []string) string {
	chosen := ""
	var highest uint64
	key := rendezvous.Hash(self)
	for _, address := range among {
		if address == l.leader || l.unreachable(now, address) {
			continue
		}
		if score := rendezvous.Score(key, rendezvous.Hash(address)); score >= highest {
			chosen, highest = address, score
		}
	}
	return chosen
}

// pause returns the time between two questions to the one that is asked.
func (l *links) pause() time.Duration {
	others := len(l.alive) - 1
	if crowded(l.entries) && l.asked != l.leader && others > 0 {
		return pauseAmong((l.entries + others - 1) / others)
	}
	return pauseAmong(l.entries)
}
