package placement

import (
	"cmp"
	"slices"

	"github.com/lovagelift/lovagelift/internal/upstreamapi"
)

// victim is a copy that can be unloaded to make room.
type victim struct {
	// model is an index of draft.models, or -1 if the model is not declared.
	model  int
	placed *placedCopy
	// lostLoad is how much less load is served without the copy, weighted by
	// the share of the model.
	lostLoad float64
}

// victimsAt returns the copies on the engine that a need of the tier may evict,
// in the order of their lost load.
//
// A copy may be evicted only if stable copies on other engines serve the model
// and each adapter beside it. Copies that an open order may remove or is still
// loading do not count, so no move makes a model unreachable, even if every
// answer to an order is lost.
func (d *draft) victimsAt(engine int, t tier) []victim {
	s := &d.engines[engine]
	var victims []victim
	for c := range s.copies {
		j, known := d.modelIndex[s.copies[c].model]
		if !known {
			if s.copies[c].phase == PhaseReady && !d.unloadPlanned(s.name, &s.copies[c]) {
				victims = append(victims, victim{model: -1, placed: &placedCopy{modelCopy: s.copies[c], engine: engine}})
			}
			continue
		}
		m := &d.models[j]
		p := m.copyAt(engine, s.copies[c].version)
		if p == nil || !d.canRemove(m, p, t) {
			continue
		}
		victims = append(victims, victim{model: j, placed: p, lostLoad: d.lossWithout(m, p)})
	}
	slices.SortStableFunc(victims, func(a, b victim) int {
		return cmp.Or(a.compare(b), cmp.Compare(b.placed.bytes, a.placed.bytes))
	})
	return victims
}

// compare orders victims by their lost load, and those with the same lost load
// with undeclared models first.
func (v victim) compare(other victim) int {
	return cmp.Or(cmp.Compare(v.lostLoad, other.lostLoad), cmp.Compare(v.declaredCount(), other.declaredCount()))
}

// declaredCount returns 1 if the model is declared, otherwise 0.
func (v victim) declaredCount() int {
	if v.model < 0 {
		return 0
	}
	return 1
}

// unloadPlanned reports whether the draft already has an unload of the copy.
func (d *draft) unloadPlanned(engine string, c *modelCopy) bool {
	return slices.ContainsFunc(d.moves, func(ranked rankedMove) bool {
		return ranked.move.Engine == engine && ranked.move.Order.Kind == upstreamapi.OrderUnloadModel &&
			ranked.move.Order.Model == c.model && ranked.move.Order.Version == c.version
	})
}

func (m *model) copyAt(engine int, version string) *placedCopy {
	for i := range m.copies {
		if m.copies[i].engine == engine && m.copies[i].version == version {
			return &m.copies[i]
		}
	}
	return nil
}

// canRemove reports whether a need of the tier may remove the copy: stable
// copies on other engines must leave the coverage that the tier protects, and
// serve each adapter of the copy.
func (d *draft) canRemove(m *model, p *placedCopy, t tier) bool {
	if p.phase != PhaseReady || p.changingVersion || !d.engines[p.engine].acceptsOrders {
		return false
	}
	remaining := d.stableCoverageExcept(m, p.engine)
	required := coverage{copies: 1, domains: 1}
	switch {
	case t == tierFloor:
		required = m.floor
	case t >= tierRedundancy:
		required = m.redundant
	}
	if remaining.copies < max(required.copies, 1) || remaining.domains < max(required.domains, 1) {
		return false
	}
	for _, a := range p.adapters {
		if a.phase == PhaseReady && m.declares(a.name) && !d.servesAdapterElsewhere(m, a.name, p.engine) {
			return false
		}
	}
	return true
}

func (m *model) declares(adapterName string) bool {
	return slices.ContainsFunc(m.adapters, func(a adapter) bool { return a.name == adapterName })
}

// servesAdapterElsewhere reports whether a stable copy on another engine has
// the adapter beside it.
func (d *draft) servesAdapterElsewhere(m *model, name string, exceptEngine int) bool {
	for i := range m.copies {
		p := &m.copies[i]
		if p.engine == exceptEngine || !d.isStable(p) {
			continue
		}
		if a := p.findAdapter(name); a != nil && a.phase == PhaseReady {
			return true
		}
	}
	return false
}

// lossWithout returns how much of the copy's load the model's other copies
// could not serve, weighted by the share of the model.
func (d *draft) lossWithout(m *model, p *placedCopy) float64 {
	load := p.load
	if m.scaleUpLoad > 0 {
		load *= max(m.retainedLoad/m.scaleUpLoad, 1)
	} else {
		load = max(load, m.retainedLoad/float64(max(len(m.copies), 1)))
	}
	for i := range m.copies {
		other := &m.copies[i]
		if other.engine != p.engine && d.isStable(other) {
			s := &d.engines[other.engine]
			load -= max(s.goalCapacity(d.options)-s.load, 0)
		}
	}
	return max(load, 0) * m.share
}

// eviction is a candidate for a copy, with the victims to unload for it.
type eviction struct {
	candidate candidate
	victims   []victim
	lostLoad  float64
	// netGain is the load that is served more after the eviction, negative if
	// it is less, weighted by the shares of the models.
	netGain float64
}

// better reports whether e has a higher net gain than other, or the same with
// fewer unloads of declared models, or the same again with fewer unloads.
func (e eviction) better(other eviction) bool {
	declaredHere, declaredOther := 0, 0
	for _, v := range e.victims {
		declaredHere += v.declaredCount()
	}
	for _, v := range other.victims {
		declaredOther += v.declaredCount()
	}
	return cmp.Or(
		cmp.Compare(e.netGain, other.netGain), cmp.Compare(declaredOther, declaredHere), cmp.Compare(len(other.victims), len(e.victims)),
	) > 0
}

// makeRoom plans the best eviction for a copy, and the load that follows it. It
// returns false if there is none.
func (d *draft) makeRoom(q search) bool {
	found, ok := d.bestEviction(q)
	if !ok {
		return false
	}
	d.planEviction(q.model, found, q.tier, 0)
	return true
}

// planEviction plans the unloads of an eviction and the load that follows them.
func (d *draft) planEviction(m *model, e eviction, t tier, gain float64) {
	for _, v := range e.victims {
		d.planUnload(v, t, m.declared.Name, m)
	}
	d.planLoad(m, e.candidate, t, gain, nil)
}

// bestEviction returns the best eviction for another copy, or false if there is
// none.
func (d *draft) bestEviction(q search) (eviction, bool) {
	var found eviction
	ok := false
	for i := range d.engines {
		s := &d.engines[i]
		if d.isExcluded(q, i) || q.requireNewDomain && d.coversDomain(q, s.domain) {
			continue
		}
		victims := d.victimsAt(i, q.tier)
		if len(victims) == 0 {
			continue
		}
		for _, f := range q.model.footprints(false) {
			e, fits := d.evictionAt(i, f, victims, q.tier)
			e.netGain = min(q.excessLoad, max(s.goalCapacity(d.options)-s.load, 0))*q.model.share - e.lostLoad
			if fits && (!ok || e.better(found)) {
				found, ok = e, true
			}
		}
	}
	return found, ok
}

// evictionAt selects victims in the given order until enough accelerators of
// the engine have room. It returns false if they never do, or if the reserve
// would be used up.
func (d *draft) evictionAt(engine int, f footprint, victims []victim, t tier) (eviction, bool) {
	s := &d.engines[engine]
	laterFree := make([]int64, len(s.accelerators))
	for a := range s.accelerators {
		laterFree[a] = s.accelerators[a].laterFree
	}
	e := eviction{candidate: candidate{engine: engine, layout: f.layout, bytes: f.bytes, needsUnloads: true}}
	freed := int64(0)
	for _, v := range victims {
		useful := false
		for a := range s.accelerators {
			if slices.Contains(v.placed.accelerators, s.accelerators[a].name) && laterFree[a] < f.bytes {
				useful = true
			}
		}
		if !useful {
			continue
		}
		for a := range s.accelerators {
			if slices.Contains(v.placed.accelerators, s.accelerators[a].name) {
				laterFree[a] += v.placed.bytes + v.placed.adapterReserve
				freed += v.placed.bytes + v.placed.adapterReserve
			}
		}
		e.victims = append(e.victims, v)
		e.lostLoad += v.lostLoad
		e.candidate.accelerators = acceleratorsWithRoom(laterFree, f.bytes, f.layout.Accelerators)
		if len(e.candidate.accelerators) == f.layout.Accelerators {
			e = d.withoutUselessVictims(engine, f, e)
			totalBytes := f.bytes * int64(f.layout.Accelerators)
			return e, t < tierRedundancy || d.laterFreeBytes+freed-totalBytes >= d.reserveBytes
		}
	}
	return eviction{}, false
}

// withoutUselessVictims drops the victims that free nothing the copy needs on
// the selected accelerators.
func (d *draft) withoutUselessVictims(engine int, f footprint, e eviction) eviction {
	s := &d.engines[engine]
	kept := e.victims[:0:0]
	lostLoad := 0.0
	for _, v := range e.victims {
		helps := slices.ContainsFunc(e.candidate.accelerators, func(a int) bool {
			return slices.Contains(v.placed.accelerators, s.accelerators[a].name) && s.accelerators[a].laterFree < f.bytes
		})
		if helps {
			kept = append(kept, v)
			lostLoad += v.lostLoad
		}
	}
	e.victims, e.lostLoad = kept, lostLoad
	return e
}

// acceleratorsWithRoom returns the first count accelerators with enough room,
// or fewer if there are not that many.
func acceleratorsWithRoom(laterFree []int64, bytes int64, count int) []int {
	var indexes []int
	for a := range laterFree {
		if laterFree[a] >= bytes && len(indexes) < count {
			indexes = append(indexes, a)
		}
	}
	return indexes
}

// planUnload plans the unload of a copy. It makes room for the model m, named
// forModel, or refills the reserve if m is nil and forModel is empty.
func (d *draft) planUnload(v victim, t tier, forModel string, m *model) {
	p := v.placed
	s := &d.engines[p.engine]
	move := Move{
		Engine: s.name,
		Order: upstreamapi.Order{
			Kind: upstreamapi.OrderUnloadModel, Model: p.model, Version: p.version,
		},
		Reason: t.reason(), MakesRoomFor: forModel, Gain: -v.lostLoad * d.options.Horizon.Seconds(),
		Cost: d.loadCost(len(p.accelerators)) * unloadCostFactor, Weight: d.weightOfMoves,
	}
	if forModel == "" {
		move.Reason = ReasonReserve
	}
	ranked := rankedMove{move: move, tier: t}
	if m != nil {
		ranked.priority, ranked.rank = m.priority, -m.share*m.scaleUpLoad
	}
	d.moves = append(d.moves, ranked)
	bytes := p.bytes + p.adapterReserve
	p.adapterReserve = 0
	s.copyCount--
	for _, a := range p.adapters {
		if a.phase == PhaseReady {
			bytes += a.bytes
		}
	}
	for a := range s.accelerators {
		if slices.Contains(p.accelerators, s.accelerators[a].name) {
			s.accelerators[a].laterFree += bytes
			d.laterFreeBytes += bytes
		}
	}
	if v.model >= 0 {
		p.phase = PhaseUnloading
		d.balance(&d.models[v.model])
	}
}

// refillReserve plans unloads of copies that no tier requires, those with the
// least lost load first, until the reserve of the preset is free.
func (d *draft) refillReserve() {
	if d.laterFreeBytes >= d.reserveBytes {
		return
	}
	if !d.isDue(need{"", tierRedundancy}) {
		return
	}
	for d.laterFreeBytes < d.reserveBytes {
		var found *victim
		for i := range d.engines {
			if !d.engines[i].acceptsOrders {
				continue
			}
			if victims := d.victimsAt(i, tierDemand); len(victims) > 0 && (found == nil || victims[0].compare(*found) < 0) {
				found = &victims[0]
			}
		}
		if found == nil {
			return
		}
		d.planUnload(*found, tierDemand, "", nil)
	}
}
