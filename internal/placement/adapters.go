package placement

import (
	"math"
	"slices"

	"github.com/lovagelift/lovagelift/internal/upstreamapi"
)

// meetAdapters plans loads of the adapters that the tier requires and that are
// missing, each beside a present copy of its model.
func (d *draft) meetAdapters(t tier) {
	for i := range d.models {
		m := &d.models[i]
		for j := range m.adapters {
			a := &m.adapters[j]
			required := d.requiredAdapterCopies(m, a, t)
			if d.adapterCopyCount(m, a.name, t) >= required {
				continue
			}
			if !d.isDue(need{m.declared.Name + "/" + a.name, t}) {
				continue
			}
			for d.adapterCopyCount(m, a.name, t) < required && d.addAdapter(m, a, t) {
				continue
			}
		}
	}
}

// requiredAdapterCopies returns how many copies of the model must have the
// adapter beside them. For redundancy, that is the number of copies that the
// model itself needs, or more if the adapter has a large part of the model's
// demand.
func (d *draft) requiredAdapterCopies(m *model, a *adapter, t tier) int {
	if t == tierUnreachable {
		return 1
	}
	copies := d.coverageOf(m, func(p *placedCopy) bool {
		return d.isStable(p) && p.version == m.declared.Version && d.engines[p.engine].supportsAdapters && d.engines[p.engine].acceptsOrders
	}).copies
	required := m.redundant.copies
	if m.scaleUpLoad > 0 {
		required = max(required, int(math.Ceil(a.scaleUpLoad/m.scaleUpLoad*adapterHeadroom*float64(copies))))
	}
	return min(required, copies)
}

// adapterHeadroom is how many times its proportional share of the copies an
// adapter gets.
const adapterHeadroom = 1.5

// adapterCopyCount returns how many copies of the model have the adapter beside
// them. For tierUnreachable, copies of any version count.
func (d *draft) adapterCopyCount(m *model, name string, t tier) int {
	return d.coverageOf(m, func(p *placedCopy) bool {
		if !d.countsFor(p, t) || t != tierUnreachable && p.version != m.declared.Version {
			return false
		}
		a := p.findAdapter(name)
		if a == nil {
			return false
		}
		return d.countsFor(&placedCopy{modelCopy: modelCopy{phase: a.phase}, engine: p.engine}, t)
	}).copies
}

// addCopyForAdapter plans another copy of the model for an adapter that no
// engine serves and no present copy has memory for. A later plan loads the
// adapter.
func (d *draft) addCopyForAdapter(m *model, a *adapter) {
	copyComing := slices.ContainsFunc(m.copies, func(p placedCopy) bool {
		return p.findAdapter(a.name) == nil && (p.phase == PhasePlanned || p.phase == PhaseLoading)
	})
	if copyComing || len(m.copies) == 0 {
		return
	}
	present := d.coverageFor(m, tierUnreachable)
	d.addCopy(m, tierUnreachable, present, coverage{copies: present.copies + 1, domains: 1})
}

// addAdapter plans one load of the adapter. It returns false if no copy of the
// model has enough memory beside it.
func (d *draft) addAdapter(m *model, a *adapter, t tier) bool {
	var found *placedCopy
	score := 0.0
	for i := range m.copies {
		p := &m.copies[i]
		s := &d.engines[p.engine]
		eligible := d.isStable(p) && p.version == m.declared.Version && s.acceptsOrders && s.supportsAdapters && p.findAdapter(a.name) == nil
		if !eligible || d.isAvoided(p.engine, m.declared.Name, a.name) || !d.hasFreeMemory(p, a.bytes-min(p.adapterReserve, a.bytes)) {
			continue
		}
		candidateScore := 1 - min(d.utilization(p.engine), 1)
		if !d.adapterInDomain(m, a.name, s.domain) {
			candidateScore += scoreNewDomain
		}
		if found == nil || candidateScore > score {
			found, score = p, candidateScore
		}
	}
	if found == nil {
		if t == tierUnreachable {
			d.addCopyForAdapter(m, a)
		}
		return false
	}
	s := &d.engines[found.engine]
	indexes := s.acceleratorIndexes(found.accelerators)
	reserved := min(found.adapterReserve, a.bytes)
	found.adapterReserve -= reserved
	d.allocate(found.engine, indexes, a.bytes-reserved)
	found.adapters = append(found.adapters, adapterCopy{name: a.name, phase: PhasePlanned, bytes: a.bytes})
	d.moves = append(d.moves, rankedMove{
		move: Move{
			Engine: s.name,
			Order: upstreamapi.Order{
				Kind: upstreamapi.OrderLoadAdapter, Model: m.declared.Name, Version: found.version, Adapter: a.name,
				Accelerators: found.accelerators, MemoryBytes: a.bytes,
			},
			Reason: t.reason(), Cost: d.loadCost(len(indexes)) * adapterCostFactor, Weight: d.weightOfMoves,
		},
		tier: t, priority: m.priority, rank: -m.share * a.scaleUpLoad,
	})
	return true
}

// adapterCostFactor is the cost of loading an adapter as a fraction of the cost
// of loading a model.
const adapterCostFactor = 0.1

func (d *draft) adapterInDomain(m *model, name string, domain int) bool {
	for i := range m.copies {
		p := &m.copies[i]
		if d.engines[p.engine].domain == domain && p.findAdapter(name) != nil {
			return true
		}
	}
	return false
}

// hasFreeMemory reports whether each accelerator of the copy has that many
// bytes free now.
func (d *draft) hasFreeMemory(p *placedCopy, bytes int64) bool {
	s := &d.engines[p.engine]
	for a := range s.accelerators {
		if slices.Contains(p.accelerators, s.accelerators[a].name) && s.accelerators[a].freeFor(false) < bytes {
			return false
		}
	}
	return true
}
