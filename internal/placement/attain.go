package placement

import (
	"cmp"
	"slices"
)

// maxAdded is how many copies of one model a plan adds for the demand. What more
// it takes, later plans add.
const maxAdded = 4

// The planner's model of engines: the load of a model goes to its copies such
// that the fullest engine is as empty as may be, which is what a dispatcher by
// predicted times comes close to. An engine meets the goals of its load up to its
// limit. Engines share their slots among all they hold.

// spread distributes the demand over the copies of each model that pass.
func (d *draft) spread(passes func(p *place) bool) {
	for range spreadRounds {
		for i := range d.models {
			d.balanceOver(&d.models[i], passes)
		}
	}
}

const spreadRounds = 3

// usable tells whether the place serves, or is being loaded.
func (d *draft) usable(p *place) bool {
	return d.counts(p, tierFloor) || d.counts(p, tierUnreachable)
}

// balance distributes the demand of one model, the load of others given.
func (d *draft) balance(m *model) {
	d.balanceOver(m, d.usable)
}

func (d *draft) balanceOver(m *model, passes func(p *place) bool) {
	if m.rising == 0 {
		return
	}
	var space [32]int
	usable := space[:0]
	for i := range m.places {
		p := &m.places[i]
		d.sites[p.site].load -= p.load
		p.load = 0
		if passes(p) {
			usable = append(usable, i)
		}
	}
	slices.SortStableFunc(usable, func(a, b int) int {
		return cmp.Compare(d.fullness(m.places[a].site), d.fullness(m.places[b].site))
	})
	// The copies at the emptiest engines are filled up to one level.
	load, slots := m.rising, 0.0
	filled := 0
	for _, i := range usable {
		s := &d.sites[m.places[i].site]
		if filled > 0 && d.fullness(m.places[i].site) >= load/slots {
			break
		}
		load += s.load
		slots += max(s.slots, 1)
		filled++
	}
	for _, i := range usable[:filled] {
		p := &m.places[i]
		s := &d.sites[p.site]
		p.load = max(load/slots*max(s.slots, 1)-s.load, 0)
		s.load += p.load
	}
}

func (d *draft) fullness(site int) float64 {
	return d.sites[site].load / max(d.sites[site].slots, 1)
}

// relief returns how much of the model's load does not meet its goals where it
// is.
func (d *draft) relief(m *model) float64 {
	relief := 0.0
	for i := range m.places {
		p := &m.places[i]
		s := &d.sites[p.site]
		relief += min(max(s.load-s.limit(d.options), 0), p.load)
	}
	return relief
}

// attain plans copies that let more of the demand meet its goals.
func (d *draft) attain() {
	var short []int
	reliefs := make([]float64, len(d.models))
	for i := range d.models {
		m := &d.models[i]
		reliefs[i] = d.relief(m) * m.share
		if reliefs[i] > 0 && d.settled(need{m.declared.Name, tierDemand}) {
			short = append(short, i)
		}
	}
	slices.SortStableFunc(short, func(a, b int) int { return cmp.Compare(reliefs[b], reliefs[a]) })
	for _, i := range short {
		for range maxAdded {
			if !d.addForDemand(&d.models[i]) {
				break
			}
			d.rebalance(&d.models[i])
		}
	}
}

// addForDemand plans one copy if it gains more than it costs by the weight of
// moves. Otherwise addForDemand returns false.
func (d *draft) addForDemand(m *model) bool {
	q := search{model: m, tier: tierDemand, relief: d.relief(m)}
	horizon := d.options.Horizon.Seconds()
	if q.relief*m.share*horizon <= d.weight*d.moveCost(1) {
		return false
	}
	if o, others, ok := d.best(q); ok {
		s := &d.sites[o.site]
		gain := min(q.relief, max(s.limit(d.options)-s.load, 0)) * m.share * horizon
		if gain > d.weight*d.moveCost(len(o.picked)) {
			d.load(m, o, tierDemand, gain, others)
			return true
		}
	}
	e, ok := d.bestEviction(q)
	if !ok {
		return false
	}
	cost := d.moveCost(len(e.option.picked))
	for _, v := range e.victims {
		cost += d.moveCost(len(v.place.accelerators)) * unloadPart
	}
	if e.value*horizon <= d.weight*cost {
		return false
	}
	d.evict(m, e, tierDemand, (e.value+e.loss)*horizon)
	return true
}

// rebalance distributes the demand of all models that share an engine with m.
func (d *draft) rebalance(m *model) {
	for _, p := range m.places {
		for _, c := range d.sites[p.site].copies {
			if i, known := d.index[c.model]; known {
				d.balance(&d.models[i])
			}
		}
	}
}

// offered returns the demand in all.
func (d *draft) offered() float64 {
	offered := 0.0
	for i := range d.models {
		offered += d.models[i].rising
	}
	return offered
}

// served returns the load that meets its goals where it is.
func (d *draft) served() float64 {
	served := 0.0
	for i := range d.sites {
		served += min(d.sites[i].load, d.sites[i].limit(d.options))
	}
	return served
}
