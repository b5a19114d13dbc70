// Package dispatch is the load balancer of an instance: it chooses the upstream for a
// request by the predicted time to the first token and the predicted time between
// tokens.
//
// It takes the current time as an argument, does no I/O and starts no goroutine.
// docs/DISPATCH.md describes the method and its measurements.
package dispatch

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/lovagelift/lovagelift/internal/admission"
	"github.com/lovagelift/lovagelift/internal/upstreamapi"
)

const (
	defaultSamples       = 4
	defaultPrefixEntries = 1 << 16
	maxSamples           = 8
	// limitOvercommit is the ratio of an instance's maximum limit, and of the initial limits
	// of all instances together, to the number of requests that the upstream runs at once.
	// The excess waits in the upstream's own queue, so that a slot doesn't stay empty while
	// the next request is on its way.
	limitOvercommit = 1.25
	// maxUnreportedLimit is the maximum limit for an upstream that doesn't report
	// MaxRunning.
	maxUnreportedLimit = 1024
)

// Options are the settings of a Dispatcher. The zero value is useful.
type Options struct {
	// FailureDomain is the failure domain of this instance.
	FailureDomain string
	// RemoteDelay is the one-way network delay to an upstream in another failure domain.
	RemoteDelay time.Duration
	// Samples is the number of randomly sampled candidates for a request, in addition to
	// the one whose cache holds its prefix. The default is 4, the maximum 8.
	Samples int
	// Instances is the number of instances that share the upstreams. The default is 1. Each
	// instance starts with an equal share of an upstream's slots as its limit.
	Instances int
	// PrefixEntries is the size of the index of cached prefixes. The default is 65536. An
	// entry takes 24 bytes.
	PrefixEntries int
	// Seed makes the sampling reproducible. It must differ between instances.
	Seed uint64
}

// Dispatcher chooses upstreams.
//
// Each target has its own pool of candidates, so that the time of a choice doesn't
// depend on the number of upstreams and models. A choice compares a few candidates
// sampled at random. All instances get the same delayed load reports: if each chose the
// least loaded upstream of all, they would all choose the same one until the next
// report.
//
// A Dispatcher is not safe for concurrent use. A choice takes about a microsecond, so
// that a single mutex handles far more requests than an instance receives.
type Dispatcher struct {
	options   Options
	random    *rand.Rand
	upstreams map[string]*upstream
	byID      map[uint32]*upstream
	pools     map[Target]*pool
	prefixes  *prefixIndex
	lastID    uint32
	// inFlight and limitTotal are sums over all upstreams.
	inFlight     int
	limitTotal   float64
	targetBuffer []Target
}

// New returns a Dispatcher without upstreams.
func New(options Options) *Dispatcher {
	if options.Samples <= 0 {
		options.Samples = defaultSamples
	}
	options.Samples = min(options.Samples, maxSamples)
	options.Instances = max(options.Instances, 1)
	if options.PrefixEntries <= 0 {
		options.PrefixEntries = defaultPrefixEntries
	}
	return &Dispatcher{
		options:   options,
		random:    rand.New(rand.NewPCG(options.Seed, options.Seed^0x9e3779b97f4a7c15)),
		upstreams: map[string]*upstream{},
		byID:      map[uint32]*upstream{},
		pools:     map[Target]*pool{},
		prefixes:  newPrefixIndex(options.PrefixEntries),
	}
}

// Update adds or replaces the View of an upstream. If view is older than the current
// one, Update ignores it and returns false.
func (d *Dispatcher) Update(view View) bool {
	u := d.upstreams[view.Name]
	if u != nil && view.olderThan(&u.view) {
		return false
	}
	if u == nil || u.view.Incarnation != view.Incarnation {
		// The open requests and the cache of the previous incarnation are lost, so its
		// state doesn't apply to the new one.
		d.Remove(view.Name)
		u = d.addUpstream(view)
	}
	newLoad := view.LoadAt.After(u.view.LoadAt)
	targetsUnchanged := sameTargets(&u.view, &view)
	previous := u.view
	u.view = view
	if newLoad {
		u.changes.dropUntil(view.LoadAt)
	} else {
		u.view.Load, u.view.LoadAt = previous.Load, previous.LoadAt
	}
	u.remote = view.FailureDomain != d.options.FailureDomain
	if !targetsUnchanged || len(u.pools) == 0 {
		d.removeFromPools(u)
		d.addToPools(u)
	}
	if maxRunning := view.Load.MaxRunning; maxRunning > 0 {
		d.setLimit(u, u.limit.WithCeiling(int(float64(maxRunning)*limitOvercommit)))
	}
	return true
}

// Incarnation returns the incarnation of an upstream, 0 if the upstream is unknown.
func (d *Dispatcher) Incarnation(name string) uint64 {
	u := d.upstreams[name]
	if u == nil {
		return 0
	}
	return u.view.Incarnation
}

// SetLeaving records that this incarnation of an upstream is shutting down. It receives
// no more requests, even if an announcement sent earlier still arrives.
func (d *Dispatcher) SetLeaving(name string, incarnation uint64) {
	u := d.upstreams[name]
	if u == nil || u.view.Incarnation != incarnation {
		return
	}
	u.view.Leaving = true
	u.view.Sequence = ^uint64(0)
}

// Remove removes an upstream.
func (d *Dispatcher) Remove(name string) {
	u := d.upstreams[name]
	if u == nil {
		return
	}
	d.removeFromPools(u)
	delete(d.upstreams, name)
	delete(d.byID, u.id)
	d.recomputeTotals()
}

// RemoveExpired removes the upstreams whose lease expired before the given time.
func (d *Dispatcher) RemoveExpired(before time.Time) {
	for name, u := range d.upstreams {
		if u.view.LeaseUntil.Before(before) {
			d.Remove(name)
		}
	}
}

// Capacity returns the number of requests for target that this instance can start per
// second, computed from its limits and the mean time that requests are open. It returns
// 0 if no upstream serves the target. It iterates over all candidates, so it is called
// only for requests that have to wait.
func (d *Dispatcher) Capacity(now time.Time, target Target) float64 {
	p := d.pools[target]
	if p == nil {
		return 0
	}
	perSecond := 0.0
	for _, u := range p.members {
		if u.available(now) && !u.health.ejected(now) {
			perSecond += float64(u.limit.Value()) / u.expectedOpenSeconds()
		}
	}
	return perSecond
}

// HasTarget reports whether any upstream serves target, even one that accepts no new
// requests.
func (d *Dispatcher) HasTarget(target Target) bool {
	return d.pools[target] != nil
}

// InFlight returns the number of open requests of this instance at an upstream, and
// their limit. If the upstream is unknown, both are 0.
func (d *Dispatcher) InFlight(name string) (open, limit int) {
	u := d.upstreams[name]
	if u == nil {
		return 0, 0
	}
	return u.inFlight, u.limit.Value()
}

// poolName returns the name of the pool for target. The admission queue uses it as the
// name of its pool.
func (d *Dispatcher) poolName(target Target) string {
	if p := d.pools[target]; p != nil {
		return p.name
	}
	return target.String()
}

func (d *Dispatcher) addUpstream(view View) *upstream {
	d.lastID++
	u := &upstream{
		id: d.lastID, bias: 1, instances: d.options.Instances, limit: d.initialLimit(view.Load.MaxRunning),
	}
	u.view.Incarnation = view.Incarnation
	d.upstreams[view.Name] = u
	d.byID[u.id] = u
	d.recomputeTotals()
	return u
}

// initialLimit returns the initial limit for an upstream that runs maxRunning requests at
// once. If maxRunning is 0, which means unknown, the limit then adapts to the upstream's
// responses up to maxUnreportedLimit.
func (d *Dispatcher) initialLimit(maxRunning int) admission.Limit {
	if maxRunning <= 0 {
		return admission.NewLimit(assumedMaxRunning, maxUnreportedLimit)
	}
	ceiling := int(float64(maxRunning) * limitOvercommit)
	share := (ceiling + d.options.Instances - 1) / d.options.Instances
	return admission.NewLimit(share, ceiling)
}

func (d *Dispatcher) addToPools(u *upstream) {
	d.targetBuffer = u.view.targets(d.targetBuffer[:0])
	for _, target := range d.targetBuffer {
		p := d.pools[target]
		if p == nil {
			p = &pool{target: target, name: target.String()}
			d.pools[target] = p
		}
		if !u.inPool(p) {
			p.members = append(p.members, u)
			u.pools = append(u.pools, p)
			u.poolNames = append(u.poolNames, p.name)
		}
	}
}

func (d *Dispatcher) removeFromPools(u *upstream) {
	for _, p := range u.pools {
		p.remove(u)
		if len(p.members) == 0 {
			delete(d.pools, p.target)
		}
	}
	u.pools = u.pools[:0]
	u.poolNames = u.poolNames[:0]
}

// sameTargets reports whether a and b serve the same targets, in which case the pools
// don't change.
func sameTargets(a, b *View) bool {
	return a.SoftwareVersion == b.SoftwareVersion && slices.Equal(a.Services, b.Services) &&
		slices.EqualFunc(a.Resident, b.Resident, func(x, y upstreamapi.Resident) bool {
			return x.Model == y.Model && x.Version == y.Version && slices.Equal(x.Adapters, y.Adapters)
		})
}
