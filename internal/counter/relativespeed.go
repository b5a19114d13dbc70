package counter

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/lovagelift/lovagelift/internal/permit"
	"github.com/lovagelift/lovagelift/internal/speed"
)

// Engines of one service may differ in speed by a factor of three or more. With the mean of the
// service, a slow engine would receive prompts at twice the rate that its streams tolerate, and a fast
// one would be left idle. While the routes mix batch and interactive requests, the times of a request
// are those of each engine: the estimates of the service times the engine's factor.

const (
	// unsuitableCost exceeds the cost of any suitable engine. It is below triedPenalty.
	unsuitableCost = 100
	// minRunning is the estimated number of requests from which streams count as running at an engine.
	// Estimates decay and rarely reach 0.
	minRunning = 0.5
	// holdDivisor is the part of its objective, 1/holdDivisor, for which a request waits for a suitable
	// engine while another could take it. The rest is left for the case that none becomes free.
	holdDivisor = 2
	// batchStartMargin is the part of its objective, 1/batchStartMargin, that a batch request leaves
	// unused when it waits.
	batchStartMargin = 4
	// minReportedChange is the ratio by which an engine's factor must have changed to be reported to the
	// owners of its other models, and speedReportInterval the least time between two reports.
	minReportedChange   = 1.1
	speedReportInterval = time.Second
	// minReportedSamples is the number of samples from which a factor is reported.
	minReportedSamples = 3
	// promptClassesPerDoubling is the number of classes of prompts per doubling of the prefill time. The
	// result of a selection holds for prompts of one class.
	promptClassesPerDoubling = 4
)

// upstreamSpeed is the speed of one engine as known here.
type upstreamSpeed struct {
	speed.Relative
	// reportedFactor is the factor last reported to other owners, 0 if none was, and reportedAt when.
	reportedFactor float64
	reportedAt     time.Time
	overdue        overdue
	// cached is the factor as of cachedAt. It is invalid if cachedAt is zero.
	cached   float64
	cachedAt time.Time
}

// speedQuery holds the times of a request, on the mean engine of its service or, in a query for one
// upstream, on that engine. The zero value selects upstreams without regard to their speeds.
type speedQuery struct {
	// mixed is true if the times are set. batch is true for a batch request.
	mixed bool
	batch bool
	// anySpeed is true if the request is sent to an unsuitable engine rather than waiting.
	anySpeed    bool
	prefillTime time.Duration
	// eventInterval is the time between two events of the request's stream, and maxGap the longest one
	// that callers tolerate.
	eventInterval time.Duration
	maxGap        time.Duration
	// startBy is the latest time of the first event, and holdUntil the time until which the request
	// waits for a suitable engine. Both are zero if there is no objective.
	startBy   time.Time
	holdUntil time.Time
	// factor is that of the engine, and load the estimated number of requests there.
	factor float64
	load   float64
}

// speedQuery returns the speed part of a query.
func (req *requirements) speedQuery() speedQuery {
	if !req.sharesEngines() {
		return speedQuery{}
	}
	q := speedQuery{
		mixed: true, batch: req.batch, anySpeed: req.anySpeed, prefillTime: req.prefillTime, eventInterval: req.eventInterval,
		maxGap: req.maxGap, factor: 1,
	}
	if q.maxGap <= 0 {
		q.maxGap = defaultMaxGap
	}
	if req.objective > 0 {
		q.startBy, q.holdUntil = req.arrived.Add(req.objective), req.holdUntil()
	}
	if req.batch {
		q.startBy = q.startBy.Add(-req.objective / batchStartMargin)
	}
	return q
}

// holdUntil returns the time until which the request waits for a suitable engine. It is zero if there is
// no objective.
func (req *requirements) holdUntil() time.Time {
	if req.objective <= 0 {
		return time.Time{}
	}
	return req.arrived.Add(req.objective / holdDivisor)
}

// at returns the query with the times on u.
func (q upstreamQuery) at(now time.Time, u *upstream) upstreamQuery {
	if q.speed.mixed {
		s := &q.speed
		s.factor, s.load = u.speed.Factor(now), u.load(now)
		s.prefillTime, s.eventInterval = scale(s.prefillTime, s.factor), scale(s.eventInterval, s.factor)
		q.pacing = pacing{prefillShare: prefillShare(s.maxGap, s.eventInterval), serviceTime: scale(q.pacing.serviceTime, s.factor)}
	}
	return q
}

// costAt returns the prefill time and the pacing of the request at u.
func (req *requirements) costAt(now time.Time, u *upstream) (time.Duration, pacing) {
	switch {
	case req.group != "":
		// A plain upstream has no prefill backlog, which would never be processed.
		return 0, req.pacing
	case !req.sharesEngines():
		return req.prefillTime, req.pacing
	}
	q := req.query().at(now, u)
	return q.speed.prefillTime, q.pacing
}

// speedClass distinguishes the requests for one target whose selections may differ because of the
// speeds of engines.
type speedClass struct {
	batch bool
	// holds is true while the request waits for a suitable engine if there is one.
	holds bool
	// prompt is a logarithm of the prefill time. It is small because map keys of more than 128 bytes are
	// allocated.
	prompt uint8
}

func (req *requirements) speedClass(now time.Time) speedClass {
	if !req.sharesEngines() {
		return speedClass{}
	}
	milliseconds := min(max(req.prefillTime.Seconds()*1000, 1), math.MaxInt32)
	holds := !req.batch && !req.anySpeed && now.Before(req.holdUntil())
	return speedClass{batch: req.batch, holds: holds, prompt: uint8(promptClassesPerDoubling * math.Log2(milliseconds))}
}

// suits reports whether the request, sent to u at a given time, starts in time there, streams without
// long pauses, and does not make the streams beside it pause for too long. The query is that at u.
func (q *upstreamQuery) suits(sent time.Time, u *upstream) bool {
	tolerance := prefillTolerance(q.speed.maxGap, q.speed.eventInterval)
	switch {
	case tolerance < scale(q.speed.maxGap, minPrefillShare):
		return false
	case q.speed.prefillTime > tolerance && q.speed.load >= minRunning:
		return false
	}
	return q.speed.startBy.IsZero() || !sent.Add(q.timeToStart(sent, u)).After(q.speed.startBy)
}

// timeToStart returns the predicted time to the first event of a request sent to u at a given time.
func (q *upstreamQuery) timeToStart(sent time.Time, u *upstream) time.Duration {
	return scale(u.backlog.remaining(sent), 1/q.pacing.prefillShare) + q.speed.prefillTime + gapMargin
}

// predictedCost returns the cost of sending to an engine by its speed: the time until its backlog is
// prefilled, the pause that the prompt causes there as a share of the one that its streams tolerate, and
// its load. An interactive request costs more at a slow engine, where it takes a slot for longer, and a
// batch request at a fast one that others use.
func (u *upstream) predictedCost(now time.Time, q *upstreamQuery) float64 {
	slots := float64(max(u.slots, 1))
	tolerance := q.pacing.prefillShare * float64(q.speed.maxGap)
	cost := float64(u.backlog.remaining(now))/(q.pacing.prefillShare*float64(defaultMaxGap)) + float64(q.speed.prefillTime)/tolerance
	if q.speed.batch {
		cost += q.speed.load / slots / q.speed.factor
	} else {
		cost += (q.speed.load + 1) / slots * q.speed.factor
	}
	if !q.suits(now, u) {
		cost += unsuitableCost
	}
	return cost
}

// waitsForSuitable reports whether a request waits although best has capacity, because another engine
// that suits it better will have capacity in time. A batch request takes what is free, because urgent
// requests may keep the other engine's capacity for as long as it could wait.
func (p *upstreamPool) waitsForSuitable(now time.Time, q upstreamQuery, best *upstream) bool {
	if !q.speed.mixed || q.speed.batch || q.speed.anySpeed || q.boosted || !now.Before(q.speed.holdUntil) {
		return false
	}
	if at := q.at(now, best); at.suits(now, best) {
		return false
	}
	for u := range p.eligible(now, q) {
		if u == best || !u.mayTakeLater(now, q) {
			continue
		}
		at := q.at(now, u)
		if ready := u.readyAt(now, &at); !ready.After(q.speed.holdUntil) && at.suits(ready, u) {
			return true
		}
	}
	return false
}

// mayTakeLater reports whether nothing but its capacity keeps u from running the request.
func (u *upstream) mayTakeLater(now time.Time, q upstreamQuery) bool {
	return u.canRun(q.model, q.adapter) && !slices.Contains(q.tried, u.name) && !now.Before(u.avoidUntil) &&
		!now.Before(u.pausedUntil()) && !u.pushesBack(now, q.sender)
}

// readyAt returns the predicted time at which an engine has capacity. Requests end at the rate of the
// slots over the service time. The query is that at u.
func (u *upstream) readyAt(now time.Time, q *upstreamQuery) time.Time {
	ready := u.backlog.readySince(q.pacing)
	if ready.Before(now) {
		ready = now
	}
	if u.slots == 0 {
		return ready
	}
	excess := q.speed.load - float64(u.slots) + 1
	slotFree := now.Add(scale(q.pacing.serviceTime, max(excess, 0)/float64(u.slots)))
	if slotFree.After(ready) {
		return slotFree
	}
	return ready
}

// capacityFor returns the slots of u in slots of the mean engine, if the routes mix batch and
// interactive requests.
func (u *upstream) capacityFor(now time.Time, req *requirements) float64 {
	if !req.mixed {
		return float64(u.slots)
	}
	return float64(u.slots) / u.speed.Factor(now)
}

// acceptsAnySpeed makes a request that would be rejected take an engine of any speed, and reports whether
// there is one. p.mu is held.
func (p *Proxy) acceptsAnySpeed(now time.Time, w *waiter) bool {
	req := &w.requirements
	if !req.sharesEngines() || req.anySpeed {
		return false
	}
	query := req.query()
	query.speed.anySpeed = true
	u, _ := p.pool.choose(now, query, rand.Float64())
	req.anySpeed = u != nil
	return req.anySpeed
}

// recordEngineSpeed updates the speed of an engine and the estimate for its service with a measurement.
// p.mu is held.
func (p *Proxy) recordEngineSpeed(now time.Time, u *upstream, req *requirements, s speedSample, estimator *speed.Estimator) {
	u = p.pool.current(u)
	ratio := estimator.ObserveResponse(u.speed.Relative.Factor(now), speed.Response{
		Model: req.model, PromptTokens: req.promptTokens, AnswerTokens: req.outputTokens, FirstEvent: s.firstEvent,
		Total: s.serviceTime, Streaming: s.streaming, Events: s.events,
	})
	u.speed.Observe(now, ratio)
	u.speed.cachedAt = time.Time{}
	p.metrics.engineFactors.RecordValue(u.speed.Factor(now))
	if p.owners.owns(now, req.service, req.model) {
		p.reportSpeed(now, u)
	}
}

// reportSpeed reports an engine's factor to the owners of its other models if it has changed. p.mu is
// held.
func (p *Proxy) reportSpeed(now time.Time, u *upstream) {
	factor, samples := u.speed.Own(now)
	if atLeast := u.speed.atLeastOverdue(factor); atLeast > factor {
		factor, samples = atLeast, max(samples, minReportedSamples)
	}
	previous := cmp.Or(u.speed.reportedFactor, 1)
	if samples < minReportedSamples || now.Sub(u.speed.reportedAt) < speedReportInterval ||
		max(factor/previous, previous/factor) < minReportedChange {
		return
	}
	u.speed.reportedFactor, u.speed.reportedAt = factor, now
	for _, owner := range p.modelOwners(now, u) {
		p.peers.send(owner, permit.SpeedReport{Upstream: u.name, Incarnation: u.incarnation, Factor: factor, Samples: samples})
		p.metrics.speedReports.Inc(1)
	}
}

// receiveSpeed records the factor of an engine that another owner has learned. p.mu is held.
func (p *Proxy) receiveSpeed(now time.Time, m permit.SpeedReport) {
	if u := p.pool.process(m.Upstream, m.Incarnation); u != nil {
		u.speed.ObserveReport(now, m.Factor, m.Samples)
		u.speed.cachedAt = time.Time{}
	}
}

// speedFactor returns the rounded factor of the engine that an attempt was sent to, 1 if it is not known.
// p.mu is held.
func (p *Proxy) speedFactor(now time.Time, t *transaction, u *upstream) float64 {
	if !t.sharesEngines() {
		return 1
	}
	return math.Round(p.pool.current(u).speed.Factor(now)*100) / 100
}

// updateSpeedMetrics sets the gauges of the engines' speeds.
func (p *Proxy) updateSpeedMetrics(now time.Time) {
	if !p.mixesUrgency() {
		return
	}
	fastest, slowest, spread := 1.0, 1.0, 1.0
	for _, u := range p.pool.byName {
		if _, known := u.speed.Age(now); known {
			factor := u.speed.Factor(now)
			fastest, slowest, spread = min(fastest, factor), max(slowest, factor), max(spread, u.speed.Spread())
		}
	}
	p.metrics.scope.Gauge("fastest_engine_factor").Update(fastest)
	p.metrics.scope.Gauge("slowest_engine_factor").Update(slowest)
	p.metrics.scope.Gauge("widest_engine_spread").Update(spread)
}
