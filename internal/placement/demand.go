package placement

import (
	"cmp"
	"slices"
)

// maxCopiesAdded is how many copies of one model a plan adds for demand. Later
// plans add more if they are needed.
const maxCopiesAdded = 4

// distributeLoad distributes the demand over the copies that pass. It assumes
// that the load of a model is balanced over its copies so that the highest
// utilization is as low as possible, which a dispatcher by predicted times
// comes close to. The models and adapters of an engine share its slots, and its
// requests meet their goals up to goalCapacity.
func (d *draft) distributeLoad(passes func(p *placedCopy) bool) {
	for range balanceRounds {
		for i := range d.models {
			d.balanceOver(&d.models[i], passes)
		}
	}
}

// balanceRounds is how often all models are balanced in turn, because the load
// of each depends on that of the others at the same engines.
const balanceRounds = 3

// servesOrLoads reports whether the copy serves or is being loaded.
func (d *draft) servesOrLoads(p *placedCopy) bool {
	return d.countsFor(p, tierFloor) || d.countsFor(p, tierUnreachable)
}

// balance distributes the demand of one model while the load of the others
// stays as it is.
func (d *draft) balance(m *model) {
	d.balanceOver(m, d.servesOrLoads)
}

// balanceOver distributes the demand of one model over its copies that pass.
func (d *draft) balanceOver(m *model, passes func(p *placedCopy) bool) {
	if m.scaleUpLoad == 0 {
		return
	}
	var indexSpace [32]int
	passing := indexSpace[:0]
	for i := range m.copies {
		p := &m.copies[i]
		d.engines[p.engine].load -= p.load
		p.load = 0
		if passes(p) {
			passing = append(passing, i)
		}
	}
	slices.SortStableFunc(passing, func(a, b int) int {
		return cmp.Compare(d.utilization(m.copies[a].engine), d.utilization(m.copies[b].engine))
	})
	// Fill up the copies on the least utilized engines to one common level.
	load, slots := m.scaleUpLoad, 0.0
	filled := 0
	for _, i := range passing {
		s := &d.engines[m.copies[i].engine]
		if filled > 0 && d.utilization(m.copies[i].engine) >= load/slots {
			break
		}
		load += s.load
		slots += max(s.slots, 1)
		filled++
	}
	for _, i := range passing[:filled] {
		p := &m.copies[i]
		s := &d.engines[p.engine]
		p.load = max(load/slots*max(s.slots, 1)-s.load, 0)
		s.load += p.load
	}
}

func (d *draft) utilization(engine int) float64 {
	return d.engines[engine].load / max(d.engines[engine].slots, 1)
}

// excessLoad returns how much of the model's load is above the goal capacity of
// its engines.
func (d *draft) excessLoad(m *model) float64 {
	excess := 0.0
	for i := range m.copies {
		p := &m.copies[i]
		s := &d.engines[p.engine]
		excess += min(max(s.load-s.goalCapacity(d.options), 0), p.load)
	}
	return excess
}

// meetDemand plans copies that let more of the demand meet its goals, for the
// models with the largest weighted excess load first.
func (d *draft) meetDemand() {
	var overloaded []int
	weightedExcess := make([]float64, len(d.models))
	for i := range d.models {
		m := &d.models[i]
		weightedExcess[i] = d.excessLoad(m) * m.share
		if weightedExcess[i] > 0 && d.isDue(need{m.declared.Name, tierDemand}) {
			overloaded = append(overloaded, i)
		}
	}
	slices.SortStableFunc(overloaded, func(a, b int) int { return cmp.Compare(weightedExcess[b], weightedExcess[a]) })
	for _, i := range overloaded {
		for range maxCopiesAdded {
			if !d.addForDemand(&d.models[i]) {
				break
			}
			d.rebalance(&d.models[i])
		}
	}
}

// addForDemand plans one copy if its gain exceeds its cost times the weight of
// moves, and otherwise returns false.
func (d *draft) addForDemand(m *model) bool {
	q := search{model: m, tier: tierDemand, excessLoad: d.excessLoad(m)}
	horizon := d.options.Horizon.Seconds()
	if q.excessLoad*m.share*horizon <= d.weightOfMoves*d.loadCost(1) {
		return false
	}
	if found, alternatives, ok := d.bestCandidate(q); ok {
		s := &d.engines[found.engine]
		gain := min(q.excessLoad, max(s.goalCapacity(d.options)-s.load, 0)) * m.share * horizon
		if gain > d.weightOfMoves*d.loadCost(len(found.accelerators)) {
			d.planLoad(m, found, tierDemand, gain, alternatives)
			return true
		}
	}
	e, ok := d.bestEviction(q)
	if !ok {
		return false
	}
	cost := d.loadCost(len(e.candidate.accelerators))
	for _, v := range e.victims {
		cost += d.loadCost(len(v.placed.accelerators)) * unloadCostFactor
	}
	if e.netGain*horizon <= d.weightOfMoves*cost {
		return false
	}
	d.planEviction(m, e, tierDemand, (e.netGain+e.lostLoad)*horizon)
	return true
}

// rebalance distributes the demand of all models that share an engine with m.
func (d *draft) rebalance(m *model) {
	for _, p := range m.copies {
		for _, c := range d.engines[p.engine].copies {
			if i, known := d.modelIndex[c.model]; known {
				d.balance(&d.models[i])
			}
		}
	}
}

// offeredLoad returns the total demand.
func (d *draft) offeredLoad() float64 {
	offered := 0.0
	for i := range d.models {
		offered += d.models[i].scaleUpLoad
	}
	return offered
}

// servedLoad returns the load that meets its goals as it is distributed now.
func (d *draft) servedLoad() float64 {
	served := 0.0
	for i := range d.engines {
		served += min(d.engines[i].load, d.engines[i].goalCapacity(d.options))
	}
	return served
}
