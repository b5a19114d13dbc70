package counter

import (
	"time"

	"github.com/lovagelift/lovagelift/internal/courier"
	"github.com/lovagelift/lovagelift/internal/resumption"
)

// target identifies the requested model and adapter of a service.
type target struct {
	service, model, adapter string
}

// boundTarget is the target of requests that resume streams of a software version.
type boundTarget struct {
	target
	version string
}

// demand counts requests by target between two reports to the control instances. It is not safe for
// concurrent use.
type demand struct {
	counts  map[target]*courier.Demand
	waiting map[target]int
	// bound counts the waiting requests that resume streams, which are not in waiting.
	bound map[boundTarget]int
	// active counts the requests with an adapter in flight.
	active map[target]int
}

func newDemand() *demand {
	return &demand{counts: map[target]*courier.Demand{}, waiting: map[target]int{}, bound: map[boundTarget]int{}, active: map[target]int{}}
}

func (d *demand) recordRequest(t target, prefill, decode time.Duration) {
	count := d.of(t)
	count.Requests++
	count.Reading += prefill
	count.Answering += decode
}

// addActive adds change to the number of requests in flight for an adapter.
func (d *demand) addActive(t target, change int) {
	if t.adapter != "" {
		addCount(d.active, t, change)
	}
}

// addWaiting adds change to the number of requests waiting for an engine that software allows.
func (d *demand) addWaiting(t target, software resumption.Constraint, change int) {
	if software.Bound {
		addCount(d.bound, boundTarget{t, software.SoftwareVersion}, change)
		return
	}
	addCount(d.waiting, t, change)
}

// addCount adds change to a count, and removes it when it is 0.
func addCount[K comparable](counts map[K]int, key K, change int) {
	counts[key] += change
	if counts[key] == 0 {
		delete(counts, key)
	}
}

// of returns the demand for a target, which it adds if there is none.
func (d *demand) of(t target) *courier.Demand {
	count := d.counts[t]
	if count == nil {
		count = &courier.Demand{Service: t.service, Model: t.model, Adapter: t.adapter}
		d.counts[t] = count
	}
	return count
}

// flush returns the demand since the last call, to which it adds the run times of models, and resets the
// counts. Requests that resume streams wait for an engine of their version if lacks reports that none holds
// their model, and otherwise like all others.
func (d *demand) flush(runTimes []courier.Demand, lacks func(t boundTarget) bool) []courier.Demand {
	for _, measured := range runTimes {
		d.of(target{service: measured.Service, model: measured.Model}).RunTime = measured.RunTime
	}
	for t, count := range d.waiting {
		d.of(t).Waiting = count
	}
	for t, count := range d.active {
		d.of(t).Open = count
	}
	var lacking []courier.Demand
	for t, count := range d.bound {
		if !lacks(t) {
			d.of(t.target).Waiting += count
			continue
		}
		lacking = append(lacking, courier.Demand{
			Service: t.service, Model: t.model, Adapter: t.adapter, Software: resumption.BoundTo(t.version), Waiting: count,
		})
	}
	flushed := make([]courier.Demand, 0, len(d.counts)+len(lacking))
	for _, count := range d.counts {
		flushed = append(flushed, *count)
	}
	clear(d.counts)
	// Control instances of the version before ignore the software version, and use the last entry of a target.
	return append(flushed, lacking...)
}
