package stocking

import (
	"cmp"
	"slices"
)

// planner makes one plan.
type planner struct {
	options Options
	// models are those that are known, the one most asked for first.
	models  []*stocked
	engines []*station
	moves   []Move
	fetches int
	// pressed says that a model needs a copy now, whether it gets one or not: what
	// is free is kept for it.
	pressed bool
}

// stocked is a model and the engines that hold it or are loading it.
type stocked struct {
	*Model
	copies []*station
	// present is how many of copies hold it already: the others are loading it.
	present int
	// ordered is how many of copies this plan has ordered or makes a place for.
	ordered int
}

// station is an engine that takes requests.
type station struct {
	*Engine
	// holds are the models of Holds that are known, and load the work that is asked
	// of the engine, in engines.
	holds []*stocked
	load  float64
}

func newPlanner(models []Model, engines []Engine, options Options) *planner {
	p := &planner{options: options, fetches: options.Fetches}
	known := make(map[string]*stocked, len(models))
	for i := range models {
		m := &stocked{Model: &models[i]}
		known[m.Name] = m
		p.models = append(p.models, m)
	}
	slices.SortFunc(p.models, func(a, b *stocked) int {
		return cmp.Or(-cmp.Compare(a.Demand, b.Demand), cmp.Compare(a.Name, b.Name))
	})
	for i := range engines {
		if !engines[i].Leaving {
			p.engines = append(p.engines, &station{Engine: &engines[i]})
		}
	}
	slices.SortFunc(p.engines, func(a, b *station) int { return cmp.Compare(a.Name, b.Name) })
	for _, e := range p.engines {
		for _, name := range e.Holds {
			if m := known[name]; m != nil && !(e.Narrow && m.Demand > 0) {
				e.holds = append(e.holds, m)
				m.copies = append(m.copies, e)
				m.present++
			}
		}
		if m := known[e.Coming]; m != nil && !slices.Contains(e.Holds, e.Coming) {
			m.copies = append(m.copies, e)
		}
	}
	p.share()
	return p
}

// busiest returns the highest demand for a model.
func (p *planner) busiest() float64 {
	if len(p.models) == 0 {
		return 0
	}
	return p.models[0].Demand
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
	next := make(map[*station]float64, len(p.engines))
	for range shareRounds {
		clear(next)
		for _, m := range p.models {
			if m.Demand == 0 {
				break
			}
			total := 0.0
			for _, e := range m.copies {
				total += 1 / (e.load + leastLoad)
			}
			for _, e := range m.copies {
				next[e] += m.Demand / (e.load + leastLoad) / total
			}
		}
		for _, e := range p.engines {
			e.load = (e.load + next[e]) / 2
		}
	}
}

// reach brings back models that no engine holds while nothing is pressing.
func (p *planner) reach() {
	for _, m := range p.models {
		if len(m.copies) == 0 {
			p.place(m, Unreachable, 0)
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
func (p *planner) expected(m *stocked) float64 {
	if busiest := p.busiest(); m.Demand >= risingShare*busiest {
		return m.Demand + riseShare*busiest
	}
	return m.Demand
}

// need returns how much each copy of a model would have to do if there were others
// beside it.
func (p *planner) need(m *stocked, others int) float64 {
	return (p.expected(m) + leastLoad) / float64(others+1)
}

// spareShare is how much less a copy must be needed than the one that takes its
// place, so that two do not take turns.
const spareShare = 0.5

// spare prepares for demand that moves on and for engines that are lost, while
// nothing is pressing: the model whose copies would have most to do gets another.
func (p *planner) spare() {
	byNeed := slices.Clone(p.models)
	slices.SortStableFunc(byNeed, func(a, b *stocked) int {
		return -cmp.Compare(p.need(a, len(a.copies)), p.need(b, len(b.copies)))
	})
	for _, m := range byNeed {
		if p.placeSpare(m, p.need(m, len(m.copies))) {
			return
		}
	}
}

// placeSpare orders a spare copy of a model, and reports whether it did. needed is
// how much each of its copies would have to do.
func (p *planner) placeSpare(m *stocked, needed float64) bool {
	var best candidate
	for _, e := range p.engines {
		c, ok := p.weigh(m, e, 0)
		if !ok || c.fetch && p.fetches < p.options.Fetches || !p.spares(c.victim, needed) {
			continue
		}
		if best.engine == nil || c.cost < best.cost {
			best = c
		}
	}
	if best.engine == nil {
		return false
	}
	p.order(best, m, Spare, 0)
	return true
}

// spares reports whether a model can do without a copy for one that is needed so
// much. victim may be nil.
func (p *planner) spares(victim *stocked, needed float64) bool {
	if victim == nil {
		return true
	}
	others := len(victim.copies) - 1
	// While nobody asks for anything, the many copies that a model began with are all
	// that is known of the demand to come.
	if others == 0 || p.busiest() == 0 {
		return false
	}
	return p.need(victim, others-1) <= spareShare*needed
}
