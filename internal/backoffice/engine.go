package backoffice

import (
	"slices"
	"time"

	"github.com/lovagelift/lovagelift/internal/courier"
	"github.com/lovagelift/lovagelift/internal/routes"
	"github.com/lovagelift/lovagelift/internal/upstreamapi"
)

// engine is what the instance that gives orders knows of one engine.
type engine struct {
	EngineAddress
	// incarnation is that of its announcements.
	incarnation uint64
	service     string
	spec        *routes.Engine
	leaving     bool
	// report is the newest one, corrected by the orders that were accepted since.
	// It is only good for orders if known is true.
	report   Report
	known    bool
	reported time.Time
	// asked is when a report was last asked for, zero if one is due at once.
	asked time.Time
	// asking is true while a report is under way, and ordering while an order is.
	asking   bool
	ordering bool
	// coming is a model that is being loaded, or empty, and comingAt when it will be there.
	coming   string
	comingAt time.Time
	// going is a model that is to be unloaded, or empty. Since goingSince nobody is
	// told that the engine holds it. unloading says that the engine has accepted the
	// order: until it is done, it refuses requests for the model, but lists it still.
	going      string
	goingSince time.Time
	// goingFor is the model for which going makes way.
	goingFor  string
	unloading bool
	// stale says that an order was refused or not answered: no other is given
	// before a report tells what the engine holds.
	stale bool
	// adaptersFullUntil is until when no adapter is loaded, since one that is being
	// unloaded still takes its place.
	adaptersFullUntil time.Time
	// news is closed when an order or a report of it has ended.
	news chan struct{}
	// late are orders whose answer is not known, the one under way included.
	late lateOrders
}

// newEngine returns an engine of which nothing is known but its announcement. before is
// the process that had its name until now, or nil: what that one held is gone, but what
// it was ordered may still arrive.
func newEngine(now time.Time, a upstreamapi.Announcement, service *routes.Service, before *engine) *engine {
	e := &engine{
		EngineAddress: EngineAddress{Name: a.Name, Address: a.Address},
		incarnation:   a.Incarnation,
		service:       service.Name, spec: service.Engine, news: make(chan struct{}),
	}
	if before != nil {
		e.late = before.late.handOn(now)
	}
	return e
}

// wake has those look again who wait for the end of an order or a report.
func (e *engine) wake() {
	close(e.news)
	e.news = make(chan struct{})
}

// sent, answered and unanswered note what becomes of the order under way.
func (e *engine) sent(now time.Time, order Order) {
	e.late.begin(now, order)
}

func (e *engine) answered() {
	e.late.end()
}

func (e *engine) unanswered() {
	e.late.keep()
}

// take takes in a report. One from before an accepted order says nothing new of
// what the engine holds.
func (e *engine) take(now time.Time, report Report) {
	e.reported, e.asked = now, now
	e.late.expire(now)
	if report.Incarnation != 0 && e.incarnation != 0 && report.Incarnation != e.incarnation {
		e.foreign(report)
		return
	}
	if e.known && report.Sequence < e.report.Sequence {
		e.report.Running, e.report.Queued, e.report.KVUsed = report.Running, report.Queued, report.KVUsed
		return
	}
	for _, coming := range report.Coming {
		report.Models = withAdapter(report.Models, coming)
	}
	if !report.Busy {
		e.coming = ""
	}
	if !report.Busy && e.unloading {
		e.going, e.unloading = "", false
	}
	e.report, e.known, e.stale = report, true, false
}

// doubt notes that what the engine holds is not known until its next report, which is due
// at once.
func (e *engine) doubt() {
	e.stale = true
	e.asked = time.Time{}
}

// foreign takes in a report of another process under the engine's name. An earlier one
// says nothing of the engine. A later one says that the engine is gone, with all that it
// held: nobody must send or order anything until the later one has announced itself.
func (e *engine) foreign(report Report) {
	if report.Incarnation < e.incarnation {
		return
	}
	e.report, e.known, e.stale = Report{}, false, true
	e.coming, e.going, e.unloading = "", "", false
}

// reserved returns the model for which another makes way now, or nothing.
func (e *engine) reserved() string {
	if e.going == "" {
		return ""
	}
	return e.goingFor
}

// changing reports whether an order is under way, or what became of one is not known.
func (e *engine) changing() bool {
	return e.report.Busy || e.coming != "" || e.unloading || e.stale
}

// reportEvery returns how often the engine is asked for its report, of so many of
// which some are changing.
func (e *engine) reportEvery(engines, changing int) time.Duration {
	if e.changing() {
		return max(busyReportEvery, time.Duration(changing)*reportShare)
	}
	return max(reportEvery, time.Duration(engines)*reportShare)
}

// withAdapter returns models with an adapter added to its model, if that is held.
func withAdapter(models []courier.HeldModel, adapter Adapter) []courier.HeldModel {
	models = slices.Clone(models)
	for i, held := range models {
		if held.Name == adapter.Model && !slices.Contains(held.Adapters, adapter.Name) {
			models[i].Adapters = append(slices.Clone(held.Adapters), adapter.Name)
		}
	}
	return models
}

// holds reports whether the engine can run model, with adapter unless it is
// empty, and is to do so for longer.
func (e *engine) holds(model, adapter string) bool {
	held := e.model(model)
	return held != nil && model != e.going && (adapter == "" || slices.Contains(held.Adapters, adapter))
}

func (e *engine) model(name string) *courier.HeldModel {
	for i := range e.report.Models {
		if e.report.Models[i].Name == name {
			return &e.report.Models[i]
		}
	}
	return nil
}

// told returns the models that others may send requests for.
func (e *engine) told() []courier.HeldModel {
	if e.going == "" {
		return e.report.Models
	}
	return slices.DeleteFunc(slices.Clone(e.report.Models), func(m courier.HeldModel) bool { return m.Name == e.going })
}

// adapters returns how many adapters the engine holds.
func (e *engine) adapters() int {
	count := 0
	for _, model := range e.report.Models {
		count += len(model.Adapters)
	}
	return count + e.late.adapters(e)
}

// megabytes returns the memory that weights and adapters take.
func (e *engine) megabytes() float64 {
	coming, _ := e.spec.Model(e.coming)
	total := coming.Megabytes
	for _, held := range e.report.Models {
		model, _ := e.spec.Model(held.Name)
		total += model.Megabytes + float64(len(held.Adapters))*model.AdapterMegabytes
	}
	return total + e.late.megabytes(e)
}

// fitsAdapter reports whether an adapter of model can be loaded now.
//
// An engine carries out one order at a time.
func (e *engine) fitsAdapter(now time.Time, model string) bool {
	spec, known := e.spec.Model(model)
	return known && !e.report.Busy && !now.Before(e.adaptersFullUntil) && e.adapters() < e.spec.AdapterSlots && e.megabytes()+spec.AdapterMegabytes <= e.spec.Megabytes
}

// apply corrects the report by an order that was accepted.
func (e *engine) apply(now time.Time, order Order) {
	e.report.Sequence = max(e.report.Sequence, order.Expected+1)
	held := e.model(order.Model)
	switch {
	case order.Adapter != "" && held != nil && order.Kind == Load:
		e.report.Models = withAdapter(e.report.Models, Adapter{Model: order.Model, Name: order.Adapter})
	case order.Adapter != "" && held != nil:
		held.Adapters = slices.DeleteFunc(slices.Clone(held.Adapters), func(a string) bool { return a == order.Adapter })
	case order.Adapter == "" && order.Kind == Unload:
		e.report.Models = slices.DeleteFunc(slices.Clone(e.report.Models), func(m courier.HeldModel) bool {
			return m.Name == order.Model
		})
	}
	if order.Adapter == "" {
		e.report.Busy = true
	}
	if order.Adapter == "" && order.Kind == Load {
		e.coming, e.comingAt = order.Model, now.Add(e.loadTime(order.Model))
	}
}

// loadTime returns how long the engine loads a model.
func (e *engine) loadTime(name string) time.Duration {
	model, _ := e.spec.Model(name)
	switch {
	case slices.Contains(e.report.InMemory, name):
		return model.WarmLoad
	case slices.Contains(e.report.OnDisk, name):
		return model.DiskLoad
	default:
		return model.Load
	}
}

// unloadTime is about how long it takes to unload a model: its requests end first.
const unloadTime = 1500 * time.Millisecond

// expected returns the model that the engine will hold next, and in what time.
func (e *engine) expected(now time.Time) (model string, in time.Duration) {
	switch {
	case e.coming != "":
		return e.coming, max(e.comingAt.Sub(now), busyReportEvery)
	case e.reserved() != "":
		gone := max(e.goingSince.Add(unloadNotice+unloadTime).Sub(now), busyReportEvery)
		return e.reserved(), gone + e.loadTime(e.reserved())
	default:
		return "", 0
	}
}
