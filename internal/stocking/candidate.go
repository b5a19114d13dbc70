package stocking

import (
	"cmp"
	"slices"
	"time"
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
func (p *planner) addCopy(s *shortage) {
	var best candidate
	for _, e := range p.engines {
		c, ok := p.evaluate(s, e)
		if ok && (best.engine == nil || c.costSeconds < best.costSeconds) {
			best = c
		}
	}
	if best.engine != nil {
		p.addMove(best, s)
	}
}

// loadPenaltySeconds is the penalty for each unit of load, in engines: that of the
// candidate engine and that of the victim's copies.
const loadPenaltySeconds = 10

// lastCopyPenaltySeconds is the penalty for unloading the last copy of an idle model:
// about the time to load it again.
const lastCopyPenaltySeconds = 2

// evaluate returns the candidate for a copy on e. It returns false if e can't get one.
func (p *planner) evaluate(s *shortage, e *engineState) (c candidate, ok bool) {
	m := s.model
	if e.Unavailable || e.Throttled || e.Loading != "" || slices.Contains(e.holds, m) || !s.allows(e) {
		return c, false
	}
	if s.load > 0 && e.load > s.load*(1-p.options.MinGain) {
		return c, false
	}
	c.engine = e
	var loadTime time.Duration
	loadTime, c.fetch = e.loadTime(m)
	if c.fetch && p.fetches <= 0 {
		return c, false
	}
	c.costSeconds = loadTime.Seconds() + loadPenaltySeconds*e.load
	if e.UsedMegabytes+m.Megabytes <= e.Megabytes {
		return c, true
	}
	c.victim = p.victim(s, e)
	if c.victim == nil {
		return c, false
	}
	c.costSeconds += loadPenaltySeconds * p.keepDemand(c.victim) / float64(len(c.victim.copies))
	if len(c.victim.copies) == 1 {
		c.costSeconds += lastCopyPenaltySeconds
	}
	return c, true
}

// loadTime returns how long e takes to load a model, and whether it reads from the weight store.
func (e *engineState) loadTime(m *modelState) (loadTime time.Duration, fetch bool) {
	switch {
	case slices.Contains(e.InMemory, m.Name):
		return m.MemoryLoadTime, false
	case slices.Contains(e.OnDisk, m.Name):
		return m.DiskLoadTime, false
	default:
		return m.LoadTime, true
	}
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

// victim returns the model to unload from e to make room for the copy that is short: the one with the lowest
// demand for each remaining copy. A model is kept if its remaining copies would be loaded
// by more than half of MaxLoad and at least as much as those of the other model.
//
// The last copy of a model is unloaded only if the model is idle and the other one has demand. On its
// next request, the model comes back from the engine's memory or disk within a second or
// two.
func (p *planner) victim(s *shortage, e *engineState) *modelState {
	var chosen, lastResort *modelState
	lowestLoad := 0.0
	for _, held := range e.holds {
		if e.UsedMegabytes-held.Megabytes+s.model.Megabytes > e.Megabytes {
			continue
		}
		if held.loaded < 2 {
			if len(held.copies) < 2 && held.Idle && s.hasCallers() && lastResort == nil && !p.isKept(s, held, e) {
				lastResort = held
			}
			continue
		}
		loadWithout := p.keepDemand(held) / float64(held.loaded-1)
		if loadWithout > p.options.MaxLoad/2 && loadWithout >= s.demandPerCopy() {
			continue
		}
		if (chosen == nil || loadWithout < lowestLoad) && !p.isKept(s, held, e) {
			chosen, lowestLoad = held, loadWithout
		}
	}
	return cmp.Or(chosen, lastResort)
}

// isKept reports whether the copy of a model on e is the last one at its software version, and streams that
// began there may be resumed. It yields only to requests for a model that no engine holds.
func (p *planner) isKept(s *shortage, held *modelState, e *engineState) bool {
	return held.KeptFor > 0 && !s.isUnheld() && !slices.ContainsFunc(held.copies, func(other *engineState) bool {
		return other != e && other.SoftwareVersion == e.SoftwareVersion && slices.Contains(other.holds, held)
	})
}

// addMove adds a candidate to the plan. If the copy needs room, this plan only unloads
// the victim and a later one loads the copy: the room is free only once the engine
// reports it.
func (p *planner) addMove(c candidate, s *shortage) {
	if len(p.moves) >= p.options.MaxMoves {
		return
	}
	m := s.model
	c.engine.Unavailable = true
	m.copies = append(m.copies, c.engine)
	m.planned++
	if c.victim != nil {
		c.victim.loaded--
		c.victim.copies = slices.DeleteFunc(c.victim.copies, func(e *engineState) bool { return e == c.engine })
		p.moves = append(p.moves, Move{Engine: c.engine.Name, Model: c.victim.Name, Unload: true, MakesRoomFor: m.Name, Reason: s.reason, Load: s.load})
		return
	}
	if c.fetch {
		p.fetches--
	}
	p.moves = append(p.moves, Move{Engine: c.engine.Name, Model: m.Name, FromStore: c.fetch, Reason: s.reason, Load: s.load})
}
