package backoffice

import "time"

// hasPlace reports whether an adapter of model can be loaded at e, perhaps after
// one that is not in use was unloaded.
func (o *orders) hasPlace(now time.Time, e *engine, model string) bool {
	if e.fitsAdapter(now, model) {
		return true
	}
	_, adapter := o.leastRecent(now, e)
	return adapter != "" && !e.report.Busy && !now.Before(e.adaptersFullUntil)
}

// leastRecent returns the adapter of e that was not asked for for the longest time and
// that no request under way uses, or nothing.
func (o *orders) leastRecent(now time.Time, e *engine) (model, adapter string) {
	var oldest time.Time
	for _, held := range e.report.Models {
		for _, name := range held.Adapters {
			at := e.wanted[held.Name+"/"+name]
			fresh := now.Sub(at) < keepAdapter || o.inUse(now, Adapter{Model: held.Name, Name: name})
			if fresh || adapter != "" && !at.Before(oldest) {
				continue
			}
			model, adapter, oldest = held.Name, name, at
		}
	}
	return model, adapter
}

// adapterUses is the adapters of the requests that are under way at one entry
// instance, as of at.
type adapterUses struct {
	at   time.Time
	open map[Adapter]bool
}

// inUse reports whether requests with an adapter are under way.
func (o *orders) inUse(now time.Time, adapter Adapter) bool {
	for _, uses := range o.uses {
		if uses.open[adapter] && now.Sub(uses.at) < usesKept {
			return true
		}
	}
	return false
}
