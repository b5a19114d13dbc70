package jury

import "time"

// receive processes a message. It ignores messages to other identities and from
// other clusters, but for probes to the former identity of its instance.
func (m *Member) receive(now time.Time, message Message) {
	if m.failure != nil || !m.acceptsCluster(message) {
		return
	}
	if body, ok := message.Body.(RestartProbe); ok && message.To.Instance() == m.options.Self.Instance() {
		m.receiveRestartProbe(now, message, body)
		return
	}
	if message.To != m.options.Self {
		return
	}
	if body, ok := message.Body.(RestartAnswer); ok {
		m.receiveRestartAnswer(now, message, body)
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
	if !m.acceptTerm(now, message) {
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
	case VoteRequest, Join, RestartProbe, RestartAnswer:
	}
}

// acceptsCluster reports whether the member accepts a message from the sender's
// cluster. A blank member joins the cluster of the first leader that addresses
// it by its identity, unless its disk already belongs to another cluster. Blank
// senders have no cluster; only their answers and Joins are accepted.
func (m *Member) acceptsCluster(message Message) bool {
	if message.Cluster == m.snapshot.Cluster {
		return true
	}
	switch message.Body.(type) {
	case Append, InstallRequest, Heartbeat:
		return m.blank() && (m.cluster == "" || m.cluster == message.Cluster)
	case AppendAnswer, HeartbeatAnswer, Join, RestartAnswer:
		return message.Cluster == ""
	case RestartProbe:
		return m.blank()
	case VoteRequest, VoteAnswer:
		return m.mutated(blankMemberVotes)
	default:
		return false
	}
}

// acceptTerm adopts the term of the message if it is higher than the member's,
// and reports whether to process the message. It answers a leader of an earlier
// term with the current term, so that this leader steps down.
func (m *Member) acceptTerm(now time.Time, message Message) bool {
	fromLeader := false
	switch body := message.Body.(type) {
	case Append, InstallRequest, Heartbeat:
		fromLeader = true
	case VoteAnswer:
		// A granted pre-vote is for a later term than the voter's own.
		if body.Pre && body.Granted && message.Term < m.hardState.Term {
			return true
		}
	default:
	}
	if message.Term < m.hardState.Term {
		if fromLeader {
			m.sendSynced(m.message(message.From, HeartbeatAnswer{Last: m.log.last()}))
		}
		return false
	}
	if message.Term > m.hardState.Term {
		m.becomeFollower(now, message.Term, "")
	}
	if fromLeader {
		m.recordLeaderContact(now, message.From)
	}
	return true
}

// recordLeaderContact records a message from the leader of the current term.
func (m *Member) recordLeaderContact(now time.Time, leader Identity) {
	m.role = Follower
	m.recordLeader(leader)
	m.leaderContactAt = now
	m.scheduleCampaign(now)
}

// recordLeader records that the current term has a leader, which ends all elections.
func (m *Member) recordLeader(leader Identity) {
	m.leader = leader
	m.tally = voteTally{}
	m.hadLeader = true
	m.restart.end()
}

// becomeFollower makes the member a follower in term, which must not be lower
// than its own.
func (m *Member) becomeFollower(now time.Time, term Term, leader Identity) {
	if term > m.hardState.Term {
		m.hardState = HardState{Term: term}
		m.writes.pending.dirty = true
	}
	m.stepDown()
	m.role = Follower
	m.leader = leader
	m.tally = voteTally{}
	m.scheduleCampaign(now)
}

// receiveAppend appends entries from the leader and answers once they are
// synced.
func (m *Member) receiveAppend(from Identity, body Append) {
	answer := AppendAnswer{Sent: body.Sent}
	term, found := m.log.term(body.Prev)
	switch {
	case m.blank():
		answer.Rejected, answer.Match = true, body.Prev
	case body.Prev < m.commitIndex:
		// Committed entries match the leader's log, even if they are compacted.
		answer.Match = m.commitIndex
	case !found || term != body.PrevTerm:
		answer.Rejected, answer.Match = true, body.Prev
		answer.Hint, answer.HintTerm = m.log.findConflictByTerm(body.Prev, body.PrevTerm)
	default:
		m.appendFromLeader(body.Entries)
		answer.Match = body.Prev + Index(len(body.Entries))
		m.commitTo(min(body.Commit, answer.Match))
	}
	if m.failure == nil {
		m.sendSynced(m.message(from, answer))
	}
}

// appendFromLeader appends the entries that the log lacks. The first entry that
// conflicts with the log truncates it from there on. No quorum holds the removed
// entries.
func (m *Member) appendFromLeader(entries []Entry) {
	for i, entry := range entries {
		term, found := m.log.term(entry.Index)
		if found && term == entry.Term {
			continue
		}
		if entry.Index <= m.commitIndex {
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

// receiveInstall installs a snapshot from the leader. If the log already contains
// the snapshot's last entry, the member only commits up to it.
func (m *Member) receiveInstall(now time.Time, from Identity, body InstallRequest) {
	snapshot := body.Snapshot
	if term, found := m.log.term(snapshot.Index); found && term == snapshot.Term && !m.blank() {
		m.commitTo(snapshot.Index)
	}
	if snapshot.Index > m.commitIndex {
		m.restoreSnapshot(now, snapshot)
	}
	m.sendSynced(m.message(from, AppendAnswer{Match: max(m.commitIndex, snapshot.Index), Sent: body.Sent}))
}

func (m *Member) receiveHeartbeat(now time.Time, from Identity, body Heartbeat) {
	if !m.blank() {
		m.commitTo(body.Commit)
		m.reads.recordAnswer(body)
		m.advanceFreshness()
	}
	answer := HeartbeatAnswer{Sent: body.Sent, Last: m.log.last(), Token: m.reads.newRequest(now)}
	m.send(m.message(from, answer))
}

func (m *Member) receiveTakeOver(now time.Time) {
	if m.isVoter() && m.leading == nil {
		m.campaign(now, campaignOptions{transfer: true})
	}
}
