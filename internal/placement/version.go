package placement

import (
	"slices"

	"github.com/lovagelift/lovagelift/internal/upstreamapi"
)

// changeVersions replaces copies of other versions by copies of the declared
// one, one copy of each model at a time.
func (d *draft) changeVersions() {
	for i := range d.models {
		m := &d.models[i]
		old := d.outdatedCopy(m)
		if old == nil || d.versionChangeOpen(m) {
			continue
		}
		if d.changeInPlace(m, old) {
			continue
		}
		d.changeByNewCopy(m, old)
	}
}

// outdatedCopy returns a stable copy of another version than the declared one,
// or nil.
func (d *draft) outdatedCopy(m *model) *placedCopy {
	i := slices.IndexFunc(m.copies, func(p placedCopy) bool {
		return p.version != m.declared.Version && d.isStable(&p) && d.engines[p.engine].acceptsOrders
	})
	if i < 0 {
		return nil
	}
	return &m.copies[i]
}

// versionChangeOpen reports whether an open order already changes a copy of the
// model.
func (d *draft) versionChangeOpen(m *model) bool {
	return slices.ContainsFunc(m.copies, func(p placedCopy) bool {
		return d.engines[p.engine].status == Serving && p.phase != PhaseUnverified && (p.phase != PhaseReady || p.changingVersion)
	})
}

// changeInPlace plans a version change on an engine that loads the new version
// beside the old one and then switches over. The new version starts without
// adapters, so other engines must serve all adapters of the copy. It returns
// false if no such change is possible.
func (d *draft) changeInPlace(m *model, old *placedCopy) bool {
	s := &d.engines[old.engine]
	layout := slices.IndexFunc(m.footprints(false), func(f footprint) bool { return f.layout.Accelerators == len(old.accelerators) })
	if !s.supportsVersionChanges || layout < 0 {
		return false
	}
	bytes := m.footprints(false)[layout].bytes
	if !d.hasFreeMemory(old, bytes) || !d.servesAdaptersElsewhere(m, old) {
		return false
	}
	indexes := s.acceleratorIndexes(old.accelerators)
	d.allocate(old.engine, indexes, bytes)
	d.addMove(m, tierRedundancy, Move{
		Engine: s.name,
		Order: upstreamapi.Order{
			Kind: upstreamapi.OrderChangeVersion, Model: m.declared.Name, Version: m.declared.Version,
			FromVersion: old.version, Accelerators: old.accelerators, MemoryBytes: bytes,
		},
		Reason: ReasonVersion, Cost: d.loadCost(len(indexes)), Weight: d.weightOfMoves,
	})
	old.changingVersion = true
	return true
}

// servesAdaptersElsewhere reports whether other engines serve all adapters of
// the copy.
func (d *draft) servesAdaptersElsewhere(m *model, p *placedCopy) bool {
	return !slices.ContainsFunc(p.adapters, func(a adapterCopy) bool {
		return a.phase == PhaseReady && m.declares(a.name) && !d.servesAdapterElsewhere(m, a.name, p.engine)
	})
}

// changeByNewCopy plans a new copy of the declared version. If there already is
// a stable one, it instead plans to unload the old copy, unless that would make
// the model or an adapter unreachable. Later plans load the copies that are
// missing then.
func (d *draft) changeByNewCopy(m *model, old *placedCopy) {
	replaced := slices.ContainsFunc(m.copies, func(p placedCopy) bool {
		return p.version == m.declared.Version && d.isStable(&p)
	})
	if replaced {
		if d.canRemove(m, old, tierUnreachable) || d.isReplacedAtEngine(m, old) {
			d.planUnload(victim{model: d.modelIndex[m.declared.Name], placed: old}, tierRedundancy, m.declared.Name, m)
			d.moves[len(d.moves)-1].move.Reason = ReasonVersion
		}
		return
	}
	q := search{model: m, tier: tierFloor, allowOtherVersion: true}
	if found, alternatives, ok := d.bestCandidate(q); ok {
		d.planLoad(m, found, tierFloor, 0, alternatives)
		d.moves[len(d.moves)-1].move.Reason = ReasonVersion
		return
	}
	d.makeRoom(q)
}

// isReplacedAtEngine reports whether the same engine has a stable copy of the
// declared version, and every adapter of the old copy is served beside it or
// elsewhere.
func (d *draft) isReplacedAtEngine(m *model, old *placedCopy) bool {
	p := m.copyAt(old.engine, m.declared.Version)
	if p == nil || !d.isStable(p) || old.phase != PhaseReady {
		return false
	}
	return !slices.ContainsFunc(old.adapters, func(a adapterCopy) bool {
		beside := p.findAdapter(a.name)
		there := beside != nil && beside.phase == PhaseReady
		return m.declares(a.name) && !there && !d.servesAdapterElsewhere(m, a.name, old.engine)
	})
}
