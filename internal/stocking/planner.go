package stocking

import (
	"cmp"
	"maps"
	"slices"
)

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
