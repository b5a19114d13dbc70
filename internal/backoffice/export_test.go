package backoffice

import "time"

// Engine is what is known of one engine.
type Engine struct {
	engine *engine
}

// NewEngine returns an engine of which nothing is known.
func NewEngine() Engine {
	return Engine{engine: &engine{wanted: map[string]time.Time{}}}
}

// Take takes in a report.
func (e Engine) Take(now time.Time, report Report) {
	e.engine.take(now, report)
}

// Go says that a model is to be unloaded.
func (e Engine) Go(model string) {
	e.engine.going = model
}

// Unload corrects what is known by an order to unload that was accepted.
func (e Engine) Unload(model string, expected uint64) {
	e.engine.going, e.engine.unloading = model, true
	e.engine.apply(Order{Kind: Unload, Model: model, Expected: expected})
}

// Told returns the models that others are told of.
func (e Engine) Told() []string {
	var names []string
	for _, model := range e.engine.told() {
		names = append(names, model.Name)
	}
	return names
}

// Load corrects what is known by an order to load that was accepted.
func (e Engine) Load(model string, expected uint64) {
	e.engine.apply(Order{Kind: Load, Model: model, Expected: expected})
}

// ReportDue reports whether the engine is asked again at now, one of so many.
func (e Engine) ReportDue(now time.Time, engines, changing int) bool {
	return now.Sub(e.engine.reported) >= e.engine.reportEvery(engines, changing)
}

// Waiting gives specs what is known of requests that wait for a model.
type Waiting struct {
	demand demandOf
}

// Tell notes that requests wait at an entry instance.
func (w *Waiting) Tell(now time.Time, entry string, count int) {
	w.demand.wait(now, entry, count)
}

// At returns how many requests wait.
func (w *Waiting) At(now time.Time) int {
	return w.demand.waitingAt(now)
}
