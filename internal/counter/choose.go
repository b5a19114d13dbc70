package counter

import (
	"iter"
	"net/netip"
	"slices"
	"time"

	"github.com/lovagelift/lovagelift/internal/deferral"
	"github.com/lovagelift/lovagelift/internal/permit"
	"github.com/lovagelift/lovagelift/internal/resumption"
)

// upstreamQuery describes the upstream that a request needs.
type upstreamQuery struct {
	service string
	model   string
	adapter string
	pacing  pacing
	// tried are the names of upstreams that have failed this request. They are selected only if no
	// other upstream is eligible, and not before their avoidance has expired.
	tried []string
	// sender is the instance that sends the request.
	sender netip.AddrPort
	// software limits the upstreams of a stream that is resumed.
	software resumption.Constraint
	// boosted allows an engine without free capacity.
	boosted bool
	// headroom is the capacity of an engine that a batch request leaves free.
	headroom deferral.Headroom
	// speed holds what is compared with the speeds of upstreams.
	speed speedQuery
}

// missingResource is the reason why no upstream matches a query. Larger values mean that more of
// the query was met.
type missingResource uint8

const (
	// missingNone means that an upstream matches.
	missingNone missingResource = iota
	// missingService means that the service has no available upstream.
	missingService
	// missingVersion means that no available upstream has the software version of a stream that is
	// resumed.
	missingVersion
	// missingModel means that no available upstream has loaded the model.
	missingModel
	// missingAdapter means that the model is loaded, but not the adapter.
	missingAdapter
	// missingCapacity means that all upstreams that could run the request are busy, avoided,
	// paused by their rate limit or their refusals, or push back.
	missingCapacity
	// missingHeadroom means that the upstreams with capacity keep it for urgent requests.
	missingHeadroom
)

// String returns the word used in response texts and in the log.
func (m missingResource) String() string {
	return [...]string{"none", "service", "software version", "model", "adapter", "room", "headroom"}[m]
}

// crossDomainCost is added to the cost of an upstream in another failure domain. It is a tenth of
// the cost of having all slots in use: the network path takes a few ms, and traffic between domains
// is charged for.
const crossDomainCost = 0.1

// choose returns the available upstream with the lowest cost, or the missing resource if there is
// none. random, in [0, 1), breaks ties.
func (p *upstreamPool) choose(now time.Time, q upstreamQuery, random float64) (*upstream, missingResource) {
	var best *upstream
	bestCost := 0.0
	missing := missingService
	ties := 1.0
	for u := range p.eligible(now, q) {
		if !u.mayBegin(q.software) {
			missing = max(missing, missingCapacity)
			continue
		}
		at := q.at(now, u)
		if reason := u.missing(now, &at, random); reason != missingNone {
			missing = max(missing, reason)
			continue
		}
		cost := u.cost(now, &at)
		switch {
		case best == nil || cost < bestCost:
			best, bestCost, ties = u, cost, 1
		case cost == bestCost:
			ties++
			if random*ties < 1 {
				best = u
			}
		}
	}
	if best != nil && p.waitsForSuitable(now, q, best) {
		return nil, missingCapacity
	}
	if best != nil {
		return best, missingNone
	}
	if missing == missingService {
		missing = p.missingInService(now, q)
	}
	return nil, missing
}

// eligible returns the available upstreams that have loaded the model of q and have its software
// version.
func (p *upstreamPool) eligible(now time.Time, q upstreamQuery) iter.Seq[*upstream] {
	return func(yield func(*upstream) bool) {
		for _, u := range p.upstreamsWith(q.service, q.model) {
			if p.isAvailable(now, u) && q.software.Allows(u.software) && !yield(u) {
				return
			}
		}
	}
}

// lacksModel reports whether no upstream that is eligible for q has loaded its model. The index may still have
// those that have just refused a request for lack of it.
func (p *upstreamPool) lacksModel(now time.Time, q upstreamQuery) bool {
	for u := range p.eligible(now, q) {
		if u.canRun(q.model, "") {
			return false
		}
	}
	return q.model != ""
}

// missingInService returns what a service lacks that has no eligible upstream for q.
func (p *upstreamPool) missingInService(now time.Time, q upstreamQuery) missingResource {
	missing := missingService
	for _, u := range p.byService[q.service] {
		switch {
		case !p.isAvailable(now, u):
		case !q.software.Allows(u.software):
			missing = max(missing, missingVersion)
		case q.model != "":
			return missingModel
		}
	}
	return missing
}

// missing returns the resource that u lacks for q.
func (u *upstream) missing(now time.Time, q *upstreamQuery, random float64) missingResource {
	switch {
	case !u.canRun(q.model, ""):
		return missingModel
	case !u.canRun(q.model, q.adapter):
		return missingAdapter
	case slices.Contains(q.tried, u.name) && now.Before(u.avoidUntil), now.Before(u.pausedUntil()), u.pushesBack(now, q.sender):
		return missingCapacity
	}
	if lacking := u.lacksHeadroom(now, q); lacking != missingNone {
		return lacking
	}
	if q.model != "" && !u.hasCapacity(now, q, random) {
		return missingCapacity
	}
	return missingNone
}

// hasCapacity reports whether an engine may receive a request now. random, in [0, 1), scales the
// random backoff before this instance sends to a contended engine.
func (u *upstream) hasCapacity(now time.Time, q *upstreamQuery, random float64) bool {
	if q.boosted {
		return u.load(now) < float64(u.slots+max(u.slots/boostOverfillDivisor, 1))
	}
	return !u.isFull(now) && u.backoff.allows(now, u.backlog.readySince(q.pacing), random, u.activePeers.count(now))
}

// mayBegin reports whether a stream may begin at u that is limited to recorded versions.
func (u *upstream) mayBegin(software resumption.Constraint) bool {
	return !software.Recorded || !u.unrecorded
}

// isFull reports whether all slots of an engine are taken.
func (u *upstream) isFull(now time.Time) bool {
	return u.slots > 0 && u.load(now) >= float64(u.slots)
}

// load returns the estimated number of requests at an engine: those of this instance and the
// decayed counts reported by its peers.
func (u *upstream) load(now time.Time) float64 {
	return float64(u.active) + u.peerLoad.estimate(now, u.pacing.serviceTime)
}

// avoidedPenalty exceeds the cost of any upstream that is not being avoided, triedPenalty that of any
// upstream that has not yet failed the request, and unrecordedPenalty that of any upstream at which all
// requests may begin.
const (
	avoidedPenalty    = 1e6
	triedPenalty      = 1e3
	unrecordedPenalty = 1e2
)

// cost returns the cost of sending to u. For an engine it combines the prompt backlog and the share
// of slots in use, otherwise it is the share of slots in use by this instance.
func (u *upstream) cost(now time.Time, q *upstreamQuery) float64 {
	slots := float64(max(u.slots, 1))
	cost := float64(u.active) / slots
	switch {
	case q.speed.mixed:
		cost = u.predictedCost(now, q)
	case q.model != "":
		cost = u.backlog.remaining(now).Seconds()/(q.pacing.prefillShare*defaultMaxGap.Seconds()) + u.load(now)/slots
	}
	if u.remote {
		cost += crossDomainCost
	}
	if now.Before(u.avoidUntil) {
		cost += avoidedPenalty
	}
	if u.unrecorded {
		cost += unrecordedPenalty
	}
	if slices.Contains(q.tried, u.name) {
		cost += triedPenalty
	}
	return cost
}

// recordSend records a request that this instance sends to u.
func (u *upstream) recordSend(now time.Time, prefill time.Duration, p pacing) {
	u.active++
	u.pacing = p
	u.recordPrompt(now, prefill)
}

// peerUse is a peer's report that it sends a request to an upstream.
type peerUse struct {
	prefill time.Duration
	// active is the number of the peer's requests at the upstream. peer is a hash of its address.
	active int
	peer   uint32
}

func (u *upstream) recordPeerUse(now time.Time, use peerUse) {
	u.activePeers.record(now, use.peer)
	u.peerLoad.set(now, u.pacing.serviceTime, use.peer, use.active)
	u.recordPrompt(now, use.prefill)
}

func (u *upstream) recordPrompt(now time.Time, prefill time.Duration) {
	u.backlog.add(now, prefill, u.pacing)
	u.history.record(now, u.load(now))
	u.backoff.reset()
}

// release records that a request at u has ended.
func (u *upstream) release() {
	u.active--
}

const (
	// initialAvoidance is how long an upstream is avoided after a failure to connect or a response
	// that broke off. The time doubles with each consecutive failure up to maxAvoidance.
	initialAvoidance = 250 * time.Millisecond
	maxAvoidance     = 4 * time.Second
)

func (u *upstream) recordFailure(now time.Time) {
	wait := initialAvoidance << min(u.failures, 4)
	u.failures++
	u.avoidUntil = now.Add(min(wait, maxAvoidance))
}

// refusalAvoidance is how long an upstream is avoided after it refused a request for lack of
// capacity.
const refusalAvoidance = 100 * time.Millisecond

// recordRefusal records that u refused a request without running it.
func (u *upstream) recordRefusal(now time.Time) {
	if until := now.Add(refusalAvoidance); until.After(u.avoidUntil) {
		u.avoidUntil = until
	}
}

// recordOutcome updates u with the outcome of a request for a model.
func (u *upstream) recordOutcome(now time.Time, t target, outcome permit.Outcome) {
	switch outcome {
	case permit.Succeeded:
		u.recordSuccess()
	case permit.Full:
		u.recordRefusal(now)
	case permit.ModelAbsent:
		u.removeModel(t.model, t.adapter)
	case permit.Failed:
		u.recordFailure(now)
	case permit.RateLimited:
		if limit, hasLimit := u.limit.Limit(); hasLimit && !now.Before(u.limit.pausedUntil) {
			u.limit.pause(now, limit.Period())
		}
	case permit.Unused:
	}
}

func (u *upstream) recordSuccess() {
	u.failures = 0
}
