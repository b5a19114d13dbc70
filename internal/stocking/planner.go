package stocking

import (
	"cmp"
	"slices"
)

// planner computes one plan.
type planner struct {
	options Options
	// models is sorted by falling demand, engines by name.
	models  []*modelState
	engines []*engineState
	moves   []Move
	// fetches is the number of loads from the weight store that may still start.
	fetches int
	// urgent reports that a model needs a copy now, whether it gets one or not: free
	// memory and loads are kept for it.
	urgent bool
}

// modelState is a model and its copies.
type modelState struct {
	*Model
	// copies lists the engines that hold the model, are loading it or get it by this
	// plan.
	copies []*engineState
	// loaded is the number of copies that hold the model already.
	loaded int
	// planned is the number of copies that this plan loads or makes room for.
	planned int
}

// engineState is an engine that takes requests.
type engineState struct {
	*Engine
	// holds lists the models of Loaded that the planner knows. On a narrow engine these
	// are only models without demand.
	holds []*modelState
	// load is the engine's part of the demand, in engines.
	load float64
}

func newPlanner(models []Model, engines []Engine, options Options) *planner {
	p := &planner{options: options, fetches: options.MaxFetches}
	p.addModels(models)
	slices.SortFunc(p.models, func(a, b *modelState) int {
		return cmp.Or(-cmp.Compare(a.Demand, b.Demand), cmp.Compare(a.Name, b.Name))
	})
	p.addEngines(engines)
	slices.SortFunc(p.engines, func(a, b *engineState) int { return cmp.Compare(a.Name, b.Name) })
	p.addCopies()
	return p
}

func (p *planner) addModels(models []Model) {
	states := make([]modelState, len(models))
	p.models = make([]*modelState, len(models))
	for i := range models {
		states[i].Model = &models[i]
		p.models[i] = &states[i]
	}
}

// addEngines adds the engines that take requests.
func (p *planner) addEngines(engines []Engine) {
	states := make([]engineState, len(engines))
	p.engines = make([]*engineState, 0, len(engines))
	for i := range engines {
		if !engines[i].Leaving {
			states[i].Engine = &engines[i]
			p.engines = append(p.engines, &states[i])
		}
	}
}

// addCopies adds the copies of the models on the engines.
func (p *planner) addCopies() {
	known := make(map[string]*modelState, len(p.models))
	for _, m := range p.models {
		known[m.Name] = m
	}
	for _, e := range p.engines {
		e.holds = make([]*modelState, 0, len(e.Loaded))
		for _, name := range e.Loaded {
			if m := known[name]; m != nil && !(e.Throttled && m.Demand > 0) {
				e.holds = append(e.holds, m)
				m.copies = append(m.copies, e)
				m.loaded++
			}
		}
		if m := known[e.Loading]; m != nil && !slices.Contains(e.Loaded, e.Loading) {
			m.copies = append(m.copies, e)
		}
	}
}

// highestDemand returns the highest demand for a model.
func (p *planner) highestDemand() float64 {
	if len(p.models) == 0 {
		return 0
	}
	return p.models[0].Demand
}

// spreadRounds is the number of rounds that spread the demand. Each round shifts some
// demand to the engines with less load after the round before; a few rounds settle the
// loads closely enough for a plan.
const spreadRounds = 6

// loadOffset is added to loads, in engines, so that an engine without load does not draw
// all the demand.
const loadOffset = 0.05

// spreadDemand computes the engine loads. Like the entry instances, it sends the demand
// for each model to the least loaded engines that hold it.
func (p *planner) spreadDemand() {
	next := make(map[*engineState]float64, len(p.engines))
	for range spreadRounds {
		clear(next)
		for _, m := range p.models {
			if m.Demand == 0 {
				break
			}
			total := 0.0
			for _, e := range m.copies {
				total += 1 / (e.load + loadOffset)
			}
			for _, e := range m.copies {
				next[e] += m.Demand / (e.load + loadOffset) / total
			}
		}
		for _, e := range p.engines {
			e.load = (e.load + next[e]) / 2
		}
	}
}

// restoreUnheld orders copies of models that no engine holds or is loading. It runs
// only if no model needs a copy urgently.
func (p *planner) restoreUnheld() {
	for _, m := range p.models {
		if len(m.copies) == 0 {
			p.addCopy(&shortage{model: m, reason: Unreachable})
		}
	}
}

// Demand shifts from the model with the highest demand to another within seconds, faster
// than copies can be loaded. The expected demand of each model that has at least
// shiftTargetShare of the highest demand is therefore its own demand plus demandShiftShare
// of the highest.
const (
	demandShiftShare = 0.5
	shiftTargetShare = 0.1
)

// expectedDemand returns the demand that the copies of a model must be prepared for.
func (p *planner) expectedDemand(m *modelState) float64 {
	if highest := p.highestDemand(); m.Demand >= shiftTargetShare*highest {
		return m.Demand + demandShiftShare*highest
	}
	return m.Demand
}

// expectedLoad returns the expected load of a copy of a model, in engines, beside the
// given number of other copies.
func (p *planner) expectedLoad(m *modelState, others int) float64 {
	return (p.expectedDemand(m) + loadOffset) / float64(others+1)
}

// maxVictimLoadShare bounds the expected load of the victim's remaining copies, as a
// share of that of the spare copy. Without the margin two models would replace each other
// in turn.
const maxVictimLoadShare = 0.5

// addSpare orders one spare copy, in case demand shifts or an engine fails. It goes to the
// model with the highest expected load that can get one. addSpare runs only if no model
// needs a copy urgently.
func (p *planner) addSpare() {
	byExpectedLoad := slices.Clone(p.models)
	slices.SortStableFunc(byExpectedLoad, func(a, b *modelState) int {
		return -cmp.Compare(p.expectedLoad(a, len(a.copies)), p.expectedLoad(b, len(b.copies)))
	})
	for _, m := range byExpectedLoad {
		if p.tryAddSpare(m, p.expectedLoad(m, len(m.copies))) {
			return
		}
	}
}

// tryAddSpare orders a spare copy of a model if an engine can get one, and reports whether
// it did. expectedLoad is the expected load of the spare copy. A copy from the weight store
// is ordered only if the plan contains no other fetch.
func (p *planner) tryAddSpare(m *modelState, expectedLoad float64) bool {
	spare := &shortage{model: m, reason: Spare}
	var best candidate
	for _, e := range p.engines {
		c, ok := p.evaluate(spare, e)
		if !ok || c.fetch && p.fetches < p.options.MaxFetches || !p.canSpare(c.victim, expectedLoad) {
			continue
		}
		if best.engine == nil || c.costSeconds < best.costSeconds {
			best = c
		}
	}
	if best.engine == nil {
		return false
	}
	p.addMove(best, spare)
	return true
}

// canSpare reports whether victim may lose a copy to a spare copy with the given expected
// load. victim may be nil.
func (p *planner) canSpare(victim *modelState, expectedLoad float64) bool {
	if victim == nil {
		return true
	}
	others := len(victim.copies) - 1
	// Without any demand, the initial number of copies is the only sign of the demand to
	// come.
	if others == 0 || p.highestDemand() == 0 {
		return false
	}
	return p.expectedLoad(victim, others-1) <= maxVictimLoadShare*expectedLoad
}
