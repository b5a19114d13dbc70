// Package stocking decides which engines hold which models while demand moves
// within seconds (replica placement).
//
// It is pure: what engines hold and what is asked for go in, and the moves that
// should be ordered now come out. Every plan begins with what is, so that a lost
// order or a new leader changes nothing but the input.
//
// Package placement plans for declared floors and patient moves, over minutes.
// Here the models that are asked for change faster than a load takes, and a move
// is cheap against the requests that it serves.
package stocking

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// Model is what a plan knows of a model.
type Model struct {
	Name      string
	Megabytes float64
	// Demand is the work that is asked for, in engines: 1 keeps one engine busy.
	Demand float64
	// Waiting is how many requests find no engine that holds the model.
	Waiting int
	// Idle says that nobody has asked for it for a while.
	Idle bool
	// Load is the time of a load from the weight store, WarmLoad of one from the
	// engine's memory and DiskLoad of one from its disk.
	Load, WarmLoad, DiskLoad time.Duration
}

// Engine is what a plan knows of an engine.
type Engine struct {
	Name      string
	Megabytes float64
	// Used is the memory that weights and adapters take.
	Used float64
	// Holds are the models that it can run. Coming is one that is being loaded, or
	// empty.
	Holds  []string
	Coming string
	// Closed says that no order can be given now.
	Closed bool
	// Leaving says that it takes no more requests.
	Leaving bool
	// InMemory and OnDisk are models that need not be fetched from the store.
	InMemory []string
	OnDisk   []string
}

// Move is an order that should be given now.
type Move struct {
	Engine string
	Model  string
	// Unload says that the model makes way, else it is loaded.
	Unload bool
	// Fetch says that the load takes from the weight store.
	Fetch  bool
	Reason Reason
	// Load is that of the busiest engine for the model, in engines, before the
	// move.
	Load float64
}

// Reason says what a move is for.
type Reason string

const (
	// Unreachable means that no engine holds the model.
	Unreachable Reason = "unreachable"
	// Demand means that the engines that hold the model have too much to do.
	Demand Reason = "demand"
	// Spare means that one engine alone holds the model, and memory is free.
	Spare Reason = "spare"
)

// Options configures a plan.
type Options struct {
	// Busy is the load of an engine, as a part of what it can do, from which on
	// its models get another copy.
	Busy float64
	// Gain is by how much a copy must relieve the busiest engine of a model, as a
	// part of its load.
	Gain float64
	// Orders is how many moves are begun at once.
	Orders int
	// Fetches is how many loads from the weight store may begin now.
	Fetches int
}

// Plan returns the moves to order now, the most urgent first.
func Plan(models []Model, engines []Engine, options Options) []Move {
	p := newPlanner(models, engines, options)
	p.reach(func(m *Model) bool { return m.Waiting > 0 || m.Demand > 0 })
	p.relieve()
	if !p.pressed {
		p.reach(func(*Model) bool { return true })
		p.spare()
	}
	return p.moves
}

// planner makes one plan.
type planner struct {
	options Options
	models  map[string]*Model
	// names are those of models, the one most asked for first.
	names   []string
	engines []*Engine
	// copies are the engines that hold a model or are loading it.
	copies map[string][]*Engine
	// loads are the loads of engines, in engines.
	loads   map[string]float64
	moves   []Move
	fetches int
	// pressed says that a model needs a copy now, whether it gets one or not: what
	// is free is kept for it.
	pressed bool
}

func newPlanner(models []Model, engines []Engine, options Options) *planner {
	p := &planner{
		options: options, models: map[string]*Model{}, copies: map[string][]*Engine{}, fetches: options.Fetches,
	}
	for i := range models {
		p.models[models[i].Name] = &models[i]
	}
	p.names = slices.SortedFunc(maps.Keys(p.models), func(a, b string) int {
		return cmp.Or(-cmp.Compare(p.models[a].Demand, p.models[b].Demand), cmp.Compare(a, b))
	})
	for i := range engines {
		e := &engines[i]
		if e.Leaving {
			continue
		}
		p.engines = append(p.engines, e)
		for _, name := range e.Holds {
			p.copies[name] = append(p.copies[name], e)
		}
		if e.Coming != "" && !slices.Contains(e.Holds, e.Coming) {
			p.copies[e.Coming] = append(p.copies[e.Coming], e)
		}
	}
	slices.SortFunc(p.engines, func(a, b *Engine) int { return cmp.Compare(a.Name, b.Name) })
	p.share()
	return p
}

// shareRounds is how often the demand is shared out anew. Each round moves a part
// of it to the engines that the last left with less; a few are enough for the
// small differences that a plan looks at.
const shareRounds = 6

// leastLoad keeps an engine without work from drawing all of it.
const leastLoad = 0.05

// share works out the loads of engines, with the demand for each model going to
// the engines that hold it and have least to do, as entry instances choose.
func (p *planner) share() {
	p.loads = map[string]float64{}
	for range shareRounds {
		next := map[string]float64{}
		for _, name := range p.names {
			total := 0.0
			for _, e := range p.copies[name] {
				total += 1 / (p.loads[e.Name] + leastLoad)
			}
			for _, e := range p.copies[name] {
				next[e.Name] += p.models[name].Demand / (p.loads[e.Name] + leastLoad) / total
			}
		}
		for name, load := range next {
			p.loads[name] = (p.loads[name] + load) / 2
		}
	}
}

// reach brings back models that no engine holds, of those that match, the ones
// that requests wait for first.
func (p *planner) reach(match func(*Model) bool) {
	missing := slices.DeleteFunc(slices.Clone(p.names), func(name string) bool {
		return len(p.copies[name]) > 0 || !match(p.models[name])
	})
	slices.SortStableFunc(missing, func(a, b string) int {
		return -cmp.Compare(p.models[a].Waiting, p.models[b].Waiting)
	})
	for _, name := range missing {
		asked := p.models[name].Waiting > 0 || p.models[name].Demand > 0
		p.pressed = p.pressed || asked
		p.place(p.models[name], Unreachable, 0)
	}
}

// relieve gives another copy to the models of engines that have too much to do,
// the busiest first.
func (p *planner) relieve() {
	for _, name := range p.names {
		model := p.models[name]
		copies := p.copies[name]
		if len(copies) == 0 || model.Demand == 0 {
			continue
		}
		idlest := p.loads[copies[0].Name]
		for _, e := range copies {
			idlest = min(idlest, p.loads[e.Name])
		}
		// Requests go to the copy with least to do: only if that one is busy, they
		// wait.
		if idlest > p.options.Busy {
			p.pressed = true
			p.place(model, Demand, idlest)
		}
	}
}

// riseShare is the part of the busiest model's demand that another model in
// demand must be able to take over, and risingShare the part from which on a model
// counts as one of these. Demand moves from the busiest model to the next within
// seconds, sooner than copies can be loaded.
const (
	riseShare   = 0.5
	risingShare = 0.1
)

// expected returns the demand that the copies of a model are prepared for.
func (p *planner) expected(model *Model) float64 {
	busiest := p.models[p.names[0]].Demand
	if model.Demand >= risingShare*busiest {
		return model.Demand + riseShare*busiest
	}
	return model.Demand
}

// spareShare is how much less a copy must be needed than the one that takes its
// place, so that two do not take turns.
const spareShare = 0.5

// spare prepares for demand that moves on and for engines that are lost, while
// nothing is pressing: the model whose copies would have most to do gets another.
func (p *planner) spare() {
	byNeed := slices.Clone(p.names)
	need := func(name string) float64 {
		return (p.expected(p.models[name]) + leastLoad) / float64(len(p.copies[name])+1)
	}
	slices.SortStableFunc(byNeed, func(a, b string) int { return -cmp.Compare(need(a), need(b)) })
	for _, name := range byNeed {
		if p.placeSpare(p.models[name], need(name)) {
			return
		}
	}
}

// placeSpare orders a spare copy of model, and reports whether it did. needed is
// how much each of its copies would have to do.
func (p *planner) placeSpare(model *Model, needed float64) bool {
	var best *candidate
	for _, e := range p.engines {
		c, ok := p.weigh(model, e, 0)
		if !ok || c.fetch && p.fetches < p.options.Fetches {
			continue
		}
		if c.victim != "" {
			others := float64(len(p.copies[c.victim]) - 1)
			// While nobody asks for anything, the many copies that a model began with
			// are all that is known of the demand to come.
			if others == 0 || p.models[p.names[0]].Demand == 0 {
				continue
			}
			if (p.expected(p.models[c.victim])+leastLoad)/others > spareShare*needed {
				continue
			}
		}
		if best == nil || c.cost < best.cost {
			best = &c
		}
	}
	if best == nil {
		return false
	}
	p.order(*best, model, Spare, 0)
	return true
}

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
