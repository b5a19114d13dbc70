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

func (d *demand) recordRequest(t target, prefill, decode time.Duration) {
	count := d.counts[t]
	if count == nil {
		count = &courier.Demand{Service: t.service, Model: t.model, Adapter: t.adapter}
		d.counts[t] = count
	}
	count.Requests++
	count.Reading += prefill
	count.Answering += decode
}

// addActive adds change to the number of requests in flight for an adapter.
func (d *demand) addActive(t target, change int) {
	if t.adapter == "" {
		return
	}
	d.active[t] += change
	if d.active[t] == 0 {
		delete(d.active, t)
	}
}

// addWaiting adds change to the number of requests waiting for an engine.
func (d *demand) addWaiting(t target, change int) {
	d.waiting[t] += change
	if d.waiting[t] == 0 {
		delete(d.waiting, t)
	}
}

// flush returns the demand since the last call, to which it adds the run times of models, and resets the
// counts.
func (d *demand) flush(runTimes []courier.Demand) []courier.Demand {
	for _, measured := range runTimes {
		t := target{service: measured.Service, model: measured.Model}
		if d.counts[t] == nil {
			d.counts[t] = &courier.Demand{Service: t.service, Model: t.model}
		}
		d.counts[t].RunTime = measured.RunTime
	}
	for _, counts := range []map[target]int{d.waiting, d.active} {
		for t := range counts {
			if d.counts[t] == nil {
				d.counts[t] = &courier.Demand{Service: t.service, Model: t.model, Adapter: t.adapter}
			}
		}
	}
	flushed := make([]courier.Demand, 0, len(d.counts))
	for t, count := range d.counts {
		count.Waiting = d.waiting[t]
		count.Open = d.active[t]
		flushed = append(flushed, *count)
	}
	clear(d.counts)
	return flushed
}
