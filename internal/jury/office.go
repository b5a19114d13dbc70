package jury

import (
	"maps"
	"slices"
	"time"
)

// learnerPatience is how many election timeouts a learner may be silent before
// the leader forgets it.
const learnerPatience = 20

// peerState says how a leader sends entries to a peer.
type peerState uint8

const (
	// probing sends one append at a time, to find where the logs agree.
	probing peerState = iota
	// streaming sends appends without waiting for the answers.
	streaming
	// installing waits for a snapshot to be taken in.
	installing
)

// peer is what a leader knows of another member.
type peer struct {
	state peerState
	// match is the last entry that the peer is known to have synced. It never
	// falls in a term.
	match Index
	// next is the first entry to send. It is above match.
	next     Index
	inflight int
	// heard is when the latest message was sent that the peer has answered.
	heard time.Time
	// active is when the latest answer came, or when the leadership began.
	active time.Time
	// sent is when the latest append was sent, and moved when match last rose.
	sent  time.Time
	moved time.Time
	// told is the commit index that was last sent to the peer.
	told Index
	// token is the peer's latest freshness token, or 0.
	token uint64
}

// transfer is a handover of the leadership.
type transfer struct {
	// to is empty if no handover is under way.
	to    Identity
	until time.Time
	// surrendered says that the successor may campaign in spite of the lease.
	// The leader holds no lease for the rest of the term, also if the handover
	// fails: the message to the successor may arrive at any time.
	surrendered bool
}

// office is the state of a leader in its term.
type office struct {
	since     time.Time
	orderFrom time.Time
	// barrier is the first entry of the term. Until it is committed the leader
	// does not know what earlier terms committed.
	barrier     Index
	peers       map[Identity]*peer
	heartbeatAt time.Time
	transfer    transfer
	// uncommitted is the bytes of data in the entries of the term that are not
	// committed.
	uncommitted int
}

// names returns the peers in a fixed order.
func (o *office) names() []Identity {
	return slices.Sorted(maps.Keys(o.peers))
}

// takeOffice makes the candidate the leader of its term.
func (m *Member) takeOffice(now time.Time) {
	m.role = Leader
	m.leader = m.options.Self
	m.ballot = ballot{}
	m.begun = true
	m.office = &office{
		since:     now,
		orderFrom: now.Add(m.options.Takeover()),
		barrier:   m.log.last() + 1,
		peers:     map[Identity]*peer{},
	}
	for _, name := range m.voters().names {
		m.addPeer(now, name)
	}
	m.out = append(m.out, BecameLeader{Term: m.hard.Term})
	m.append(Entry{Index: m.office.barrier, Term: m.hard.Term, Kind: EntryBarrier})
	m.heartbeat(now)
	m.replicateAll(now)
	m.advanceCommit(now)
}

func (m *Member) addPeer(now time.Time, name Identity) {
	if name == m.options.Self || m.office.peers[name] != nil {
		return
	}
	m.office.peers[name] = &peer{next: m.log.last() + 1, active: now, moved: now}
}

// stepDown ends the office, if any.
func (m *Member) stepDown() {
	if m.office == nil {
		return
	}
	m.office = nil
	m.role = Follower
	m.leader = ""
	m.out = append(m.out, SteppedDown{Term: m.hard.Term})
}

// lead does what a leader does as time passes.
func (m *Member) lead(now time.Time) {
	quorumAt := m.heardByQuorum(now)
	if quorumAt.Before(m.office.since) {
		quorumAt = m.office.since
	}
	handover := m.office.transfer
	lateHandover := handover.to != "" && !now.Before(handover.until)
	if !now.Before(quorumAt.Add(m.options.ElectionTimeout)) || lateHandover && handover.surrendered {
		m.stepDown()
		m.resetElection(now)
		return
	}
	if lateHandover {
		m.office.transfer = transfer{}
	}
	m.forgetLearners(now)
	if !now.Before(m.office.heartbeatAt) {
		m.heartbeat(now)
		m.replicateAll(now)
	}
}

func (m *Member) forgetLearners(now time.Time) {
	for name, p := range m.office.peers {
		if !m.voters().contains(name) && now.Sub(p.active) > learnerPatience*m.options.ElectionTimeout {
			delete(m.office.peers, name)
		}
	}
}

// heartbeat sends a heartbeat to every peer.
func (m *Member) heartbeat(now time.Time) {
	m.office.heartbeatAt = now.Add(m.options.Heartbeat)
	for _, name := range m.office.names() {
		m.heartbeatTo(now, name)
	}
}

func (m *Member) heartbeatTo(now time.Time, name Identity) {
	p := m.office.peers[name]
	p.told = min(m.commit, p.match)
	body := Heartbeat{Sent: m.stamp(now), Commit: p.told, Token: p.token}
	if m.vouches(now) {
		body.FreshIndex = m.commit
	}
	m.send(m.message(name, body))
	if m.office.transfer.surrendered && name == m.office.transfer.to {
		m.send(m.message(name, TakeOver{}))
	}
}

// receiveJoin takes in a learner.
func (m *Member) receiveJoin(now time.Time, message Message) {
	if m.office == nil || m.office.peers[message.From] != nil {
		return
	}
	m.addPeer(now, message.From)
	m.heartbeatTo(now, message.From)
}

func (m *Member) receiveHeartbeatAnswer(now time.Time, from Identity, body HeartbeatAnswer) {
	p := m.hearPeer(now, from, body.Sent)
	if p == nil {
		return
	}
	p.token = body.Token
	lost := p.state == streaming && body.Last+1 < p.next && body.Sent > m.stamp(p.sent)
	if lost {
		p.probe()
	}
	m.replicate(now, from, p)
}

// hearPeer takes note of an answer. It returns nil if the member does not lead
// or does not replicate to the sender.
func (m *Member) hearPeer(now time.Time, from Identity, sent time.Duration) *peer {
	if m.office == nil {
		return nil
	}
	p := m.office.peers[from]
	if p == nil {
		return nil
	}
	p.active = now
	if at := m.start.Add(sent); at.After(p.heard) && sent > 0 {
		p.heard = at
	}
	return p
}

// advanceCommit commits what a quorum has synced. The leader counts its own
// entries like those of the others, only when they are synced: else a leader
// that crashes could take a committed entry with it.
//
// Entries of earlier terms are committed only by one of the present term after
// them. Counted alone, a later leader could still replace them.
func (m *Member) advanceCommit(now time.Time) {
	if m.office == nil {
		return
	}
	voters := m.voters()
	matches := make([]Index, 0, len(voters.names))
	for _, name := range voters.names {
		switch p := m.office.peers[name]; {
		case name == m.options.Self && m.unsafe(countUnsynced):
			matches = append(matches, m.log.last())
		case name == m.options.Self:
			matches = append(matches, m.disk.synced)
		case p != nil:
			matches = append(matches, p.match)
		default:
			matches = append(matches, 0)
		}
	}
	slices.Sort(matches)
	index := matches[len(matches)-voters.quorum()]
	term, held := m.log.term(index)
	if !held || index <= m.commit || term != m.hard.Term && !m.unsafe(commitOldTerms) {
		return
	}
	m.commitTo(index)
	if m.leaveOffice(now) {
		return
	}
	m.tellCommit(now)
}

// tellCommit lets those peers know of the commit index that have nothing more
// to be sent with it. Else an accepted change would be in force there only a
// heartbeat later.
func (m *Member) tellCommit(now time.Time) {
	for _, name := range m.office.names() {
		p := m.office.peers[name]
		if p.next > m.log.last() && min(m.commit, p.match) > p.told {
			m.heartbeatTo(now, name)
		}
	}
}
