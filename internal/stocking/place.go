package stocking

import (
	"cmp"
	"slices"
)

// candidate is an engine that could hold another copy.
type candidate struct {
	engine *station
	// victim makes way, unless it is nil.
	victim *stocked
	// cost is the time until the copy is there, and what its place takes from
	// others, in seconds.
	cost  float64
	fetch bool
}

// place orders a copy of a model where it costs least. load is that of the engines
// which hold it already.
func (p *planner) place(m *stocked, reason Reason, load float64) {
	var best candidate
	for _, e := range p.engines {
		c, ok := p.weigh(m, e, load)
		if ok && (best.engine == nil || c.cost < best.cost) {
			best = c
		}
	}
	if best.engine != nil {
		p.order(best, m, reason, load)
	}
}

// loadCost is what the load of an engine counts against the time to load, in
// seconds for one engine's worth.
const loadCost = 10

// lastCopyCost is what it counts to put a model out of reach that nobody asks
// for, in seconds: about the time to load it again.
const lastCopyCost = 2

// weigh returns what a copy of a model on e would cost. It returns false if there
// can't be one.
func (p *planner) weigh(m *stocked, e *station, load float64) (c candidate, ok bool) {
	if e.Closed || e.Narrow || e.Coming != "" || slices.Contains(e.holds, m) {
		return c, false
	}
	if load > 0 && e.load > load*(1-p.options.Gain) {
		return c, false
	}
	c.engine = e
	took := m.Load
	switch {
	case slices.Contains(e.InMemory, m.Name):
		took = m.WarmLoad
	case slices.Contains(e.OnDisk, m.Name):
		took = m.DiskLoad
	default:
		c.fetch = true
	}
	if c.fetch && p.fetches <= 0 {
		return c, false
	}
	c.cost = took.Seconds() + loadCost*e.load
	if e.Used+m.Megabytes <= e.Megabytes {
		return c, true
	}
	c.victim = p.victim(m, e)
	if c.victim == nil {
		return c, false
	}
	c.cost += loadCost * c.victim.Demand / float64(len(c.victim.copies))
	if len(c.victim.copies) == 1 {
		c.cost += lastCopyCost
	}
	return c, true
}

// victim returns the model that makes way on e: the one whose demand can best do
// without this copy. The last copy of a model makes way only if nobody has asked
// for it lately and somebody asks for the other: it comes back within a second
// or two from the engine's memory or disk when it is asked for again.
func (p *planner) victim(m *stocked, e *station) *stocked {
	var chosen, lastResort *stocked
	lowest := 0.0
	for _, held := range e.holds {
		if e.Used-held.Megabytes+m.Megabytes > e.Megabytes {
			continue
		}
		if held.present < 2 {
			if len(held.copies) < 2 && held.Idle && (m.Demand > 0 || m.Waiting > 0) && lastResort == nil {
				lastResort = held
			}
			continue
		}
		without := held.Demand / float64(held.present-1)
		if without > p.options.Busy/2 && without >= m.Demand/float64(len(m.copies)+1) {
			continue
		}
		if chosen == nil || without < lowest {
			chosen, lowest = held, without
		}
	}
	return cmp.Or(chosen, lastResort)
}

// order takes a candidate into the plan. A copy that needs room waits for a later
// plan: the room is only free when the engine says so.
func (p *planner) order(c candidate, m *stocked, reason Reason, load float64) {
	if len(p.moves) >= p.options.Orders {
		return
	}
	c.engine.Closed = true
	m.copies = append(m.copies, c.engine)
	m.ordered++
	if c.victim != nil {
		c.victim.present--
		c.victim.copies = slices.DeleteFunc(c.victim.copies, func(e *station) bool { return e == c.engine })
		p.moves = append(p.moves, Move{Engine: c.engine.Name, Model: c.victim.Name, Unload: true, For: m.Name, Reason: reason, Load: load})
		return
	}
	if c.fetch {
		p.fetches--
	}
	p.moves = append(p.moves, Move{Engine: c.engine.Name, Model: m.Name, Fetch: c.fetch, Reason: reason, Load: load})
}
