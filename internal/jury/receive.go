package jury

import "time"

// receive handles a message. Messages to another identity or from another
// cluster are ignored.
func (m *Member) receive(now time.Time, message Message) {
	if m.failure != nil || message.To != m.options.Self || !m.sameCluster(message) {
		return
	}
	if body, ok := message.Body.(VoteRequest); ok {
		m.receiveVoteRequest(now, message, body)
		return
	}
	if _, ok := message.Body.(Join); ok {
		m.receiveJoin(now, message)
		return
	}
	if !m.receiveTerm(now, message) {
		return
	}
	switch body := message.Body.(type) {
	case VoteAnswer:
		m.receiveVoteAnswer(now, message.From, body)
	case Append:
		m.receiveAppend(message.From, body)
	case InstallRequest:
		m.receiveInstall(now, message.From, body)
	case Heartbeat:
		m.receiveHeartbeat(now, message.From, body)
	case AppendAnswer:
		m.receiveAppendAnswer(now, message.From, body)
	case HeartbeatAnswer:
		m.receiveHeartbeatAnswer(now, message.From, body)
	case TakeOver:
		m.receiveTakeOver(now)
	case VoteRequest, Join:
	}
}

// sameCluster reports whether a message may be taken in. A blank member has no
// cluster yet: it joins the one of the leader that calls it by its identity.
func (m *Member) sameCluster(message Message) bool {
	if message.Cluster == m.snapshot.Cluster {
		return true
	}
	switch message.Body.(type) {
	case Append, InstallRequest, Heartbeat:
		return m.blank() && (m.cluster == "" || m.cluster == message.Cluster)
	case AppendAnswer, HeartbeatAnswer, Join:
		return message.Cluster == ""
	case VoteRequest, VoteAnswer:
		return m.unsafe(blankVotes)
	default:
		return false
	}
}

// receiveTerm follows a higher term, and reports whether the message is of the
// member's term. A leader of an earlier term is told so.
func (m *Member) receiveTerm(now time.Time, message Message) bool {
	fromLeader := false
	switch body := message.Body.(type) {
	case Append, InstallRequest, Heartbeat:
		fromLeader = true
	case VoteAnswer:
		// A promise in a pre-vote is for a later term than the voter's.
		if body.Pre && body.Granted && message.Term < m.hard.Term {
			return true
		}
	default:
	}
	if message.Term < m.hard.Term {
		if fromLeader {
			m.sendSynced(m.message(message.From, HeartbeatAnswer{Last: m.log.last()}))
		}
		return false
	}
	if message.Term > m.hard.Term {
		m.follow(now, message.Term, "")
	}
	if fromLeader {
		m.hearLeader(now, message.From)
	}
	return true
}

// hearLeader takes note that the leader of the present term is alive.
func (m *Member) hearLeader(now time.Time, leader Identity) {
	m.role = Follower
	m.leader = leader
	m.ballot = ballot{}
	m.begun = true
	m.heard = now
	m.resetElection(now)
}

// follow makes the member a follower in term, which is not below its own.
func (m *Member) follow(now time.Time, term Term, leader Identity) {
	if term > m.hard.Term {
		m.hard = HardState{Term: term}
		m.disk.pending.dirty = true
	}
	m.stepDown()
	m.role = Follower
	m.leader = leader
	m.ballot = ballot{}
	m.resetElection(now)
}

// receiveAppend takes in entries of the leader.
func (m *Member) receiveAppend(from Identity, body Append) {
	answer := AppendAnswer{Sent: body.Sent}
	term, held := m.log.term(body.Prev)
	switch {
	case m.blank():
		answer.Rejected, answer.Match = true, body.Prev
	case body.Prev < m.commit:
		// What is committed equals the leader's, also where it is compacted.
		answer.Match = m.commit
	case !held || term != body.PrevTerm:
		answer.Rejected, answer.Match = true, body.Prev
		answer.Hint, answer.HintTerm = m.log.lastUpTo(body.Prev, body.PrevTerm)
	default:
		m.appendFrom(body.Entries)
		answer.Match = body.Prev + Index(len(body.Entries))
		m.commitTo(min(body.Commit, answer.Match))
	}
	if m.failure == nil {
		m.sendSynced(m.message(from, answer))
	}
}

// appendFrom appends the entries that are not there yet. The first that
// contradicts the log removes the rest of the log, which no quorum holds.
func (m *Member) appendFrom(entries []Entry) {
	for i, entry := range entries {
		term, held := m.log.term(entry.Index)
		if held && term == entry.Term {
			continue
		}
		if entry.Index <= m.commit {
			m.fail(errForked)
			return
		}
		if entry.Index <= m.log.last() {
			m.truncate(entry.Index)
		}
		m.append(entries[i:]...)
		return
	}
}

// receiveInstall takes in a snapshot of the leader.
func (m *Member) receiveInstall(now time.Time, from Identity, body InstallRequest) {
	snapshot := body.Snapshot
	if term, held := m.log.term(snapshot.Index); held && term == snapshot.Term && !m.blank() {
		m.commitTo(snapshot.Index)
	}
	if snapshot.Index > m.commit {
		m.restore(now, snapshot)
	}
	m.sendSynced(m.message(from, AppendAnswer{Match: max(m.commit, snapshot.Index), Sent: body.Sent}))
}

func (m *Member) receiveHeartbeat(now time.Time, from Identity, body Heartbeat) {
	if !m.blank() {
		m.commitTo(body.Commit)
		m.freshness.answered(body)
		m.confirmFreshness()
	}
	answer := HeartbeatAnswer{Sent: body.Sent, Last: m.log.last(), Token: m.freshness.ask(now)}
	m.send(m.message(from, answer))
}

func (m *Member) receiveTakeOver(now time.Time) {
	if m.isVoter() && m.office == nil {
		m.campaign(now, campaignKind{transfer: true})
	}
}
