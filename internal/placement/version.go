package placement

import (
	"slices"

	"github.com/lovagelift/lovagelift/internal/upstreamapi"
)

// changeVersions brings copies of other versions to the declared one, one copy of
// a model after the other.
func (d *draft) changeVersions() {
	for i := range d.models {
		m := &d.models[i]
		old := d.oldCopy(m)
		if old == nil || d.inChange(m) {
			continue
		}
		if d.changeInPlace(m, old) {
			continue
		}
		d.changeBeside(m, old)
	}
}

// oldCopy returns a copy of another version than the declared one, or nil.
func (d *draft) oldCopy(m *model) *place {
	i := slices.IndexFunc(m.places, func(p place) bool {
		return p.version != m.declared.Version && d.certain(&p) && d.sites[p.site].ordered
	})
	if i < 0 {
		return nil
	}
	return &m.places[i]
}

// inChange tells whether an order that is open changes a copy already.
func (d *draft) inChange(m *model) bool {
	return slices.ContainsFunc(m.places, func(p place) bool {
		return d.sites[p.site].standing == Serving && p.phase != PhaseUnproved && (p.phase != PhaseReady || p.versionChanging)
	})
}

// changeInPlace plans a change at an engine that loads the new version beside the
// old and then switches. Adapters do not come along, so the copy must not be the
// only one that has them.
func (d *draft) changeInPlace(m *model, old *place) bool {
	s := &d.sites[old.site]
	layout := slices.IndexFunc(m.shapes(false), func(sh shape) bool { return sh.layout.Accelerators == len(old.accelerators) })
	if !s.versions || layout < 0 {
		return false
	}
	bytes := m.shapes(false)[layout].bytes
	if !d.hasRoom(old, bytes) || !d.adaptersElsewhere(m, old) {
		return false
	}
	picked := s.indices(old.accelerators)
	d.take(old.site, picked, bytes)
	d.want(m, tierLosses, Move{
		Engine: s.name,
		Order: upstreamapi.Order{
			Kind: upstreamapi.OrderChangeVersion, Model: m.declared.Name, Version: m.declared.Version,
			FromVersion: old.version, Accelerators: old.accelerators, MemoryBytes: bytes,
		},
		Reason: ReasonVersion, Cost: d.moveCost(len(picked)), Weight: d.weight,
	})
	old.versionChanging = true
	return true
}

func (d *draft) adaptersElsewhere(m *model, p *place) bool {
	return !slices.ContainsFunc(p.adapters, func(a loaded) bool {
		return a.phase == PhaseReady && m.declares(a.name) && !d.adapterElsewhere(m, a.name, p.site)
	})
}

// changeBeside plans a new copy of the declared version, or, if there is one that
// serves, that the old copy goes. Later plans load what is missing then.
func (d *draft) changeBeside(m *model, old *place) {
	served := slices.ContainsFunc(m.places, func(p place) bool {
		return p.version == m.declared.Version && d.certain(&p)
	})
	if served {
		if d.mayGo(m, old, tierUnreachable) || d.mayGoBeside(m, old) {
			d.unload(victim{model: d.index[m.declared.Name], place: old}, tierLosses, m.declared.Name, m)
			d.wants[len(d.wants)-1].move.Reason = ReasonVersion
		}
		return
	}
	q := search{model: m, tier: tierFloor, beside: true}
	if o, others, ok := d.best(q); ok {
		d.load(m, o, tierFloor, 0, others)
		d.wants[len(d.wants)-1].move.Reason = ReasonVersion
		return
	}
	d.makeRoom(q)
}

// mayGoBeside tells whether the declared version, and all adapters of the old
// copy, can be reached at the same engine for certain.
func (d *draft) mayGoBeside(m *model, old *place) bool {
	p := m.find(old.site, m.declared.Version)
	if p == nil || !d.certain(p) || old.phase != PhaseReady {
		return false
	}
	return !slices.ContainsFunc(old.adapters, func(a loaded) bool {
		beside := p.adapter(a.name)
		there := beside != nil && beside.phase == PhaseReady
		return m.declares(a.name) && !there && !d.adapterElsewhere(m, a.name, old.site)
	})
}
