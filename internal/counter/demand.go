package counter

import (
	"time"

	"github.com/lovagelift/lovagelift/internal/courier"
)

// target identifies the requested model and adapter of a service.
type target struct {
	service, model, adapter string
}

// demand counts requests by target between two reports to the control instances. It is not safe for
// concurrent use.
type demand struct {
	counts  map[target]*courier.Demand
	waiting map[target]int
	// active counts the requests with an adapter in flight.
	active map[target]int
}

func newDemand() *demand {
	return &demand{counts: map[target]*courier.Demand{}, waiting: map[target]int{}, active: map[target]int{}}
}

func (d *demand) recordRequest(target target, prefill, decode time.Duration) {
	count := d.counts[target]
	if count == nil {
		count = &courier.Demand{Service: target.service, Model: target.model, Adapter: target.adapter}
		d.counts[target] = count
	}
	count.Requests++
	count.Reading += prefill
	count.Answering += decode
}

// addActive adds change to the number of requests in flight for an adapter.
func (d *demand) addActive(target target, change int) {
	if target.adapter == "" {
		return
	}
	d.active[target] += change
	if d.active[target] == 0 {
		delete(d.active, target)
	}
}

// addWaiting adds change to the number of requests waiting for an engine.
func (d *demand) addWaiting(target target, change int) {
	d.waiting[target] += change
	if d.waiting[target] == 0 {
		delete(d.waiting, target)
	}
}

// flush returns the demand since the last call and resets the counts.
func (d *demand) flush() []courier.Demand {
	for _, counts := range []map[target]int{d.waiting, d.active} {
		for key := range counts {
			if d.counts[key] == nil {
				d.counts[key] = &courier.Demand{Service: key.service, Model: key.model, Adapter: key.adapter}
			}
		}
	}
	flushed := make([]courier.Demand, 0, len(d.counts))
	for key, count := range d.counts {
		count.Waiting = d.waiting[key]
		count.Open = d.active[key]
		flushed = append(flushed, *count)
	}
	clear(d.counts)
	return flushed
}
