package counter

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/lovagelift/lovagelift/internal/concurrency"
	"github.com/lovagelift/lovagelift/internal/permit"
	"github.com/lovagelift/lovagelift/internal/routes"
)

// The upstreams of a plain service run a few requests at once, queue some and refuse the rest. If every
// entry instance places its requests alone, they collide: each sees only its own. So the upstreams are
// divided into groups, each of which has an owner among the instances, as a model has.

const (
	// minCoordinatedObjective is the shortest objective of requests that are placed by the owner of a
	// group. A lost owner costs a third of it.
	minCoordinatedObjective = 3 * ownerAttempts * ownerTimeout
	// maxDivisionAge is how long a division into groups is used. An upstream that joins or leaves
	// changes groups within that time.
	maxDivisionAge = 100 * time.Millisecond
	// failuresToExclude is the number of consecutive failures from which an upstream gets no requests
	// while it is avoided. A process that is gone fails faster than others respond, and would attract
	// all requests once the others are full. One that fails every second request still serves the
	// others, and reaches this number once in several minutes.
	failuresToExclude = 12
	// failuresToAvoid is the number of consecutive failures from which other upstreams are preferred
	// while it is avoided. Upstreams that fail a few of their requests are distinguished by their share
	// of failures instead.
	failuresToAvoid = 2
)

// plainGroups holds the groups of the upstreams of each plain service.
type plainGroups map[string]*plainDivision

// plainDivision divides the upstreams of a service that were available at a time into groups.
type plainDivision struct {
	// groups holds the upstreams of each group, at most concurrency.MaxGroupSize.
	groups [][]*upstream
	// groupOf holds the number of the group of each upstream.
	groupOf []int
	expires time.Time
}

// ownedName returns the name that determines the owner of the request within its service: the model, or
// the group of upstreams. It is empty if this instance places the request.
func (req *requirements) ownedName() string {
	if req.model == "" {
		return req.group
	}
	return req.model
}

// joinGroup selects a group of upstreams, whose owner places the request, if it is a request to a plain
// service that the instances place together. A request that is sent again may join another group.
func (t *transaction) joinGroup() {
	p := t.proxy
	if !t.mixed || t.model != "" || t.route.Kind == routes.Stream || t.objective < minCoordinatedObjective || !p.isPlain(t.service) {
		return
	}
	now := p.options.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	t.group = ""
	if division := p.plainDivision(now, t.service); len(division.groupOf) > 0 {
		t.group = concurrency.GroupName(division.groupOf[rand.IntN(len(division.groupOf))])
		p.estimatePlainCost(now, &t.requirements)
	}
}

// isPlain reports whether a service of the routes in force has no engines.
func (p *Proxy) isPlain(service string) bool {
	table := p.routes.Load()
	if table == nil {
		return false
	}
	known := table.Service(service)
	return known != nil && known.Engine == nil
}

// plainDivision returns the groups of a service. p.mu is held.
func (p *Proxy) plainDivision(now time.Time, service string) *plainDivision {
	division := p.plain[service]
	if division == nil {
		division = &plainDivision{}
		p.plain[service] = division
	}
	if now.Before(division.expires) {
		return division
	}
	var available []*upstream
	var names []string
	for _, u := range p.pool.byService[service] {
		if p.pool.isAvailable(now, u) {
			available, names = append(available, u), append(names, u.name)
		}
	}
	division.expires = now.Add(maxDivisionAge)
	division.groupOf = concurrency.Divide(names)
	division.groups = nil
	for i, group := range division.groupOf {
		for len(division.groups) <= group {
			division.groups = append(division.groups, nil)
		}
		division.groups[group] = append(division.groups[group], available[i])
	}
	return division
}

// plainMembers returns the upstreams of a request's group. An instance that knows fewer groups than the
// one that sent the request uses one of those. p.mu is held.
func (p *Proxy) plainMembers(now time.Time, req *requirements) []*upstream {
	groups := p.plainDivision(now, req.service).groups
	if len(groups) == 0 {
		return nil
	}
	return groups[concurrency.GroupNumber(req.group)%len(groups)]
}

// estimatePlainCost sets the expected time of a request to a plain service. p.mu is held.
func (p *Proxy) estimatePlainCost(now time.Time, req *requirements) {
	var candidates [concurrency.MaxGroupSize]concurrency.Candidate
	members := p.plainMembers(now, req)
	for i, u := range members {
		candidates[i] = u.candidate(now, 1)
	}
	req.prefillTime = concurrency.ExpectedTime(candidates[:len(members)], req.objective)
	req.pacing.serviceTime = req.prefillTime
}

// plainSelection holds the upstreams that may be granted to a request.
type plainSelection struct {
	upstreams  [concurrency.MaxGroupSize]*upstream
	candidates [concurrency.MaxGroupSize]concurrency.Candidate
	count      int
	// missing is what the group lacks if count is 0.
	missing missingResource
}

// selectPlain returns the upstreams that may be granted to a request. Those that keep failing and those
// that have failed the request are selected only if there are no others. p.mu is held.
func (p *Proxy) selectPlain(now time.Time, w *waiter) plainSelection {
	selection := plainSelection{missing: missingService}
	req := &w.requirements
	query := req.query()
	members := p.plainMembers(now, req)
	for _, lastResort := range [...]bool{false, true} {
		for _, u := range members {
			isLastResort := u.failures >= failuresToExclude && now.Before(u.avoidUntil) || slices.Contains(req.tried, u.name)
			if isLastResort != lastResort || !p.pool.isAvailable(now, u) {
				continue
			}
			if reason := u.missing(now, &query, 0); reason != missingNone {
				selection.missing = max(selection.missing, reason)
				continue
			}
			selection.upstreams[selection.count] = u
			selection.candidates[selection.count] = u.candidate(now, w.placingInstances)
			selection.count++
		}
		if selection.count > 0 {
			break
		}
	}
	return selection
}

// candidate returns the state of an upstream for the choice among several. If several instances place
// its requests, each may use its share of the limit.
func (u *upstream) candidate(now time.Time, placingInstances int) concurrency.Candidate {
	limit := u.limiter.Limit(now, u.slots)
	if placingInstances > 1 {
		limit = max(limit/placingInstances, 1)
	}
	return concurrency.Candidate{
		InFlight: u.active, Limit: limit, Slots: u.slots, WorkTime: u.limiter.WorkTime(now), FailureShare: u.limiter.FailureShare(now),
		Avoided: now.Before(u.avoidUntil) && (u.failures == 0 || u.failures >= failuresToAvoid),
	}
}

// choosePlain returns the upstream of a request's group to grant, or the missing resource. cacheable is
// true if other requests of the group that no upstream has failed would get the same result. p.mu is
// held.
func (p *Proxy) choosePlain(now time.Time, w *waiter) (chosen *upstream, missing missingResource, cacheable bool) {
	req := &w.requirements
	selection := p.selectPlain(now, w)
	if selection.count == 0 {
		return nil, selection.missing, len(req.tried) == 0
	}
	candidates := selection.candidates[:selection.count]
	index := concurrency.Choose(candidates, req.arrived.Add(req.objective).Sub(now), rand.Float64())
	if index >= 0 {
		return selection.upstreams[index], missingNone, false
	}
	return nil, missingCapacity, len(req.tried) == 0 && !concurrency.AnyHasRoom(candidates)
}

// forecastPlainWait returns the expected wait of a request for which its group has no capacity. p.mu is
// held.
func (p *Proxy) forecastPlainWait(now time.Time, w *waiter) time.Duration {
	if w.missing != missingCapacity {
		return 0
	}
	selection := p.selectPlain(now, w)
	candidates := selection.candidates[:selection.count]
	if concurrency.AnyHasRoom(candidates) {
		return 0
	}
	req := &w.requirements
	ahead := p.queue.countOthers(w, func(other *waiter) bool {
		return other.requirements.sharesGroup(req) && other.requirements.compare(now, req) <= 0
	})
	return concurrency.Wait(candidates, ahead)
}

// observePlain records the end of a request that this instance has placed at an upstream of a plain
// service, and grants the free place to the next one. p.mu is held.
func (p *Proxy) observePlain(now time.Time, req *requirements, granted grant, outcome permit.Outcome, runTime time.Duration) {
	if req.group == "" {
		return
	}
	u := granted.upstream
	switch outcome {
	case permit.Succeeded, permit.Unused:
		// An unused permit has a run time if the deadline passed before the response: the upstream takes
		// at least that long.
		u.limiter.Finished(now, u.slots, granted.inFlight, runTime)
	case permit.Full:
		u.limiter.Refused(now, u.slots, granted.inFlight)
		p.metrics.countPlainRefusal(req.service)
	case permit.Failed:
		u.limiter.Failed(now)
	case permit.ModelAbsent, permit.RateLimited:
	}
	p.dispatchGroup(now, req)
}

// dispatchGroup grants upstreams to the requests that wait for the group of req, in the order of a
// dispatch, but without a look at all other waiting requests: a group may have hundreds of grants and
// ends in a second. It returns the resource that the first of those still waiting lacks. p.mu is held.
//
// Requests that this instance places alone are limited to its share. They must not keep those from free
// upstreams that it places as the owner.
func (p *Proxy) dispatchGroup(now time.Time, req *requirements) missingResource {
	return max(p.dispatchGroupOf(now, req, false), p.dispatchGroupOf(now, req, true))
}

// dispatchGroupOf is dispatchGroup for the requests that this instance places alone, or for the others.
func (p *Proxy) dispatchGroupOf(now time.Time, req *requirements, alone bool) missingResource {
	for {
		if !p.groupHasRoom(now, req) {
			p.setTimer()
			return missingCapacity
		}
		next := p.firstOfGroup(now, req, alone)
		if next == nil {
			return missingNone
		}
		chosen, missing, _ := p.choosePlain(now, next)
		next.missing = missing
		if chosen == nil {
			p.setTimer()
			return missing
		}
		p.dequeue(next)
		p.issueGrant(now, next, chosen)
	}
}

// groupHasRoom reports whether an upstream of a request's group may have room, or the group has none.
// p.mu is held.
func (p *Proxy) groupHasRoom(now time.Time, req *requirements) bool {
	members := p.plainMembers(now, req)
	return len(members) == 0 || slices.ContainsFunc(members, func(u *upstream) bool { return u.active < u.limiter.Limit(now, u.slots) })
}

// placedAlone reports whether other instances place requests for the same upstreams, too.
func (w *waiter) placedAlone() bool {
	return w.placingInstances > 1
}

// firstOfGroup returns the waiting request of a group that is dispatched first, nil if none waits. p.mu
// is held.
func (p *Proxy) firstOfGroup(now time.Time, req *requirements, alone bool) *waiter {
	var first *waiter
	for _, w := range p.queue.waiters {
		if w.requirements.sharesGroup(req) && w.placedAlone() == alone && (first == nil || w.requirements.compare(now, &first.requirements) < 0) {
			first = w
		}
	}
	return first
}

// sharesGroup reports whether two requests are placed at the same group of upstreams.
func (req *requirements) sharesGroup(other *requirements) bool {
	return req.group != "" && req.group == other.group && req.service == other.service
}

// updatePlainMetrics sets the gauges of the upstreams of plain services that this instance places. p.mu
// is held.
func (p *Proxy) updatePlainMetrics(now time.Time) {
	for service, division := range p.plain {
		limit, inFlight, slowest := 0, 0, time.Duration(0)
		for group, members := range division.groups {
			if _, remote := p.owners.remoteOwnerOf(now, service, concurrency.GroupName(group)); remote {
				continue
			}
			for _, u := range members {
				limit += u.limiter.Limit(now, u.slots)
				inFlight += u.active
				slowest = max(slowest, u.limiter.WorkTime(now))
			}
		}
		scope := p.metrics.scope.Tagged(map[string]string{"service": service})
		scope.Gauge("plain_limit").Update(float64(limit))
		scope.Gauge("plain_in_flight").Update(float64(inFlight))
		scope.Gauge("plain_work_seconds").Update(slowest.Seconds())
	}
}
