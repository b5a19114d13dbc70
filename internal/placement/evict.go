package placement

import (
	"cmp"
	"slices"

	"github.com/lovagelift/lovagelift/internal/upstreamapi"
)

// victim is a copy that can be unloaded.
type victim struct {
	// model is an index of draft.models, or -1 if the model is not declared.
	model int
	place *place
	// loss is how much less load is served without it.
	loss float64
}

// removable returns the copies at the site that a need of the tier may take
// memory from.
//
// A copy may go only if the model, and each adapter beside it, can be reached
// elsewhere for certain: what an open order may still remove does not count, and
// neither does what is being loaded. So no model is without a reachable copy
// because of a move, even if every answer is lost.
func (d *draft) removable(i int, t tier) []victim {
	s := &d.sites[i]
	var victims []victim
	for c := range s.copies {
		at, known := d.index[s.copies[c].model]
		if !known {
			if s.copies[c].phase == PhaseReady && !d.planned(s.name, &s.copies[c]) {
				victims = append(victims, victim{model: -1, place: &place{copied: s.copies[c], site: i}})
			}
			continue
		}
		m := &d.models[at]
		p := m.find(i, s.copies[c].version)
		if p == nil || !d.mayGo(m, p, t) {
			continue
		}
		victims = append(victims, victim{model: at, place: p, loss: d.lossOf(m, p)})
	}
	slices.SortStableFunc(victims, func(a, b victim) int {
		return cmp.Or(a.compare(b), cmp.Compare(b.place.bytes, a.place.bytes))
	})
	return victims
}

// compare orders victims by their loss. Of equal ones, those that nobody declares
// go first.
func (v victim) compare(other victim) int {
	return cmp.Or(cmp.Compare(v.loss, other.loss), cmp.Compare(v.declared(), other.declared()))
}

// declared returns 1 if the model is declared, otherwise 0.
func (v victim) declared() int {
	if v.model < 0 {
		return 0
	}
	return 1
}

// planned tells whether an unload of the copy is in the draft already.
func (d *draft) planned(engine string, c *copied) bool {
	return slices.ContainsFunc(d.wants, func(w want) bool {
		return w.move.Engine == engine && w.move.Order.Kind == upstreamapi.OrderUnloadModel &&
			w.move.Order.Model == c.model && w.move.Order.Version == c.version
	})
}

func (m *model) find(site int, version string) *place {
	for i := range m.places {
		if m.places[i].site == site && m.places[i].version == version {
			return &m.places[i]
		}
	}
	return nil
}

// mayGo tells whether a copy may go for a need of the tier.
func (d *draft) mayGo(m *model, p *place, t tier) bool {
	if p.phase != PhaseReady || p.versionChanging || !d.sites[p.site].ordered {
		return false
	}
	left := d.proved(m, p.site)
	keep := requirement{copies: 1, domains: 1}
	switch {
	case t == tierFloor:
		keep = m.floor
	case t >= tierLosses:
		keep = m.wanted
	}
	if left.copies < max(keep.copies, 1) || left.domains < max(keep.domains, 1) {
		return false
	}
	for _, a := range p.adapters {
		if a.phase == PhaseReady && m.declares(a.name) && !d.adapterElsewhere(m, a.name, p.site) {
			return false
		}
	}
	return true
}

func (m *model) declares(adapterName string) bool {
	return slices.ContainsFunc(m.adapters, func(a adapter) bool { return a.name == adapterName })
}

// adapterElsewhere tells whether the adapter can be reached at another site for
// certain.
func (d *draft) adapterElsewhere(m *model, name string, except int) bool {
	for i := range m.places {
		p := &m.places[i]
		if p.site == except || !d.certain(p) {
			continue
		}
		if a := p.adapter(name); a != nil && a.phase == PhaseReady {
			return true
		}
	}
	return false
}

// lossOf returns how much of the copy's load the model's other copies could not
// serve.
func (d *draft) lossOf(m *model, p *place) float64 {
	load := p.load
	if m.rising > 0 {
		load *= max(m.keeping/m.rising, 1)
	} else {
		load = max(load, m.keeping/float64(max(len(m.places), 1)))
	}
	for i := range m.places {
		other := &m.places[i]
		if other.site != p.site && d.certain(other) {
			s := &d.sites[other.site]
			load -= max(s.limit(d.options)-s.load, 0)
		}
	}
	return max(load, 0) * m.share
}

// eviction is a way to make room.
type eviction struct {
	option  option
	victims []victim
	loss    float64
	// value is the load that is served more, or less if it is below 0.
	value float64
}

// better tells whether e gains more than other, or as much with fewer unloads of
// what is declared, or with fewer unloads at all.
func (e eviction) better(other eviction) bool {
	declared, others := 0, 0
	for _, v := range e.victims {
		declared += v.declared()
	}
	for _, v := range other.victims {
		others += v.declared()
	}
	return cmp.Or(
		cmp.Compare(e.value, other.value), cmp.Compare(others, declared), cmp.Compare(len(other.victims), len(e.victims)),
	) > 0
}

// makeRoom plans the unloads with the least loss that make room for a copy, and
// the copy to follow. If there are none, makeRoom returns false.
func (d *draft) makeRoom(q search) bool {
	found, ok := d.bestEviction(q)
	if !ok {
		return false
	}
	d.evict(q.model, found, q.tier, 0)
	return true
}

// evict plans an eviction, and the copy to follow.
func (d *draft) evict(m *model, e eviction, t tier, gain float64) {
	for _, v := range e.victims {
		d.unload(v, t, m.declared.Name, m)
	}
	d.load(m, e.option, t, gain, nil)
}

func (d *draft) bestEviction(q search) (eviction, bool) {
	var found eviction
	ok := false
	for i := range d.sites {
		s := &d.sites[i]
		if d.closed(q, i) || q.newDomain && d.inDomain(q, s.domain) {
			continue
		}
		victims := d.removable(i, q.tier)
		if len(victims) == 0 {
			continue
		}
		for _, sh := range q.model.shapes(false) {
			e, fits := d.evictionAt(i, sh, victims, q.tier)
			e.value = min(q.relief, max(s.limit(d.options)-s.load, 0))*q.model.share - e.loss
			if fits && (!ok || e.better(found)) {
				found, ok = e, true
			}
		}
	}
	return found, ok
}

// evictionAt takes victims, those with the least loss first, until enough
// accelerators have room.
func (d *draft) evictionAt(i int, sh shape, victims []victim, t tier) (eviction, bool) {
	s := &d.sites[i]
	later := make([]int64, len(s.accelerators))
	for a := range s.accelerators {
		later[a] = s.accelerators[a].later
	}
	e := eviction{option: option{site: i, layout: sh.layout, bytes: sh.bytes, waits: true}}
	freed := int64(0)
	for _, v := range victims {
		useful := false
		for a := range s.accelerators {
			if slices.Contains(v.place.accelerators, s.accelerators[a].name) && later[a] < sh.bytes {
				useful = true
			}
		}
		if !useful {
			continue
		}
		for a := range s.accelerators {
			if slices.Contains(v.place.accelerators, s.accelerators[a].name) {
				later[a] += v.place.bytes + v.place.promised
				freed += v.place.bytes + v.place.promised
			}
		}
		e.victims = append(e.victims, v)
		e.loss += v.loss
		e.option.picked = suffice(later, sh.bytes, sh.layout.Accelerators)
		if len(e.option.picked) == sh.layout.Accelerators {
			e = d.trimmed(i, sh, e)
			total := sh.bytes * int64(sh.layout.Accelerators)
			return e, t < tierLosses || d.later+freed-total >= d.reserve
		}
	}
	return eviction{}, false
}

// trimmed leaves out the victims that free nothing on the accelerators that were
// picked.
func (d *draft) trimmed(i int, sh shape, e eviction) eviction {
	s := &d.sites[i]
	kept := e.victims[:0:0]
	loss := 0.0
	for _, v := range e.victims {
		helps := slices.ContainsFunc(e.option.picked, func(a int) bool {
			return slices.Contains(v.place.accelerators, s.accelerators[a].name) && s.accelerators[a].later < sh.bytes
		})
		if helps {
			kept = append(kept, v)
			loss += v.loss
		}
	}
	e.victims, e.loss = kept, loss
	return e
}

// suffice returns count accelerators with enough room, or fewer.
func suffice(later []int64, bytes int64, count int) []int {
	var picked []int
	for a := range later {
		if later[a] >= bytes && len(picked) < count {
			picked = append(picked, a)
		}
	}
	return picked
}

// unload plans that a copy goes.
func (d *draft) unload(v victim, t tier, reasonFor string, whose *model) {
	p := v.place
	s := &d.sites[p.site]
	move := Move{
		Engine: s.name,
		Order: upstreamapi.Order{
			Kind: upstreamapi.OrderUnloadModel, Model: p.model, Version: p.version,
		},
		Reason: t.reason(), For: reasonFor, Gain: -v.loss * d.options.Horizon.Seconds(),
		Cost: d.moveCost(len(p.accelerators)) * unloadPart, Weight: d.weight,
	}
	if reasonFor == "" {
		move.Reason = ReasonReserve
	}
	w := want{move: move, tier: t}
	if whose != nil {
		w.priority, w.rank = whose.priority, -whose.share*whose.rising
	}
	d.wants = append(d.wants, w)
	bytes := p.bytes + p.promised
	p.promised = 0
	s.held--
	for _, a := range p.adapters {
		if a.phase == PhaseReady {
			bytes += a.bytes
		}
	}
	for a := range s.accelerators {
		if slices.Contains(p.accelerators, s.accelerators[a].name) {
			s.accelerators[a].later += bytes
			d.later += bytes
		}
	}
	if v.model >= 0 {
		p.phase = PhaseGoing
		d.balance(&d.models[v.model])
	}
}

// refillReserve plans unloads of copies that nothing asks for, those with the
// least loss first, until the preset's reserve is free.
func (d *draft) refillReserve() {
	if d.later >= d.reserve {
		return
	}
	if !d.settled(need{"", tierLosses}) {
		return
	}
	for d.later < d.reserve {
		var found *victim
		for i := range d.sites {
			if !d.sites[i].ordered {
				continue
			}
			if victims := d.removable(i, tierDemand); len(victims) > 0 && (found == nil || victims[0].compare(*found) < 0) {
				found = &victims[0]
			}
		}
		if found == nil {
			return
		}
		d.unload(*found, tierDemand, "", nil)
	}
}
