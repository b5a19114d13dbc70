package placement

import (
	"math"
	"slices"
	"strings"
	"time"

	"github.com/lovagelift/lovagelift/internal/declaration"
)

// draft is a plan in the making. It belongs to one call of Planner.Plan.
type draft struct {
	now     time.Time
	options Options
	in      Input
	models  []model
	index   map[string]int
	sites   []site
	// domains is how many failure domains have a site that takes orders.
	domains int
	// free and later are the memory of all sites that take orders, as in room.
	free, later int64
	// reserve is what needs of tierLosses and later must leave free, together.
	reserve int64
	// weight is the weight of moves.
	weight float64
	wants  []want
	// servedNow is the load that what is there now serves.
	servedNow float64
	problems  []Problem
	since     map[need]time.Time
	// avoided are the loads of Input.Avoid.
	avoided map[Avoided]bool
}

// want is a move with its urgency. The least of tier, priority and rank is the
// most urgent.
type want struct {
	move     Move
	tier     tier
	priority int
	rank     float64
}

// site is an engine in a draft.
type site struct {
	*Engine
	// accelerators are a copy of the engine's, which the draft takes from.
	accelerators []room
	domain       int
	// load is the part of the demand that is taken to go there, in requests held
	// at once.
	load float64
	// held is how many copies are there, or will be.
	held int
}

// limit returns the load up to which requests meet their goals.
func (s *site) limit(o Options) float64 {
	return s.slots * o.Utilization
}

// model is a declared model in a draft.
type model struct {
	declared declaration.Model
	adapters []adapter
	// adapterBytes is what all adapters take of each accelerator of a copy.
	adapterBytes int64
	floor        requirement
	wanted       requirement
	// share is the greatest weight, and priority the first priority, of the
	// services that use the model.
	share    float64
	priority int
	// rising and keeping are the loads of the model with its adapters.
	rising, keeping float64
	places          []place
	// troubled means that a need of the model cannot be met.
	troubled bool
}

// adapter is a declared adapter in a draft.
type adapter struct {
	name            string
	bytes           int64
	rising, keeping float64
}

// requirement is a number of copies, in so many failure domains.
type requirement struct {
	copies, domains int
}

// place is a copy of a model at a site.
type place struct {
	copied
	site int
	// load is the part of the site's load that this copy brings.
	load float64
	// promised is the memory that is kept for adapters beside the copy, on each
	// of its accelerators. It counts as taken.
	promised int64
}

// newDraft gathers what is.
func newDraft(now time.Time, options Options, in Input) *draft {
	d := &draft{
		now:     now,
		options: options,
		in:      in,
		index:   map[string]int{},
		weight:  in.Preset.WeightOfMoves,
		since:   map[need]time.Time{},
		avoided: make(map[Avoided]bool, len(in.Avoid)),
	}
	for _, a := range in.Avoid {
		d.avoided[a] = true
	}
	if d.weight < 0 {
		d.weight = in.WeightOfMoves
	}
	d.readEngines()
	d.readModels()
	d.readServices()
	d.readDemand()
	d.readCopies()
	d.spread(func(p *place) bool {
		return d.sites[p.site].standing == Serving && serves(p.phase)
	})
	d.servedNow = d.served()
	d.spread(d.usable)
	return d
}

func (d *draft) readEngines() {
	domains := map[string]int{}
	used := map[int]bool{}
	d.sites = make([]site, len(d.in.Engines))
	var total int64
	for i := range d.in.Engines {
		e := &d.in.Engines[i]
		domain, known := domains[e.failureDomain]
		if !known {
			domain = len(domains)
			domains[e.failureDomain] = domain
		}
		d.sites[i] = site{Engine: e, accelerators: slices.Clone(e.accelerators), domain: domain}
		if !e.ordered {
			continue
		}
		used[domain] = true
		for _, a := range e.accelerators {
			total += a.memory
			d.free += a.free
			d.later += a.later
		}
	}
	d.domains = len(used)
	d.reserve = total / 100 * int64(d.in.Preset.ReservePercent)
}

func (d *draft) readModels() {
	declared := d.in.Declarations.Models()
	d.models = make([]model, len(declared))
	for i, m := range declared {
		floor := d.in.Preset.Floor(m.Name)
		d.models[i] = model{
			declared: m,
			floor:    requirement{copies: floor.Copies, domains: min(floor.FailureDomains, d.domains)},
			share:    1,
			priority: math.MaxInt,
		}
		d.models[i].wanted = d.withLosses(d.models[i].floor)
		d.index[m.Name] = i
	}
	for _, a := range d.in.Declarations.Adapters() {
		if i, known := d.index[a.Model]; known {
			d.models[i].adapters = append(d.models[i].adapters, adapter{name: a.Name, bytes: int64(a.Memory)})
			d.models[i].adapterBytes += int64(a.Memory)
		}
	}
}

// withLosses returns what is left of the floor or more after the losses that the
// preset tolerates: one copy at least.
func (d *draft) withLosses(floor requirement) requirement {
	domains := min(max(floor.domains, 1+d.in.Preset.TolerateFailureDomains), max(d.domains, 1))
	return requirement{
		copies:  max(floor.copies, 1+d.in.Preset.TolerateEngines, domains),
		domains: domains,
	}
}

func (d *draft) readServices() {
	for _, s := range d.in.Declarations.Services() {
		share := d.in.Preset.Share(s.Name)
		for _, name := range s.Models {
			i, known := d.index[name]
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
	for _, e := range d.in.Demand {
		i, known := d.index[e.Target.Model]
		if !known {
			continue
		}
		m := &d.models[i]
		m.rising += e.Rising(d.weight)
		m.keeping += e.Keeping()
		at, found := slices.BinarySearchFunc(m.adapters, e.Target.Adapter, func(a adapter, name string) int {
			return strings.Compare(a.name, name)
		})
		if found {
			m.adapters[at].rising += e.Rising(d.weight)
			m.adapters[at].keeping += e.Keeping()
		}
	}
}

func (d *draft) readCopies() {
	for i := range d.sites {
		s := &d.sites[i]
		if s.standing == Lost {
			continue
		}
		for _, c := range s.copies {
			at, known := d.index[c.model]
			if !known {
				continue
			}
			c.adapters = slices.Clone(c.adapters)
			s.held++
			m := &d.models[at]
			m.places = append(m.places, place{copied: c, site: i})
			d.promise(m, &m.places[len(m.places)-1])
		}
	}
}

// promise keeps memory for the adapters that are not beside the copy yet, so that
// no other copy takes it before they can be loaded. If less is free, it keeps
// that.
func (d *draft) promise(m *model, p *place) {
	s := &d.sites[p.site]
	if !s.ordered || !s.adapters || p.version != m.declared.Version || p.phase == PhaseGoing || m.adapterBytes == 0 {
		return
	}
	missing := m.adapterBytes
	for _, a := range p.adapters {
		missing -= m.bytesOf(a.name)
	}
	picked := s.indices(p.accelerators)
	for _, a := range picked {
		missing = min(missing, s.accelerators[a].roomFor(false))
	}
	if missing <= 0 {
		return
	}
	p.promised = missing
	d.take(p.site, picked, missing)
}

// bytesOf returns the declared size of an adapter, or 0.
func (m *model) bytesOf(adapterName string) int64 {
	i, found := slices.BinarySearchFunc(m.adapters, adapterName, func(a adapter, name string) int {
		return strings.Compare(a.name, name)
	})
	if !found {
		return 0
	}
	return m.adapters[i].bytes
}

// indices returns the accelerators of those names.
func (s *site) indices(names []string) []int {
	picked := make([]int, 0, len(names))
	for a := range s.accelerators {
		if slices.Contains(names, s.accelerators[a].name) {
			picked = append(picked, a)
		}
	}
	return picked
}

// avoids tells whether a load failed at the site lately. An engine that fails a
// load every time would otherwise be asked for it every second, while another
// engine could do it.
func (d *draft) avoids(site int, model, adapterName string) bool {
	return len(d.avoided) > 0 && d.avoided[Avoided{Engine: d.sites[site].name, Model: model, Adapter: adapterName}]
}

// settled tells whether a need has lasted long enough to be met, and keeps since
// when it has.
func (d *draft) settled(n need) bool {
	since, known := d.in.Previous.since[n]
	if !known {
		since = d.now
	}
	d.since[n] = since
	patience := d.options.Patience
	switch n.tier {
	case tierUnreachable:
		return true
	case tierDemand:
		patience = time.Duration(float64(patience) * min(d.weight, mostPatience))
	default:
	}
	return d.in.Previous.at.IsZero() || d.now.Sub(since) >= patience
}

// mostPatience is how many times the patience a need of tierDemand waits at most.
// Below that, it waits as many times as moves weigh.
const mostPatience = 3

// counts tells whether a place counts for a tier. What is in doubt or unproved
// is enough in one direction only: a doubtful load must not keep a model
// unreachable, and must not be ordered a second time for a mere floor.
func (d *draft) counts(p *place, t tier) bool {
	if d.sites[p.site].standing != Serving {
		return false
	}
	switch p.phase {
	case PhaseReady, PhaseComing, PhasePlanned:
		return true
	case PhaseUnproved:
		return t == tierUnreachable
	case PhaseDoubtful:
		return t != tierUnreachable
	default:
		return false
	}
}

// have returns in how many sites and failure domains the model has places that
// count for the tier.
func (d *draft) have(m *model, t tier) requirement {
	return d.tally(m, func(p *place) bool { return d.counts(p, t) })
}

// proved returns in how many other sites and failure domains than at the site
// the model can be reached for certain, whatever open orders do.
func (d *draft) proved(m *model, except int) requirement {
	return d.tally(m, func(p *place) bool { return p.site != except && d.certain(p) })
}

// certain tells whether the place serves now, and goes on whatever open orders
// do.
func (d *draft) certain(p *place) bool {
	s := &d.sites[p.site]
	return s.standing == Serving && s.proved && p.phase == PhaseReady && !p.versionChanging
}

// tally counts the sites and failure domains of the places that pass.
func (d *draft) tally(m *model, passes func(p *place) bool) requirement {
	var sites, domains [32]int
	seenSites, seenDomains := sites[:0], domains[:0]
	for i := range m.places {
		p := &m.places[i]
		if !passes(p) || slices.Contains(seenSites, p.site) {
			continue
		}
		seenSites = append(seenSites, p.site)
		if domain := d.sites[p.site].domain; !slices.Contains(seenDomains, domain) {
			seenDomains = append(seenDomains, domain)
		}
	}
	return requirement{copies: len(seenSites), domains: len(seenDomains)}
}

// requirementOf returns what the tier asks for the model.
func (m *model) requirementOf(t tier) requirement {
	switch t {
	case tierUnreachable:
		return requirement{copies: 1, domains: 1}
	case tierFloor:
		return m.floor
	default:
		return m.wanted
	}
}

// moveCost returns what one load costs: all slots of its accelerators for as long
// as it lasts. It stands for the requests that it slows down, the memory that
// serves nobody meanwhile, and a prefix cache that begins cold.
func (d *draft) moveCost(accelerators int) float64 {
	return d.options.LoadTime.Seconds() * DefaultSlots * float64(accelerators)
}

// unloadPart is the cost of an unload as a part of a load's.
const unloadPart = 0.25
