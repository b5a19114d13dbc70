package dispatch

import "time"

const (
	// cacheTrust is the expected part of a known prefix that is still cached, and
	// doubtTrust the same after a gap in the cache events.
	cacheTrust = 0.9
	doubtTrust = 0.3
	// doubtFor is how long a gap counts. A cache turns over in that time.
	doubtFor = 30 * time.Second
)

// Choose returns the upstream for r, or the reason why there is none.
func (d *Dispatcher) Choose(now time.Time, r *Request) Decision {
	var decision Decision
	p := d.pools[r.Target]
	if p == nil || len(p.members) == 0 {
		decision.Reason = ReasonNoCandidate
		return decision
	}
	holder := d.holder(now, p, r)
	if holder != nil {
		d.compare(now, &decision, holder, r, 0)
	}
	compared := d.sample(now, p, r, holder, &decision)
	if compared == 0 && holder == nil {
		compared = d.walk(now, p, r, &decision)
	}
	decision.Reason = reasonOf(&decision, holder, compared)
	if !decision.OK() {
		decision.Reason = d.whyNone(now, p, r)
	}
	return decision
}

// forecast returns the shortest predicted times to the first token at a few
// candidates, full or not: idle if nothing else ran there, and loaded once a
// place is free for r. The wait for that place is the queue's to tell.
func (d *Dispatcher) forecast(now time.Time, r *Request) (idle, loaded time.Duration) {
	p := d.pools[r.Target]
	if p == nil {
		return 0, 0
	}
	var decision Decision
	size := len(p.members)
	start := d.random.IntN(size)
	for i := range min(size, maxSamples) {
		u := p.members[(start+i)%size]
		if !u.alive(now) {
			continue
		}
		d.compare(now, &decision, u, r, 1)
		own := time.Duration(u.idle(r.PromptTokens) * float64(time.Second))
		if idle == 0 || own < idle {
			idle = own
		}
	}
	return idle, decision.Chosen.FirstToken
}

// sample compares up to Options.Samples different members of p.
func (d *Dispatcher) sample(now time.Time, p *pool, r *Request, holder *upstream, decision *Decision) int {
	size := len(p.members)
	compared := 0
	if size <= d.options.Samples {
		for _, u := range p.members {
			if u != holder && d.fit(now, u, r) {
				d.compare(now, decision, u, r, 0)
				compared++
			}
		}
		return compared
	}
	var drawn [maxSamples]int
	for n := range d.options.Samples {
		i := d.random.IntN(size - n)
		for _, before := range drawn[:n] {
			if i >= before {
				i++
			}
		}
		insertSorted(drawn[:n+1], i)
		if u := p.members[i]; u != holder && d.fit(now, u, r) {
			d.compare(now, decision, u, r, 0)
			compared++
		}
	}
	return compared
}

// insertSorted puts i into sorted, whose last place is free.
func insertSorted(sorted []int, i int) {
	at := len(sorted) - 1
	for at > 0 && sorted[at-1] > i {
		sorted[at] = sorted[at-1]
		at--
	}
	sorted[at] = i
}

// walk goes over p from a random start until enough fit members are compared.
// It is for the case that no sampled one is fit. If all that are fit otherwise
// are ejected, it takes those: a bad upstream is better than none.
func (d *Dispatcher) walk(now time.Time, p *pool, r *Request, decision *Decision) int {
	size := len(p.members)
	start := d.random.IntN(size)
	compared := 0
	for i := 0; i < size && compared < d.options.Samples; i++ {
		u := p.members[(start+i)%size]
		if d.usable(now, u, r) && !u.health.ejected(now) {
			d.compare(now, decision, u, r, 0)
			compared++
		}
	}
	if compared > 0 || p.anyHealthy(now, r) {
		return compared
	}
	for i := 0; i < size && compared < d.options.Samples; i++ {
		u := p.members[(start+i)%size]
		if d.usable(now, u, r) {
			d.compare(now, decision, u, r, 0)
			compared++
		}
	}
	return compared
}

// anyHealthy reports whether p has a member that r could use but for its limit.
func (p *pool) anyHealthy(now time.Time, r *Request) bool {
	for _, u := range p.members {
		if u.alive(now) && !u.health.ejected(now) && !r.tried(u.view.Name) {
			return true
		}
	}
	return false
}

// usable reports whether u may be given r, ejected or not.
func (d *Dispatcher) usable(now time.Time, u *upstream, r *Request) bool {
	return u.alive(now) && d.room(now, u, r.Priority) && !r.tried(u.view.Name)
}

// fit reports whether u may be given r. An upstream that returns from an
// ejection is passed over at random, less and less often.
func (d *Dispatcher) fit(now time.Time, u *upstream, r *Request) bool {
	if !d.usable(now, u, r) || u.health.ejected(now) {
		return false
	}
	share := u.health.share(now)
	return share >= 1 || d.random.Float64() < share
}

// holder returns the member of p that is thought to have the longest prefix of r
// in its cache, or nil.
func (d *Dispatcher) holder(now time.Time, p *pool, r *Request) *upstream {
	if len(r.Blocks) == 0 {
		return nil
	}
	for _, id := range d.prefixes.longest(r.Blocks) {
		u := d.byID[id]
		if u != nil && u.memberOf(p) && d.fit(now, u, r) {
			return u
		}
	}
	return nil
}

// compare predicts r at u, after ended requests there have ended, and takes it
// into the decision.
func (d *Dispatcher) compare(now time.Time, decision *Decision, u *upstream, r *Request, ended int) {
	cached := d.cachedTokens(now, u, r)
	f := u.predict(now, max(r.PromptTokens-cached, 0), r.Priority, ended)
	if u.remote {
		f.firstToken += 2 * d.options.RemoteDelay.Seconds()
	}
	candidate := Candidate{
		Name:          u.view.Name,
		Address:       u.view.Address,
		FirstToken:    time.Duration(f.firstToken * float64(time.Second)),
		TokenInterval: f.interval,
		CachedTokens:  cached,
		Cost:          r.Goal.cost(f),
		upstream:      u,
	}
	decision.add(&candidate)
}

func (d *Dispatcher) cachedTokens(now time.Time, u *upstream, r *Request) int {
	if len(r.Blocks) == 0 {
		return 0
	}
	blocks := d.prefixes.cached(r.Blocks, u.id)
	return int(float64(blocks*BlockTokens) * u.trust(now))
}

func reasonOf(decision *Decision, holder *upstream, compared int) Reason {
	switch {
	case holder != nil && decision.Chosen.upstream == holder && decision.Chosen.CachedTokens > 0:
		return ReasonPrefixCached
	case compared == 1 && holder == nil:
		return ReasonOnlyCandidate
	default:
		return ReasonLeastCost
	}
}

// reach returns ReasonNoRoom if an upstream could run r, whether it has room or
// not, and otherwise why none can.
func (d *Dispatcher) reach(now time.Time, r *Request) Reason {
	p := d.pools[r.Target]
	if p == nil {
		return ReasonNoCandidate
	}
	return d.whyNone(now, p, r)
}

// whyNone returns why no member of p was chosen.
func (d *Dispatcher) whyNone(now time.Time, p *pool, r *Request) Reason {
	for _, u := range p.members {
		if u.alive(now) && !r.tried(u.view.Name) {
			return ReasonNoRoom
		}
	}
	return ReasonNoneFit
}
