package stocking

import (
	"cmp"
	"slices"
)

// candidate is a possible engine for another copy of a model.
type candidate struct {
	engine *engineState
	// victim is the model to unload first, nil if there is room.
	victim *modelState
	// costSeconds is the load time plus penalties for the load of the engine and for
	// unloading the victim.
	costSeconds float64
	// fetch reports that the load reads from the weight store.
	fetch bool
}

// addCopy orders a copy of a model on the engine where it costs least, if there is one.
// load is that of the least loaded copy, 0 if there is none.
func (p *planner) addCopy(m *modelState, reason Reason, load float64) {
	var best candidate
	for _, e := range p.engines {
		c, ok := p.evaluate(m, e, load)
		if ok && (best.engine == nil || c.costSeconds < best.costSeconds) {
			best = c
		}
	}
	if best.engine != nil {
		p.addMove(best, m, reason, load)
	}
}

// loadPenaltySeconds is the penalty for each unit of load, in engines: that of the
// candidate engine and that of the victim's copies.
const loadPenaltySeconds = 10

// lastCopyPenaltySeconds is the penalty for unloading the last copy of an idle model:
// about the time to load it again.
const lastCopyPenaltySeconds = 2

// evaluate returns the candidate for a copy of a model on e. It returns false if e can't
// get one.
func (p *planner) evaluate(m *modelState, e *engineState, load float64) (c candidate, ok bool) {
	if e.Unavailable || e.Throttled || e.Loading != "" || slices.Contains(e.holds, m) {
		return c, false
	}
	if load > 0 && e.load > load*(1-p.options.MinGain) {
		return c, false
	}
	c.engine = e
	loadTime := m.LoadTime
	switch {
	case slices.Contains(e.InMemory, m.Name):
		loadTime = m.MemoryLoadTime
	case slices.Contains(e.OnDisk, m.Name):
		loadTime = m.DiskLoadTime
	default:
		c.fetch = true
	}
	if c.fetch && p.fetches <= 0 {
		return c, false
	}
	c.costSeconds = loadTime.Seconds() + loadPenaltySeconds*e.load
	if e.UsedMegabytes+m.Megabytes <= e.Megabytes {
		return c, true
	}
	c.victim = p.victim(m, e)
	if c.victim == nil {
		return c, false
	}
	c.costSeconds += loadPenaltySeconds * p.keepDemand(c.victim) / float64(len(c.victim.copies))
	if len(c.victim.copies) == 1 {
		c.costSeconds += lastCopyPenaltySeconds
	}
	return c, true
}

// initialCopyDemand is the demand, in engines, that each initial copy stands for before the first
// request. It only ranks victims: it is too low to keep a copy from making room.
const initialCopyDemand = 0.01

// keepDemand returns the demand by which a model keeps its copies. Before the first request it is
// proportional to the initial copies, so that all models lose the same share of them. Without it, one
// model of many copies lost all but two.
func (p *planner) keepDemand(m *modelState) float64 {
	if p.highestDemand() > 0 {
		return m.Demand
	}
	return initialCopyDemand * float64(m.InitialCopies)
}

// victim returns the model to unload from e to make room for m: the one with the lowest
// demand for each remaining copy. A model is kept if its remaining copies would be loaded
// by more than half of MaxLoad and at least as much as those of m.
//
// The last copy of a model is unloaded only if the model is idle and m has demand. On its
// next request, the model comes back from the engine's memory or disk within a second or
// two.
func (p *planner) victim(m *modelState, e *engineState) *modelState {
	var chosen, lastResort *modelState
	lowestLoad := 0.0
	for _, held := range e.holds {
		if e.UsedMegabytes-held.Megabytes+m.Megabytes > e.Megabytes {
			continue
		}
		if held.loaded < 2 {
			if len(held.copies) < 2 && held.Idle && (m.Demand > 0 || m.Waiting > 0) && lastResort == nil {
				lastResort = held
			}
			continue
		}
		loadWithout := p.keepDemand(held) / float64(held.loaded-1)
		if loadWithout > p.options.MaxLoad/2 && loadWithout >= m.Demand/float64(len(m.copies)+1) {
			continue
		}
		if chosen == nil || loadWithout < lowestLoad {
			chosen, lowestLoad = held, loadWithout
		}
	}
	return cmp.Or(chosen, lastResort)
}

// addMove adds a candidate to the plan. If the copy needs room, this plan only unloads
// the victim and a later one loads the copy: the room is free only once the engine
// reports it.
func (p *planner) addMove(c candidate, m *modelState, reason Reason, load float64) {
	if len(p.moves) >= p.options.MaxMoves {
		return
	}
	c.engine.Unavailable = true
	m.copies = append(m.copies, c.engine)
	m.planned++
	if c.victim != nil {
		c.victim.loaded--
		c.victim.copies = slices.DeleteFunc(c.victim.copies, func(e *engineState) bool { return e == c.engine })
		p.moves = append(p.moves, Move{Engine: c.engine.Name, Model: c.victim.Name, Unload: true, MakesRoomFor: m.Name, Reason: reason, Load: load})
		return
	}
	if c.fetch {
		p.fetches--
	}
	p.moves = append(p.moves, Move{Engine: c.engine.Name, Model: m.Name, FromStore: c.fetch, Reason: reason, Load: load})
}
