package placement

import (
	"math"
	"slices"
	"strings"
	"time"

	"github.com/lovagelift/lovagelift/internal/declaration"
)

// draft is a plan under construction. It belongs to one call of Planner.Plan.
type draft struct {
	now     time.Time
	options Options
	input   Input
	models  []model
	// modelIndex maps the name of a model to its index in models.
	modelIndex map[string]int
	engines    []engineState
	// domainCount is the number of failure domains with an engine that accepts
	// orders.
	domainCount int
	// freeBytes and laterFreeBytes are the sums of free and laterFree over the
	// accelerators of all engines that accept orders.
	freeBytes, laterFreeBytes int64
	// reserveBytes is the total memory that needs of tierRedundancy and later
	// must leave free.
	reserveBytes  int64
	weightOfMoves float64
	moves         []rankedMove
	// currentlyServed is the load that the present copies serve within its
	// goals.
	currentlyServed float64
	problems        []Problem
	unmetSince      map[need]time.Time
	// avoided is Input.AvoidedLoads as a set.
	avoided map[AvoidedLoad]bool
}

// rankedMove is a move with its urgency. Moves are ordered by tier, priority
// and rank, the lowest first.
type rankedMove struct {
	move     Move
	tier     tier
	priority int
	// rank is lower for models with a higher weighted load.
	rank float64
}

// engineState is an engine in a draft.
type engineState struct {
	*Engine
	// accelerators is a copy of the engine's list, from which the draft
	// allocates.
	accelerators []acceleratorMemory
	// domain numbers the failure domains of the draft, from 0.
	domain int
	// load is the part of the demand that is assigned to the engine, in
	// concurrent requests.
	load float64
	// copyCount is how many copies the engine holds, loads or will load by this
	// draft.
	copyCount int
}

// goalCapacity returns the load up to which requests are assumed to meet their
// goals.
func (s *engineState) goalCapacity(o Options) float64 {
	return s.slots * o.TargetUtilization
}

// model is a declared model in a draft.
type model struct {
	declared declaration.Model
	adapters []adapter
	// adapterBytes is what all adapters together take of each accelerator of a
	// copy.
	adapterBytes int64
	// floor is the minimum coverage in the preset, and redundant the coverage
	// that also survives the losses that the preset tolerates.
	floor     coverage
	redundant coverage
	// share is the highest weight of the services that use the model, and
	// priority is their most urgent priority.
	share    float64
	priority int
	// scaleUpLoad and retainedLoad are the loads of the model including its
	// adapters, see demand.Estimate.
	scaleUpLoad, retainedLoad float64
	copies                    []placedCopy
	// problemReported means that draft.problems has an entry for the model.
	problemReported bool
}

// adapter is a declared adapter in a draft.
type adapter struct {
	name                      string
	bytes                     int64
	scaleUpLoad, retainedLoad float64
}

// coverage is a number of engines with a copy, and how many failure domains
// they are in.
type coverage struct {
	copies, domains int
}

// placedCopy is a copy of a model in a draft, present or planned.
type placedCopy struct {
	modelCopy
	// engine is an index of draft.engines.
	engine int
	// load is the part of the engine's load that this copy serves.
	load float64
	// adapterReserve is the memory that is reserved for adapters that are not
	// loaded beside the copy yet, on each of its accelerators. It counts as
	// allocated.
	adapterReserve int64
}

// newDraft returns a draft of the input without any moves.
func newDraft(now time.Time, options Options, in Input) *draft {
	d := &draft{
		now:           now,
		options:       options,
		input:         in,
		modelIndex:    map[string]int{},
		weightOfMoves: in.Preset.WeightOfMoves,
		unmetSince:    map[need]time.Time{},
		avoided:       make(map[AvoidedLoad]bool, len(in.AvoidedLoads)),
	}
	for _, a := range in.AvoidedLoads {
		d.avoided[a] = true
	}
	if d.weightOfMoves < 0 {
		d.weightOfMoves = in.WeightOfMoves
	}
	d.readEngines()
	d.readModels()
	d.readServices()
	d.readDemand()
	d.readCopies()
	d.distributeLoad(func(p *placedCopy) bool {
		return d.engines[p.engine].status == Serving && serves(p.phase)
	})
	d.currentlyServed = d.servedLoad()
	d.distributeLoad(d.servesOrLoads)
	return d
}

func (d *draft) readEngines() {
	domainIndexes := map[string]int{}
	usableDomains := map[int]bool{}
	d.engines = make([]engineState, len(d.input.Engines))
	var totalBytes int64
	for i := range d.input.Engines {
		e := &d.input.Engines[i]
		domain, known := domainIndexes[e.failureDomain]
		if !known {
			domain = len(domainIndexes)
			domainIndexes[e.failureDomain] = domain
		}
		d.engines[i] = engineState{Engine: e, accelerators: slices.Clone(e.accelerators), domain: domain}
		if !e.acceptsOrders {
			continue
		}
		usableDomains[domain] = true
		for _, a := range e.accelerators {
			totalBytes += a.total
			d.freeBytes += a.free
			d.laterFreeBytes += a.laterFree
		}
	}
	d.domainCount = len(usableDomains)
	d.reserveBytes = totalBytes / 100 * int64(d.input.Preset.ReservePercent)
}

func (d *draft) readModels() {
	declared := d.input.Declarations.Models()
	d.models = make([]model, len(declared))
	for i, m := range declared {
		floor := d.input.Preset.Floor(m.Name)
		d.models[i] = model{
			declared: m,
			floor:    coverage{copies: floor.Copies, domains: min(floor.FailureDomains, d.domainCount)},
			share:    1,
			priority: math.MaxInt,
		}
		d.models[i].redundant = d.withRedundancy(d.models[i].floor)
		d.modelIndex[m.Name] = i
	}
	for _, a := range d.input.Declarations.Adapters() {
		if i, known := d.modelIndex[a.Model]; known {
			d.models[i].adapters = append(d.models[i].adapters, adapter{name: a.Name, bytes: int64(a.Memory)})
			d.models[i].adapterBytes += int64(a.Memory)
		}
	}
}

// withRedundancy raises the floor so that at least one copy is left after the
// losses that the preset tolerates. It requires no more failure domains than
// there are.
func (d *draft) withRedundancy(floor coverage) coverage {
	domains := min(max(floor.domains, 1+d.input.Preset.TolerateFailureDomains), max(d.domainCount, 1))
	return coverage{
		copies:  max(floor.copies, 1+d.input.Preset.TolerateEngines, domains),
		domains: domains,
	}
}

func (d *draft) readServices() {
	for _, s := range d.input.Declarations.Services() {
		share := d.input.Preset.Share(s.Name)
		for _, name := range s.Models {
			i, known := d.modelIndex[name]
			if !known {
				continue
			}
			m := &d.models[i]
			if m.priority == math.MaxInt {
				m.share = share
			}
			m.share = max(m.share, share)
			m.priority = min(m.priority, s.Goal.Priority)
		}
	}
}

func (d *draft) readDemand() {
	for _, e := range d.input.Demand {
		i, known := d.modelIndex[e.Target.Model]
		if !known {
			continue
		}
		m := &d.models[i]
		m.scaleUpLoad += e.ScaleUpLoad(d.weightOfMoves)
		m.retainedLoad += e.RetainedLoad()
		j, found := slices.BinarySearchFunc(m.adapters, e.Target.Adapter, func(a adapter, name string) int {
			return strings.Compare(a.name, name)
		})
		if found {
			m.adapters[j].scaleUpLoad += e.ScaleUpLoad(d.weightOfMoves)
			m.adapters[j].retainedLoad += e.RetainedLoad()
		}
	}
}

func (d *draft) readCopies() {
	for i := range d.engines {
		s := &d.engines[i]
		if s.status == Lost {
			continue
		}
		for _, c := range s.copies {
			j, known := d.modelIndex[c.model]
			if !known {
				continue
			}
			c.adapters = slices.Clone(c.adapters)
			s.copyCount++
			m := &d.models[j]
			m.copies = append(m.copies, placedCopy{modelCopy: c, engine: i})
			d.reserveForAdapters(m, &m.copies[len(m.copies)-1])
		}
	}
}

// reserveForAdapters reserves memory for the adapters that are not loaded
// beside the copy yet, so that no other copy takes it first. If less memory is
// free, it reserves that.
func (d *draft) reserveForAdapters(m *model, p *placedCopy) {
	s := &d.engines[p.engine]
	if !s.acceptsOrders || !s.supportsAdapters || p.version != m.declared.Version || p.phase == PhaseUnloading || m.adapterBytes == 0 {
		return
	}
	missing := m.adapterBytes
	for _, a := range p.adapters {
		missing -= m.bytesOf(a.name)
	}
	indexes := s.acceleratorIndexes(p.accelerators)
	for _, a := range indexes {
		missing = min(missing, s.accelerators[a].freeFor(false))
	}
	if missing <= 0 {
		return
	}
	p.adapterReserve = missing
	d.allocate(p.engine, indexes, missing)
}

// bytesOf returns the declared size of an adapter, or 0 if it is not declared.
func (m *model) bytesOf(adapterName string) int64 {
	i, found := slices.BinarySearchFunc(m.adapters, adapterName, func(a adapter, name string) int {
		return strings.Compare(a.name, name)
	})
	if !found {
		return 0
	}
	return m.adapters[i].bytes
}

// acceleratorIndexes returns the indexes of the accelerators with these names.
func (s *engineState) acceleratorIndexes(names []string) []int {
	indexes := make([]int, 0, len(names))
	for a := range s.accelerators {
		if slices.Contains(names, s.accelerators[a].name) {
			indexes = append(indexes, a)
		}
	}
	return indexes
}

// isAvoided reports whether Input.AvoidedLoads lists the load. Without that
// list, an engine on which a load always fails would be ordered to repeat it
// every second, while another engine could do it.
func (d *draft) isAvoided(engine int, model, adapterName string) bool {
	return len(d.avoided) > 0 && d.avoided[AvoidedLoad{Engine: d.engines[engine].name, Model: model, Adapter: adapterName}]
}

// isDue reports whether a need has persisted long enough to be met, and records
// since when it has. In the first plan of a leader, every need is due.
func (d *draft) isDue(n need) bool {
	firstSeen, known := d.input.Previous.unmetSince[n]
	if !known {
		firstSeen = d.now
	}
	d.unmetSince[n] = firstSeen
	window := d.options.StabilizationWindow
	switch n.tier {
	case tierUnreachable:
		return true
	case tierDemand:
		window = time.Duration(float64(window) * min(d.weightOfMoves, maxWindowFactor))
	default:
	}
	return d.input.Previous.plannedAt.IsZero() || d.now.Sub(firstSeen) >= window
}

// maxWindowFactor limits how many stabilization windows a need of tierDemand
// must persist. Below the limit, the number of windows is the weight of moves.
const maxWindowFactor = 3

// countsFor reports whether a copy counts for a tier. A load whose answer was
// lost does not make a model reachable, but counts for later tiers, so that it
// is not ordered a second time for them. A copy on an inconsistent engine
// counts for tierUnreachable only.
func (d *draft) countsFor(p *placedCopy, t tier) bool {
	if d.engines[p.engine].status != Serving {
		return false
	}
	switch p.phase {
	case PhaseReady, PhaseLoading, PhasePlanned:
		return true
	case PhaseUnverified:
		return t == tierUnreachable
	case PhaseDoubtful:
		return t != tierUnreachable
	default:
		return false
	}
}

// coverageFor returns the coverage of the model by copies that count for the
// tier.
func (d *draft) coverageFor(m *model, t tier) coverage {
	return d.coverageOf(m, func(p *placedCopy) bool { return d.countsFor(p, t) })
}

// stableCoverageExcept returns the coverage of the model by stable copies on
// other engines.
func (d *draft) stableCoverageExcept(m *model, exceptEngine int) coverage {
	return d.coverageOf(m, func(p *placedCopy) bool { return p.engine != exceptEngine && d.isStable(p) })
}

// isStable reports whether the copy serves now, its engine is consistent, and
// no open order may remove or replace it.
func (d *draft) isStable(p *placedCopy) bool {
	s := &d.engines[p.engine]
	return s.status == Serving && s.consistent && p.phase == PhaseReady && !p.changingVersion
}

// coverageOf returns the coverage by the copies that pass.
func (d *draft) coverageOf(m *model, passes func(p *placedCopy) bool) coverage {
	var engineSpace, domainSpace [32]int
	seenEngines, seenDomains := engineSpace[:0], domainSpace[:0]
	for i := range m.copies {
		p := &m.copies[i]
		if !passes(p) || slices.Contains(seenEngines, p.engine) {
			continue
		}
		seenEngines = append(seenEngines, p.engine)
		if domain := d.engines[p.engine].domain; !slices.Contains(seenDomains, domain) {
			seenDomains = append(seenDomains, domain)
		}
	}
	return coverage{copies: len(seenEngines), domains: len(seenDomains)}
}

// requiredCoverage returns the coverage that the tier requires for the model.
func (m *model) requiredCoverage(t tier) coverage {
	switch t {
	case tierUnreachable:
		return coverage{copies: 1, domains: 1}
	case tierFloor:
		return m.floor
	default:
		return m.redundant
	}
}

// loadCost returns the cost of loading a model, in slot-seconds: all slots of
// its accelerators for the duration of the load. This accounts for the requests
// that the load slows down, the memory that is unused until the load is done,
// and the prefix cache that starts cold.
func (d *draft) loadCost(accelerators int) float64 {
	return d.options.LoadTime.Seconds() * DefaultSlots * float64(accelerators)
}

// unloadCostFactor is the cost of an unload as a fraction of the cost of a
// load.
const unloadCostFactor = 0.25
