package counter

import (
	"time"

	"github.com/lovagelift/lovagelift/internal/aging"
)

// agingOptions say when a model or an adapter that is asked for and not served gets a turn
// of its own: callers stay for some seconds, and come back a few times.
var agingOptions = aging.Options{After: 3 * time.Second, Forget: 10 * time.Second, Keys: 4096}

const (
	// favourEvery is how often the requests that wait are looked at for starved ones.
	favourEvery = 20 * time.Millisecond
	// favourAfter is how many requests of a model get an upstream in their order between
	// two that are favoured, so that the urgent ones keep three of four.
	favourAfter = 3
	// favourQueue is the part of an engine's slots by which it may be overfilled with
	// requests that are favoured: engines queue a few.
	favourQueue = 8
)

// favour marks, of the requests for each model, the one whose model or adapter has starved
// for longest, if it is the model's turn to serve one. It goes before all others, and also to
// an engine without room: whoever places the requests that end there hears of it first, and
// would fill the engine again and again.
func (q *queue) favour(now time.Time) {
	if now.Sub(q.favouredAt) < favourEvery {
		return
	}
	q.favouredAt = now
	longest := map[modelKey]time.Duration{}
	chosen := map[modelKey]*waiter{}
	for _, w := range q.waiters {
		w.favoured = false
		since, starves := q.ages.Starved(now, w.need.demandKey)
		if !starves || w.missing == lackModel || w.missing == lackAdapter {
			continue
		}
		if key := w.need.modelKey(); since > longest[key] && q.isFavourDue(now, key) {
			longest[key], chosen[key] = since, w
		}
	}
	for _, w := range chosen {
		w.favoured = true
	}
}

// isFavourDue reports whether a request of a model may be favoured.
func (q *queue) isFavourDue(now time.Time, key modelKey) bool {
	return q.unfavoured[key] >= favourAfter || q.rate(now, key) == 0
}

// countFavour counts a request that got an upstream.
func (q *queue) countFavour(w *waiter) {
	key := w.need.modelKey()
	q.ages.Served(w.need.demandKey)
	if w.favoured {
		delete(q.unfavoured, key)
		return
	}
	q.unfavoured[key]++
}

// isFirstStarved reports whether a request is the only one that waits for a model or an
// adapter that starves. It is not rejected for those before it: rejections are all that
// such callers would ever see.
func (q *queue) isFirstStarved(now time.Time, w *waiter) bool {
	if _, starves := q.ages.Starved(now, w.need.demandKey); !starves {
		return false
	}
	for _, other := range q.waiters {
		if other != w && other.need.demandKey == w.need.demandKey {
			return false
		}
	}
	return true
}
