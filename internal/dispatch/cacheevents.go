package dispatch

import (
	"strconv"
	"time"

	"github.com/lovagelift/lovagelift/internal/upstreamapi"
)

const blockNameBase = 36

// BlockName returns the name of a block, as used in upstreamapi.PrefixHeader.
func BlockName(hash uint64) string {
	return strconv.FormatUint(hash, blockNameBase)
}

// ApplyCacheEvents applies a batch of cache events of an engine and reports whether it did. It
// ignores a batch of another incarnation, and one that overlaps the previous batch. After
// a gap, the known contents of the cache count for less until the cache has turned over,
// because the lost events may have evicted any of them.
func (d *Dispatcher) ApplyCacheEvents(now time.Time, batch upstreamapi.CacheEvents) bool {
	u := d.upstreams[batch.Name]
	if u == nil || u.view.Incarnation != batch.Incarnation || batch.First < u.nextCacheEvent {
		return false
	}
	if u.nextCacheEvent > 0 && batch.First > u.nextCacheEvent {
		u.cacheGapUntil = now.Add(gapPenaltyTime)
	}
	u.nextCacheEvent = batch.Next()
	for i := range batch.Events {
		d.applyCacheEvent(u, &batch.Events[i])
	}
	return true
}

func (d *Dispatcher) applyCacheEvent(u *upstream, event *upstreamapi.CacheEvent) {
	if event.Kind == upstreamapi.CacheCleared {
		// A new id invalidates all entries of the prefix index for the old one.
		delete(d.byID, u.id)
		d.lastID++
		u.id = d.lastID
		d.byID[u.id] = u
		return
	}
	hash, err := strconv.ParseUint(event.Prefix, blockNameBase, 64)
	if err != nil {
		// The name doesn't come from BlockName, so the event refers to no known block.
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

// cacheConfidence returns the expected share of a known prefix that u still holds.
func (u *upstream) cacheConfidence(now time.Time) float64 {
	if now.Before(u.cacheGapUntil) {
		return gapCacheConfidence
	}
	return cacheConfidence
}
