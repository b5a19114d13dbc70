package placement

import (
	"math"
	"slices"

	"github.com/lovagelift/lovagelift/internal/upstreamapi"
)

// adapters plans the adapters that the tier asks for and that are missing, each
// beside a copy of its model that is there already.
func (d *draft) adapters(t tier) {
	for i := range d.models {
		m := &d.models[i]
		for j := range m.adapters {
			a := &m.adapters[j]
			asked := d.adapterCopies(m, a, t)
			if d.adapterHave(m, a.name, t) >= asked {
				continue
			}
			if !d.settled(need{m.declared.Name + "/" + a.name, t}) {
				continue
			}
			for d.adapterHave(m, a.name, t) < asked && d.addAdapter(m, a, t) {
				continue
			}
		}
	}
}

// adapterCopies returns beside how many copies the adapter is asked for: as many
// as the preset's losses need, and more with its part of the model's demand.
func (d *draft) adapterCopies(m *model, a *adapter, t tier) int {
	if t == tierUnreachable {
		return 1
	}
	copies := d.tally(m, func(p *place) bool {
		return d.certain(p) && p.version == m.declared.Version && d.sites[p.site].adapters && d.sites[p.site].ordered
	}).copies
	asked := m.wanted.copies
	if m.rising > 0 {
		asked = max(asked, int(math.Ceil(a.rising/m.rising*adapterHeadroom*float64(copies))))
	}
	return min(asked, copies)
}

// adapterHeadroom is how many times its even part of the copies an adapter gets.
const adapterHeadroom = 1.5

// adapterHave returns beside how many copies the adapter is. For tierUnreachable,
// any version will do.
func (d *draft) adapterHave(m *model, name string, t tier) int {
	return d.tally(m, func(p *place) bool {
		if !d.counts(p, t) || t != tierUnreachable && p.version != m.declared.Version {
			return false
		}
		a := p.adapter(name)
		if a == nil {
			return false
		}
		return d.counts(&place{copied: copied{phase: a.phase}, site: p.site}, t)
	}).copies
}

// roomForAdapter plans another copy of the model, with room for the adapter that
// nobody can reach. The adapter itself is for a later plan.
func (d *draft) roomForAdapter(m *model, a *adapter) {
	underWay := slices.ContainsFunc(m.places, func(p place) bool {
		return p.adapter(a.name) == nil && (p.phase == PhasePlanned || p.phase == PhaseComing)
	})
	if underWay || len(m.places) == 0 {
		return
	}
	have := d.have(m, tierUnreachable)
	d.add(m, tierUnreachable, have, requirement{copies: have.copies + 1, domains: 1})
}

// addAdapter plans one load of the adapter. If there is no copy to load it
// beside, or none with room, addAdapter returns false.
func (d *draft) addAdapter(m *model, a *adapter, t tier) bool {
	var found *place
	score := 0.0
	for i := range m.places {
		p := &m.places[i]
		s := &d.sites[p.site]
		beside := d.certain(p) && p.version == m.declared.Version && s.ordered && s.adapters && p.adapter(a.name) == nil
		if !beside || d.avoids(p.site, m.declared.Name, a.name) || !d.hasRoom(p, a.bytes-min(p.promised, a.bytes)) {
			continue
		}
		rated := 1 - min(d.fullness(p.site), 1)
		if !d.adapterInDomain(m, a.name, s.domain) {
			rated += scoreDomain
		}
		if found == nil || rated > score {
			found, score = p, rated
		}
	}
	if found == nil {
		if t == tierUnreachable {
			d.roomForAdapter(m, a)
		}
		return false
	}
	s := &d.sites[found.site]
	picked := s.indices(found.accelerators)
	kept := min(found.promised, a.bytes)
	found.promised -= kept
	d.take(found.site, picked, a.bytes-kept)
	found.adapters = append(found.adapters, loaded{name: a.name, phase: PhasePlanned, bytes: a.bytes})
	d.wants = append(d.wants, want{
		move: Move{
			Engine: s.name,
			Order: upstreamapi.Order{
				Kind: upstreamapi.OrderLoadAdapter, Model: m.declared.Name, Version: found.version, Adapter: a.name,
				Accelerators: found.accelerators, MemoryBytes: a.bytes,
			},
			Reason: t.reason(), Cost: d.moveCost(len(picked)) * adapterPart, Weight: d.weight,
		},
		tier: t, priority: m.priority, rank: -m.share * a.rising,
	})
	return true
}

// adapterPart is the cost of loading an adapter as a part of a model's.
const adapterPart = 0.1

func (d *draft) adapterInDomain(m *model, name string, domain int) bool {
	for i := range m.places {
		p := &m.places[i]
		if d.sites[p.site].domain == domain && p.adapter(name) != nil {
			return true
		}
	}
	return false
}

// hasRoom tells whether each accelerator of the copy has so much free now.
func (d *draft) hasRoom(p *place, bytes int64) bool {
	s := &d.sites[p.site]
	for a := range s.accelerators {
		if slices.Contains(p.accelerators, s.accelerators[a].name) && s.accelerators[a].roomFor(false) < bytes {
			return false
		}
	}
	return true
}
