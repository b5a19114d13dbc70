package dispatch

import (
	"strconv"
	"time"

	"github.com/lovagelift/lovagelift/internal/upstreamapi"
)

const nameBase = 36

// BlockName returns the name of a block for upstreamapi.PrefixHeader.
func BlockName(hash uint64) string {
	return strconv.FormatUint(hash, nameBase)
}

// Cached takes in a batch of an engine's cache events and reports whether it was
// used. A batch of another incarnation, or one that begins before the last one
// ended, is ignored. After a gap, what is known of the engine's cache counts for
// less until the cache has turned over: the lost events may have said that it
// dropped any of it.
func (d *Dispatcher) Cached(now time.Time, batch upstreamapi.CacheEvents) bool {
	u := d.upstreams[batch.Name]
	if u == nil || u.view.Incarnation != batch.Incarnation || batch.First < u.nextEvent {
		return false
	}
	if u.nextEvent > 0 && batch.First > u.nextEvent {
		u.doubtUntil = now.Add(doubtFor)
	}
	u.nextEvent = batch.Next()
	for i := range batch.Events {
		d.cacheEvent(u, &batch.Events[i])
	}
	return true
}

func (d *Dispatcher) cacheEvent(u *upstream, event *upstreamapi.CacheEvent) {
	if event.Kind == upstreamapi.CacheCleared {
		// Under a new id, nothing that is noted for the old one counts.
		delete(d.byID, u.id)
		d.lastID++
		u.id = d.lastID
		d.byID[u.id] = u
		return
	}
	hash, err := strconv.ParseUint(event.Prefix, nameBase, 64)
	if err != nil {
		// Not a name that an instance gave: it tells nothing of any block.
		return
	}
	switch event.Kind {
	case upstreamapi.CacheStored:
		d.prefixes.add(hash, u.id)
	case upstreamapi.CacheEvicted:
		d.prefixes.remove(hash, u.id)
	case upstreamapi.CacheCleared:
	}
}

// trust returns the expected part of a known prefix that u still holds.
func (u *upstream) trust(now time.Time) float64 {
	if now.Before(u.doubtUntil) {
		return doubtTrust
	}
	return cacheTrust
}
