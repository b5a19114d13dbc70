package counter

import (
	"github.com/lovagelift/lovagelift/internal/courier"
)

// demandKey names what is asked for.
type demandKey struct {
	service, model, adapter string
}

// demand counts what callers asked for since it was last told. It is not safe
// for concurrent use.
type demand struct {
	counts  map[demandKey]*courier.Demand
	waiting map[demandKey]int
}

func newDemand() *demand {
	return &demand{counts: map[demandKey]*courier.Demand{}, waiting: map[demandKey]int{}}
}

// add counts one request.
func (d *demand) add(key demandKey, promptTokens, answerTokens int) {
	count := d.counts[key]
	if count == nil {
		count = &courier.Demand{Service: key.service, Model: key.model, Adapter: key.adapter}
		d.counts[key] = count
	}
	count.Requests++
	count.PromptTokens += promptTokens
	count.AnswerTokens += answerTokens
}

// wait notes that change more requests wait for an engine.
func (d *demand) wait(key demandKey, change int) {
	d.waiting[key] += change
	if d.waiting[key] == 0 {
		delete(d.waiting, key)
	}
}

// take returns what was counted, and begins anew.
func (d *demand) take() []courier.Demand {
	for key := range d.waiting {
		if d.counts[key] == nil {
			d.counts[key] = &courier.Demand{Service: key.service, Model: key.model, Adapter: key.adapter}
		}
	}
	taken := make([]courier.Demand, 0, len(d.counts))
	for key, count := range d.counts {
		count.Waiting = d.waiting[key]
		taken = append(taken, *count)
	}
	clear(d.counts)
	return taken
}
