package backoffice

import "time"

// canLoadAdapter reports whether e can load an adapter of model, perhaps after it
// unloads one that is not in use. o.mu is held.
func (o *orchestrator) canLoadAdapter(now time.Time, e *engine, model string) bool {
	if e.fitsAdapter(now, model) {
		return true
	}
	return o.evictableAdapter(now, e).Name != "" && !e.report.Busy && !now.Before(e.adapterLoadsBlockedUntil)
}

// evictableAdapter returns the least recently requested adapter of e that may be
// unloaded: no request in flight uses it, and its last request was at least
// minAdapterResidence ago. It returns the zero Adapter if there is none. o.mu is held.
func (o *orchestrator) evictableAdapter(now time.Time, e *engine) Adapter {
	var chosen Adapter
	var oldest time.Time
	for _, held := range e.report.Models {
		for _, name := range held.Adapters {
			adapter := Adapter{Model: held.Name, Name: name}
			requestedAt := o.adapterRequestedAt[adapter]
			keep := now.Sub(requestedAt) < minAdapterResidence || o.adapterInUse(adapter)
			if keep || chosen.Name != "" && !requestedAt.Before(oldest) {
				continue
			}
			chosen, oldest = adapter, requestedAt
		}
	}
	return chosen
}

// adapterUses holds the adapters that the requests in flight of one entry instance use,
// as reported at reportedAt.
type adapterUses struct {
	reportedAt time.Time
	adapters   []Adapter
}

// setAdapterUses replaces the adapters in use at an entry instance. o.mu is held.
//
// It keeps a count of entry instances per adapter. With 86 entry instances and 140
// engines, a scan of all instances for each adapter of each engine would take more than
// half the time of a call for an adapter.
func (o *orchestrator) setAdapterUses(entry string, uses adapterUses) {
	o.dropAdapterUses(entry)
	o.usesByEntry[entry] = uses
	for _, adapter := range uses.adapters {
		o.adapterUsers[adapter]++
	}
}

// dropAdapterUses removes the adapters in use at an entry instance. o.mu is held.
func (o *orchestrator) dropAdapterUses(entry string) {
	for _, adapter := range o.usesByEntry[entry].adapters {
		o.adapterUsers[adapter]--
		if o.adapterUsers[adapter] == 0 {
			delete(o.adapterUsers, adapter)
		}
	}
	delete(o.usesByEntry, entry)
}

// adapterInUse reports whether requests in flight use an adapter. o.mu is held.
func (o *orchestrator) adapterInUse(adapter Adapter) bool {
	return o.adapterUsers[adapter] > 0
}

// expire removes the reports of entry instances that have fallen silent, and models and
// adapters that were not requested for demandTTL, or for as long as copies are kept for
// streams. Callers may name any model or adapter, so the maps would grow without bound.
// o.mu is held.
func (o *orchestrator) expire(now time.Time) {
	o.expireLimits(now)
	o.formerOrders.expire(now)
	for entry, uses := range o.usesByEntry {
		if now.Sub(uses.reportedAt) >= adapterUsesTTL {
			o.dropAdapterUses(entry)
		}
	}
	for adapter, at := range o.adapterRequestedAt {
		if now.Sub(at) >= demandTTL {
			delete(o.adapterRequestedAt, adapter)
		}
	}
	for key, demand := range o.demand {
		if now.Sub(demand.lastRequested) >= max(demandTTL, o.keptTimeouts[key.service]) && demand.totalWaiting(now) == 0 {
			delete(o.demand, key)
		}
	}
}
