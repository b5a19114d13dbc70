package backoffice

import "time"

// hasPlace reports whether an adapter of model can be loaded at e, perhaps after
// one that is not in use was unloaded.
func (o *orders) hasPlace(now time.Time, e *engine, model string) bool {
	if e.fitsAdapter(now, model) {
		return true
	}
	return o.leastRecent(now, e).Name != "" && !e.report.Busy && !now.Before(e.adaptersFullUntil)
}

// leastRecent returns the adapter of e that was not asked for for the longest time and
// that no request under way uses, or nothing.
func (o *orders) leastRecent(now time.Time, e *engine) Adapter {
	var chosen Adapter
	var oldest time.Time
	for _, held := range e.report.Models {
		for _, name := range held.Adapters {
			adapter := Adapter{Model: held.Name, Name: name}
			at := o.asked[adapter]
			fresh := now.Sub(at) < keepAdapter || o.inUse(adapter)
			if fresh || chosen.Name != "" && !at.Before(oldest) {
				continue
			}
			chosen, oldest = adapter, at
		}
	}
	return chosen
}

// adapterUses is the adapters of the requests that are under way at one entry
// instance, as of at.
type adapterUses struct {
	at   time.Time
	open []Adapter
}

// setUses notes the adapters of the requests that are under way at an entry instance.
//
// How many instances use an adapter is counted as they tell: looking at each instance for
// each adapter of each engine took 49 of the 87 us of a call for an adapter (profile with
// 86 instances and 140 engines).
func (o *orders) setUses(entry string, uses adapterUses) {
	o.dropUses(entry)
	o.uses[entry] = uses
	for _, adapter := range uses.open {
		o.users[adapter]++
	}
}

// dropUses forgets the requests that are under way at an entry instance.
func (o *orders) dropUses(entry string) {
	for _, adapter := range o.uses[entry].open {
		o.users[adapter]--
		if o.users[adapter] == 0 {
			delete(o.users, adapter)
		}
	}
	delete(o.uses, entry)
}

// inUse reports whether requests with an adapter are under way.
func (o *orders) inUse(adapter Adapter) bool {
	return o.users[adapter] > 0
}

// expire forgets what instances told that are not heard of any more, and models and
// adapters that nobody has asked for in a while: callers may name any.
func (o *orders) expire(now time.Time) {
	o.expireLimits(now)
	for entry, uses := range o.uses {
		if now.Sub(uses.at) >= usesKept {
			o.dropUses(entry)
		}
	}
	for adapter, at := range o.asked {
		if now.Sub(at) >= askedKept {
			delete(o.asked, adapter)
		}
	}
	for key, asked := range o.demand {
		if now.Sub(asked.last) >= askedKept && asked.waitingAt(now) == 0 {
			delete(o.demand, key)
		}
	}
}
