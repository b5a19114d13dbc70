package counter

import (
	"net/netip"
	"slices"
	"time"

	"github.com/lovagelift/lovagelift/internal/permit"
	"github.com/lovagelift/lovagelift/internal/quarantine"
)

// formerOwners are the owners before the instances changed.
type formerOwners struct {
	assignment permit.Owners
	until      time.Time
}

// formerOwnersRetention is how long former owners are kept.
const formerOwnersRetention = quarantine.TrialInterval

// ownerTable maps each model to its owner as known here. The owner is the instance that places the
// model's requests, which means that it queues them and selects their upstreams.
type ownerTable struct {
	self       netip.AddrPort
	assignment permit.Owners
	// former are the owners before the latest changes, oldest first.
	former []formerOwners
	// avoided holds the instances that did not answer or are draining, and the time until which
	// they are not asked.
	avoided map[netip.AddrPort]time.Time
	// cache holds owners that were looked up, valid until cacheExpires or until the avoided
	// instances change. Each grant looks up several models among hundreds of instances.
	cache        map[modelKey]netip.AddrPort
	cacheExpires time.Time
}

func newOwnerTable(self netip.AddrPort) ownerTable {
	return ownerTable{self: self, avoided: map[netip.AddrPort]time.Time{}, cache: map[modelKey]netip.AddrPort{}}
}

const (
	// unresponsiveAvoidance is how long an instance that did not answer is not asked. If the
	// instance is gone, one request in that time waits for it in vain.
	unresponsiveAvoidance = time.Second
	// maxCacheAge bounds how long a cached owner is valid.
	maxCacheAge = 10 * time.Second
	// drainingAvoidance is how long a draining instance is not asked. Its shutdown takes several
	// seconds.
	drainingAvoidance = 5 * time.Second
)

// setInstances replaces the instances among which models are distributed.
func (o *ownerTable) setInstances(now time.Time, addresses []string) {
	parsed := make([]netip.AddrPort, 0, len(addresses))
	for _, address := range addresses {
		if instance, err := netip.ParseAddrPort(address); err == nil {
			parsed = append(parsed, instance)
		}
	}
	o.replace(now, permit.NewOwners(parsed))
}

// replace replaces the instances.
func (o *ownerTable) replace(now time.Time, assignment permit.Owners) {
	o.former = slices.DeleteFunc(o.former, func(f formerOwners) bool { return now.Sub(f.until) >= formerOwnersRetention })
	if o.assignment.Len() > 0 && !slices.Equal(o.assignment.All(), assignment.All()) {
		o.former = append(o.former, formerOwners{assignment: o.assignment, until: now})
	}
	o.assignment = assignment
	o.resetCache(now)
}

// ownedSince returns the time since which this instance has owned a key, whether others answered or not.
// It is zero if another one has not owned it within formerOwnersRetention, and now if one does.
func (o *ownerTable) ownedSince(now time.Time, service, name string) time.Time {
	owns := func(assignment permit.Owners) bool {
		owner, known := assignment.Of(service, name, func(netip.AddrPort) bool { return true })
		return !known || owner == o.self
	}
	if !owns(o.assignment) {
		return now
	}
	for _, former := range slices.Backward(o.former) {
		if !owns(former.assignment) {
			return former.until
		}
	}
	return time.Time{}
}

// resetCache clears the cache and computes its next expiry.
func (o *ownerTable) resetCache(now time.Time) {
	clear(o.cache)
	o.cacheExpires = now.Add(maxCacheAge)
	for address, until := range o.avoided {
		if now.Before(until) {
			o.cacheExpires = earlier(o.cacheExpires, until)
		} else {
			delete(o.avoided, address)
		}
	}
}

func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

// ownerOf returns the instance that places the requests of a model. It returns false if there is
// none.
func (o *ownerTable) ownerOf(now time.Time, service, model string) (netip.AddrPort, bool) {
	if !now.Before(o.cacheExpires) {
		o.resetCache(now)
	}
	key := modelKey{service, model}
	if owner, found := o.cache[key]; found {
		return owner, true
	}
	owner, known := o.assignment.Of(service, model, func(address netip.AddrPort) bool {
		return address == o.self || !now.Before(o.avoided[address])
	})
	if known {
		o.cache[key] = owner
	}
	return owner, known
}

// owns reports whether this instance places the requests of a model.
func (o *ownerTable) owns(now time.Time, service, model string) bool {
	owner, known := o.ownerOf(now, service, model)
	return known && owner == o.self
}

// remoteOwnerOf returns the other instance that places the requests of a model. It returns false if this
// instance does, or none.
func (o *ownerTable) remoteOwnerOf(now time.Time, service, model string) (netip.AddrPort, bool) {
	owner, known := o.ownerOf(now, service, model)
	return owner, known && owner != o.self
}

// avoid excludes an instance from ownership for a while.
func (o *ownerTable) avoid(now time.Time, address netip.AddrPort, duration time.Duration) {
	o.avoided[address] = now.Add(duration)
	o.resetCache(now)
}

// remoteFixedOwner returns the other instance that owns a key, whether it answers or not. It returns
// false if this instance does. service takes the place of the service name in the key. p.mu is held.
func (p *Proxy) remoteFixedOwner(service, name string) (netip.AddrPort, bool) {
	if p.peers.conn == nil {
		return netip.AddrPort{}, false
	}
	anyone := func(netip.AddrPort) bool { return true }
	owner, known := p.owners.assignment.Of(service, name, anyone)
	return owner, known && owner != p.owners.self
}

// remoteOwner returns the other instance that places a request. It returns false if this instance
// does. p.mu is held.
func (p *Proxy) remoteOwner(now time.Time, req *requirements) (netip.AddrPort, bool) {
	if req.ownedName() == "" || p.peers.conn == nil {
		return netip.AddrPort{}, false
	}
	return p.owners.remoteOwnerOf(now, req.service, req.ownedName())
}

// placingInstances returns how many instances place requests for the model of a request that is
// placed here: one if this instance owns the model, otherwise all of them. p.mu is held.
func (p *Proxy) placingInstances(now time.Time, req *requirements) int {
	if p.owners.owns(now, req.service, req.ownedName()) {
		return 1
	}
	return p.control.entryInstances
}

// notifyUse notifies the owners of the engine's other models of a request that is sent there. The
// engine's reports arrive half a second later, and until then the owners would send to an engine
// that only appears idle. p.mu is held.
func (p *Proxy) notifyUse(now time.Time, u *upstream, req *requirements) {
	if req.model == "" {
		return
	}
	prefillTime, _ := req.costAt(now, u)
	for _, owner := range p.modelOwners(now, u) {
		p.peers.send(owner, permit.LoadReport{Upstream: u.name, PrefillTime: prefillTime, ActiveRequests: u.active})
	}
}

// broadcast sends a message to all other instances. p.mu is held.
func (p *Proxy) broadcast(message permit.Message) {
	for _, instance := range p.owners.assignment.All() {
		if instance != p.owners.self {
			p.peers.send(instance, message)
		}
	}
}

// modelOwners returns the other instances that own models of an engine. p.mu is held.
func (p *Proxy) modelOwners(now time.Time, u *upstream) []netip.AddrPort {
	var owners []netip.AddrPort
	for model := range u.models {
		owner, remote := p.owners.remoteOwnerOf(now, u.service, model)
		if remote && !slices.Contains(owners, owner) {
			owners = append(owners, owner)
		}
	}
	return owners
}
