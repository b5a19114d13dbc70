package jury

import (
	"maps"
	"slices"
	"time"
)

// learnerSilenceTimeouts is how many election timeouts a learner may be silent
// before the leader stops replicating to it.
const learnerSilenceTimeouts = 20

// replicationMode is how a leader sends entries to a peer.
type replicationMode uint8

const (
	// probing sends one append at a time, to find the last entry in common.
	probing replicationMode = iota
	// streaming sends appends without waiting for the answers.
	streaming
	// installing waits until the peer has installed a snapshot.
	installing
)

// progress is the state of replication to a peer.
type progress struct {
	mode replicationMode
	// match is the last entry that the peer is known to have synced. It never
	// decreases in a term.
	match Index
	// next is the first entry to send. It is greater than match.
	next Index
	// inflight holds the last entry of each append that the peer has not answered, in
	// order. An answer also stands for the appends before it, whose answers may be lost.
	inflight []Index
	// answeredSendAt is when the latest message that the peer has answered was
	// sent.
	answeredSendAt time.Time
	// lastAnswerAt is when the latest answer was received, or when the peer was
	// added.
	lastAnswerAt time.Time
	// lastAppendAt is when the latest append or snapshot was sent.
	lastAppendAt time.Time
	// matchAdvancedAt is when match last increased, or when the leader last
	// returned to probing because match did not increase.
	matchAdvancedAt time.Time
	// sentCommit is the commit index in the latest heartbeat to the peer.
	sentCommit Index
	// readToken is the token of the peer's latest read request, or 0.
	readToken uint64
}

// leadershipTransfer is the state of a leadership transfer.
type leadershipTransfer struct {
	// target is empty if no transfer is in progress.
	target   Identity
	deadline time.Time
	// leaseGivenUp is set once the target may campaign despite the lease. The
	// leader then holds no lease for the rest of its term, even if the transfer
	// fails, because the TakeOver message may arrive at any later time.
	leaseGivenUp bool
}

// leaderState is the state of a leader in its term.
type leaderState struct {
	electedAt time.Time
	// ordersFrom is when the leader may start to send orders to upstreams.
	ordersFrom time.Time
	// barrier is the index of the first entry of the term. Until it is
	// committed, the leader does not know which entries of earlier terms are
	// committed.
	barrier         Index
	peers           map[Identity]*progress
	nextHeartbeatAt time.Time
	transfer        leadershipTransfer
	// uncommittedBytes is the size of the data in the uncommitted entries of the
	// term.
	uncommittedBytes int
}

// peerIDs returns the identities of the peers, sorted, so that messages are sent
// in a deterministic order.
func (l *leaderState) peerIDs() []Identity {
	return slices.Sorted(maps.Keys(l.peers))
}

// becomeLeader makes the candidate the leader of its term.
func (m *Member) becomeLeader(now time.Time) {
	m.role = Leader
	m.recordLeader(m.options.Self)
	m.leading = &leaderState{
		electedAt:  now,
		ordersFrom: now.Add(m.options.TakeoverWait()),
		barrier:    m.log.last() + 1,
		peers:      map[Identity]*progress{},
	}
	for _, id := range m.voters().ids {
		m.addPeer(now, id)
	}
	m.actions = append(m.actions, BecameLeader{Term: m.hardState.Term})
	m.append(Entry{Index: m.leading.barrier, Term: m.hardState.Term, Kind: EntryBarrier})
	m.heartbeat(now)
	m.replicateAll(now)
	m.advanceCommit(now)
}

func (m *Member) addPeer(now time.Time, id Identity) {
	if id == m.options.Self || m.leading.peers[id] != nil {
		return
	}
	m.leading.peers[id] = &progress{next: m.log.last() + 1, lastAnswerAt: now, matchAdvancedAt: now}
}

// stepDown turns a leader into a follower. It does nothing on other members.
func (m *Member) stepDown() {
	if m.leading == nil {
		return
	}
	m.leading = nil
	m.role = Follower
	m.leader = ""
	m.actions = append(m.actions, SteppedDown{Term: m.hardState.Term})
}

// tickLeader performs a leader's periodic work. The leader steps down if no
// quorum has answered within an election timeout, or if the target of a
// leadership transfer does not take over in time after the lease was given up.
// It cancels a transfer whose target does not catch up in time.
func (m *Member) tickLeader(now time.Time) {
	contactAt := m.quorumContactAt(now)
	if contactAt.Before(m.leading.electedAt) {
		contactAt = m.leading.electedAt
	}
	transfer := m.leading.transfer
	transferExpired := transfer.target != "" && !now.Before(transfer.deadline)
	if !now.Before(contactAt.Add(m.options.ElectionTimeout)) || transferExpired && transfer.leaseGivenUp {
		m.stepDown()
		m.scheduleCampaign(now)
		return
	}
	if transferExpired {
		m.leading.transfer = leadershipTransfer{}
	}
	m.removeSilentLearners(now)
	if !now.Before(m.leading.nextHeartbeatAt) {
		m.heartbeat(now)
		m.replicateAll(now)
	}
}

func (m *Member) removeSilentLearners(now time.Time) {
	for id, p := range m.leading.peers {
		if !m.voters().contains(id) && now.Sub(p.lastAnswerAt) > learnerSilenceTimeouts*m.options.ElectionTimeout {
			delete(m.leading.peers, id)
		}
	}
}

// heartbeat sends a heartbeat to every peer.
func (m *Member) heartbeat(now time.Time) {
	m.leading.nextHeartbeatAt = now.Add(m.options.Heartbeat)
	for _, id := range m.leading.peerIDs() {
		m.heartbeatTo(now, id)
	}
}

func (m *Member) heartbeatTo(now time.Time, id Identity) {
	p := m.leading.peers[id]
	p.sentCommit = min(m.commitIndex, p.match)
	body := Heartbeat{Sent: m.sinceStart(now), Commit: p.sentCommit, Token: p.readToken}
	if m.canConfirmReads(now) {
		body.FreshIndex = m.commitIndex
	}
	m.send(m.message(id, body))
	if m.leading.transfer.leaseGivenUp && id == m.leading.transfer.target {
		m.send(m.message(id, TakeOver{}))
	}
}

// receiveJoin starts to replicate to a learner.
func (m *Member) receiveJoin(now time.Time, message Message) {
	if m.leading == nil || m.leading.peers[message.From] != nil {
		return
	}
	m.addPeer(now, message.From)
	m.heartbeatTo(now, message.From)
}

func (m *Member) receiveHeartbeatAnswer(now time.Time, from Identity, body HeartbeatAnswer) {
	p := m.recordPeerContact(now, from, body.Sent)
	if p == nil {
		return
	}
	p.readToken = body.Token
	appendLost := p.mode == streaming && body.Last+1 < p.next && body.Sent > m.sinceStart(p.lastAppendAt)
	if appendLost {
		p.startProbing()
	}
	m.replicate(now, from, p)
}

// recordPeerContact records an answer from a peer and returns the peer's
// progress. It returns nil if the member is not the leader or does not replicate
// to the sender.
func (m *Member) recordPeerContact(now time.Time, from Identity, sent time.Duration) *progress {
	if m.leading == nil {
		return nil
	}
	p := m.leading.peers[from]
	if p == nil {
		return nil
	}
	p.lastAnswerAt = now
	if sentAt := m.startedAt.Add(sent); sentAt.After(p.answeredSendAt) && sent > 0 {
		p.answeredSendAt = sentAt
	}
	return p
}

// advanceCommit commits the entries that a quorum has synced. The leader counts
// its own entries only after they are synced. Otherwise a crash of the leader
// could lose a committed entry.
//
// Entries of earlier terms are committed only together with a later entry of the
// current term, as a later leader could still replace them otherwise (§5.4.2 of
// the Raft paper).
func (m *Member) advanceCommit(now time.Time) {
	if m.leading == nil {
		return
	}
	voters := m.voters()
	matches := make([]Index, 0, len(voters.ids))
	for _, id := range voters.ids {
		switch p := m.leading.peers[id]; {
		case id == m.options.Self && m.mutated(countUnsyncedEntries):
			matches = append(matches, m.log.last())
		case id == m.options.Self:
			matches = append(matches, m.writes.synced)
		case p != nil:
			matches = append(matches, p.match)
		default:
			matches = append(matches, 0)
		}
	}
	slices.Sort(matches)
	index := matches[len(matches)-voters.quorum()]
	term, found := m.log.term(index)
	if !found || index <= m.commitIndex || term != m.hardState.Term && !m.mutated(commitEarlierTerms) {
		return
	}
	m.commitTo(index)
	if m.stepDownIfRemoved(now) {
		return
	}
	m.announceCommit(now)
}

// announceCommit sends an extra heartbeat with the commit index to each peer that
// has no further entries to receive. Otherwise a committed change would take
// effect there only with the next regular heartbeat.
func (m *Member) announceCommit(now time.Time) {
	for _, id := range m.leading.peerIDs() {
		p := m.leading.peers[id]
		if p.next > m.log.last() && min(m.commitIndex, p.match) > p.sentCommit {
			m.heartbeatTo(now, id)
		}
	}
}
