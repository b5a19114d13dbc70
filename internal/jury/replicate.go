package jury

import "time"

// probe makes the leader find again where the logs agree.
func (p *peer) probe() {
	p.state = probing
	p.next = p.match + 1
	p.inflight = 0
}

func (m *Member) replicateAll(now time.Time) {
	for _, name := range m.office.names() {
		p := m.office.peers[name]
		stalled := p.state == streaming && p.match+1 < p.next &&
			now.Sub(p.moved) > m.options.ElectionTimeout
		if stalled {
			p.probe()
			p.moved = now
		}
		m.replicate(now, name, p)
	}
}

// replicate sends what a peer lacks, as far as it may be under way at a time.
// What does not fit gathers for the next append.
func (m *Member) replicate(now time.Time, name Identity, p *peer) {
	switch p.state {
	case installing:
		if now.Sub(p.sent) > m.options.ElectionTimeout {
			m.install(now, name, p)
		}
	case probing:
		waiting := p.inflight > 0 && now.Sub(p.sent) < 2*m.options.Heartbeat
		if !waiting {
			p.inflight = 0
			m.appendTo(now, name, p)
		}
	case streaming:
		for p.inflight < m.options.Inflight && p.next <= m.log.last() {
			count := m.appendTo(now, name, p)
			if p.state != streaming {
				return
			}
			p.next += Index(count)
		}
	}
}

// appendTo sends one append and returns how many entries it holds. If the
// entries that the peer needs are compacted, appendTo sends a snapshot.
func (m *Member) appendTo(now time.Time, name Identity, p *peer) int {
	prev := p.next - 1
	term, held := m.log.term(prev)
	if !held {
		m.install(now, name, p)
		return 0
	}
	entries := m.log.from(p.next, m.options.AppendBytes)
	p.inflight++
	p.sent = now
	m.send(m.message(name, Append{
		Prev:     prev,
		PrevTerm: term,
		Entries:  entries,
		Commit:   m.commit,
		Sent:     m.stamp(now),
	}))
	return len(entries)
}

func (m *Member) install(now time.Time, name Identity, p *peer) {
	p.state = installing
	p.sent = now
	p.next = m.snapshot.Index + 1
	m.send(m.message(name, InstallRequest{Snapshot: m.snapshot, Sent: m.stamp(now)}))
}

func (m *Member) receiveAppendAnswer(now time.Time, from Identity, body AppendAnswer) {
	p := m.hearPeer(now, from, body.Sent)
	if p == nil {
		return
	}
	p.inflight = max(0, p.inflight-1)
	if body.Rejected {
		m.backOff(p, body)
	} else {
		m.matched(now, p, body.Match)
	}
	m.replicate(now, from, p)
	m.advanceCommit(now)
	if m.office != nil {
		m.tellCommit(now)
		m.continueTransfer(now)
	}
}

// backOff moves back to where the logs may agree. A rejection of what the peer
// has acknowledged since came late and says nothing.
func (m *Member) backOff(p *peer, body AppendAnswer) {
	if body.Match <= p.match || body.Match >= p.next || p.state == installing {
		return
	}
	hint, _ := m.log.lastUpTo(body.Hint, body.HintTerm)
	if body.Hint < m.log.base {
		hint = body.Hint
	}
	p.state = probing
	p.inflight = 0
	p.next = max(p.match, min(body.Match-1, hint)) + 1
}

func (m *Member) matched(now time.Time, p *peer, match Index) {
	if match > m.log.last() {
		return
	}
	if match > p.match {
		p.match = match
		p.moved = now
	}
	p.next = max(p.next, p.match+1)
	if p.state == probing || p.state == installing && p.match+1 >= p.next {
		p.state = streaming
		p.next = p.match + 1
	}
}

// propose appends commands to the log of a leader.
func (m *Member) propose(now time.Time, proposals []Proposal) {
	refusal := m.refusal(now)
	appended := false
	for _, proposal := range proposals {
		if refusal == nil && m.overloaded(len(proposal.Data)) {
			refusal = ErrOverloaded
		}
		if refusal != nil {
			m.out = append(m.out, Answer{ID: proposal.ID, Refusal: refusal})
			continue
		}
		m.appendOwn(proposal.ID, EntryCommand, proposal.Data)
		appended = true
	}
	if appended {
		m.replicateAll(now)
	}
}

// overloaded reports whether another entry with so many bytes of data is too
// much. Without a bound, a leader whose followers are slow would fill its
// memory, and every caller behind the queue would wait beyond its deadline.
func (m *Member) overloaded(size int) bool {
	if m.log.last()-m.commit >= Index(m.options.Uncommitted) {
		return true
	}
	return m.office.uncommitted > 0 && m.office.uncommitted+size > m.options.UncommittedBytes
}

// appendOwn appends an entry of the leader and answers with its place.
func (m *Member) appendOwn(id uint64, kind EntryKind, data []byte) {
	entry := Entry{Index: m.log.last() + 1, Term: m.hard.Term, Kind: kind, Data: data}
	m.append(entry)
	m.office.uncommitted += len(data)
	m.out = append(m.out, Answer{ID: id, Index: entry.Index, Term: entry.Term})
}

// refusal returns why the member takes no proposal at now, or nil. A leader
// that lost its lease refuses: what it appends might never be committed, and
// the caller can still be told so for certain.
func (m *Member) refusal(now time.Time) error {
	if m.office == nil {
		return ErrNotLeader
	}
	if m.office.transfer.to != "" {
		return ErrTransferring
	}
	if _, leased := m.leaseEnd(now); !leased {
		return ErrNoLease
	}
	return nil
}
