package counter

import (
	"hash/fnv"
	"net/netip"
	"time"

	"github.com/lovagelift/lovagelift/internal/permit"
	"github.com/lovagelift/lovagelift/internal/routes"
)

// permitRecord is the state of a peer's request that this instance places: it is queued, or has a
// permit.
type permitRecord struct {
	waiter *waiter
	// grant has no upstream while the request is queued.
	grant grant
	// granted is when the request got its permit.
	granted time.Time
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
func (p *Proxy) receive(now time.Time, from netip.AddrPort, message permit.Message) {
	p.mu.Lock()
	defer p.mu.Unlock()
	switch m := message.(type) {
	case permit.Request:
		p.handleAsk(now, from, m)
	case permit.Release:
		p.handleEnded(now, peerRequest{from, m.ID}, m)
	case permit.LoadReport:
		if u := p.pool.byName[m.Upstream]; u != nil {
			u.recordPeerUse(now, peerUse{prefill: m.PrefillTime, active: m.ActiveRequests, peer: hashAddress(from)})
		}
	case permit.LimitReport:
		p.receiveLimit(now, m)
	case permit.PushbackReport:
		p.receivePushback(now, from, m)
	case permit.LeaveReport:
		p.receiveLeave(m)
	case permit.RefusalReport:
		p.receiveRefusal(now, m)
	case permit.SpeedReport:
		p.receiveSpeed(now, m)
	case permit.SendRequest:
		p.handleClaim(now, from, m)
	case permit.QuotaRequest:
		p.handleQuotaRequest(now, from, m)
	case permit.QuotaReturn:
		p.handleQuotaAdjustment(now, from, m.Workspace, m.Units)
	case permit.QuotaDebit:
		p.handleQuotaAdjustment(now, from, m.Workspace, -m.Units)
	case permit.QuotaContinued:
		p.quotas.get(m.Workspace).followOwner(now.Add(-m.Age))
	case permit.StreamReport:
		p.receiveOrigin(now, m)
	case permit.StreamQuery:
		p.answerOrigin(now, from, m)
	case permit.TrialRequest:
		p.handleTrialRequest(now, from, m)
	case permit.TrialEnded:
		p.trials.End(now, m.Trial)
	case permit.Reply:
		p.deliverAnswer(from, m.RequestID(), m)
	}
}

// handleAsk decides a peer's permit request, or repeats the earlier decision. p.mu is held.
func (p *Proxy) handleAsk(now time.Time, from netip.AddrPort, m permit.Request) {
	requester := peerRequest{from, m.ID}
	if record := p.permits[requester]; record != nil {
		p.sendDecision(requester, record)
		return
	}
	if p.draining {
		p.metrics.countDecision("moved")
		p.peers.send(from, permit.ShuttingDown{ID: m.ID})
		return
	}
	w := &waiter{requirements: p.requirementsOf(now, from, m), requester: requester, placingInstances: 1}
	record := &permitRecord{waiter: w, expires: w.requirements.arrived.Add(w.requirements.longestWait() + requesterGrace)}
	p.permits[requester] = record
	p.enqueue(now, w)
	if record.grant.upstream != nil {
		return
	}
	if rejected := p.rejectOrWait(now, w); rejected != nil {
		p.refusePermit(requester, rejected)
		return
	}
	p.metrics.countDecision("queued")
	p.sendDecision(requester, record)
}

// refusePermit tells the requester that its request is rejected. p.mu is held.
func (p *Proxy) refusePermit(requester peerRequest, rejected *rejection) {
	delete(p.permits, requester)
	p.metrics.countDecision("refused")
	p.peers.send(requester.address, permit.Rejected{
		ID: requester.id, Reason: rejected.reason, RetryAfter: rejected.retryAfter, EstimatedWait: rejected.forecastWait,
		Survey: permit.Survey(rejected.survey), Reserved: rejected.reserved, RelativeUse: rejected.relativeUse,
	})
}

// requirementsOf returns the requirements of a peer's request.
func (p *Proxy) requirementsOf(now time.Time, from netip.AddrPort, m permit.Request) requirements {
	req := requirements{
		target:       target{service: m.Service, model: m.Model, adapter: m.Adapter},
		promptTokens: m.PromptTokens, outputTokens: m.AnswerTokens, priority: m.Priority, yields: m.Yields, objective: m.Objective,
		maxGap: m.MaxEventGap, arrived: now.Add(-m.Age), deadline: now.Add(m.Remaining), sender: from, tried: m.Tried, software: m.Software,
		mixed: p.mixesUrgency(), batch: routes.IsBatch(m.Objective), workspace: m.Workspace, caller: m.Caller,
	}
	if m.Model == "" && m.Adapter != "" {
		req.adapter, req.group = "", m.Adapter
		p.estimatePlainCost(now, &req)
		return req
	}
	p.estimateCost(&req)
	return req
}

// issuePermit grants an upstream to a peer's request. p.mu is held.
func (p *Proxy) issuePermit(now time.Time, requester peerRequest, granted grant) {
	record := p.permits[requester]
	record.grant, record.granted = granted, now
	p.metrics.countDecision("granted")
	req := &record.waiter.requirements
	record.expires = req.deadline
	if req.group == "" {
		lifetime := max(maxPermitServiceTimes*granted.upstream.pacing.serviceTime, minPermitTime)
		record.expires = earlier(record.expires, now.Add(lifetime))
	}
	p.sendDecision(requester, record)
}

// sendDecision sends the state of a request to its requester.
func (p *Proxy) sendDecision(requester peerRequest, record *permitRecord) {
	u := record.grant.upstream
	if u == nil {
		p.peers.send(requester.address, permit.Queued{ID: requester.id})
		return
	}
	granted := permit.Granted{ID: requester.id, Upstream: u.name, Address: u.address, PrefillBacklog: record.grant.prefillAhead}
	if record.waiter.requirements.software.Recorded {
		granted.Described, granted.Incarnation, granted.SoftwareVersion = true, u.incarnation, u.software
	}
	p.peers.send(requester.address, granted)
}

// handleEnded processes the outcome of a peer's request. p.mu is held.
func (p *Proxy) handleEnded(now time.Time, requester peerRequest, m permit.Release) {
	record := p.permits[requester]
	if record == nil {
		return
	}
	p.removePermit(now, requester, record)
	if u := record.grant.upstream; u != nil {
		u.recordOutcome(now, record.waiter.requirements.target, m.Outcome)
		p.observePlain(now, &record.waiter.requirements, record.grant, m.Outcome, m.RunTime)
		p.recordSpeed(now, u, &record.waiter.requirements, speedSample{firstEvent: m.FirstEventTime, serviceTime: m.RunTime, events: m.Events, streaming: m.StreamTime})
	}
}

func (p *Proxy) removePermit(now time.Time, requester peerRequest, record *permitRecord) {
	delete(p.permits, requester)
	if u := record.grant.upstream; u != nil {
		u.release()
		return
	}
	p.dequeue(record.waiter)
	p.reserveAfterWait(now, record.waiter)
}

// expirePermits removes permits, stored answers and reservations whose time has run out.
func (p *Proxy) expirePermits(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.expireAnswers(now)
	p.updateOverdue(now)
	for requester, record := range p.permits {
		if now.After(record.expires) {
			p.removePermit(now, requester, record)
		}
	}
	p.expireReservations(now)
}

// hashAddress returns a hash that distinguishes the peers.
func hashAddress(from netip.AddrPort) uint32 {
	hash := fnv.New32a()
	encoded, _ := from.MarshalBinary()
	_, _ = hash.Write(encoded)
	return hash.Sum32()
}
