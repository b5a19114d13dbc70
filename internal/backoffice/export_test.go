package backoffice

import (
	"time"

	"github.com/lovagelift/lovagelift/internal/courier"
	"github.com/lovagelift/lovagelift/internal/ratelimit"
	"github.com/lovagelift/lovagelift/internal/routes"
	"github.com/lovagelift/lovagelift/internal/upstreamapi"
)

// Engine is what is known of one engine.
type Engine struct {
	engine *engine
}

// NewEngine returns an engine of which nothing is known.
func NewEngine() Engine {
	return Engine{engine: &engine{spec: &routes.Engine{}, news: make(chan struct{})}}
}

// NewEngineOf returns an engine of which only its incarnation is known.
func NewEngineOf(spec *routes.Engine, incarnation uint64) Engine {
	return Engine{engine: newEngine(time.Time{}, upstreamapi.Announcement{Name: "e", Incarnation: incarnation},
		&routes.Service{Name: "pool", Engine: spec}, nil)}
}

// Restart returns the engine that starts under the same name.
func (e Engine) Restart(now time.Time, incarnation uint64) Engine {
	return Engine{engine: newEngine(now, upstreamapi.Announcement{Name: "e", Incarnation: incarnation},
		&routes.Service{Name: "pool", Engine: e.engine.spec}, e.engine)}
}

// Send notes that an order is on its way.
func (e Engine) Send(now time.Time, order Order) {
	e.engine.sent(now, order)
}

// SendUnanswered notes an order that got no answer.
func (e Engine) SendUnanswered(now time.Time, order Order) {
	e.engine.sent(now, order)
	e.engine.unanswered()
}

// Known reports whether it is known what the engine holds.
func (e Engine) Known() bool {
	return e.engine.known
}

// Megabytes returns the memory that counts as taken.
func (e Engine) Megabytes() float64 {
	return e.engine.megabytes()
}

// Adapters returns the places for adapters that count as taken.
func (e Engine) Adapters() int {
	return e.engine.adapters()
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
	e.engine.apply(time.Time{}, Order{Kind: Unload, Model: model, Expected: expected})
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
	e.engine.apply(time.Time{}, Order{Kind: Load, Model: model, Expected: expected})
}

// ReportDue reports whether the engine is asked again at now, one of so many.
func (e Engine) ReportDue(now time.Time, engines, changing int) bool {
	return now.Sub(e.engine.asked) >= e.engine.reportEvery(engines, changing)
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

// Told gives specs what is kept of what entry instances told.
type Told struct {
	orders *orders
}

// NewTold returns what is kept at an instance that was told nothing.
func NewTold() Told {
	return Told{orders: &orders{
		demand: map[demandKey]*demandOf{}, uses: map[string]adapterUses{}, users: map[Adapter]int{}, asked: map[Adapter]time.Time{},
		limits: map[string]toldLimit{},
	}}
}

// Note takes in what an entry instance told.
func (t Told) Note(now time.Time, entry string, demand ...courier.Demand) {
	t.orders.note(now, entry, demand)
}

// InUse reports whether requests with an adapter are under way.
func (t Told) InUse(adapter Adapter) bool {
	return t.orders.inUse(adapter)
}

// Kept returns how many models, adapters and entry instances are kept at now.
func (t Told) Kept(now time.Time) int {
	t.orders.expire(now)
	return len(t.orders.demand) + len(t.orders.uses) + len(t.orders.users) + len(t.orders.asked)
}

// ShortAfter reports whether an instance is short of processor time after rounds that
// began late.
func ShortAfter(late ...time.Duration) bool {
	var l lateness
	for _, by := range late {
		l = l.with(by)
	}
	return l.short()
}

// Merged returns what an entry instance told in two calls as one.
func Merged(older, newer []courier.Demand) []courier.Demand {
	return merged(older, newer)
}

// Doubt notes that an order was not answered.
func (e Engine) Doubt() {
	e.engine.doubt()
}

// ReportedAt returns when the newest report came.
func (e Engine) ReportedAt() time.Time {
	return e.engine.reported
}

// NoteLimit takes in that an upstream names a limit.
func (t Told) NoteLimit(now time.Time, upstream string, limit float64) {
	t.orders.noteLimits(now, []courier.LimitedUpstream{{Name: upstream, Limit: ratelimit.Limit(limit)}})
}

// IsNarrow reports whether an engine with so many slots takes few requests.
func (t Told) IsNarrow(now time.Time, name string, slots int) bool {
	t.orders.expireLimits(now)
	return t.orders.isNarrow(&engine{EngineAddress: EngineAddress{Name: name}, spec: &routes.Engine{Slots: slots}})
}
