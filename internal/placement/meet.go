package placement

import (
	"cmp"
	"fmt"
	"slices"

	"github.com/lovagelift/lovagelift/internal/declaration"
	"github.com/lovagelift/lovagelift/internal/upstreamapi"
)

// meet plans the copies that the tier asks for and that are missing.
func (d *draft) meet(t tier) {
	for _, i := range d.lacking(t) {
		m := &d.models[i]
		if !d.settled(need{m.declared.Name, t}) {
			continue
		}
		asked := m.requirementOf(t)
		for {
			have := d.have(m, t)
			if have.copies >= asked.copies && have.domains >= asked.domains {
				break
			}
			if !d.add(m, t, have, asked) {
				break
			}
		}
	}
}

// lacking returns the models that lack something by the tier. Those with the
// fewest copies go first, so that a second fault finds as few as may be with one
// copy, and then the largest, which are the hardest to find room for.
func (d *draft) lacking(t tier) []int {
	var found []int
	copies := make([]int, len(d.models))
	for i := range d.models {
		m := &d.models[i]
		asked, have := m.requirementOf(t), d.have(m, t)
		copies[i] = have.copies
		if have.copies < asked.copies || have.domains < asked.domains {
			found = append(found, i)
		}
	}
	slices.SortStableFunc(found, func(a, b int) int {
		return cmp.Or(cmp.Compare(copies[a], copies[b]), cmp.Compare(d.models[b].size(), d.models[a].size()))
	})
	return found
}

// size returns what the smallest layout takes in all.
func (m *model) size() int64 {
	var least int64
	for i, layout := range m.declared.Layouts {
		size := int64(layout.Accelerators) * int64(layout.Memory+m.declared.KVSpace)
		if i == 0 || size < least {
			least = size
		}
	}
	return least
}

// add plans one more copy. If there is no room and none can be made, add returns
// false.
func (d *draft) add(m *model, t tier, have, asked requirement) bool {
	q := search{model: m, tier: t, newDomain: have.domains < asked.domains}
	for {
		o, others, ok := d.best(q)
		if ok {
			d.load(m, o, t, 0, others)
			return true
		}
		if d.makeRoom(q) {
			return true
		}
		if !q.newDomain || have.copies >= asked.copies {
			break
		}
		q.newDomain = false
	}
	d.problem(m, t, have, asked)
	return false
}

// load plans a copy.
func (d *draft) load(m *model, o option, t tier, gain float64, others []Alternative) {
	s := &d.sites[o.site]
	d.take(o.site, o.picked, o.bytes)
	names := make([]string, 0, len(o.picked))
	for _, a := range o.picked {
		names = append(names, s.accelerators[a].name)
	}
	wait := Wait("")
	if o.waits {
		wait = WaitMemory
	}
	d.want(m, t, Move{
		Engine: s.name,
		Order: upstreamapi.Order{
			Kind: upstreamapi.OrderLoadModel, Model: m.declared.Name, Version: m.declared.Version,
			Accelerators: names, MemoryBytes: o.bytes,
		},
		Reason: t.reason(), Gain: gain, Cost: d.moveCost(len(names)), Weight: d.weight,
		Alternatives: others, Waits: wait,
	})
	m.places = append(m.places, place{
		copied: copied{
			model: m.declared.Name, version: m.declared.Version, accelerators: names, bytes: o.bytes, phase: PhasePlanned,
		},
		site: o.site,
	})
	s.held++
	d.promise(m, &m.places[len(m.places)-1])
	d.balance(m)
}

func (d *draft) want(m *model, t tier, move Move) {
	d.wants = append(d.wants, want{move: move, tier: t, priority: m.priority, rank: -m.share * m.rising})
}

// problem keeps the arithmetic of a need that cannot be met, the most urgent one
// of each model.
func (d *draft) problem(m *model, t tier, have, asked requirement) {
	if m.troubled {
		return
	}
	m.troubled = true
	var hole int64
	for i := range d.sites {
		if d.sites[i].ordered {
			for a := range d.sites[i].accelerators {
				hole = max(hole, d.sites[i].accelerators[a].roomFor(true))
			}
		}
	}
	text := fmt.Sprintf("%q has %d copies in %d failure domains, %d in %d are asked for, and no engine has room for another: %s needed, %s free in all, at most %s on one accelerator",
		m.declared.Name, have.copies, have.domains, asked.copies, asked.domains,
		declaration.Bytes(m.size()), declaration.Bytes(d.later), declaration.Bytes(hole))
	if t >= tierLosses {
		text += fmt.Sprintf(", %s of it in reserve", declaration.Bytes(d.reserve))
	}
	d.problems = append(d.problems, Problem{Model: m.declared.Name, Reason: t.reason(), Text: text})
}
