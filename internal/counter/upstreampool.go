package counter

import (
	"net/netip"
	"slices"
	"time"

	"github.com/lovagelift/lovagelift/internal/concurrency"
	"github.com/lovagelift/lovagelift/internal/courier"
	"github.com/lovagelift/lovagelift/internal/ratelimit"
	"github.com/lovagelift/lovagelift/internal/reachability"
	"github.com/lovagelift/lovagelift/internal/resumption"
	"github.com/lovagelift/lovagelift/internal/roster"
	"github.com/lovagelift/lovagelift/internal/routes"
	"github.com/lovagelift/lovagelift/internal/speed"
	"github.com/lovagelift/lovagelift/internal/upstreamapi"
)

// upstreamPool is the set of upstreams known to an entry instance, with their estimated load. It is
// not safe for concurrent use.
type upstreamPool struct {
	lease time.Duration
	// contestTime is that of the roster.
	contestTime   time.Duration
	failureDomain string
	byName        map[string]*upstream
	byService     map[string][]*upstream
	// byModel indexes the upstreams by loaded model. It is rebuilt when byModelStale is true. Every
	// request uses it, and a model is loaded by few of hundreds of upstreams.
	byModel      map[modelKey][]*upstream
	byModelStale bool
	// byAddress maps each address to the upstream last heard from there. A crashed upstream is
	// restarted under another name: until the lease of the old one expires, requests for it would
	// reach the new one, which refuses them. Upstreams of services that no route uses own no
	// address: such an announcement may come from a foreign program and would take a working
	// upstream out of service.
	byAddress map[string]*upstream
	// routedServices are the services of the routes in force, nil before the first routes.
	routedServices map[string]*routes.Service
	// paths are this instance's network paths to the services, and lost the upstreams of each service
	// to which it has lost its path.
	paths map[string]reachability.Service
	lost  map[string][]*upstream
	// versions are the software versions of each service.
	versions resumption.Versions
	// newVersions are the services that have got another software version since the last call of
	// takeNewVersions.
	newVersions map[string]bool
	// catalog is the copy of the versions that are recorded.
	catalog resumption.Catalog
	// pushedBack are the latest of the upstreams' pushbacks, by entry instance.
	pushedBack ratelimit.Pushbacks[netip.AddrPort]
	// lastHeard is the latest time at which any upstream was heard from.
	lastHeard time.Time
	// graceUntil is the time until which no lease expires. After an outage of the control
	// instances, upstreams are heard from again one after the other.
	graceUntil time.Time
}

// upstream is one process of a service.
type upstream struct {
	roster.Upstream
	// name, address and software never change, so that requests in flight may read them during
	// updates. A record that only reports a leave has no address. announced is false if only the name
	// and the address are known, from the owner of a model.
	name        string
	incarnation uint64
	address     string
	service     string
	announced   bool
	// software is the version of the upstream's software, empty if it announces none.
	software string
	// unrecorded is true if no stream that may be resumed may begin at the upstream, since its version is
	// not recorded.
	unrecorded bool
	// slots is the number of requests that the upstream runs at once, 0 if it is not known. remote
	// is true for another failure domain.
	slots  int
	remote bool
	// models maps each loaded model to its loaded adapters. loading is the model that will be
	// available at loadDoneAt, empty if there is none.
	models     map[string][]string
	loading    string
	loadDoneAt time.Time
	// active is the number of requests of this instance in flight. limiter limits it at upstreams of
	// plain services.
	active  int
	limiter concurrency.Limiter
	// reportedAt is the time of the state described by the latest report.
	reportedAt time.Time
	// peerLoad estimates the peers' requests at the upstream. backlog estimates its unprocessed
	// prompts, and pacing is that of the last request from here.
	peerLoad peerLoad
	history  loadHistory
	backlog  promptBacklog
	pacing   pacing
	speed    upstreamSpeed
	// backoff and activePeers keep instances from sending at the same moment.
	backoff     sendBackoff
	activePeers activePeers
	// avoidUntil is the time until which the upstream, after a failure or refusal, is selected only
	// if there is no other.
	avoidUntil time.Time
	failures   int
	// path is this instance's network path to the upstream.
	path reachability.Path
	// limit is the rate limit that the upstream states in its responses.
	limit upstreamLimit
	// refusals are the upstream's recent refusals, if it states how many it tolerates.
	refusals ratelimit.Refusals
	// statedLeave is true once a response has stated that the upstream is leaving.
	statedLeave bool
	// pushbacks are the times until which the upstream wants no requests, by entry instance.
	pushbacks ratelimit.Pushbacks[netip.AddrPort]
}

func newUpstreamPool(failureDomain string, lease time.Duration) *upstreamPool {
	return &upstreamPool{
		lease: lease, contestTime: roster.ContestTimeFor(lease), failureDomain: failureDomain, paths: map[string]reachability.Service{}, lost: map[string][]*upstream{},
		newVersions: map[string]bool{}, byName: map[string]*upstream{}, byService: map[string][]*upstream{}, byAddress: map[string]*upstream{},
	}
}

// apply updates the pool with changed roster entries.
func (p *upstreamPool) apply(now time.Time, changed []roster.Upstream) {
	previous := p.lastHeard
	for _, known := range changed {
		p.upsert(known)
	}
	if !previous.IsZero() && p.lastHeard.Sub(previous) > p.lease/2 {
		p.graceUntil = now.Add(p.lease)
	}
	if now.Before(p.graceUntil) {
		return
	}
	for name, u := range p.byName {
		if p.lastHeard.Sub(u.LastContact) > forgetAfterLeases*p.lease && u.active == 0 {
			p.remove(name)
		}
	}
}

// forgetAfterLeases is the number of leases after which an expired upstream is removed.
const forgetAfterLeases = 10

func (p *upstreamPool) upsert(known roster.Upstream) {
	name := known.Announcement.Name
	u := p.byName[name]
	if u != nil && known.Announcement.Incarnation < u.incarnation && known.LastContact.Sub(u.LastContact) < p.contestTime {
		return
	}
	restarted := u != nil && (known.Announcement.Incarnation != u.incarnation || known.Announcement.SoftwareVersion != u.software)
	if restarted && len(known.Announcement.Services) > 0 {
		// Load, models and failures of the former process under this name do not apply to it.
		p.remove(name)
		u = nil
	}
	if u == nil {
		if len(known.Announcement.Services) == 0 {
			return
		}
		u = &upstream{
			name: name, incarnation: known.Announcement.Incarnation, address: known.Announcement.Address, service: known.Announcement.Services[0],
			announced: true, software: known.Announcement.SoftwareVersion,
			pacing: pacingFor(defaultMaxGap, speed.New(0)),
		}
		u.unrecorded = !p.catalog.MayBegin(u.service, u.software)
		p.byName[name] = u
		p.byService[u.service] = append(p.byService[u.service], u)
	}
	if p.ownsAddress(u, known) {
		p.byAddress[u.address] = u
	}
	residentChanged := !slices.EqualFunc(u.Announcement.Resident, known.Announcement.Resident, equalResidents)
	u.Upstream = known
	if p.versions.Observe(u.service, u.software, known.LastContact) {
		p.newVersions[u.service] = true
	}
	u.slots = known.Announcement.Load.MaxRunning
	u.remote = known.Announcement.FailureDomain != p.failureDomain
	if residentChanged || u.models == nil {
		u.models = make(map[string][]string, len(known.Announcement.Resident))
		for _, resident := range known.Announcement.Resident {
			u.models[resident.Model] = resident.Adapters
		}
		p.byModelStale = true
	}
	if known.LastContact.After(p.lastHeard) {
		p.lastHeard = known.LastContact
	}
}

// setCatalog replaces the copy of the versions that are recorded.
func (p *upstreamPool) setCatalog(catalog resumption.Catalog) {
	p.catalog = catalog
	for _, u := range p.byName {
		u.unrecorded = !catalog.MayBegin(u.service, u.software)
	}
}

// takeNewVersions returns the services that have got another software version since the last call.
func (p *upstreamPool) takeNewVersions() map[string]bool {
	services := p.newVersions
	if len(services) > 0 {
		p.newVersions = map[string]bool{}
	}
	return services
}

// ownsAddress reports whether u is the upstream that currently uses its address.
func (p *upstreamPool) ownsAddress(u *upstream, known roster.Upstream) bool {
	current := p.byAddress[u.address]
	if current == nil {
		return true
	}
	if !p.isRouted(current.service) {
		return true
	}
	return p.isRouted(u.service) && !known.Leaving && known.LastContact.After(current.LastContact)
}

// isRouted reports whether requests may go to a service. All services count as routed before the
// first routes.
func (p *upstreamPool) isRouted(service string) bool {
	return p.routedServices == nil || p.routedServices[service] != nil
}

func (p *upstreamPool) remove(name string) {
	u := p.byName[name]
	delete(p.byName, name)
	p.forgetLost(u)
	if p.byAddress[u.address] == u {
		delete(p.byAddress, u.address)
	}
	p.byService[u.service] = slices.DeleteFunc(p.byService[u.service], func(other *upstream) bool { return other == u })
	p.byModelStale = true
}

// upstreamsWith returns the upstreams of a service that have loaded a model, or all of them if
// model is empty. Unavailable upstreams are included.
func (p *upstreamPool) upstreamsWith(service, model string) []*upstream {
	if model == "" {
		return p.byService[service]
	}
	if p.byModelStale {
		p.byModelStale = false
		p.byModel = make(map[modelKey][]*upstream, len(p.byModel))
		for name, upstreams := range p.byService {
			for _, u := range upstreams {
				for loaded := range u.models {
					key := modelKey{name, loaded}
					p.byModel[key] = append(p.byModel[key], u)
				}
			}
		}
	}
	return p.byModel[modelKey{service, model}]
}

// reportLag is the approximate age of an engine's report when the engine sends it.
const reportLag = 100 * time.Millisecond

// applyEngineStates applies the engine states known to the leader: the models and the load of each
// engine. They are newer than the engines' own announcements.
func (p *upstreamPool) applyEngineStates(now time.Time, states *courier.EngineStates) {
	for _, engine := range states.Engines {
		u := p.byName[engine.Name]
		if u == nil || engine.Incarnation != u.incarnation {
			continue
		}
		u.models = make(map[string][]string, len(engine.Models))
		for _, model := range engine.Models {
			u.models[model.Name] = model.Adapters
		}
		p.byModelStale = true
		u.loading, u.loadDoneAt = engine.NextModel, now.Add(engine.NextModelIn)
		if age := engine.Age + reportLag; age >= 0 {
			u.applyReport(now, now.Add(-age), engine.Running+engine.Queued)
		}
	}
}

// reportDedupInterval is the largest difference between the computed times of one report. Each
// reply of the leader repeats the report, with a delay of some ms. Engines are polled at most every
// 125 ms.
const reportDedupInterval = 100 * time.Millisecond

// applyReport corrects the load estimate with the number of requests u had at a given time.
// Messages between instances may be lost, and some requests take longer than average.
func (u *upstream) applyReport(now, at time.Time, requests int) {
	if at.Sub(u.reportedAt) < reportDedupInterval {
		return
	}
	u.reportedAt = at
	// The load before the first recorded sample counts as 0.
	estimated, _ := u.history.loadAt(at)
	u.peerLoad.correct(now, at, u.pacing.serviceTime, float64(requests)-estimated)
	u.history.record(now, u.load(now))
}

// loadTime returns the time until an upstream that q allows has loaded the model, which it is loading
// or making room for. It returns false if there is none.
func (p *upstreamPool) loadTime(now time.Time, q upstreamQuery) (shortest time.Duration, ok bool) {
	for _, u := range p.byService[q.service] {
		if u.loading != q.model || q.model == "" || !q.software.Allows(u.software) || !p.isAvailable(now, u) {
			continue
		}
		if left := max(u.loadDoneAt.Sub(now), 0); !ok || left < shortest {
			shortest, ok = left, true
		}
	}
	return shortest, ok
}

// isAvailable reports whether u may receive new requests.
func (p *upstreamPool) isAvailable(now time.Time, u *upstream) bool {
	return !u.isLeaving() && p.byAddress[u.address] == u && (p.lastHeard.Sub(u.LastContact) < p.lease || now.Before(p.graceUntil))
}

// process returns the upstream with a name and incarnation, or the name alone if incarnation is 0.
// It returns nil if there is none.
func (p *upstreamPool) process(name string, incarnation uint64) *upstream {
	u := p.byName[name]
	if u == nil || incarnation != 0 && incarnation != u.incarnation {
		return nil
	}
	return u
}

// current returns the upstream in the pool that is the same process as u. If there is none, it
// returns u: its process is gone, or this instance has not heard of it yet.
func (p *upstreamPool) current(u *upstream) *upstream {
	if known := p.process(u.name, u.incarnation); known != nil && known.address == u.address {
		return known
	}
	return u
}

// canRun reports whether u can run a model, with an adapter unless it is empty.
func (u *upstream) canRun(model, adapter string) bool {
	if model == "" {
		return true
	}
	adapters, loaded := u.models[model]
	return loaded && (adapter == "" || slices.Contains(adapters, adapter))
}

func equalResidents(a, b upstreamapi.Resident) bool {
	return a.Model == b.Model && a.Version == b.Version && slices.Equal(a.Adapters, b.Adapters)
}

// addModel records that u has loaded a model, with an adapter unless it is empty.
func (p *upstreamPool) addModel(u *upstream, model, adapter string) {
	if u.canRun(model, adapter) {
		return
	}
	p.byModelStale = true
	adapters := slices.Clone(u.models[model])
	if adapter != "" {
		adapters = append(adapters, adapter)
	}
	u.models[model] = adapters
}

// removeModel records that u lacks a model, or only its adapter unless adapter is empty.
func (u *upstream) removeModel(model, adapter string) {
	if adapter == "" {
		delete(u.models, model)
		return
	}
	u.models[model] = slices.DeleteFunc(slices.Clone(u.models[model]), func(a string) bool { return a == adapter })
}
