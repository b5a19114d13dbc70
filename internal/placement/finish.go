package placement

import (
	"cmp"
	"slices"

	"github.com/lovagelift/lovagelift/internal/demand"
)

// finish puts the wanted moves in the order of their urgency and lets those go
// that the weight store allows.
func (d *draft) finish() Plan {
	plan := Plan{
		Unreachable: d.unreachable(),
		Problems:    d.problems,
		Offered:     d.offered(),
		models:      d.models,
		sites:       d.sites,
	}
	slices.SortStableFunc(d.wants, func(a, b want) int {
		return cmp.Or(cmp.Compare(a.tier, b.tier), cmp.Compare(a.priority, b.priority), cmp.Compare(a.rank, b.rank))
	})
	tokens, slots := d.allowance()
	for _, w := range d.wants {
		m := w.move
		if m.loads() && m.Waits == "" {
			if tokens < 1 || slots < 1 {
				m.Waits = WaitWeightStore
			} else {
				tokens--
				slots--
			}
		}
		if m.Waits == "" {
			plan.Moves = append(plan.Moves, m)
		} else {
			plan.Waiting = append(plan.Waiting, m)
		}
	}
	plan.Served = d.servedNow
	plan.Next = State{at: d.now, tokens: tokens, since: d.since}
	return plan
}

// unlimited stands for no limit.
const unlimited = 1 << 30

// allowance returns how many loads may start now by the rate of the weight store
// (token bucket), and how many by the loads that are under way.
func (d *draft) allowance() (tokens float64, slots int) {
	tokens, slots = unlimited, unlimited
	if rate := d.in.WeightStore.LoadsPerSecond; rate > 0 {
		// The bucket holds a second's loads and the fraction of one that plans a
		// second apart leave over.
		full := rate + 1
		tokens = full
		if last := d.in.Previous; !last.at.IsZero() {
			tokens = min(last.tokens+rate*max(d.now.Sub(last.at).Seconds(), 0), full)
		}
	}
	if most := d.in.WeightStore.Concurrent; most > 0 {
		slots = most
		for i := range d.sites {
			if d.sites[i].standing != Lost {
				slots -= d.sites[i].loading
			}
		}
	}
	return tokens, slots
}

// unreachable returns what no engine can serve now.
func (d *draft) unreachable() []demand.Target {
	var list []demand.Target
	for i := range d.models {
		m := &d.models[i]
		if !d.reachable(m, "") {
			list = append(list, demand.Target{Model: m.declared.Name})
		}
		for _, a := range m.adapters {
			if !d.reachable(m, a.name) {
				list = append(list, demand.Target{Model: m.declared.Name, Adapter: a.name})
			}
		}
	}
	return list
}

// reachable tells whether a request for the model, or for an adapter beside it,
// can be served now. What a move of this plan will remove still can.
func (d *draft) reachable(m *model, adapterName string) bool {
	return slices.ContainsFunc(m.places, func(p place) bool {
		s := &d.sites[p.site]
		c := s.find(p.model, p.version)
		if s.standing != Serving || c == nil || !serves(c.phase) {
			return false
		}
		if adapterName == "" {
			return true
		}
		a := c.adapter(adapterName)
		return a != nil && serves(a.phase)
	})
}

func serves(p Phase) bool {
	return p == PhaseReady || p == PhaseUnproved || p == PhaseGoing
}
