package dispatch

import "time"

const (
	// cacheConfidence is the expected share of a known prefix that is still cached, and
	// gapCacheConfidence the same after a gap in the cache events.
	cacheConfidence    = 0.9
	gapCacheConfidence = 0.3
	// gapPenaltyTime is the time for which gapCacheConfidence applies after a gap. A cache
	// turns over in that time.
	gapPenaltyTime = 30 * time.Second
)

// Choose returns the upstream for r, or the reason for choosing none.
func (d *Dispatcher) Choose(now time.Time, r *Request) Decision {
	var decision Decision
	p := d.pools[r.Target]
	if p == nil || len(p.members) == 0 {
		decision.Reason = ReasonNoCandidate
		return decision
	}
	holder := d.prefixHolder(now, p, r)
	if holder != nil {
		d.evaluate(now, &decision, holder, r, 0)
	}
	evaluated := d.evaluateSample(now, p, r, holder, &decision)
	if evaluated == 0 && holder == nil {
		evaluated = d.scanPool(now, p, r, &decision)
	}
	decision.Reason = choiceReason(&decision, holder, evaluated)
	if !decision.OK() {
		decision.Reason = d.poolRejectReason(now, p, r)
	}
	return decision
}

// predictFirstToken predicts the time to the first token of r from a few candidates, with
// or without room. idle is the shortest time at a candidate without other requests. loaded
// is the time at the candidate of least cost, after one of its requests has finished.
// Neither includes the wait in the admission queue.
func (d *Dispatcher) predictFirstToken(now time.Time, r *Request) (idle, loaded time.Duration) {
	p := d.pools[r.Target]
	if p == nil {
		return 0, 0
	}
	var decision Decision
	size := len(p.members)
	start := d.random.IntN(size)
	for i := range min(size, maxSamples) {
		u := p.members[(start+i)%size]
		if !u.available(now) {
			continue
		}
		d.evaluate(now, &decision, u, r, 1)
		candidateIdle := time.Duration(u.idleFirstTokenSeconds(r.PromptTokens) * float64(time.Second))
		if idle == 0 || candidateIdle < idle {
			idle = candidateIdle
		}
	}
	return idle, decision.Chosen.FirstToken
}

// evaluateSample samples Options.Samples members of p without replacement, evaluates the
// eligible ones except holder and returns their number.
func (d *Dispatcher) evaluateSample(now time.Time, p *pool, r *Request, holder *upstream, decision *Decision) int {
	size := len(p.members)
	evaluated := 0
	if size <= d.options.Samples {
		for _, u := range p.members {
			if u != holder && d.eligible(now, u, r) {
				d.evaluate(now, decision, u, r, 0)
				evaluated++
			}
		}
		return evaluated
	}
	var sampled [maxSamples]int
	for n := range d.options.Samples {
		i := d.random.IntN(size - n)
		for _, smaller := range sampled[:n] {
			if i >= smaller {
				i++
			}
		}
		insertSorted(sampled[:n+1], i)
		if u := p.members[i]; u != holder && d.eligible(now, u, r) {
			d.evaluate(now, decision, u, r, 0)
			evaluated++
		}
	}
	return evaluated
}

// insertSorted inserts i into sorted, whose last element is unused.
func insertSorted(sorted []int, i int) {
	position := len(sorted) - 1
	for position > 0 && sorted[position-1] > i {
		sorted[position] = sorted[position-1]
		position--
	}
	sorted[position] = i
}

// scanPool evaluates up to Options.Samples usable members of p, scanning from a random
// start, and returns their number. It is the fallback if no sampled member is eligible.
// If all members that could run r are ejected, it evaluates those: an unhealthy upstream
// is better than none.
func (d *Dispatcher) scanPool(now time.Time, p *pool, r *Request, decision *Decision) int {
	size := len(p.members)
	start := d.random.IntN(size)
	evaluated := 0
	for i := 0; i < size && evaluated < d.options.Samples; i++ {
		u := p.members[(start+i)%size]
		if d.usable(now, u, r) && !u.health.ejected(now) {
			d.evaluate(now, decision, u, r, 0)
			evaluated++
		}
	}
	if evaluated > 0 || p.hasHealthy(now, r) {
		return evaluated
	}
	for i := 0; i < size && evaluated < d.options.Samples; i++ {
		u := p.members[(start+i)%size]
		if d.usable(now, u, r) {
			d.evaluate(now, decision, u, r, 0)
			evaluated++
		}
	}
	return evaluated
}

// hasHealthy reports whether p has a member that could run r, ignoring limits.
func (p *pool) hasHealthy(now time.Time, r *Request) bool {
	for _, u := range p.members {
		if u.available(now) && !u.health.ejected(now) && !r.tried(u.view.Name) {
			return true
		}
	}
	return false
}

// usable reports whether u may receive r, ignoring ejection.
func (d *Dispatcher) usable(now time.Time, u *upstream, r *Request) bool {
	return u.available(now) && d.hasRoom(now, u, r.Priority) && !r.tried(u.view.Name)
}

// eligible reports whether u may receive r. During the slow start after an ejection it
// returns false at random, with decreasing probability.
func (d *Dispatcher) eligible(now time.Time, u *upstream, r *Request) bool {
	if !d.usable(now, u, r) || u.health.ejected(now) {
		return false
	}
	share := u.health.trafficShare(now)
	return share >= 1 || d.random.Float64() < share
}

// prefixHolder returns an eligible member of p whose cache holds the longest known prefix
// of r according to the prefix index, or nil.
func (d *Dispatcher) prefixHolder(now time.Time, p *pool, r *Request) *upstream {
	if len(r.Blocks) == 0 {
		return nil
	}
	for _, id := range d.prefixes.longestPrefixHolders(r.Blocks) {
		u := d.byID[id]
		if u != nil && u.inPool(p) && d.eligible(now, u, r) {
			return u
		}
	}
	return nil
}

// evaluate predicts the times of r at u and adds u to the decision as a candidate. The
// prediction is for the time when finishedRequests of the current requests at u have
// finished.
func (d *Dispatcher) evaluate(now time.Time, decision *Decision, u *upstream, r *Request, finishedRequests int) {
	cached := d.cachedTokens(now, u, r)
	predicted := u.predict(now, max(r.PromptTokens-cached, 0), r.Priority, finishedRequests)
	if u.remote {
		predicted.firstTokenSeconds += 2 * d.options.RemoteDelay.Seconds()
	}
	candidate := Candidate{
		Name:            u.view.Name,
		Address:         u.view.Address,
		SoftwareVersion: u.view.SoftwareVersion,
		FirstToken:      time.Duration(predicted.firstTokenSeconds * float64(time.Second)),
		TokenInterval:   predicted.tokenInterval,
		CachedTokens:    cached,
		Cost:            r.Goal.cost(predicted),
		upstream:        u,
	}
	decision.add(&candidate)
}

func (d *Dispatcher) cachedTokens(now time.Time, u *upstream, r *Request) int {
	if len(r.Blocks) == 0 {
		return 0
	}
	blocks := d.prefixes.cachedBlocks(r.Blocks, u.id)
	return int(float64(blocks*BlockTokens) * u.cacheConfidence(now))
}

func choiceReason(decision *Decision, holder *upstream, evaluated int) Reason {
	switch {
	case holder != nil && decision.Chosen.upstream == holder && decision.Chosen.CachedTokens > 0:
		return ReasonPrefixCached
	case evaluated == 1 && holder == nil:
		return ReasonOnlyCandidate
	default:
		return ReasonLeastCost
	}
}

// rejectReason returns ReasonNoRoom if any upstream could run r, with or without room now,
// and otherwise the reason for which none can.
func (d *Dispatcher) rejectReason(now time.Time, r *Request) Reason {
	p := d.pools[r.Target]
	if p == nil {
		return ReasonNoCandidate
	}
	return d.poolRejectReason(now, p, r)
}

// poolRejectReason is rejectReason for the members of p.
func (d *Dispatcher) poolRejectReason(now time.Time, p *pool, r *Request) Reason {
	for _, u := range p.members {
		if u.available(now) && !r.tried(u.view.Name) {
			return ReasonNoRoom
		}
	}
	return ReasonNoneFit
}
