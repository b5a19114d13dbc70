package backoffice

import (
	"context"
	"time"

	"github.com/lovagelift/lovagelift/internal/courier"
	"github.com/lovagelift/lovagelift/internal/pause"
	"github.com/lovagelift/lovagelift/internal/routes"
	"github.com/lovagelift/lovagelift/internal/stocking"
)

// placementOptions are the options of every plan. The time to first token of an engine
// rises once its load exceeds about two thirds of its capacity. Loading a model takes
// seconds, so another copy is ordered before that point.
var placementOptions = stocking.Options{MaxLoad: 0.65, MinGain: 0.3, MaxMoves: 4}

// maxFetchTokens is the burst of loads from the weight store, in addition to the rate
// that the store allows.
const maxFetchTokens = 2

// withdrawalNotice is the time between the withdrawal of a model from the advertised
// ones and the order to unload it. An engine refuses requests for a model as soon as it
// accepts the order. Entry instances sync every 250 ms, so they stop sending before.
const withdrawalNotice = 400 * time.Millisecond

// unloadWithdrawn sends the orders to unload the models that were withdrawn at least
// withdrawalNotice ago. It cancels the withdrawal of a model that is needed again, or
// whose engine can't be ordered now. o.mu is held.
func (o *orchestrator) unloadWithdrawn(ctx context.Context, now time.Time) {
	for _, e := range o.engines {
		if e.withdrawn == "" || e.unloading || e.orderPending || now.Sub(e.withdrawnAt) < withdrawalNotice {
			continue
		}
		if _, ok := o.fencingNumber(); !ok || !o.leases.isFree(now, e.Name) || e.stale || e.report.Busy || o.neededAgain(now, e) {
			e.withdrawn = ""
			o.markChanged()
			continue
		}
		order := e.beginOrder(Order{Kind: Unload, Model: e.withdrawn})
		o.instance.done.Go(func() { o.sendOrder(ctx, e, order) })
	}
}

// neededAgain reports whether requests wait for the withdrawn model of e and no other
// engine that they allow holds it. Requests that are bound to a version don't keep it from
// making room for a model that no engine holds: the next plan would choose the same victim.
func (o *orchestrator) neededAgain(now time.Time, e *engine) bool {
	key := keyOf(e.service, e.withdrawn)
	bound := key.boundTo(e.softwareVersion)
	return o.isWaitedFor(now, key) && !o.isHeldBeside(e, key) ||
		o.isWaitedFor(now, bound) && !o.isHeldBeside(e, bound) && o.isHeldBeside(e, keyOf(e.service, e.replacement))
}

// isWaitedFor reports whether requests wait for a model. o.mu is held.
func (o *orchestrator) isWaitedFor(now time.Time, key demandKey) bool {
	demand := o.demand[key]
	return demand != nil && demand.totalWaiting(now) > 0
}

// isHeldBeside reports whether an engine beside e holds a model. o.mu is held.
func (o *orchestrator) isHeldBeside(e *engine, key demandKey) bool {
	for _, other := range o.engines {
		if other != e && other.service == key.service && key.software.Allows(other.softwareVersion) && other.holds(key.model, "") {
			return true
		}
	}
	return false
}

// placeModels orders models onto the engines where they are needed.
func (o *orchestrator) placeModels(ctx context.Context, now time.Time) {
	if _, ok := o.fencingNumber(); !ok {
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
			o.placeServiceModels(ctx, now, name, service.Engine)
		}
	}
}

// placeServiceModels plans the engines of one service and starts the planned moves.
// o.mu is held.
func (o *orchestrator) placeServiceModels(ctx context.Context, now time.Time, service string, spec *routes.Engine) {
	elapsed := now.Sub(o.fetchTokensAt)
	o.fetchTokensAt = now
	o.fetchTokens = min(o.fetchTokens+elapsed.Seconds()*spec.LoadsPerSecond, maxFetchTokens)
	options := placementOptions
	options.MaxFetches = int(o.fetchTokens)
	o.keptTimeouts[service] = keptTimeout(o.table, o.instance.voter.Versions(), service)
	for _, move := range stocking.Plan(o.plannerModels(now, service, spec), o.plannerEngines(now, service), options) {
		e := o.engines[move.Engine]
		o.instance.options.Log.Info().Str("engine", e.Name).Str("model", move.Model).Bool("unload", move.Unload).
			Bool("fetch", move.FromStore).Str("reason", string(move.Reason)).Float64("load", move.Load).Msg("placement move")
		if move.Unload {
			e.withdrawn, e.withdrawnAt, e.replacement = move.Model, now, move.MakesRoomFor
			o.markChanged()
			continue
		}
		if move.FromStore {
			o.fetchTokens--
		}
		order := e.beginOrder(Order{Kind: Load, Model: move.Model})
		o.instance.done.Go(func() { o.sendOrder(ctx, e, order) })
	}
}

func (o *orchestrator) plannerModels(now time.Time, service string, spec *routes.Engine) []stocking.Model {
	models := make([]stocking.Model, 0, len(spec.Models))
	o.countInitialCopies(service)
	held, bound := o.heldModels(service), o.boundDemand(now, service)
	for _, model := range spec.Models {
		key := keyOf(service, model.Name)
		demand := o.demand[key]
		m := o.plannerModel(now, service, &model, demand)
		if o.table.MixesUrgency() {
			m.InitialCopies = o.initialCopies[key]
		}
		m.Idle = demand == nil || now.Sub(demand.lastRequested) > modelIdleTimeout
		if demand != nil {
			m.Waiting = demand.totalWaiting(now)
			m.MissingFor = demand.missingFor(now, held[key])
		}
		o.addBound(now, &m, bound[model.Name], held)
		models = append(models, m)
	}
	return models
}

// plannerModel returns a model without the requests that wait for it. demand may be nil. o.mu is held.
func (o *orchestrator) plannerModel(now time.Time, service string, model *routes.Model, demand *modelDemand) stocking.Model {
	m := stocking.Model{
		Name: model.Name, Megabytes: model.Megabytes,
		LoadTime: model.LoadTime, MemoryLoadTime: model.MemoryLoadTime, DiskLoadTime: model.DiskLoadTime,
	}
	if demand != nil {
		m.Demand = demand.rate(now)
		m.KeptFor = max(o.keptTimeouts[service]-now.Sub(demand.lastRequested), 0)
	}
	return m
}

// heldModels returns the models that the engines of a service advertise, also by software version. It is
// computed once for each plan: a search of 140 engines for each of 242 models, 8 times a second,
// would take 8 ms of processor time.
func (o *orchestrator) heldModels(service string) map[demandKey]bool {
	held := map[demandKey]bool{}
	for _, e := range o.engines {
		if e.service != service || e.isLeaving() {
			continue
		}
		for _, model := range e.report.Models {
			if model.Name != e.withdrawn {
				key := keyOf(service, model.Name)
				held[key], held[key.boundTo(e.softwareVersion)] = true, true
			}
		}
	}
	return held
}

func (o *orchestrator) plannerEngines(now time.Time, service string) []stocking.Engine {
	var engines []stocking.Engine
	for _, e := range o.engines {
		if e.service == service {
			engines = append(engines, o.plannerEngine(now, e))
		}
	}
	return engines
}

func (o *orchestrator) plannerEngine(now time.Time, e *engine) stocking.Engine {
	engine := stocking.Engine{
		Name: e.Name, SoftwareVersion: e.softwareVersion,
		Megabytes: e.spec.Megabytes, UsedMegabytes: e.usedMegabytes(), Loading: e.loading, Expected: e.expectedModel(),
		Unavailable: !e.isOrderable() || !o.leases.isFree(now, e.Name),
		Leaving:     e.isLeaving(), Throttled: o.hasLowLimit(e), InMemory: e.report.InMemory, OnDisk: e.report.OnDisk,
	}
	advertised := e.advertisedModels()
	engine.Loaded = make([]string, len(advertised))
	for i := range advertised {
		engine.Loaded[i] = advertised[i].Name
	}
	return engine
}

// recordModelDemand records the demand for one model at an entry instance. o.mu is
// held.
func (o *orchestrator) recordModelDemand(now time.Time, entry string, d courier.Demand) {
	key := keyOf(d.Service, d.Model)
	demand := o.demandOf(key)
	if d.RunTime > 0 {
		demand.runTime = d.RunTime
	}
	if d.Requests > 0 || d.Waiting > 0 {
		demand.add(now, workloadOf(d, o.engineSlots(d.Service), demand.runTime))
	}
	if !d.Software.Bound {
		demand.setWaiting(now, entry, d.Waiting)
		return
	}
	bound := o.demandOf(key.boundTo(d.Software.SoftwareVersion))
	bound.lastRequested = now
	bound.setWaiting(now, entry, d.Waiting)
}

// demandOf returns the demand with a key, and adds it if there is none. o.mu is held.
func (o *orchestrator) demandOf(key demandKey) *modelDemand {
	demand := o.demand[key]
	if demand == nil {
		demand = &modelDemand{}
		o.demand[key] = demand
	}
	return demand
}

// engineSlots returns how many requests an engine of a service runs at once, or 0 if
// that is unknown. o.mu is held.
func (o *orchestrator) engineSlots(service string) int {
	if o.table == nil {
		return 0
	}
	spec := o.table.Service(service)
	if spec == nil || spec.Engine == nil {
		return 0
	}
	return spec.Engine.Slots
}

// callEntry takes the place of an entry instance's name for demand that comes from Want
// calls.
const callEntry = ""

// awaitModel waits for an engine that holds a model. It records a waiting request,
// which the next plan takes into account. A plan for each call would cost the leader
// too much time, and its orders would be cancelled at the end of the call.
func (o *orchestrator) awaitModel(ctx context.Context, args courier.WantArgs) courier.WantReply {
	now := o.instance.options.Now()
	o.mu.Lock()
	if reason := o.unavailableReason(now, args); reason != "" {
		o.mu.Unlock()
		return courier.WantReply{Reason: reason, Unavailable: true}
	}
	o.recordModelDemand(now, callEntry, courier.Demand{Service: args.Service, Model: args.Model, Waiting: 1, Software: args.Software})
	o.mu.Unlock()
	for {
		o.mu.Lock()
		changed, term := o.changed, o.term
		holder := ""
		for _, e := range o.engines {
			if e.mayServe(args) && e.holds(args.Model, "") {
				holder = e.Name
			}
		}
		o.mu.Unlock()
		switch {
		case holder != "":
			return courier.WantReply{Engine: holder}
		case term == 0:
			return notLeaderReply
		}
		select {
		case <-changed:
		case <-ctx.Done():
		}
		if !pause.For(ctx, minModelCheckInterval) {
			return courier.WantReply{Reason: "not in time"}
		}
	}
}
