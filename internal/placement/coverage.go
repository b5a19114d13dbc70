package placement

import (
	"cmp"
	"fmt"
	"slices"

	"github.com/lovagelift/lovagelift/internal/declaration"
	"github.com/lovagelift/lovagelift/internal/upstreamapi"
)

// meetCoverage plans the copies that the tier requires and that are missing.
func (d *draft) meetCoverage(t tier) {
	for _, i := range d.modelsLackingCoverage(t) {
		m := &d.models[i]
		if !d.isDue(need{m.declared.Name, t}) {
			continue
		}
		required := m.requiredCoverage(t)
		for {
			present := d.coverageFor(m, t)
			if present.copies >= required.copies && present.domains >= required.domains {
				break
			}
			if !d.addCopy(m, t, present, required) {
				break
			}
		}
	}
}

// modelsLackingCoverage returns the models with less coverage than the tier
// requires. Those with the fewest copies come first, so that a second fault
// finds as few models as possible with a single copy, and then the largest,
// which are the hardest to place.
func (d *draft) modelsLackingCoverage(t tier) []int {
	var found []int
	copies := make([]int, len(d.models))
	for i := range d.models {
		m := &d.models[i]
		required, present := m.requiredCoverage(t), d.coverageFor(m, t)
		copies[i] = present.copies
		if present.copies < required.copies || present.domains < required.domains {
			found = append(found, i)
		}
	}
	slices.SortStableFunc(found, func(a, b int) int {
		return cmp.Or(cmp.Compare(copies[a], copies[b]), cmp.Compare(d.models[b].smallestBytes(), d.models[a].smallestBytes()))
	})
	return found
}

// smallestBytes returns the total memory of a copy in the smallest layout.
func (m *model) smallestBytes() int64 {
	var least int64
	for i, layout := range m.declared.Layouts {
		size := int64(layout.Accelerators) * int64(layout.Memory+m.declared.KVCacheMemory)
		if i == 0 || size < least {
			least = size
		}
	}
	return least
}

// addCopy plans one more copy. It returns false, and records the problem, if
// there is no room and none can be made.
func (d *draft) addCopy(m *model, t tier, present, required coverage) bool {
	q := search{model: m, tier: t, requireNewDomain: present.domains < required.domains}
	for {
		found, alternatives, ok := d.bestCandidate(q)
		if ok {
			d.planLoad(m, found, t, 0, alternatives)
			return true
		}
		if d.makeRoom(q) {
			return true
		}
		if !q.requireNewDomain || present.copies >= required.copies {
			break
		}
		q.requireNewDomain = false
	}
	d.addProblem(m, t, present, required)
	return false
}

// planLoad plans the load of a copy.
func (d *draft) planLoad(m *model, c candidate, t tier, gain float64, alternatives []Alternative) {
	s := &d.engines[c.engine]
	d.allocate(c.engine, c.accelerators, c.bytes)
	names := make([]string, 0, len(c.accelerators))
	for _, a := range c.accelerators {
		names = append(names, s.accelerators[a].name)
	}
	wait := WaitReason("")
	if c.needsUnloads {
		wait = WaitMemory
	}
	d.addMove(m, t, Move{
		Engine: s.name,
		Order: upstreamapi.Order{
			Kind: upstreamapi.OrderLoadModel, Model: m.declared.Name, Version: m.declared.Version,
			Accelerators: names, MemoryBytes: c.bytes,
		},
		Reason: t.reason(), Gain: gain, Cost: d.loadCost(len(names)), Weight: d.weightOfMoves,
		Alternatives: alternatives, WaitsFor: wait,
	})
	m.copies = append(m.copies, placedCopy{
		modelCopy: modelCopy{
			model: m.declared.Name, version: m.declared.Version, accelerators: names, bytes: c.bytes, phase: PhasePlanned,
		},
		engine: c.engine,
	})
	s.copyCount++
	d.reserveForAdapters(m, &m.copies[len(m.copies)-1])
	d.balance(m)
}

func (d *draft) addMove(m *model, t tier, move Move) {
	d.moves = append(d.moves, rankedMove{move: move, tier: t, priority: m.priority, rank: -m.share * m.scaleUpLoad})
}

// addProblem records a need that cannot be met, with its memory figures, unless
// the model already has a problem of a more urgent tier.
func (d *draft) addProblem(m *model, t tier, present, required coverage) {
	if m.problemReported {
		return
	}
	m.problemReported = true
	var largestFree int64
	for i := range d.engines {
		if d.engines[i].acceptsOrders {
			for a := range d.engines[i].accelerators {
				largestFree = max(largestFree, d.engines[i].accelerators[a].freeFor(true))
			}
		}
	}
	text := fmt.Sprintf("%q has %d copies in %d failure domains, %d in %d are asked for, and no engine has room for another: %s needed, %s free in all, at most %s on one accelerator",
		m.declared.Name, present.copies, present.domains, required.copies, required.domains,
		declaration.Bytes(m.smallestBytes()), declaration.Bytes(d.laterFreeBytes), declaration.Bytes(largestFree))
	if t >= tierRedundancy {
		text += fmt.Sprintf(", %s of it in reserve", declaration.Bytes(d.reserveBytes))
	}
	d.problems = append(d.problems, Problem{Model: m.declared.Name, Reason: t.reason(), Description: text})
}
