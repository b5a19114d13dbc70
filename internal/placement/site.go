package placement

import (
	"slices"

	"github.com/lovagelift/lovagelift/internal/declaration"
)

// The weights of what makes a site good, the greatest first. A new failure domain
// outweighs the rest together, but for copies that are there for the demand.
const (
	scoreDomain = 4.0
	scoreIdle   = 1.0
	scoreFit    = 0.25
	// presumedLoad is what each copy is taken to bring beside what is known, so
	// that copies spread before any demand is.
	presumedLoad = 0.5
)

// option is a way to lay out a copy at a site.
type option struct {
	site   int
	layout declaration.Layout
	// picked are indices of accelerators of the site.
	picked []int
	bytes  int64
	score  float64
	// waits means that the memory is being freed by open unloads.
	waits bool
}

// shape is what a copy takes of each accelerator in one layout.
type shape struct {
	layout declaration.Layout
	bytes  int64
	// spare is what should be left beside it for adapters.
	spare int64
}

// shapes returns the ways to lay out a copy. The first copies keep room for all
// adapters.
func (m *model) shapes(withAdapters bool) []shape {
	shapes := make([]shape, 0, len(m.declared.Layouts))
	for _, layout := range m.declared.Layouts {
		s := shape{layout: layout, bytes: int64(layout.Memory + m.declared.KVSpace)}
		if withAdapters {
			s.spare = m.adapterBytes
		}
		shapes = append(shapes, s)
	}
	return shapes
}

// search is a search for the best site.
type search struct {
	model *model
	tier  tier
	// newDomain asks for a failure domain that the model is not in.
	newDomain bool
	// beside allows an engine that holds another version of the model.
	beside bool
	// relief is the load that a copy for tierDemand should take from others.
	relief float64
}

// closed tells whether the site is no place for another copy.
func (d *draft) closed(q search, site int) bool {
	if !d.sites[site].ordered || d.avoids(site, q.model.declared.Name, "") {
		return true
	}
	return slices.ContainsFunc(q.model.places, func(p place) bool {
		return p.site == site && (!q.beside || p.version == q.model.declared.Version)
	})
}

// best returns the best site for another copy, and the next best of those it
// weighed. If none has room, best returns false. A site with memory free now
// goes before any with memory that open unloads will free.
func (d *draft) best(q search) (option, []Alternative, bool) {
	for _, withAdapters := range []bool{true, false} {
		shapes := q.model.shapes(withAdapters)
		for _, waits := range []bool{false, true} {
			if o, others, ok := d.bestOf(q, shapes, waits); ok {
				return o, others, true
			}
		}
		if q.model.adapterBytes == 0 {
			break
		}
	}
	return option{}, nil, false
}

func (d *draft) bestOf(q search, shapes []shape, waits bool) (option, []Alternative, bool) {
	var found option
	var others ranking
	ok := false
	for i := range d.sites {
		s := &d.sites[i]
		if d.closed(q, i) || len(s.accelerators) == 0 {
			continue
		}
		novel := !d.inDomain(q, s.domain)
		if q.newDomain && !novel {
			continue
		}
		for _, sh := range shapes {
			o, fits := d.fit(i, sh, waits, q.tier)
			if !fits {
				continue
			}
			switch {
			case novel && q.tier == tierDemand:
				o.score += scoreFit
			case novel:
				o.score += scoreDomain
			}
			if !ok || o.score > found.score {
				if ok {
					others.add(d.sites[found.site].name, found.score)
				}
				found, ok = o, true
				continue
			}
			others.add(s.name, o.score)
		}
	}
	if ok {
		found.picked = d.pick(found.site, found.bytes, found.layout.Accelerators, waits)
	}
	return found, others.alternatives(found.score), ok
}

func (d *draft) inDomain(q search, domain int) bool {
	for i := range q.model.places {
		p := &q.model.places[i]
		if d.sites[p.site].domain == domain && d.counts(p, max(q.tier, tierFloor)) {
			return true
		}
	}
	return false
}

// fit tells whether a copy of that shape has room at the site, and rates it.
func (d *draft) fit(i int, sh shape, waits bool, t tier) (option, bool) {
	s := &d.sites[i]
	total := sh.bytes * int64(sh.layout.Accelerators)
	if t >= tierLosses && d.later-total < d.reserve {
		return option{}, false
	}
	suffice := 0
	tightest := int64(-1)
	for a := range s.accelerators {
		room := s.accelerators[a].roomFor(waits)
		if room < sh.bytes+sh.spare {
			continue
		}
		suffice++
		if left := room - sh.bytes; tightest < 0 || left < tightest {
			tightest = left
		}
	}
	if suffice < sh.layout.Accelerators {
		return option{}, false
	}
	idle := 1 - min((s.load+presumedLoad*float64(s.held))/max(s.limit(d.options), 1), 1)
	fit := 1 - float64(tightest)/float64(max(s.accelerators[0].memory, 1))
	return option{
		site: i, layout: sh.layout, bytes: sh.bytes, waits: waits,
		score: scoreIdle*idle + scoreFit*fit/float64(sh.layout.Accelerators),
	}, true
}

// roomFor returns the memory free now, or also what open unloads will free.
func (r *room) roomFor(waits bool) int64 {
	if waits {
		return r.later
	}
	return min(r.free, r.later)
}

// pick returns the accelerators with the least room that suffices.
func (d *draft) pick(i int, bytes int64, count int, waits bool) []int {
	s := &d.sites[i]
	var picked []int
	for a := range s.accelerators {
		if s.accelerators[a].roomFor(waits) >= bytes {
			picked = append(picked, a)
		}
	}
	slices.SortStableFunc(picked, func(a, b int) int {
		return compare(s.accelerators[a].roomFor(waits), s.accelerators[b].roomFor(waits))
	})
	return picked[:min(count, len(picked))]
}

func compare(a, b int64) int {
	switch {
	case a < b:
		return -1
	case a > b:
		return 1
	default:
		return 0
	}
}

// take takes memory from a site.
func (d *draft) take(i int, picked []int, bytes int64) {
	s := &d.sites[i]
	for _, a := range picked {
		s.accelerators[a].free -= bytes
		s.accelerators[a].later -= bytes
		d.free -= bytes
		d.later -= bytes
	}
}

// ranking keeps the names and scores of the two best.
type ranking struct {
	names  [2]string
	scores [2]float64
	count  int
}

func (r *ranking) add(name string, score float64) {
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

func (r *ranking) alternatives(taken float64) []Alternative {
	var list []Alternative
	for i := range r.count {
		list = append(list, Alternative{Engine: r.names[i], Score: r.scores[i], Taken: taken})
	}
	return list
}
