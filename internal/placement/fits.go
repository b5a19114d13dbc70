package placement

import (
	"fmt"
	"time"

	"github.com/lovagelift/lovagelift/internal/declaration"
	"github.com/lovagelift/lovagelift/internal/finding"
)

// Fits checks whether the floors of a preset, and all adapters, would fit on
// the engines if these were empty. It places the largest models first and does
// not search all placements, so it may refuse a preset that fits, but never
// accepts one that does not. Package declaration already refuses presets that
// exceed the sums over the declared accelerators.
//
// The findings state the memory figures. Without engines there are no findings,
// because their memory is not known before they announce themselves.
func (p Planner) Fits(set declaration.Set, preset declaration.Preset, engines []Engine) finding.List {
	var list finding.List
	if len(engines) == 0 {
		return list
	}
	empty := make([]Engine, 0, len(engines))
	for _, e := range engines {
		if e.consistent && e.supportsOrders {
			empty = append(empty, e.emptied())
		}
	}
	d := newDraft(time.Time{}, p.options, Input{Declarations: set, Preset: preset, Engines: empty})
	d.meetCoverage(tierUnreachable)
	d.meetCoverage(tierFloor)
	source := finding.Place{File: fmt.Sprintf("preset %q", preset.Name)}
	for _, problem := range d.problems {
		list.Add(source, problem.Description, "lower its floors, declare fewer models, or start more engines")
	}
	for i := range d.models {
		d.checkAdapterRoom(&d.models[i], source, &list)
	}
	return list
}

// checkAdapterRoom adds a finding if no copy of the model has enough memory
// beside it for all adapters.
func (d *draft) checkAdapterRoom(m *model, source finding.Place, list *finding.List) {
	if m.adapterBytes == 0 || len(m.copies) == 0 {
		return
	}
	largestReserve := int64(0)
	for i := range m.copies {
		largestReserve = max(largestReserve, m.copies[i].adapterReserve)
	}
	if largestReserve < m.adapterBytes {
		list.Add(source, fmt.Sprintf("the adapters of %q take %s beside a copy, and at most %s are free there",
			m.declared.Name, declaration.Bytes(m.adapterBytes), declaration.Bytes(largestReserve)),
			"declare fewer adapters, or start more engines")
	}
}

// emptied returns the engine as serving, with nothing in memory.
func (e Engine) emptied() Engine {
	accelerators := make([]acceleratorMemory, len(e.accelerators))
	for i, a := range e.accelerators {
		accelerators[i] = acceleratorMemory{name: a.name, total: a.total, free: a.total, laterFree: a.total}
	}
	e.accelerators, e.copies, e.openLoads = accelerators, nil, 0
	e.status, e.acceptsOrders = Serving, true
	return e
}
