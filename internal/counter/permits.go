package counter

import (
	"hash/fnv"
	"net/netip"
	"time"

	"github.com/lovagelift/lovagelift/internal/permit"
)

// permitRecord is the state of a peer's request that this instance places: it is queued, or has a
// permit.
type permitRecord struct {
	waiter *waiter
	// grant has no upstream while the request is queued.
	grant grant
	// expires is when the permit is removed even without a message from the peer, which may be
	// gone.
	expires time.Time
}

const (
	// maxPermitServiceTimes is the number of service times after which a permit expires.
	// Until then, a permit whose end was not reported makes the engine appear more loaded than it
	// is.
	maxPermitServiceTimes = 4
	// minPermitTime is the lower bound of that time.
	minPermitTime = 2 * time.Second
	// requesterGrace is how long a waiting request is kept after its requester has stopped waiting.
	requesterGrace = 500 * time.Millisecond
)

// receive handles a message of a peer.
func (c *Counter) receive(now time.Time, from netip.AddrPort, message permit.Message) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch m := message.(type) {
	case permit.Ask:
		c.handleAsk(now, from, m)
	case permit.Ended:
		c.handleEnded(now, peerRequest{from, m.ID}, m)
	case permit.Use:
		if u := c.pool.byName[m.Upstream]; u != nil {
			u.recordPeerUse(now, peerUse{prefill: m.Reading, active: m.Open, peer: hashAddress(from)})
		}
	case permit.Limited:
		c.receiveLimit(now, m)
	case permit.Claim:
		c.handleClaim(now, from, m)
	case permit.Allowed:
		c.deliverAnswer(from, m.ID, m)
	case permit.Held:
		c.deliverAnswer(from, m.ID, m)
	case permit.Granted:
		c.deliverAnswer(from, m.ID, m)
	case permit.Queued:
		c.deliverAnswer(from, m.ID, m)
	case permit.Refused:
		c.deliverAnswer(from, m.ID, m)
	case permit.Moved:
		c.deliverAnswer(from, m.ID, m)
	}
}

// handleAsk decides a peer's permit request, or repeats the earlier decision. c.mu is held.
func (c *Counter) handleAsk(now time.Time, from netip.AddrPort, m permit.Ask) {
	requester := peerRequest{from, m.ID}
	if record := c.permits[requester]; record != nil {
		c.sendDecision(requester, record)
		return
	}
	if c.draining {
		c.metrics.countDecision("moved")
		c.peers.send(from, permit.Moved{ID: m.ID})
		return
	}
	w := &waiter{requirements: c.requirementsOf(now, m), requester: requester, placingInstances: 1}
	record := &permitRecord{waiter: w, expires: w.requirements.arrived.Add(w.requirements.maxWait() + requesterGrace)}
	c.permits[requester] = record
	c.enqueue(now, w)
	if record.grant.upstream != nil {
		return
	}
	if rejected := c.rejectOrWait(now, w); rejected != nil {
		delete(c.permits, requester)
		c.metrics.countDecision("refused")
		c.peers.send(from, permit.Refused{
			ID: m.ID, Reason: rejected.reason, ComeBack: rejected.retryAfter, Forecast: rejected.forecastWait,
			Survey: permit.Survey(rejected.survey),
		})
		return
	}
	c.metrics.countDecision("queued")
	c.sendDecision(requester, record)
}

// requirementsOf returns the requirements of a peer's request.
func (c *Counter) requirementsOf(now time.Time, m permit.Ask) requirements {
	req := requirements{
		target:       target{service: m.Service, model: m.Model, adapter: m.Adapter},
		promptTokens: m.PromptTokens, outputTokens: m.AnswerTokens, priority: m.Priority, objective: m.Objective,
		maxGap: m.Gap, arrived: now.Add(-m.Age), deadline: now.Add(m.Left), tried: m.Tried,
	}
	c.estimateCost(&req)
	return req
}

// issuePermit grants an upstream to a peer's request. c.mu is held.
func (c *Counter) issuePermit(now time.Time, requester peerRequest, granted grant) {
	record := c.permits[requester]
	record.grant = granted
	c.metrics.countDecision("granted")
	req := &record.waiter.requirements
	record.expires = now.Add(min(req.deadline.Sub(now), max(maxPermitServiceTimes*req.pacing.serviceTime, minPermitTime)))
	c.sendDecision(requester, record)
}

// sendDecision sends the state of a request to its requester.
func (c *Counter) sendDecision(requester peerRequest, record *permitRecord) {
	u := record.grant.upstream
	if u == nil {
		c.peers.send(requester.address, permit.Queued{ID: requester.id})
		return
	}
	c.peers.send(requester.address, permit.Granted{
		ID: requester.id, Upstream: u.name, Address: u.address, Unread: record.grant.prefillAhead,
	})
}

// handleEnded processes the outcome of a peer's request. c.mu is held.
func (c *Counter) handleEnded(now time.Time, requester peerRequest, m permit.Ended) {
	record := c.permits[requester]
	if record == nil {
		return
	}
	c.removePermit(requester, record)
	if u := record.grant.upstream; u != nil {
		u.recordOutcome(now, record.waiter.requirements.target, m.Outcome)
		c.recordSpeed(&record.waiter.requirements, speedSample{firstEvent: m.First, serviceTime: m.Run, events: m.Events, streaming: m.Writing})
	}
}

func (c *Counter) removePermit(requester peerRequest, record *permitRecord) {
	delete(c.permits, requester)
	if u := record.grant.upstream; u != nil {
		u.release()
		return
	}
	c.dequeue(record.waiter)
}

// expirePermits removes permits and claim answers whose time has run out.
func (c *Counter) expirePermits(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.expireClaims(now)
	for requester, record := range c.permits {
		if now.After(record.expires) {
			c.removePermit(requester, record)
		}
	}
}

// hashAddress returns a hash that distinguishes the peers.
func hashAddress(from netip.AddrPort) uint32 {
	hash := fnv.New32a()
	encoded, _ := from.MarshalBinary()
	_, _ = hash.Write(encoded)
	return hash.Sum32()
}
