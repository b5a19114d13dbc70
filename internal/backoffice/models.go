package backoffice

import (
	"context"
	"time"

	"github.com/lovagelift/lovagelift/internal/courier"
	"github.com/lovagelift/lovagelift/internal/pause"
	"github.com/lovagelift/lovagelift/internal/routes"
	"github.com/lovagelift/lovagelift/internal/stocking"
)

// stockingOptions are those of every plan. An engine's first tokens come late
// from about two thirds of its load on; a load takes seconds, so that a copy is
// ordered before.
var stockingOptions = stocking.Options{Busy: 0.65, Gain: 0.3, Orders: 4}

// fetchBurst is how many loads from the weight store may begin at once, beyond
// the rate that the store allows.
const fetchBurst = 2

// unloadNotice is the time from when nobody is told any more that an engine holds a
// model until it is ordered away. An engine refuses requests for a model as soon
// as it is to be unloaded; entry instances ask for news every 250 ms, and stop
// sending before.
const unloadNotice = 400 * time.Millisecond

// unloadWithdrawn orders models away that were to go for long enough, unless they are
// asked for again.
func (o *orders) unloadWithdrawn(ctx context.Context, now time.Time) {
	for _, e := range o.engines {
		if e.going == "" || e.unloading || e.ordering || now.Sub(e.goingSince) < unloadNotice {
			continue
		}
		if _, ok := o.right(); !ok || !o.leases.free(now, e.Name) || e.stale || e.report.Busy || o.wantedAgain(now, e) {
			e.going = ""
			o.touch()
			continue
		}
		e.ordering = true
		order := Order{Kind: Unload, Model: e.going}
		o.office.done.Go(func() { o.give(ctx, e, order) })
	}
}

// wantedAgain reports whether requests wait for the model that is to go from e,
// and no other engine holds it.
func (o *orders) wantedAgain(now time.Time, e *engine) bool {
	asked := o.demand[demandKey{e.service, e.going}]
	if asked == nil || asked.waitingAt(now) == 0 {
		return false
	}
	for _, other := range o.engines {
		if other != e && other.service == e.service && other.holds(e.going, "") {
			return false
		}
	}
	return true
}

// stock orders models to where they are asked for.
func (o *orders) stock(ctx context.Context, now time.Time) {
	if _, ok := o.right(); !ok {
		return
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.table == nil {
		return
	}
	o.unloadWithdrawn(ctx, now)
	for name, service := range o.table.Services() {
		if service.Engine != nil {
			o.stockService(ctx, now, name, service.Engine)
		}
	}
}

// stockService makes the plan for the engines of one service, and begins its
// moves.
func (o *orders) stockService(ctx context.Context, now time.Time, service string, spec *routes.Engine) {
	elapsed := now.Sub(o.fetchesAt)
	o.fetchesAt = now
	o.fetches = min(o.fetches+elapsed.Seconds()*spec.LoadsPerSecond, fetchBurst)
	options := stockingOptions
	options.Fetches = int(o.fetches)
	for _, move := range stocking.Plan(o.stockModels(now, service, spec), o.stockEngines(now, service), options) {
		e := o.engines[move.Engine]
		o.office.options.Log.Info().Str("engine", e.Name).Str("model", move.Model).Bool("unload", move.Unload).
			Bool("fetch", move.Fetch).Str("reason", string(move.Reason)).Float64("load", move.Load).Msg("placement move")
		if move.Unload {
			e.going, e.goingSince, e.goingFor = move.Model, now, move.For
			o.touch()
			continue
		}
		if move.Fetch {
			o.fetches--
		}
		e.ordering = true
		order := Order{Kind: Load, Model: move.Model}
		o.office.done.Go(func() { o.give(ctx, e, order) })
	}
}

func (o *orders) stockModels(now time.Time, service string, spec *routes.Engine) []stocking.Model {
	models := make([]stocking.Model, 0, len(spec.Models))
	held := o.held(service)
	for _, model := range spec.Models {
		m := stocking.Model{
			Name: model.Name, Megabytes: model.Megabytes,
			Load: model.Load, WarmLoad: model.WarmLoad, DiskLoad: model.DiskLoad,
		}
		asked := o.demand[demandKey{service, model.Name}]
		m.Idle = asked == nil || now.Sub(asked.last) > idleAfter
		if asked != nil {
			m.Demand = asked.rate(now)
			m.Waiting = asked.waitingAt(now)
			m.Missing = asked.missing(now, held[model.Name])
		}
		models = append(models, m)
	}
	return models
}

// held returns the models that an engine of a service holds for requests. It is made once
// for a plan: 242 models looked for at 140 engines, 8 times a second, took 8 ms of a core.
func (o *orders) held(service string) map[string]bool {
	held := map[string]bool{}
	for _, e := range o.engines {
		if e.service != service || e.leaving {
			continue
		}
		for _, model := range e.report.Models {
			if model.Name != e.going {
				held[model.Name] = true
			}
		}
	}
	return held
}

func (o *orders) stockEngines(now time.Time, service string) []stocking.Engine {
	var engines []stocking.Engine
	for _, e := range o.engines {
		if e.service != service {
			continue
		}
		engine := stocking.Engine{
			Name: e.Name, Megabytes: e.spec.Megabytes, Used: e.megabytes(), Coming: e.coming,
			Closed:  !e.known || e.ordering || e.stale || e.report.Busy || e.going != "" || !o.leases.free(now, e.Name),
			Leaving: e.leaving, Narrow: o.isNarrow(e), InMemory: e.report.InMemory, OnDisk: e.report.OnDisk,
		}
		for _, held := range e.told() {
			engine.Holds = append(engine.Holds, held.Name)
		}
		engines = append(engines, engine)
	}
	return engines
}

// noteModel takes in what callers asked for of one model at an entry instance.
func (o *orders) noteModel(now time.Time, entry string, d courier.Demand) {
	key := demandKey{d.Service, d.Model}
	asked := o.demand[key]
	if asked == nil {
		asked = &demandOf{}
		o.demand[key] = asked
	}
	if d.Requests > 0 || d.Waiting > 0 {
		asked.add(now, work(d, o.places(d.Service)))
	}
	asked.wait(now, entry, d.Waiting)
}

// places returns how many requests an engine of a service runs at once, 0 if that is
// not known.
func (o *orders) places(service string) int {
	if o.table == nil {
		return 0
	}
	known := o.table.Service(service)
	if known == nil || known.Engine == nil {
		return 0
	}
	return known.Engine.Slots
}

// wantingCall stands for the entry instance of calls for a model.
const wantingCall = ""

// wantModel waits for an engine that holds a model, which the next plan sees that
// requests wait for. A plan of its own for each call would take the leader's time, and
// its orders would end with the call.
func (o *orders) wantModel(ctx context.Context, args courier.WantArgs) courier.WantReply {
	now := o.office.options.Now()
	o.mu.Lock()
	o.noteModel(now, wantingCall, courier.Demand{Service: args.Service, Model: args.Model, Waiting: 1})
	o.mu.Unlock()
	for {
		o.mu.Lock()
		changed, term := o.changed, o.term
		holder := ""
		for _, e := range o.engines {
			if e.service == args.Service && !e.leaving && e.holds(args.Model, "") {
				holder = e.Name
			}
		}
		o.mu.Unlock()
		switch {
		case holder != "":
			return courier.WantReply{Engine: holder}
		case term == 0:
			return notLeader
		}
		select {
		case <-changed:
		case <-ctx.Done():
		}
		if !pause.For(ctx, wantModelEvery) {
			return courier.WantReply{Reason: "not in time"}
		}
	}
}
