// Package dispatch implements load balancing: the choice of the upstream for one
// request, by the predicted times to the first token and between tokens.
//
// It decides only. It takes the present time as an argument, does no I/O and
// starts no goroutine. docs/DISPATCH.md describes the method and its figures.
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
	// limitSlack is how far the limits of all instances together may exceed what
	// an upstream runs at once. The upstream's own queue covers the time that a
	// freed place would otherwise stay empty until the next request gets there.
	limitSlack = 1.25
	// mostUnknown bounds the limit of an upstream that does not say how many it
	// runs at once.
	mostUnknown = 1024
)

// Options are the settings of a Dispatcher. The zero value is useful.
type Options struct {
	// FailureDomain is that of this instance.
	FailureDomain string
	// RemoteDelay is the time one way to an upstream in another failure domain.
	RemoteDelay time.Duration
	// Samples is the number of candidates compared for a request, besides the one
	// whose cache holds its prefix: 4 if 0, at most 8.
	Samples int
	// Instances is the number of instances that share the upstreams, 1 if 0. An
	// instance starts with its share of an upstream's places.
	Instances int
	// PrefixEntries bounds the estimate of the prefix caches, 65536 if 0. An entry
	// takes 24 bytes.
	PrefixEntries int
	// Seed makes the sampling repeatable. Instances must differ in it.
	Seed uint64
}

// Dispatcher chooses upstreams.
//
// All candidates of a target stand in a list of their own, so that a choice
// takes the same time whatever the number of upstreams and models. A choice
// compares a few of them drawn at random: all instances see the same lagged
// reports, and if each took the least loaded of all, they would all take the
// same one until the next report.
//
// A Dispatcher is not safe for concurrent use. A choice takes about a
// microsecond, so one mutex carries far more than an instance receives.
type Dispatcher struct {
	options   Options
	random    *rand.Rand
	upstreams map[string]*upstream
	byID      map[uint32]*upstream
	pools     map[Target]*pool
	prefixes  *prefixes
	lastID    uint32
	// inFlight and limits are the sums over upstreams.
	inFlight int
	limits   float64
	scratch  []Target
}

// New returns a Dispatcher that knows no upstream.
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
		prefixes:  newPrefixes(options.PrefixEntries),
	}
}

// Update takes in a View. A View that was announced before the one that is
// known is ignored, and Update returns false.
func (d *Dispatcher) Update(view View) bool {
	u := d.upstreams[view.Name]
	if u != nil && view.olderThan(&u.view) {
		return false
	}
	if u == nil || u.view.Incarnation != view.Incarnation {
		// Requests that are open at the incarnation before died with it, and its
		// cache is gone: nothing known of it holds for the new one.
		d.Remove(view.Name)
		u = d.add(view)
	}
	fresh := view.LoadAt.After(u.view.LoadAt)
	same := sameTargets(&u.view, &view)
	before := u.view
	u.view = view
	if fresh {
		u.trail.forget(view.LoadAt)
	} else {
		u.view.Load, u.view.LoadAt = before.Load, before.LoadAt
	}
	u.remote = view.FailureDomain != d.options.FailureDomain
	if !same || len(u.pools) == 0 {
		d.leavePools(u)
		d.joinPools(u)
	}
	if places := view.Load.MaxRunning; places > 0 {
		d.setLimit(u, u.limit.WithCeiling(int(float64(places)*limitSlack)))
	}
	return true
}

// Incarnation returns that of an upstream, 0 if it is not known.
func (d *Dispatcher) Incarnation(name string) uint64 {
	u := d.upstreams[name]
	if u == nil {
		return 0
	}
	return u.view.Incarnation
}

// Leave takes in that the incarnation of an upstream will stop. It receives no
// new work from then on, though an announcement sent before may still come.
func (d *Dispatcher) Leave(name string, incarnation uint64) {
	u := d.upstreams[name]
	if u == nil || u.view.Incarnation != incarnation {
		return
	}
	u.view.Leaving = true
	u.view.Sequence = ^uint64(0)
}

// Remove forgets an upstream.
func (d *Dispatcher) Remove(name string) {
	u := d.upstreams[name]
	if u == nil {
		return
	}
	d.leavePools(u)
	delete(d.upstreams, name)
	delete(d.byID, u.id)
	d.addUp()
}

// Sweep forgets the upstreams whose lease has run out before the given time.
func (d *Dispatcher) Sweep(before time.Time) {
	for name, u := range d.upstreams {
		if u.view.LeaseUntil.Before(before) {
			d.Remove(name)
		}
	}
}

// Capacity returns how many requests for target this instance can start in a
// second, from its limits and the time that requests stay open. It returns 0 if
// no upstream holds the target. It walks all candidates and is for requests
// that have to wait.
func (d *Dispatcher) Capacity(now time.Time, target Target) float64 {
	p := d.pools[target]
	if p == nil {
		return 0
	}
	total := 0.0
	for _, u := range p.members {
		if u.alive(now) && !u.health.ejected(now) {
			total += float64(u.limit.Value()) / u.openFor()
		}
	}
	return total
}

// Serves reports whether an upstream holds target, whether or not it may be given
// new work.
func (d *Dispatcher) Serves(target Target) bool {
	return d.pools[target] != nil
}

// InFlight returns the number of requests that this instance has open at an
// upstream, and its limit. If the upstream is not known, both are 0.
func (d *Dispatcher) InFlight(name string) (open, limit int) {
	u := d.upstreams[name]
	if u == nil {
		return 0, 0
	}
	return u.inFlight, u.limit.Value()
}

// poolName returns the name of the queue for target.
func (d *Dispatcher) poolName(target Target) string {
	if p := d.pools[target]; p != nil {
		return p.name
	}
	return target.String()
}

func (d *Dispatcher) add(view View) *upstream {
	d.lastID++
	u := &upstream{
		id: d.lastID, bias: 1, instances: d.options.Instances, limit: d.firstLimit(view.Load.MaxRunning),
	}
	u.view.Incarnation = view.Incarnation
	d.upstreams[view.Name] = u
	d.byID[u.id] = u
	d.addUp()
	return u
}

// firstLimit returns the limit of an upstream that runs places requests at once.
// One that does not say how many is bounded by its answers alone.
func (d *Dispatcher) firstLimit(places int) admission.Limit {
	if places <= 0 {
		return admission.NewLimit(assumedRunning, mostUnknown)
	}
	ceiling := int(float64(places) * limitSlack)
	share := (ceiling + d.options.Instances - 1) / d.options.Instances
	return admission.NewLimit(share, ceiling)
}

func (d *Dispatcher) joinPools(u *upstream) {
	d.scratch = u.view.targets(d.scratch[:0])
	for _, target := range d.scratch {
		p := d.pools[target]
		if p == nil {
			p = &pool{target: target, name: target.String()}
			d.pools[target] = p
		}
		if !u.memberOf(p) {
			p.members = append(p.members, u)
			u.pools = append(u.pools, p)
			u.poolNames = append(u.poolNames, p.name)
		}
	}
}

func (d *Dispatcher) leavePools(u *upstream) {
	for _, p := range u.pools {
		p.remove(u)
		if len(p.members) == 0 {
			delete(d.pools, p.target)
		}
	}
	u.pools = u.pools[:0]
	u.poolNames = u.poolNames[:0]
}

// sameTargets reports whether a and b can run the same, so that the lists of
// candidates stay as they are.
func sameTargets(a, b *View) bool {
	return slices.Equal(a.Services, b.Services) &&
		slices.EqualFunc(a.Resident, b.Resident, func(x, y upstreamapi.Resident) bool {
			return x.Model == y.Model && x.Version == y.Version && slices.Equal(x.Adapters, y.Adapters)
		})
}
