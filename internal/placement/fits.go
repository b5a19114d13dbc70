package placement

import (
	"fmt"
	"time"

	"github.com/lovagelift/lovagelift/internal/declaration"
	"github.com/lovagelift/lovagelift/internal/finding"
)

// Fits tells whether the floors of a preset, and all adapters, fit on the engines
// that are there, if they were empty. It places the largest first, so it may
// refuse what a search through all placements would find a way for; it never
// accepts what does not fit. What package declaration refuses already, by sums
// over the declared accelerators, need not come here.
//
// The findings have the arithmetic. Fits of no engines finds nothing: before the
// engines have announced themselves, nobody knows what they have.
func (p Planner) Fits(set declaration.Set, preset declaration.Preset, engines []Engine) finding.List {
	var list finding.List
	if len(engines) == 0 {
		return list
	}
	empty := make([]Engine, 0, len(engines))
	for _, e := range engines {
		if e.proved && e.takesOrders {
			empty = append(empty, e.emptied())
		}
	}
	d := newDraft(time.Time{}, p.options, Input{Declarations: set, Preset: preset, Engines: empty})
	d.meet(tierUnreachable)
	d.meet(tierFloor)
	place := finding.Place{File: fmt.Sprintf("preset %q", preset.Name)}
	for _, problem := range d.problems {
		list.Add(place, problem.Text, "lower its floors, declare fewer models, or start more engines")
	}
	for i := range d.models {
		d.adapterRoom(&d.models[i], place, &list)
	}
	return list
}

// adapterRoom finds adapters for which no copy of their model has room.
func (d *draft) adapterRoom(m *model, place finding.Place, list *finding.List) {
	if m.adapterBytes == 0 || len(m.places) == 0 {
		return
	}
	most := int64(0)
	for i := range m.places {
		most = max(most, m.places[i].promised)
	}
	if most < m.adapterBytes {
		list.Add(place, fmt.Sprintf("the adapters of %q take %s beside a copy, and at most %s are free there",
			m.declared.Name, declaration.Bytes(m.adapterBytes), declaration.Bytes(most)),
			"declare fewer adapters, or start more engines")
	}
}

// emptied returns the engine with nothing in memory, and serving.
func (e Engine) emptied() Engine {
	accelerators := make([]room, len(e.accelerators))
	for i, a := range e.accelerators {
		accelerators[i] = room{name: a.name, memory: a.memory, free: a.memory, later: a.memory}
	}
	e.accelerators, e.copies, e.loading = accelerators, nil, 0
	e.standing, e.ordered = Serving, true
	return e
}
