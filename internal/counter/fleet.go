package counter

import (
	"slices"
	"time"

	"github.com/lovagelift/lovagelift/internal/courier"
	"github.com/lovagelift/lovagelift/internal/roster"
	"github.com/lovagelift/lovagelift/internal/routes"
	"github.com/lovagelift/lovagelift/internal/speed"
	"github.com/lovagelift/lovagelift/internal/upstreamapi"
)

// fleet is the upstreams that an entry instance knows, and what it has sent
// them. It is not safe for concurrent use.
type fleet struct {
	lease     time.Duration
	domain    string
	upstreams map[string]*upstream
	// services are the names of upstreams by service.
	services map[string][]*upstream
	// byModel are the upstreams that hold each model, made anew when changed is true: a
	// model is held by a few of hundreds, and each request looks at them.
	byModel map[modelKey][]*upstream
	changed bool
	// addresses are the upstreams that were heard of last at each address. An upstream
	// that crashes is started anew under another name: until its lease ends, requests
	// for the one that is gone would reach the new one, which refuses them. Upstreams of
	// services that no route knows own no address: such an announcement may be of
	// another writer, and would take a sound upstream out of use.
	addresses map[string]*upstream
	// served are the services of the routes in force, nil before any are known.
	served map[string]*routes.Service
	// newest is when the last upstream was heard of.
	newest time.Time
	// graceUntil is until when no upstream is taken for lost: after control
	// instances were away, their upstreams are heard of one after the other.
	graceUntil time.Time
}

// upstream is one process of a service.
type upstream struct {
	roster.Upstream
	// name and address never change, so that a request on its way may read them
	// while news of the upstream come in. A record that tells of its leaving alone
	// has no address.
	name        string
	incarnation uint64
	address     string
	service     string
	slots       int
	remote      bool
	// models is what it holds, by model. coming is one that it will hold at comingAt, or
	// empty.
	models   map[string][]string
	coming   string
	comingAt time.Time
	// open is how many requests of this instance are under way.
	open int
	// reportedAt is when its newest report was as of.
	reportedAt time.Time
	// others is what other instances have there, and unread the prompts that it has
	// not read yet, by the pace of the last request from here.
	others  others
	history history
	unread  backlog
	pace    pace
	// turn and rivals keep instances from sending at the same moment.
	turn   turn
	rivals rivals
	// avoidUntil is until when it gets work only if nobody else can, after
	// failures in a row.
	avoidUntil time.Time
	failures   int
	// limit is what it names in its answers.
	limit limited
}

func newFleet(domain string, lease time.Duration) *fleet {
	return &fleet{
		lease: lease, domain: domain,
		upstreams: map[string]*upstream{}, services: map[string][]*upstream{}, addresses: map[string]*upstream{},
	}
}

// update takes in what is known of upstreams now.
func (f *fleet) update(now time.Time, changed []roster.Upstream) {
	before := f.newest
	for _, known := range changed {
		f.put(known)
	}
	if !before.IsZero() && f.newest.Sub(before) > f.lease/2 {
		f.graceUntil = now.Add(f.lease)
	}
	if now.Before(f.graceUntil) {
		return
	}
	for name, u := range f.upstreams {
		if f.newest.Sub(u.Heard) > forgetLeases*f.lease && u.open == 0 {
			f.remove(name)
		}
	}
}

// forgetLeases is after how many leases an upstream that is lost is forgotten.
const forgetLeases = 10

func (f *fleet) put(known roster.Upstream) {
	name := known.Announcement.Name
	u := f.upstreams[name]
	if u != nil && known.Announcement.Incarnation < u.incarnation {
		return
	}
	if u != nil && known.Announcement.Incarnation > u.incarnation && len(known.Announcement.Services) > 0 {
		// The process has started again under its name. What it was sent, held and
		// failed before says nothing of it; requests to the one before end with that.
		f.remove(name)
		u = nil
	}
	if u == nil {
		if len(known.Announcement.Services) == 0 {
			return
		}
		u = &upstream{
			name: name, incarnation: known.Announcement.Incarnation, address: known.Announcement.Address, service: known.Announcement.Services[0],
			pace: paceOf(defaultGap, speed.New(0)),
		}
		f.upstreams[name] = u
		f.services[u.service] = append(f.services[u.service], u)
	}
	if f.owns(u, known) {
		f.addresses[u.address] = u
	}
	restated := !slices.EqualFunc(u.Announcement.Resident, known.Announcement.Resident, sameResident)
	u.Upstream = known
	u.slots = known.Announcement.Load.MaxRunning
	u.remote = known.Announcement.FailureDomain != f.domain
	if restated || u.models == nil {
		u.models = make(map[string][]string, len(known.Announcement.Resident))
		for _, held := range known.Announcement.Resident {
			u.models[held.Model] = held.Adapters
		}
		f.changed = true
	}
	if known.Heard.After(f.newest) {
		f.newest = known.Heard
	}
}

// owns reports whether the address of u is its own by what is known of it now.
func (f *fleet) owns(u *upstream, known roster.Upstream) bool {
	last := f.addresses[u.address]
	if last == nil {
		return true
	}
	if !f.serves(last.service) {
		return true
	}
	return f.serves(u.service) && !known.Leaving && known.Heard.After(last.Heard)
}

// serves reports whether requests may go to a service.
func (f *fleet) serves(service string) bool {
	return f.served == nil || f.served[service] != nil
}

func (f *fleet) remove(name string) {
	u := f.upstreams[name]
	delete(f.upstreams, name)
	if f.addresses[u.address] == u {
		delete(f.addresses, u.address)
	}
	f.services[u.service] = slices.DeleteFunc(f.services[u.service], func(other *upstream) bool { return other == u })
	f.changed = true
}

// holders returns the upstreams of a service that hold a model, or all of them if model is
// empty. They may be lost or leave.
func (f *fleet) holders(service, model string) []*upstream {
	if model == "" {
		return f.services[service]
	}
	if f.changed {
		f.changed = false
		f.byModel = make(map[modelKey][]*upstream, len(f.byModel))
		for name, upstreams := range f.services {
			for _, u := range upstreams {
				for held := range u.models {
					key := modelKey{name, held}
					f.byModel[key] = append(f.byModel[key], u)
				}
			}
		}
	}
	return f.byModel[modelKey{service, model}]
}

// anyAlive reports whether an upstream of a service may get new work.
func (f *fleet) anyAlive(now time.Time, service string) bool {
	return slices.ContainsFunc(f.services[service], func(u *upstream) bool { return f.alive(now, u) })
}

// reportLag is about how old an engine's report is when it gives it.
const reportLag = 100 * time.Millisecond

// hold takes in what engines hold by whoever gives them orders, which is newer
// than what they announce themselves.
func (f *fleet) hold(now time.Time, holdings *courier.Holdings) {
	for _, held := range holdings.Engines {
		u := f.upstreams[held.Name]
		if u == nil || held.Incarnation != u.incarnation {
			continue
		}
		u.models = make(map[string][]string, len(held.Models))
		for _, model := range held.Models {
			u.models[model.Name] = model.Adapters
		}
		f.changed = true
		u.coming, u.comingAt = held.Coming, now.Add(held.ComingIn)
		if age := held.Age + reportLag; age >= 0 {
			u.report(now, now.Add(-age), held.Running+held.Queued)
		}
	}
}

// sameReport is how far apart the times are at the most that are told of one report: it
// comes again with each answer of the leader, after a way of some ms. Engines are asked
// every 125 ms at the most.
const sameReport = 100 * time.Millisecond

// report takes in how many requests u had at a time. What instances tell each other
// leaves out what is lost on its way, and requests that take longer than most.
func (u *upstream) report(now, at time.Time, requests int) {
	if at.Sub(u.reportedAt) < sameReport {
		return
	}
	u.reportedAt = at
	// Nothing is known of a time before the first request from here.
	thought, _ := u.history.loadAt(at)
	u.others.correct(now, at, u.pace.run, float64(requests)-thought)
	u.history.note(now, u.load(now))
}

// arrival returns in what time an upstream of a service will hold a model that is being
// loaded, or for which a place is being made. It returns false if there is none.
func (f *fleet) arrival(now time.Time, service, model string) (in time.Duration, ok bool) {
	for _, u := range f.services[service] {
		if u.coming != model || model == "" || !f.alive(now, u) {
			continue
		}
		if left := max(u.comingAt.Sub(now), 0); !ok || left < in {
			in, ok = left, true
		}
	}
	return in, ok
}

// alive reports whether u may get new work.
func (f *fleet) alive(now time.Time, u *upstream) bool {
	return !u.Leaving && f.addresses[u.address] == u && (f.newest.Sub(u.Heard) < f.lease || now.Before(f.graceUntil))
}

// holds reports whether u can run a model, with an adapter unless it is empty.
func (u *upstream) holds(model, adapter string) bool {
	if model == "" {
		return true
	}
	adapters, held := u.models[model]
	return held && (adapter == "" || slices.Contains(adapters, adapter))
}

func sameResident(a, b upstreamapi.Resident) bool {
	return a.Model == b.Model && a.Version == b.Version && slices.Equal(a.Adapters, b.Adapters)
}

// gained notes that u holds a model now, with an adapter unless it is empty.
func (f *fleet) gained(u *upstream, model, adapter string) {
	if u.holds(model, adapter) {
		return
	}
	f.changed = true
	adapters := slices.Clone(u.models[model])
	if adapter != "" {
		adapters = append(adapters, adapter)
	}
	u.models[model] = adapters
}

// drop notes that u does not hold what it was thought to hold.
func (u *upstream) drop(model, adapter string) {
	if adapter == "" {
		delete(u.models, model)
		return
	}
	u.models[model] = slices.DeleteFunc(slices.Clone(u.models[model]), func(a string) bool { return a == adapter })
}
