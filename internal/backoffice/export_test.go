package backoffice

import (
	"time"

	"github.com/lovagelift/lovagelift/internal/courier"
	"github.com/lovagelift/lovagelift/internal/ratelimit"
	"github.com/lovagelift/lovagelift/internal/resumption"
	"github.com/lovagelift/lovagelift/internal/routes"
	"github.com/lovagelift/lovagelift/internal/stocking"
	"github.com/lovagelift/lovagelift/internal/upstreamapi"
)

// Engine gives specs access to the leader's view of an engine.
type Engine struct {
	engine *engine
}

// NewEngine returns an engine of which nothing is known.
func NewEngine() Engine {
	return Engine{engine: &engine{spec: &routes.Engine{}, updated: make(chan struct{})}}
}

// NewEngineOf returns an engine with the given spec, of which only the announced
// incarnation is known.
func NewEngineOf(spec *routes.Engine, incarnation uint64) Engine {
	return Engine{engine: newEngine(upstreamapi.Announcement{Name: "e", Incarnation: incarnation},
		&routes.Service{Name: "pool", Engine: spec}, unconfirmedOrders{})}
}

// Restart returns the engine's successor under the same name.
func (e Engine) Restart(now time.Time, incarnation uint64) Engine {
	return Engine{engine: newEngine(upstreamapi.Announcement{Name: "e", Incarnation: incarnation},
		&routes.Service{Name: "pool", Engine: e.engine.spec}, e.engine.unconfirmed.forSuccessor(now))}
}

// RestartAfterLease returns the engine's successor under the same name, which is announced at now. The
// engine was given up at gone.
func (e Engine) RestartAfterLease(gone, now time.Time, incarnation uint64) Engine {
	former := formerOrders{}
	former.keep(gone, e.engine)
	return Engine{engine: newEngine(upstreamapi.Announcement{Name: "e", Incarnation: incarnation},
		&routes.Service{Name: "pool", Engine: e.engine.spec}, former.take(now, "e", incarnation))}
}

// Send records an order that is under way.
func (e Engine) Send(now time.Time, order Order) {
	e.engine.unconfirmed.begin(now, order)
}

// Begin returns order as it is to be sent.
func (e Engine) Begin(order Order) Order {
	return e.engine.beginOrder(order)
}

// SendUnanswered records an order that got no answer.
func (e Engine) SendUnanswered(now time.Time, order Order) {
	e.engine.unconfirmed.begin(now, order)
	e.engine.unconfirmed.markUnanswered()
}

// Complete applies the engine's answer to the pending order.
func (e Engine) Complete(now time.Time, order Order, answer OrderAnswer) {
	e.engine.completeOrder(now, order, orderAnswered{answer})
}

// CompleteUnanswered records that the pending order got no answer.
func (e Engine) CompleteUnanswered(now time.Time, order Order) {
	e.engine.completeOrder(now, order, orderUnanswered{})
}

// IsOrderable reports whether the engine may be ordered to load or unload a model.
func (e Engine) IsOrderable() bool {
	return e.engine.isOrderable()
}

// FitsAdapter reports whether an adapter of a model can be loaded now.
func (e Engine) FitsAdapter(now time.Time, model string) bool {
	return !e.engine.orderPending && !e.engine.stale && e.engine.holds(model, "") && e.engine.fitsAdapter(now, model)
}

// LoadedModels returns the models in the latest report, updated by the accepted orders.
func (e Engine) LoadedModels() []courier.LoadedModel {
	return e.engine.report.Models
}

// Loading returns the model that is being loaded, empty if there is none.
func (e Engine) Loading() string {
	return e.engine.loading
}

// Expected returns the model that the engine is expected to hold next, empty if there is none.
func (e Engine) Expected() string {
	return e.engine.expectedModel()
}

// IsLeaving reports whether the engine is known to be leaving.
func (e Engine) IsLeaving() bool {
	return e.engine.isLeaving()
}

// HasReport reports whether the engine has a valid report.
func (e Engine) HasReport() bool {
	return e.engine.hasReport
}

// UsedMegabytes returns the memory that counts as used.
func (e Engine) UsedMegabytes() float64 {
	return e.engine.usedMegabytes()
}

// UsedAdapterSlots returns how many adapter slots count as occupied.
func (e Engine) UsedAdapterSlots() int {
	return e.engine.usedAdapterSlots()
}

// ApplyReport stores a report of the engine.
func (e Engine) ApplyReport(now time.Time, report Report) {
	e.engine.applyReport(now, report)
}

// Withdraw marks a model as one to be unloaded.
func (e Engine) Withdraw(model string) {
	e.engine.withdrawn = model
}

// WithdrawFor marks a model as one to be unloaded for another.
func (e Engine) WithdrawFor(model, replacement string) {
	e.engine.withdrawn, e.engine.replacement = model, replacement
}

// AcceptUnload applies an accepted order to unload a model.
func (e Engine) AcceptUnload(model string, expected uint64) {
	e.engine.withdrawn, e.engine.unloading = model, true
	e.engine.applyOrder(time.Time{}, Order{Kind: Unload, Model: model, ExpectedSequence: expected})
}

// AdvertisedModels returns the names of the advertised models.
func (e Engine) AdvertisedModels() []string {
	var names []string
	for _, model := range e.engine.advertisedModels() {
		names = append(names, model.Name)
	}
	return names
}

// AcceptLoad applies an accepted order to load a model.
func (e Engine) AcceptLoad(model string, expected uint64) {
	e.engine.applyOrder(time.Time{}, Order{Kind: Load, Model: model, ExpectedSequence: expected})
}

// ReportDue reports whether a report is due at now, among engines of which some are
// changing.
func (e Engine) ReportDue(now time.Time, engines, changing int) bool {
	return now.Sub(e.engine.reportRequestedAt) >= e.engine.reportInterval(engines, changing)
}

// WaitingRequests gives specs access to the waiting requests of a model.
type WaitingRequests struct {
	demand modelDemand
}

// Set records that count requests wait at an entry instance.
func (w *WaitingRequests) Set(now time.Time, entry string, count int) {
	w.demand.setWaiting(now, entry, count)
}

// Total returns how many requests wait at all entry instances.
func (w *WaitingRequests) Total(now time.Time) int {
	return w.demand.totalWaiting(now)
}

// Reported gives specs access to the state that entry instances report to an orchestrator.
type Reported struct {
	orchestrator *orchestrator
}

// NewReported returns the state before the first report.
func NewReported() Reported {
	return Reported{orchestrator: &orchestrator{
		demand: map[demandKey]*modelDemand{}, usesByEntry: map[string]adapterUses{}, adapterUsers: map[Adapter]int{}, adapterRequestedAt: map[Adapter]time.Time{},
		limits: map[string]reportedLimit{},
	}}
}

// RecordDemand records the demand that an entry instance reports.
func (r Reported) RecordDemand(now time.Time, entry string, demand ...courier.Demand) {
	r.orchestrator.recordDemand(now, entry, demand)
}

// Rate returns the work requested of a model per second, in slots of engines.
func (r Reported) Rate(now time.Time, service, model string) float64 {
	return r.orchestrator.demand[keyOf(service, model)].rate(now)
}

// BoundTo returns a model with the requests that are bound to software versions, among engines of some
// versions.
func (r Reported) BoundTo(now time.Time, service, model string, versions ...string) stocking.Model {
	r.orchestrator.engines = map[string]*engine{}
	for _, version := range versions {
		r.orchestrator.engines[version] = &engine{service: service, softwareVersion: version}
	}
	m := stocking.Model{Name: model}
	r.orchestrator.addBound(now, &m, r.orchestrator.boundDemand(now, service)[model], nil)
	return m
}

func (r Reported) AdapterInUse(adapter Adapter) bool {
	return r.orchestrator.adapterInUse(adapter)
}

// Entries expires old reports and returns the number of remaining map entries.
func (r Reported) Entries(now time.Time) int {
	r.orchestrator.expire(now)
	return len(r.orchestrator.demand) + len(r.orchestrator.usesByEntry) + len(r.orchestrator.adapterUsers) + len(r.orchestrator.adapterRequestedAt)
}

// StarvedAfter reports whether an instance counts as starved of processor time after
// rounds with these delays.
func StarvedAfter(delays ...time.Duration) bool {
	var delay wakeDelay
	for _, d := range delays {
		delay = delay.averagedWith(d)
	}
	return delay.isStarved()
}

// MergeDemand exports mergeDemand.
func MergeDemand(older, newer []courier.Demand) []courier.Demand {
	return mergeDemand(older, newer)
}

// KeptTimeout exports keptTimeout.
func KeptTimeout(table *routes.Table, records resumption.Records, service string) time.Duration {
	return keptTimeout(table, records, service)
}

// MarkStale records that the state of the engine is uncertain.
func (e Engine) MarkStale() {
	e.engine.markStale()
}

// ReportedAt returns the time of the newest report.
func (e Engine) ReportedAt() time.Time {
	return e.engine.reportedAt
}

// RecordLimit records the rate limit of an upstream.
func (r Reported) RecordLimit(now time.Time, upstream string, limit float64) {
	r.orchestrator.recordLimits(now, []courier.LimitedUpstream{{Name: upstream, Limit: ratelimit.Limit(limit)}})
}

// HasLowLimit expires old limits and reports whether an engine with the given number of
// slots has a low limit.
func (r Reported) HasLowLimit(now time.Time, name string, slots int) bool {
	r.orchestrator.expireLimits(now)
	return r.orchestrator.hasLowLimit(&engine{EngineAddress: EngineAddress{Name: name}, spec: &routes.Engine{Slots: slots}})
}

// EngineStatesInterval returns the minimum interval between two encodings of the engine states.
func EngineStatesInterval(engines int) time.Duration {
	return engineStatesInterval(engines)
}
