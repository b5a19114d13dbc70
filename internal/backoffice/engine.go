package backoffice

import (
	"cmp"
	"slices"
	"time"

	"github.com/lovagelift/lovagelift/internal/courier"
	"github.com/lovagelift/lovagelift/internal/routes"
	"github.com/lovagelift/lovagelift/internal/upstreamapi"
)

// engine is the leader's view of one engine.
type engine struct {
	EngineAddress
	// incarnation is the one in the engine's announcement.
	incarnation uint64
	// softwareVersion is the one in the announcement.
	softwareVersion string
	service         string
	spec            *routes.Engine
	// leaving is set if the engine is leaving by the roster, and statedLeave once a report has
	// said so, which may be earlier.
	leaving     bool
	statedLeave bool
	// report is the newest one, updated by the orders that the engine accepted after it.
	// It is valid only if hasReport is set.
	report     Report
	hasReport  bool
	reportedAt time.Time
	// reportRequestedAt is the time of the last attempt to fetch a report, zero if a
	// report is due at once.
	reportRequestedAt time.Time
	// reportPending is set while a report is being fetched, and orderPending while an
	// order is being sent.
	reportPending bool
	orderPending  bool
	// loading is the model that is being loaded, or empty. loadDoneAt is the estimated
	// end of the load.
	loading    string
	loadDoneAt time.Time
	// ordered is the model of a load whose order is pending or may be carried out without a known answer,
	// or empty.
	ordered string
	// withdrawn is the model that is to be unloaded, or empty. Since withdrawnAt it is no
	// longer advertised as held. unloading is set once the engine has accepted the order:
	// it then refuses requests for the model, but lists it until the unload is done.
	withdrawn   string
	withdrawnAt time.Time
	// replacement is the model for which withdrawn is unloaded.
	replacement string
	unloading   bool
	// stale is set after an order was refused or not answered. No other order is sent
	// before a new report arrives.
	stale bool
	// adapterLoadsBlockedUntil is the time before which no adapter is loaded, because an
	// adapter that is being unloaded still occupies its slot.
	adapterLoadsBlockedUntil time.Time
	// updated is closed and replaced when an order or a report of the engine completes.
	updated chan struct{}
	// unconfirmed holds the orders without a known answer, including the pending one.
	unconfirmed unconfirmedOrders
}

// newEngine returns the state of an engine of which only the announcement is known.
// unconfirmed are the orders to the previous process under the same name: the models that
// it held are gone, but these may still arrive.
func newEngine(a upstreamapi.Announcement, service *routes.Service, unconfirmed unconfirmedOrders) *engine {
	return &engine{
		EngineAddress: EngineAddress{Name: a.Name, Address: a.Address},
		incarnation:   a.Incarnation, softwareVersion: a.SoftwareVersion,
		service: service.Name, spec: service.Engine, updated: make(chan struct{}), unconfirmed: unconfirmed,
	}
}

// isLeaving reports whether the engine is known to be leaving.
func (e *engine) isLeaving() bool {
	return e.leaving || e.statedLeave
}

// notifyWaiters wakes the goroutines that wait for an order or a report to complete.
func (e *engine) notifyWaiters() {
	close(e.updated)
	e.updated = make(chan struct{})
}

// beginOrder returns order as it is to be sent, and marks it as pending.
//
// The order is valid only in the state for which it was decided. While it waits for the
// lease, a report may show that an unanswered order was carried out after all and took the
// memory that this one needs; the engine must then refuse it.
func (e *engine) beginOrder(order Order) Order {
	e.orderPending = true
	if order.Kind == Load && order.Adapter == "" {
		e.ordered = order.Model
	}
	order.ExpectedSequence = e.report.Sequence
	return order
}

// completeOrder updates e by the result of the pending order.
func (e *engine) completeOrder(now time.Time, order Order, result orderResult) {
	e.orderPending = false
	if result != (orderUnanswered{}) {
		e.ordered = ""
	}
	if order.Adapter == "" && order.Kind == Unload {
		e.unloading = result == orderAnswered{Accepted}
		if !e.unloading {
			e.withdrawn = ""
		}
	}
	switch r := result.(type) {
	case orderUnanswered:
		// The engine may still carry out the order. ExpectedSequence, the number of accepted
		// orders, prevents this order and a later one from both taking the same memory.
		e.unconfirmed.markUnanswered()
		e.markStale()
	case orderNotSent:
		e.markStale()
	case orderAnswered:
		e.unconfirmed.confirm()
		if !r.answer.carriesOut() {
			e.markStale()
			return
		}
		e.applyOrder(now, order)
		if order.Kind == Unload && order.Adapter != "" && r.answer == Accepted {
			e.adapterLoadsBlockedUntil = now.Add(adapterUnloadTime)
		}
	}
}

// isOrderable reports whether the engine may be ordered to load or unload a model: its state
// is known, and it carries out no other order.
func (e *engine) isOrderable() bool {
	return e.hasReport && !e.orderPending && !e.stale && !e.report.Busy && e.withdrawn == ""
}

// applyReport stores a report. Of a report that is older than an accepted order, only
// the load figures are used.
func (e *engine) applyReport(now time.Time, report Report) {
	e.reportedAt, e.reportRequestedAt = now, now
	e.unconfirmed.expire(now)
	if report.Incarnation != 0 && e.incarnation != 0 && report.Incarnation != e.incarnation {
		e.applyForeignReport(report)
		return
	}
	e.statedLeave = e.statedLeave || report.Leaving
	if e.hasReport && report.Sequence < e.report.Sequence {
		e.report.Running, e.report.Queued, e.report.KVUsed = report.Running, report.Queued, report.KVUsed
		return
	}
	for _, adapter := range report.LoadingAdapters {
		report.Models = withAdapter(report.Models, adapter)
	}
	if !report.Busy {
		e.loading = ""
	}
	if !report.Busy && !e.orderPending {
		e.ordered = ""
	}
	if !report.Busy && e.unloading {
		e.withdrawn, e.unloading = "", false
	}
	e.report, e.hasReport, e.stale = report, true, false
}

// markStale records that the state of the engine is uncertain until its next report,
// and makes that report due at once.
func (e *engine) markStale() {
	e.stale = true
	e.reportRequestedAt = time.Time{}
}

// applyForeignReport handles a report of another process under the engine's name. A
// report of an earlier process is ignored. One of a later process means that the engine
// is gone with everything that it held: it gets no requests or orders until the later
// process has announced itself.
func (e *engine) applyForeignReport(report Report) {
	if report.Incarnation < e.incarnation {
		return
	}
	e.report, e.hasReport, e.stale = Report{}, false, true
	e.loading, e.ordered, e.withdrawn, e.unloading = "", "", "", false
}

// reservedFor returns the model for which another one is being unloaded, or an empty
// string.
func (e *engine) reservedFor() string {
	if e.withdrawn == "" {
		return ""
	}
	return e.replacement
}

// expectedModel returns the model that the engine will hold next, as far as orders and the model that makes
// room tell, or an empty string.
func (e *engine) expectedModel() string {
	return cmp.Or(e.loading, e.ordered, e.reservedFor())
}

// changing reports whether the engine is carrying out an order, or the result of one is
// unknown.
func (e *engine) changing() bool {
	return e.report.Busy || e.loading != "" || e.unloading || e.stale
}

// reportInterval returns the interval between two reports of the engine. engines is the
// number of all engines, and changing how many of them are changing.
func (e *engine) reportInterval(engines, changing int) time.Duration {
	if e.changing() {
		return max(busyReportInterval, time.Duration(changing)*minReportSpacing)
	}
	return max(idleReportInterval, time.Duration(engines)*minReportSpacing)
}

// withAdapter returns a copy of models in which adapter is added to its model, if the
// model is held.
func withAdapter(models []courier.LoadedModel, adapter Adapter) []courier.LoadedModel {
	models = slices.Clone(models)
	for i, held := range models {
		if held.Name == adapter.Model && !slices.Contains(held.Adapters, adapter.Name) {
			models[i].Adapters = append(slices.Clone(held.Adapters), adapter.Name)
		}
	}
	return models
}

// holds reports whether the engine can run model, and also adapter unless it is empty.
// It is false for a model that is withdrawn.
func (e *engine) holds(model, adapter string) bool {
	held := e.model(model)
	return held != nil && model != e.withdrawn && (adapter == "" || slices.Contains(held.Adapters, adapter))
}

func (e *engine) model(name string) *courier.LoadedModel {
	for i := range e.report.Models {
		if e.report.Models[i].Name == name {
			return &e.report.Models[i]
		}
	}
	return nil
}

// advertisedModels returns the models for which entry instances may send requests to
// the engine.
func (e *engine) advertisedModels() []courier.LoadedModel {
	if e.withdrawn == "" {
		return e.report.Models
	}
	return slices.DeleteFunc(slices.Clone(e.report.Models), func(m courier.LoadedModel) bool { return m.Name == e.withdrawn })
}

// applyOrder updates the report by an order that the engine accepted.
func (e *engine) applyOrder(now time.Time, order Order) {
	e.report.Sequence = max(e.report.Sequence, order.ExpectedSequence+1)
	held := e.model(order.Model)
	switch {
	case order.Adapter != "" && held != nil && order.Kind == Load:
		e.report.Models = withAdapter(e.report.Models, Adapter{Model: order.Model, Name: order.Adapter})
	case order.Adapter != "" && held != nil:
		held.Adapters = slices.DeleteFunc(slices.Clone(held.Adapters), func(a string) bool { return a == order.Adapter })
	case order.Adapter == "" && order.Kind == Unload:
		e.report.Models = slices.DeleteFunc(slices.Clone(e.report.Models), func(m courier.LoadedModel) bool {
			return m.Name == order.Model
		})
	}
	if order.Adapter == "" {
		e.report.Busy = true
	}
	if order.Adapter == "" && order.Kind == Load {
		e.loading, e.loadDoneAt = order.Model, now.Add(e.loadTime(order.Model))
	}
}
