package clerk

import (
	"time"

	"github.com/lovagelift/lovagelift/internal/jury"
)

// freshStep is the least step in which freshness is passed on.
const freshStep = 2 * time.Millisecond

// asker is who waits for an Answer of the member.
type asker struct {
	waiter waiter
	// appends says that success comes only when the entry is applied.
	appends bool
}

// request is an event of another goroutine, with whom to answer.
type request struct {
	asker asker
	event func(id uint64) jury.Event
}

// loop owns the member. All of it runs in one goroutine.
type loop struct {
	clerk  *Clerk
	member *jury.Member
	// askers are who waits for the Answer with an ID.
	askers map[uint64]asker
	lastID uint64
	// fresh is the freshness that was passed on last.
	fresh time.Time
	// leader and failed are what was logged last.
	leader jury.Identity
	failed bool
	joinAt time.Time
}

func (l *loop) run() {
	c := l.clerk
	for {
		select {
		case <-c.ctx.Done():
			l.abandon()
			return
		case <-c.options.Ticks:
			l.handle(jury.Tick{})
			l.join()
		case message := <-c.inbox:
			l.handle(jury.Receive{Message: message})
		case p := <-c.proposals:
			l.propose(p)
		case w := <-c.written:
			l.handle(w.event())
		case compact := <-c.compacts:
			l.handle(compact)
		case cause := <-c.failures:
			l.handle(jury.Failed{Cause: cause})
		case r := <-c.requests:
			l.handle(r.event(l.ask(r.asker)))
		}
	}
}

// propose hands over a proposal together with those that wait behind it.
func (l *loop) propose(first *proposal) {
	batch := []jury.Proposal{l.take(first)}
	for len(batch) < maxBatch {
		select {
		case p := <-l.clerk.proposals:
			batch = append(batch, l.take(p))
			continue
		default:
		}
		break
	}
	l.handle(jury.Propose{Proposals: batch})
}

func (l *loop) take(p *proposal) jury.Proposal {
	return jury.Proposal{ID: l.ask(asker{waiter: p.waiter, appends: true}), Data: p.command}
}

// ask returns the ID of a new event that a has answered.
func (l *loop) ask(a asker) uint64 {
	l.lastID++
	l.askers[l.lastID] = a
	return l.lastID
}

func (l *loop) handle(event jury.Event) {
	now := l.clerk.options.Now()
	for _, action := range l.member.Handle(now, event) {
		l.act(action)
	}
	l.publish(now)
}

func (l *loop) act(action jury.Action) {
	c := l.clerk
	switch a := action.(type) {
	case jury.Persist:
		// The member has one write under way at most, so that this never waits.
		c.writes <- a
	case jury.Send:
		c.senders.send(a.Message)
	case jury.Commit:
		c.metrics.committed.Inc(int64(len(a.Entries)))
		c.applier.add(commitWork{entries: a.Entries})
	case jury.Restore:
		c.applier.add(restoreWork{snapshot: a.Snapshot})
	case jury.BecameLeader:
		c.metrics.elected.Inc(1)
		c.options.Log.Info().Uint64("term", uint64(a.Term)).Msg("became leader")
	case jury.SteppedDown:
		c.options.Log.Info().Uint64("term", uint64(a.Term)).Msg("stepped down")
	case jury.Answer:
		l.answer(a)
	}
}

func (l *loop) answer(a jury.Answer) {
	asking, found := l.askers[a.ID]
	if !found {
		return
	}
	delete(l.askers, a.ID)
	switch {
	case a.Refusal != nil:
		asking.waiter.finish(nil, &NotAcceptedError{
			Leader:  l.member.Status().Leader,
			Passing: passing(a.Refusal),
			Cause:   a.Refusal,
		})
	case asking.appends:
		l.clerk.applier.await(a.Index, a.Term, asking.waiter)
	default:
		asking.waiter.finish(nil, nil)
	}
}

// publish shows the member to other goroutines.
func (l *loop) publish(now time.Time) {
	c := l.clerk
	next := &view{at: now, status: l.member.Status(), peers: l.member.Peers(now), changed: make(chan struct{})}
	next.right.term, next.right.until, next.right.held = l.member.OrderRight(now)
	if last := c.view.Swap(next); last != nil {
		close(last.changed)
	}
	if asOf, ok := l.member.Freshness(now); ok && asOf.Sub(l.fresh) >= freshStep {
		l.fresh = asOf
		c.applier.add(freshWork{asOf: asOf})
	}
	l.logChange(next.status)
}

// logChange logs a change of leader, and the failure of the member.
func (l *loop) logChange(status jury.Status) {
	log := &l.clerk.options.Log
	switch {
	case status.Failure != nil && !l.failed:
		l.failed = true
		log.Error().Err(status.Failure).Msg("the replica takes no further part until it is started anew")
	case status.Failure == nil && status.Leader != l.leader:
		l.leader = status.Leader
		log.Info().Str("leader", string(l.leader)).Uint64("term", uint64(status.Term)).Msg("leader changed")
	}
}

// join looks for a leader among all known replicas, once in a heartbeat.
func (l *loop) join() {
	c := l.clerk
	status := l.member.Status()
	now := c.options.Now()
	if status.Leader != "" || status.Failure != nil || now.Before(l.joinAt) || c.options.Peers == nil {
		return
	}
	l.joinAt = now.Add(joinEvery)
	for _, name := range c.options.Peers() {
		if name == c.options.Member.Self {
			continue
		}
		c.senders.send(jury.Message{
			From: c.options.Member.Self, To: name, Cluster: status.Cluster, Term: status.Term, Body: jury.Join{},
		})
	}
}

// joinEvery is the time between two searches for a leader.
const joinEvery = 200 * time.Millisecond

// abandon answers all who wait when the clerk closes.
func (l *loop) abandon() {
	for _, a := range l.askers {
		a.waiter.finish(nil, &UnknownError{Cause: errClosed})
	}
}
