package placement

import (
	"cmp"
	"slices"

	"github.com/lovagelift/lovagelift/internal/demand"
)

// finish returns the plan with its moves sorted by urgency. Loads beyond the
// limits of the weight store become deferred moves.
func (d *draft) finish() Plan {
	plan := Plan{
		Unreachable: d.unreachable(),
		Problems:    d.problems,
		Offered:     d.offeredLoad(),
		models:      d.models,
		engines:     d.engines,
	}
	slices.SortStableFunc(d.moves, func(a, b rankedMove) int {
		return cmp.Or(cmp.Compare(a.tier, b.tier), cmp.Compare(a.priority, b.priority), cmp.Compare(a.rank, b.rank))
	})
	tokens, concurrent := d.loadAllowance()
	for _, ranked := range d.moves {
		m := ranked.move
		if m.isLoad() && m.WaitsFor == "" {
			if tokens < 1 || concurrent < 1 {
				m.WaitsFor = WaitWeightStore
			} else {
				tokens--
				concurrent--
			}
		}
		if m.WaitsFor == "" {
			plan.Moves = append(plan.Moves, m)
		} else {
			plan.Deferred = append(plan.Deferred, m)
		}
	}
	plan.Served = d.currentlyServed
	plan.Next = State{plannedAt: d.now, loadTokens: tokens, unmetSince: d.unmetSince}
	return plan
}

// unlimited is the allowance without a limit, in loads.
const unlimited = 1 << 30

// loadAllowance returns how many loads may start now: by the rate of the weight
// store (token bucket), and by its limit on concurrent loads.
func (d *draft) loadAllowance() (tokens float64, concurrent int) {
	tokens, concurrent = unlimited, unlimited
	if rate := d.input.WeightStore.LoadsPerSecond; rate > 0 {
		// The bucket holds the loads of one second, plus one for the fraction
		// of a load that is left over between plans one second apart.
		capacity := rate + 1
		tokens = capacity
		if last := d.input.Previous; !last.plannedAt.IsZero() {
			tokens = min(last.loadTokens+rate*max(d.now.Sub(last.plannedAt).Seconds(), 0), capacity)
		}
	}
	if maxConcurrent := d.input.WeightStore.MaxConcurrentLoads; maxConcurrent > 0 {
		concurrent = maxConcurrent
		for i := range d.engines {
			if d.engines[i].status != Lost {
				concurrent -= d.engines[i].openLoads
			}
		}
	}
	return tokens, concurrent
}

// unreachable returns the models and adapters that no engine serves now.
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

// reachable reports whether an engine can serve a request for the model, or for
// an adapter beside it, now. Copies that only moves of this plan remove still
// count.
func (d *draft) reachable(m *model, adapterName string) bool {
	return slices.ContainsFunc(m.copies, func(p placedCopy) bool {
		s := &d.engines[p.engine]
		c := s.findCopy(p.model, p.version)
		if s.status != Serving || c == nil || !serves(c.phase) {
			return false
		}
		if adapterName == "" {
			return true
		}
		a := c.findAdapter(adapterName)
		return a != nil && serves(a.phase)
	})
}

func serves(p Phase) bool {
	return p == PhaseReady || p == PhaseUnverified || p == PhaseUnloading
}
