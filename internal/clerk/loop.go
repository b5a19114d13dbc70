package clerk

import (
	"time"

	"github.com/lovagelift/lovagelift/internal/jury"
)

// minFreshnessStep is the smallest advance of the freshness that is published.
const minFreshnessStep = 2 * time.Millisecond

// pendingRequest is a caller that waits for the member's Answer to an event.
type pendingRequest struct {
	result future
	// awaitApplied delays success until the entry appended for the event is applied.
	awaitApplied bool
}

// request is an event submitted by another goroutine. newEvent builds the event with its request
// ID.
type request struct {
	pending  pendingRequest
	newEvent func(id uint64) jury.Event
}

// loop owns the member and runs in a single goroutine.
type loop struct {
	replica *Replica
	member  *jury.Member
	// pending holds the requests that wait for an Answer, by request ID.
	pending       map[uint64]pendingRequest
	lastRequestID uint64
	// publishedFreshness is the last freshness that was passed to the applier.
	publishedFreshness time.Time
	// loggedLeader and failureLogged prevent repeated log messages.
	loggedLeader  jury.Identity
	failureLogged bool
	nextJoin      time.Time
}

func (l *loop) run() {
	r := l.replica
	for {
		select {
		case <-r.ctx.Done():
			l.failPending()
			return
		case <-r.options.Ticks:
			l.handle(jury.Tick{})
			l.sendJoins()
		case message := <-r.inbox:
			l.handle(jury.Receive{Message: message})
		case p := <-r.proposals:
			l.propose(p)
		case w := <-r.writeResults:
			l.handle(w.event())
		case compact := <-r.snapshots:
			l.handle(compact)
		case cause := <-r.failures:
			l.handle(jury.Failed{Cause: cause})
		case req := <-r.requests:
			l.handle(req.newEvent(l.register(req.pending)))
		}
	}
}

// propose passes first to the member, in one batch with further proposals that are already queued.
func (l *loop) propose(first *proposal) {
	batch := []jury.Proposal{l.registerProposal(first)}
	for len(batch) < maxProposalBatch {
		select {
		case p := <-l.replica.proposals:
			batch = append(batch, l.registerProposal(p))
			continue
		default:
		}
		break
	}
	l.handle(jury.Propose{Proposals: batch})
}

func (l *loop) registerProposal(p *proposal) jury.Proposal {
	return jury.Proposal{ID: l.register(pendingRequest{result: p.result, awaitApplied: true}), Data: p.command}
}

// register stores a pending request and returns its new ID.
func (l *loop) register(pending pendingRequest) uint64 {
	l.lastRequestID++
	l.pending[l.lastRequestID] = pending
	return l.lastRequestID
}

func (l *loop) handle(event jury.Event) {
	now := l.replica.options.Now()
	for _, action := range l.member.Handle(now, event) {
		l.perform(action)
	}
	l.publish(now)
}

func (l *loop) perform(action jury.Action) {
	r := l.replica
	switch a := action.(type) {
	case jury.Persist:
		// Does not block: the member issues one Persist at a time.
		r.writes <- a
	case jury.Send:
		r.outbox.enqueue(a.Message)
	case jury.Commit:
		r.metrics.committedEntries.Inc(int64(len(a.Entries)))
		r.applier.enqueue(applyTask{entries: a.Entries})
	case jury.Restore:
		r.applier.enqueue(restoreTask{snapshot: a.Snapshot})
	case jury.BecameLeader:
		r.metrics.electionsWon.Inc(1)
		r.options.Log.Info().Uint64("term", uint64(a.Term)).Msg("became leader")
	case jury.SteppedDown:
		r.options.Log.Info().Uint64("term", uint64(a.Term)).Msg("stepped down")
	case jury.Answer:
		l.answer(a)
	}
}

func (l *loop) answer(a jury.Answer) {
	request, found := l.pending[a.ID]
	if !found {
		return
	}
	delete(l.pending, a.ID)
	switch {
	case a.Err != nil:
		request.result.complete(nil, &RejectedError{
			Leader:    l.member.Status().Leader,
			Retryable: retryable(a.Err),
			Cause:     a.Err,
		})
	case request.awaitApplied:
		l.replica.applier.register(a.Index, a.Term, request.result)
	default:
		request.result.complete(nil, nil)
	}
}

// publish makes the member's state visible to other goroutines.
func (l *loop) publish(now time.Time) {
	r := l.replica
	next := &view{at: now, status: l.member.Status(), peers: l.member.Peers(now), changed: make(chan struct{})}
	next.orderRight.term, next.orderRight.until, next.orderRight.held = l.member.OrderRight(now)
	if previous := r.view.Swap(next); previous != nil {
		close(previous.changed)
	}
	if asOf, ok := l.member.Freshness(now); ok && asOf.Sub(l.publishedFreshness) >= minFreshnessStep {
		l.publishedFreshness = asOf
		r.applier.enqueue(freshnessTask{asOf: asOf})
	}
	l.logStatusChange(next.status)
}

// logStatusChange logs changes of the leader and the failure of the member.
func (l *loop) logStatusChange(status jury.Status) {
	log := &l.replica.options.Log
	switch {
	case status.Failure != nil && !l.failureLogged:
		l.failureLogged = true
		log.Error().Err(status.Failure).Msg("replica failed; it takes no further part until the process restarts")
	case status.Failure == nil && status.Leader != l.loggedLeader:
		l.loggedLeader = status.Leader
		log.Info().Str("leader", string(l.loggedLeader)).Uint64("term", uint64(status.Term)).Msg("leader changed")
	}
}

// sendJoins looks for a leader: if none is known, it sends a Join to all known replicas, once per
// joinInterval.
func (l *loop) sendJoins() {
	r := l.replica
	status := l.member.Status()
	now := r.options.Now()
	if status.Leader != "" || status.Failure != nil || now.Before(l.nextJoin) || r.options.Peers == nil {
		return
	}
	l.nextJoin = now.Add(joinInterval)
	for _, name := range r.options.Peers() {
		if name == r.options.Member.Self {
			continue
		}
		r.outbox.enqueue(jury.Message{
			From: r.options.Member.Self, To: name, Cluster: status.Cluster, Term: status.Term, Body: jury.Join{},
		})
	}
}

// joinInterval is the minimum time between two searches for a leader.
const joinInterval = 200 * time.Millisecond

// failPending completes all pending requests with ErrUnknown when the replica closes.
func (l *loop) failPending() {
	for _, request := range l.pending {
		request.result.complete(nil, &UnknownError{Cause: ErrClosed})
	}
}
