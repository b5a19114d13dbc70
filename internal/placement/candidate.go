package placement

import (
	"slices"

	"github.com/lovagelift/lovagelift/internal/declaration"
)

// Weights of the criteria in a candidate's score, the greatest first. A new
// failure domain outweighs the other criteria together, except for copies that
// are added for demand.
const (
	scoreNewDomain = 4.0
	scoreIdleness  = 1.0
	scoreTightness = 0.25
	// presumedLoadPerCopy is added to an engine's load for each of its copies,
	// so that copies spread over engines before there is any demand.
	presumedLoadPerCopy = 0.5
)

// candidate is an engine and a layout for a new copy.
type candidate struct {
	// engine is an index of draft.engines.
	engine int
	layout declaration.Layout
	// accelerators are indexes of the engine's accelerators.
	accelerators []int
	// bytes is the memory taken on each of accelerators.
	bytes int64
	score float64
	// needsUnloads means that some of the memory is only free after open
	// unloads.
	needsUnloads bool
}

// footprint is the memory that a copy takes of each of its accelerators in one
// layout.
type footprint struct {
	layout declaration.Layout
	bytes  int64
	// adapterBytes is the memory that should be left free for adapters.
	adapterBytes int64
}

// footprints returns the footprint of each layout, with or without space for
// all adapters.
func (m *model) footprints(withAdapters bool) []footprint {
	list := make([]footprint, 0, len(m.declared.Layouts))
	for _, layout := range m.declared.Layouts {
		f := footprint{layout: layout, bytes: int64(layout.Memory + m.declared.KVCacheMemory)}
		if withAdapters {
			f.adapterBytes = m.adapterBytes
		}
		list = append(list, f)
	}
	return list
}

// search is the criteria for an engine that takes another copy of a model.
type search struct {
	model *model
	tier  tier
	// requireNewDomain excludes failure domains in which the model has a copy.
	requireNewDomain bool
	// allowOtherVersion allows engines that hold another version of the model.
	allowOtherVersion bool
	// excessLoad is the load that a copy for tierDemand should take over from
	// the others.
	excessLoad float64
}

// isExcluded reports whether the engine cannot take another copy, whatever
// memory it has.
func (d *draft) isExcluded(q search, engine int) bool {
	if !d.engines[engine].acceptsOrders || d.isAvoided(engine, q.model.declared.Name, "") {
		return true
	}
	return slices.ContainsFunc(q.model.copies, func(p placedCopy) bool {
		return p.engine == engine && (!q.allowOtherVersion || p.version == q.model.declared.Version)
	})
}

// bestCandidate returns the candidate with the highest score, and the
// runners-up. It returns false if no engine has enough memory. Candidates with
// space for all adapters come before those without it, and memory that is free
// now before memory that open unloads will release.
func (d *draft) bestCandidate(q search) (candidate, []Alternative, bool) {
	for _, withAdapters := range []bool{true, false} {
		footprints := q.model.footprints(withAdapters)
		for _, needsUnloads := range []bool{false, true} {
			if found, runnersUp, ok := d.bestCandidateOf(q, footprints, needsUnloads); ok {
				return found, runnersUp, true
			}
		}
		if q.model.adapterBytes == 0 {
			break
		}
	}
	return candidate{}, nil, false
}

// bestCandidateOf is bestCandidate for the given footprints. With needsUnloads,
// memory that open unloads will release counts as free.
func (d *draft) bestCandidateOf(q search, footprints []footprint, needsUnloads bool) (candidate, []Alternative, bool) {
	var found candidate
	var runnersUp topTwo
	ok := false
	for i := range d.engines {
		s := &d.engines[i]
		if d.isExcluded(q, i) || len(s.accelerators) == 0 {
			continue
		}
		newDomain := !d.coversDomain(q, s.domain)
		if q.requireNewDomain && !newDomain {
			continue
		}
		for _, f := range footprints {
			c, fits := d.evaluate(i, f, needsUnloads, q.tier)
			if !fits {
				continue
			}
			switch {
			case newDomain && q.tier == tierDemand:
				c.score += scoreTightness
			case newDomain:
				c.score += scoreNewDomain
			}
			if !ok || c.score > found.score {
				if ok {
					runnersUp.add(d.engines[found.engine].name, found.score)
				}
				found, ok = c, true
				continue
			}
			runnersUp.add(s.name, c.score)
		}
	}
	if ok {
		found.accelerators = d.pickAccelerators(found.engine, found.bytes, found.layout.Accelerators, needsUnloads)
	}
	return found, runnersUp.alternatives(found.score), ok
}

// coversDomain reports whether the failure domain has a copy of the model that
// counts for the tier, or for floors if the tier is more urgent.
func (d *draft) coversDomain(q search, domain int) bool {
	for i := range q.model.copies {
		p := &q.model.copies[i]
		if d.engines[p.engine].domain == domain && d.countsFor(p, max(q.tier, tierFloor)) {
			return true
		}
	}
	return false
}

// evaluate returns the candidate with its score, or false if the engine lacks
// the memory.
func (d *draft) evaluate(engine int, f footprint, needsUnloads bool, t tier) (candidate, bool) {
	s := &d.engines[engine]
	totalBytes := f.bytes * int64(f.layout.Accelerators)
	if t >= tierRedundancy && d.laterFreeBytes-totalBytes < d.reserveBytes {
		return candidate{}, false
	}
	sufficient := 0
	leastLeft := int64(-1)
	for a := range s.accelerators {
		free := s.accelerators[a].freeFor(needsUnloads)
		if free < f.bytes+f.adapterBytes {
			continue
		}
		sufficient++
		if left := free - f.bytes; leastLeft < 0 || left < leastLeft {
			leastLeft = left
		}
	}
	if sufficient < f.layout.Accelerators {
		return candidate{}, false
	}
	idleness := 1 - min((s.load+presumedLoadPerCopy*float64(s.copyCount))/max(s.goalCapacity(d.options), 1), 1)
	tightness := 1 - float64(leastLeft)/float64(max(s.accelerators[0].total, 1))
	return candidate{
		engine: engine, layout: f.layout, bytes: f.bytes, needsUnloads: needsUnloads,
		score: scoreIdleness*idleness + scoreTightness*tightness/float64(f.layout.Accelerators),
	}, true
}

// freeFor returns the memory that is free now, or after open unloads.
func (r *acceleratorMemory) freeFor(afterUnloads bool) int64 {
	if afterUnloads {
		return r.laterFree
	}
	return min(r.free, r.laterFree)
}

// pickAccelerators returns count accelerators with enough free memory,
// preferring those with the least.
func (d *draft) pickAccelerators(engine int, bytes int64, count int, afterUnloads bool) []int {
	s := &d.engines[engine]
	var indexes []int
	for a := range s.accelerators {
		if s.accelerators[a].freeFor(afterUnloads) >= bytes {
			indexes = append(indexes, a)
		}
	}
	slices.SortStableFunc(indexes, func(a, b int) int {
		return compareBytes(s.accelerators[a].freeFor(afterUnloads), s.accelerators[b].freeFor(afterUnloads))
	})
	return indexes[:min(count, len(indexes))]
}

func compareBytes(a, b int64) int {
	switch {
	case a < b:
		return -1
	case a > b:
		return 1
	default:
		return 0
	}
}

// allocate takes memory from each of the accelerators.
func (d *draft) allocate(engine int, indexes []int, bytes int64) {
	s := &d.engines[engine]
	for _, a := range indexes {
		s.accelerators[a].free -= bytes
		s.accelerators[a].laterFree -= bytes
		d.freeBytes -= bytes
		d.laterFreeBytes -= bytes
	}
}

// topTwo keeps the names and scores of the two engines with the highest scores.
type topTwo struct {
	names  [2]string
	scores [2]float64
	count  int
}

func (r *topTwo) add(name string, score float64) {
	switch {
	case r.count == 0 || score > r.scores[0]:
		r.names[1], r.scores[1] = r.names[0], r.scores[0]
		r.names[0], r.scores[0] = name, score
	case r.count == 1 || score > r.scores[1]:
		r.names[1], r.scores[1] = name, score
	default:
		return
	}
	r.count = min(r.count+1, len(r.names))
}

func (r *topTwo) alternatives(takenScore float64) []Alternative {
	var list []Alternative
	for i := range r.count {
		list = append(list, Alternative{Engine: r.names[i], Score: r.scores[i], ChosenScore: takenScore})
	}
	return list
}
