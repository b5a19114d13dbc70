package counter

import (
	"cmp"
	"time"

	"github.com/lovagelift/lovagelift/internal/edition"
	"github.com/lovagelift/lovagelift/internal/rendezvous"
)

// syncIntervalFor returns the sync interval at which the given number of entry instances do not
// overload the control instance they share. The reply to a sync grows with the upstreams.
func syncIntervalFor(entries, upstreams int) time.Duration {
	spacing := max(minSyncSpacing, time.Duration(upstreams)*syncSpacingPerUpstream)
	return min(max(minSyncInterval, time.Duration(entries)*spacing), maxSyncInterval)
}

// tooManyForOne reports whether one control instance cannot serve this many entry instances at
// minSyncInterval.
func tooManyForOne(entries int) bool {
	return time.Duration(entries)*minSyncSpacing > minSyncInterval
}

// chooseControl returns the control instance for the next sync, based on the latest reply. A few
// entry instances call the leader, which is the first to know the engines' state. Many would take
// the CPU time that it needs to lead, so they are distributed over the other control instances,
// which in turn call the leader. Control instances in the same failure domain are preferred,
// because traffic between domains is charged for.
func (l *controlLinks) chooseControl(now time.Time, self string) string {
	if !tooManyForOne(l.entryInstances) {
		if l.recentlyFailed(now, l.leader) {
			return l.current
		}
		return l.leader
	}
	return cmp.Or(l.assignedControl(now, self, l.nearby), l.assignedControl(now, self, l.alive), l.current)
}

// recentlyFailed reports whether a control instance recently failed to answer.
func (l *controlLinks) recentlyFailed(now time.Time, address string) bool {
	return address == l.lastFailed && now.Sub(l.failedAt) < failedControlAvoidance
}

// maxLagTime is how long a control instance that does not confirm the routes is still called. After
// an outage of all control instances, each needs time to catch up.
const maxLagTime = time.Second

// afterReply evaluates how fresh the routes are that the current control instance confirmed, and
// returns the one for the next sync. One that lags for longer than maxLagTime is replaced.
func (l *controlLinks) afterReply(now time.Time, self string, reading edition.Reading, maxAge time.Duration) string {
	next := l.chooseControl(now, self)
	if next != l.current || reading.Confirmed && reading.Age < maxAge {
		l.laggingSince = time.Time{}
		return next
	}
	if l.laggingSince.IsZero() {
		l.laggingSince = now
	}
	if now.Sub(l.laggingSince) < maxLagTime {
		return l.current
	}
	l.laggingSince = time.Time{}
	l.lastFailed, l.failedAt = l.current, now
	return l.nextControl()
}

// nextControl returns the next known control instance, in round-robin order.
func (l *controlLinks) nextControl() string {
	l.nextIndex++
	return l.known[l.nextIndex%len(l.known)]
}

// assignedControl returns the candidate to which rendezvous hashing assigns this entry instance,
// empty if there is none. Each candidate is assigned about the same number of entry instances.
func (l *controlLinks) assignedControl(now time.Time, self string, candidates []string) string {
	chosen := ""
	var highest uint64
	key := rendezvous.Hash(self)
	for _, address := range candidates {
		if address == l.leader || l.recentlyFailed(now, address) {
			continue
		}
		if score := rendezvous.Score(key, rendezvous.Hash(address)); score >= highest {
			chosen, highest = address, score
		}
	}
	return chosen
}

// syncDelay returns the time between two syncs with the current control instance, if the given
// number of upstreams is known.
func (l *controlLinks) syncDelay(upstreams int) time.Duration {
	others := len(l.alive) - 1
	if tooManyForOne(l.entryInstances) && l.current != l.leader && others > 0 {
		return syncIntervalFor((l.entryInstances+others-1)/others, upstreams)
	}
	return syncIntervalFor(l.entryInstances, upstreams)
}
