package counter

import (
	"cmp"
	"context"
	"net/netip"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/lovagelift/lovagelift/internal/permit"
	"github.com/lovagelift/lovagelift/internal/resumption"
)

const (
	// ownerTimeout is how long the owner of a model has to answer. A round trip takes 3 ms, plus
	// some tens of ms at a process that is short of CPU time.
	ownerTimeout = 40 * time.Millisecond
	// ownerAttempts is how often a message to an owner is sent before the owner counts as lost or
	// overloaded. The next owner of the model is asked then.
	ownerAttempts = 2
	// renewInterval is the time after which a permit request that is queued at the owner is
	// repeated, because a restarted owner no longer has it.
	renewInterval = 200 * time.Millisecond
	// maxOwnersAsked is how many owners are asked to place a request before this instance places
	// it.
	maxOwnersAsked = 2
)

var (
	// errDecideLocally means that this instance places the request: it owns the model, no owner
	// answers, or the owner's answer is unusable.
	errDecideLocally = errors.New("counter: no owner to ask")
	errOwnerTimeout  = errors.New("counter: owner did not answer in time")
)

// pendingReply is a message of this instance to which an owner has yet to reply.
type pendingReply struct {
	owner netip.AddrPort
	// answers receives the owner's replies. Its capacity covers one reply to each attempt. Excess
	// replies are dropped, and the owner sends them again when asked again.
	answers chan permit.Message
}

// acquireFromOwner waits for a grant from the owner of the model. It returns errDecideLocally if
// there is no owner to ask.
func (t *transaction) acquireFromOwner(ctx context.Context) (grant, error) {
	p := t.proxy
	for range maxOwnersAsked {
		now := p.options.Now()
		p.mu.Lock()
		owner, ok := p.remoteOwner(now, &t.requirements)
		p.mu.Unlock()
		if !ok {
			return grant{}, errDecideLocally
		}
		t.owner = owner
		id, answer, err := t.requestPermit(ctx, owner)
		p.countOwnerAnswer(ctx, answer)
		switch m := answer.(type) {
		case permit.Granted:
			return p.grantFrom(t, owner, m)
		case permit.Rejected:
			return grant{}, &rejection{
				reason: m.Reason, retryAfter: m.RetryAfter, forecastWait: m.EstimatedWait, survey: survey(m.Survey),
				reserved: m.Reserved, relativeUse: m.RelativeUse,
			}
		case permit.ShuttingDown:
			p.avoidOwner(owner, drainingAvoidance)
			continue
		}
		if errors.Is(err, errDecideLocally) {
			return grant{}, err
		}
		// A grant may be in transit.
		p.peers.send(owner, permit.Release{ID: id})
		if ctx.Err() != nil {
			p.mu.Lock()
			t.lastMissing = p.missingAfterWait(p.options.Now(), &t.requirements)
			p.mu.Unlock()
			return grant{}, ctx.Err()
		}
		p.avoidOwner(owner, unresponsiveAvoidance)
		p.logLine(p.options.Now(), "owner unresponsive").Err(err).Stringer("owner", owner).Str("request", t.call.ID).
			Str("model", t.model).Msg("model owner does not answer; using another instance")
	}
	return grant{}, errDecideLocally
}

// requestPermit asks an owner for a permit, repeatedly until it decides. The answer is nil if none
// arrives in time.
func (t *transaction) requestPermit(ctx context.Context, owner netip.AddrPort) (permit.ID, permit.Message, error) {
	p := t.proxy
	id, pending := p.startPermitRequest(t, owner)
	defer p.finishPermitRequest(t, id)
	if !p.peers.send(owner, t.askMessage(id)) {
		// The caller's values exceed the maximum message size. The owner is not at fault.
		return id, nil, errDecideLocally
	}
	timer := time.NewTimer(ownerTimeout)
	defer timer.Stop()
	for attempts := 1; ; {
		select {
		case answer := <-pending.answers:
			if _, queued := answer.(permit.Queued); !queued {
				return id, answer, nil
			}
			attempts = 0
			timer.Reset(renewInterval)
		case <-timer.C:
			if attempts == ownerAttempts {
				return id, nil, errOwnerTimeout
			}
			attempts++
			p.peers.send(owner, t.askMessage(id))
			timer.Reset(ownerTimeout)
		case <-ctx.Done():
			return id, nil, ctx.Err()
		}
	}
}

// countOwnerAnswer counts the owner's answer by kind, or its absence.
func (p *Proxy) countOwnerAnswer(ctx context.Context, answer permit.Message) {
	name := "none"
	switch answer.(type) {
	case permit.Granted:
		name = "granted"
	case permit.Rejected:
		name = "refused"
	case permit.ShuttingDown:
		name = "moved"
	default:
		if ctx.Err() != nil {
			name = "waited in vain"
		}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.metrics.countOwnerAnswer(name)
}

// askMessage returns the permit request to send now.
func (t *transaction) askMessage(id permit.ID) permit.Request {
	now := t.proxy.options.Now()
	software := t.software
	software.Recorded = software.Recorded && t.proxy.isOutOfStep(now)
	return permit.Request{
		ID: id, Service: t.service, Model: t.model, Adapter: cmp.Or(t.group, t.adapter),
		PromptTokens: t.promptTokens, AnswerTokens: t.outputTokens, Priority: t.priority, Yields: t.yields,
		Objective: t.objective, MaxEventGap: t.maxGap, Age: now.Sub(t.arrived), Remaining: t.deadline.Sub(now), Tried: t.tried,
		Software: software, Workspace: t.requirements.workspace, Caller: t.caller,
	}
}

// startPermitRequest registers a permit request and counts the caller's request as waiting.
func (p *Proxy) startPermitRequest(t *transaction, owner netip.AddrPort) (permit.ID, *pendingReply) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.addWaiting(&t.requirements, 1)
	return p.expectReply(owner)
}

// expectReply registers a message to another instance that expects a reply. p.mu is held.
func (p *Proxy) expectReply(owner netip.AddrPort) (permit.ID, *pendingReply) {
	pending := &pendingReply{owner: owner, answers: make(chan permit.Message, ownerAttempts+1)}
	return p.registerReply(pending), pending
}

// registerReply returns the ID of the message to which pending expects the reply. p.mu is held.
func (p *Proxy) registerReply(pending *pendingReply) permit.ID {
	p.lastMessageID++
	p.pendingReplies[p.lastMessageID] = pending
	return p.lastMessageID
}

// dropReplies stops expecting the replies to messages.
func (p *Proxy) dropReplies(ids ...permit.ID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, id := range ids {
		delete(p.pendingReplies, id)
	}
}

func (p *Proxy) finishPermitRequest(t *transaction, id permit.ID) {
	p.dropReplies(id)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.addWaiting(&t.requirements, -1)
}

func (p *Proxy) avoidOwner(owner netip.AddrPort, duration time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.owners.avoid(p.options.Now(), owner, duration)
}

// grantFrom returns the grant that an owner has issued.
//
// An owner that is cut off from the control instances does not learn that an upstream is leaving,
// and keeps granting it until it is gone. Nor does it know that an upstream pushes back, or accepts
// no request because of its refusals, if the report was lost, or another instance owned the model
// then. It may not know yet that a process of another software version has taken over the name of
// an upstream. A grant for such an upstream is returned, and grantFrom returns errDecideLocally. So is
// one for an upstream of which neither this instance nor the grant knows the software version, if a stream
// begins that may be resumed.
func (p *Proxy) grantFrom(t *transaction, owner netip.AddrPort, m permit.Granted) (grant, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.options.Now()
	granted := grant{prefillAhead: m.PrefillBacklog, owner: owner, id: m.ID}
	var outcome permit.Outcome
	switch known := p.pool.byName[m.Upstream]; {
	case m.Described && (known == nil || known.incarnation < m.Incarnation):
		granted.upstream = &upstream{
			name: m.Upstream, incarnation: m.Incarnation, address: m.Address, service: t.service, announced: true, software: m.SoftwareVersion,
		}
		return granted, nil
	case known != nil && known.isLeaving():
		outcome = permit.ModelAbsent
	case known != nil && known.pushesBack(now, p.owners.self):
		p.reportPushback(now, known, owner)
	case known != nil && (now.Before(known.refusals.PausedUntil()) || known.contradicts(t.software, m)):
	case known != nil && known.address == m.Address:
		granted.upstream = known
		return granted, nil
	case !t.software.Recorded:
		// The owner knows the upstream before this instance does.
		granted.upstream = &upstream{name: m.Upstream, address: m.Address, service: t.service}
		return granted, nil
	}
	p.peers.send(owner, permit.Release{ID: m.ID, Outcome: outcome})
	return grant{}, errDecideLocally
}

// contradicts reports whether a request with the given constraint must not use a grant by what is known of the
// upstream here: it has another version, no stream may begin at it, or its process has replaced the granted one.
func (u *upstream) contradicts(software resumption.Constraint, m permit.Granted) bool {
	if m.Described {
		return u.incarnation > m.Incarnation || u.software != m.SoftwareVersion
	}
	return !software.Allows(u.software) || !u.mayBegin(software)
}

// deliverAnswer passes an owner's answer to the request that waits for it. p.mu is held.
func (p *Proxy) deliverAnswer(from netip.AddrPort, id permit.ID, answer permit.Message) {
	pending := p.pendingReplies[id]
	if pending != nil && pending.owner == from {
		select {
		case pending.answers <- answer:
			return
		default:
		}
	}
	if _, granted := answer.(permit.Granted); granted {
		// The request no longer waits, so the permit is returned.
		p.peers.send(from, permit.Release{ID: id})
	}
}
