package jury

import (
	"slices"
	"time"
)

// startProbing makes the leader search for the last entry in common again.
func (p *progress) startProbing() {
	p.mode = probing
	p.next = p.match + 1
	p.inflight = nil
}

func (m *Member) replicateAll(now time.Time) {
	for _, id := range m.leading.peerIDs() {
		p := m.leading.peers[id]
		lostAppends := p.mode == streaming && p.match+1 < p.next &&
			now.Sub(p.matchAdvancedAt) > m.options.ElectionTimeout
		if lostAppends {
			p.startProbing()
			p.matchAdvancedAt = now
		}
		m.replicate(now, id, p)
	}
}

// replicate sends the entries that a peer lacks, within the limit of unanswered
// appends. The remaining entries go into later appends.
func (m *Member) replicate(now time.Time, id Identity, p *progress) {
	switch p.mode {
	case installing:
		if now.Sub(p.lastAppendAt) > m.options.ElectionTimeout {
			m.sendSnapshot(now, id, p)
		}
	case probing:
		waiting := len(p.inflight) > 0 && now.Sub(p.lastAppendAt) < 2*m.options.Heartbeat
		if !waiting {
			p.inflight = nil
			m.sendAppend(now, id, p)
		}
	case streaming:
		for len(p.inflight) < m.options.MaxInflightAppends && p.next <= m.log.last() {
			count := m.sendAppend(now, id, p)
			if p.mode != streaming {
				return
			}
			p.next += Index(count)
		}
	}
}

// sendAppend sends one append and returns the number of entries in it. If the
// entries that the peer needs are compacted, sendAppend sends a snapshot.
func (m *Member) sendAppend(now time.Time, id Identity, p *progress) int {
	prev := p.next - 1
	term, found := m.log.term(prev)
	if !found {
		m.sendSnapshot(now, id, p)
		return 0
	}
	entries := m.log.entriesFrom(p.next, m.options.MaxAppendBytes)
	p.inflight = append(p.inflight, prev+Index(len(entries)))
	p.lastAppendAt = now
	m.send(m.message(id, Append{
		Prev:     prev,
		PrevTerm: term,
		Entries:  entries,
		Commit:   m.commitIndex,
		Sent:     m.sinceStart(now),
	}))
	return len(entries)
}

func (m *Member) sendSnapshot(now time.Time, id Identity, p *progress) {
	p.mode = installing
	p.lastAppendAt = now
	p.next = m.snapshot.Index + 1
	m.send(m.message(id, InstallRequest{Snapshot: m.snapshot, Sent: m.sinceStart(now)}))
}

func (m *Member) receiveAppendAnswer(now time.Time, from Identity, body AppendAnswer) {
	p := m.recordPeerContact(now, from, body.Sent)
	if p == nil {
		return
	}
	if body.Rejected {
		m.handleRejection(p, body)
	} else {
		m.recordMatch(now, p, body.Match)
	}
	m.replicate(now, from, p)
	m.advanceCommit(now)
	if m.leading != nil {
		m.announceCommit(now)
		m.continueTransfer(now)
	}
}

// handleRejection moves next back to the last entry that the logs may have in
// common. It ignores a delayed rejection of entries that the peer has
// acknowledged since.
func (m *Member) handleRejection(p *progress, body AppendAnswer) {
	if body.Match <= p.match || body.Match >= p.next || p.mode == installing {
		return
	}
	hint, _ := m.log.findConflictByTerm(body.Hint, body.HintTerm)
	if body.Hint < m.log.base {
		hint = body.Hint
	}
	p.mode = probing
	p.inflight = nil
	p.next = max(p.match, min(body.Match-1, hint)) + 1
}

func (m *Member) recordMatch(now time.Time, p *progress, match Index) {
	if match > m.log.last() {
		return
	}
	if match > p.match {
		p.match = match
		p.matchAdvancedAt = now
	}
	p.inflight = slices.DeleteFunc(p.inflight, func(last Index) bool { return last <= p.match })
	p.next = max(p.next, p.match+1)
	if p.mode == probing || p.mode == installing && p.match+1 >= p.next {
		p.mode = streaming
		p.next = p.match + 1
	}
}

// propose appends commands to the leader's log, or refuses them.
func (m *Member) propose(now time.Time, proposals []Proposal) {
	refusal := m.proposalRefusal(now)
	appended := false
	for _, proposal := range proposals {
		if refusal == nil && m.exceedsUncommittedLimit(len(proposal.Data)) {
			refusal = ErrOverloaded
		}
		if refusal != nil {
			m.actions = append(m.actions, Answer{ID: proposal.ID, Err: refusal})
			continue
		}
		m.appendToLeaderLog(proposal.ID, EntryCommand, proposal.Data)
		appended = true
	}
	if appended {
		m.replicateAll(now)
	}
}

// exceedsUncommittedLimit reports whether another entry with size bytes of data
// exceeds the limits for uncommitted entries. Without limits, slow followers
// would exhaust the leader's memory and queued callers would miss their
// deadlines.
func (m *Member) exceedsUncommittedLimit(size int) bool {
	if m.log.last()-m.commitIndex >= Index(m.options.MaxUncommittedEntries) {
		return true
	}
	return m.leading.uncommittedBytes > 0 && m.leading.uncommittedBytes+size > m.options.MaxUncommittedBytes
}

// appendToLeaderLog appends a new entry and answers with its index and term.
func (m *Member) appendToLeaderLog(id uint64, kind EntryKind, data []byte) {
	entry := Entry{Index: m.log.last() + 1, Term: m.hardState.Term, Kind: kind, Data: data}
	m.append(entry)
	m.leading.uncommittedBytes += len(data)
	m.actions = append(m.actions, Answer{ID: id, Index: entry.Index, Term: entry.Term})
}

// proposalRefusal returns the error with which the member refuses proposals at
// now, or nil if it accepts them. A leader without a lease refuses, because its
// entries might never be committed. The refusal is a definite answer: the
// proposal had no effect.
func (m *Member) proposalRefusal(now time.Time) error {
	if m.leading == nil {
		return ErrNotLeader
	}
	if m.leading.transfer.target != "" {
		return ErrTransferring
	}
	if _, leased := m.leaseEnd(now); !leased {
		return ErrNoLease
	}
	return nil
}
