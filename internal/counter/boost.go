package counter

import (
	"time"

	"github.com/lovagelift/lovagelift/internal/aging"
)

// starvationOptions define when a model or adapter that is requested but not served gets a boost.
// Callers wait for some seconds and retry a few times.
var starvationOptions = aging.Options{StarvedAfter: 3 * time.Second, ForgetAfter: 10 * time.Second, MaxKeys: 4096}

const (
	// boostInterval is the time between two checks for starved requests.
	boostInterval = 20 * time.Millisecond
	// grantsPerBoost is the number of regular grants of a model between two boosted ones. Urgent
	// requests keep three of four grants.
	grantsPerBoost = 3
	// boostOverfillDivisor sets the part of an engine's slots, 1/boostOverfillDivisor, by which
	// boosted requests may exceed them. Engines queue a few requests.
	boostOverfillDivisor = 8
)

// boostStarved marks, for each model that is due for a boost, the waiting request whose model or
// adapter has starved longest. A boosted request goes before all others and may go to an engine
// without free capacity: the owner of the engine's other requests learns first when one ends, and
// would fill the engine again each time.
func (q *queue) boostStarved(now time.Time) {
	if now.Sub(q.lastBoostCheck) < boostInterval {
		return
	}
	q.lastBoostCheck = now
	longest := map[modelKey]time.Duration{}
	chosen := map[modelKey]*waiter{}
	for _, w := range q.waiters {
		w.boosted = false
		starvedFor, starved := q.starvation.Starved(now, w.requirements.target)
		if !starved || w.missing == missingModel || w.missing == missingAdapter || !w.requirements.mayBeBoosted(now) {
			continue
		}
		if key := w.requirements.modelKey(); starvedFor > longest[key] && q.isBoostDue(now, key) {
			longest[key], chosen[key] = starvedFor, w
		}
	}
	for _, w := range chosen {
		w.boosted = true
	}
}

// isBoostDue reports whether a request of a model may be boosted.
func (q *queue) isBoostDue(now time.Time, key modelKey) bool {
	return q.grantsSinceBoost[key] >= grantsPerBoost || q.grantRate(now, key) == 0
}

// recordBoost updates starvation and the boost counter after a grant.
func (q *queue) recordBoost(w *waiter) {
	key := w.requirements.modelKey()
	q.starvation.Served(w.requirements.target)
	if w.boosted {
		delete(q.grantsSinceBoost, key)
		return
	}
	q.grantsSinceBoost[key]++
}

// isOnlyStarved reports whether a request is the only one waiting for a starved model or adapter.
// It is not rejected because of the requests before it, otherwise its callers would never be
// served.
func (q *queue) isOnlyStarved(now time.Time, w *waiter) bool {
	if _, starved := q.starvation.Starved(now, w.requirements.target); !starved {
		return false
	}
	for _, other := range q.waiters {
		if other != w && other.requirements.target == w.requirements.target && !other.lacksHolder() {
			return false
		}
	}
	return true
}
