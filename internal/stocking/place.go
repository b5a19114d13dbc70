package stocking

import (
	"cmp"
	"slices"
)

// candidate is an engine that could hold another copy.
type candidate struct {
	engine *Engine
	// victim makes way, unless it is empty.
	victim string
	// cost is the time until the copy is there, and what its place takes from
	// others, in seconds.
	cost  float64
	fetch bool
}

// place orders a copy of model where it costs least. load is that of the engines
// which hold it already.
func (p *planner) place(model *Model, reason Reason, load float64) {
	var best *candidate
	for _, e := range p.engines {
		c, ok := p.weigh(model, e, load)
		if ok && (best == nil || c.cost < best.cost) {
			best = &c
		}
	}
	if best != nil {
		p.order(*best, model, reason, load)
	}
}

// loadCost is what the load of an engine counts against the time to load, in
// seconds for one engine's worth.
const loadCost = 10

// lastCopyCost is what it counts to put a model out of reach that nobody asks
// for, in seconds: about the time to load it again.
const lastCopyCost = 2

// weigh returns what a copy of model on e would cost. It returns false if there
// can't be one.
func (p *planner) weigh(model *Model, e *Engine, load float64) (candidate, bool) {
	c := candidate{engine: e}
	if e.Closed || e.Coming != "" || slices.Contains(e.Holds, model.Name) {
		return c, false
	}
	if load > 0 && p.loads[e.Name] > load*(1-p.options.Gain) {
		return c, false
	}
	if e.Used+model.Megabytes > e.Megabytes {
		c.victim = p.victim(model, e)
		if c.victim == "" {
			return c, false
		}
	}
	took := model.Load
	switch {
	case slices.Contains(e.InMemory, model.Name):
		took = model.WarmLoad
	case slices.Contains(e.OnDisk, model.Name):
		took = model.DiskLoad
	default:
		c.fetch = true
	}
	if c.fetch && p.fetches <= 0 {
		return c, false
	}
	c.cost = took.Seconds() + loadCost*p.loads[e.Name]
	if c.victim != "" {
		c.cost += loadCost * p.models[c.victim].Demand / float64(len(p.copies[c.victim]))
	}
	if c.victim != "" && len(p.copies[c.victim]) == 1 {
		c.cost += lastCopyCost
	}
	return c, true
}

// victim returns the model that makes way on e: the one whose demand can best do
// without this copy. The last copy of a model makes way only if nobody has asked
// for it lately and somebody asks for the other: it comes back within a second
// or two from the engine's memory or disk when it is asked for again.
func (p *planner) victim(model *Model, e *Engine) string {
	chosen, lowest, lastResort := "", 0.0, ""
	for _, name := range e.Holds {
		held := p.models[name]
		if held == nil || e.Used-held.Megabytes+model.Megabytes > e.Megabytes {
			continue
		}
		if len(p.copies[name]) < 2 {
			if held.Idle && (model.Demand > 0 || model.Waiting > 0) && lastResort == "" {
				lastResort = name
			}
			continue
		}
		without := held.Demand / float64(len(p.copies[name])-1)
		if without > p.options.Busy/2 && without >= model.Demand/float64(len(p.copies[model.Name])+1) {
			continue
		}
		if chosen == "" || without < lowest {
			chosen, lowest = name, without
		}
	}
	return cmp.Or(chosen, lastResort)
}

// order takes a candidate into the plan. A copy that needs room waits for a later
// plan: the room is only free when the engine says so.
func (p *planner) order(c candidate, model *Model, reason Reason, load float64) {
	if len(p.moves) >= p.options.Orders {
		return
	}
	c.engine.Closed = true
	if c.victim != "" {
		p.copies[c.victim] = slices.DeleteFunc(p.copies[c.victim], func(e *Engine) bool { return e == c.engine })
		p.moves = append(p.moves, Move{Engine: c.engine.Name, Model: c.victim, Unload: true, Reason: reason, Load: load})
		return
	}
	if c.fetch {
		p.fetches--
	}
	p.copies[model.Name] = append(p.copies[model.Name], c.engine)
	p.moves = append(p.moves, Move{Engine: c.engine.Name, Model: model.Name, Fetch: c.fetch, Reason: reason, Load: load})
}
