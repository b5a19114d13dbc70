package jury

import "time"

// campaignKind says how a member asks for votes.
type campaignKind struct {
	// pre asks whether votes would be given, so that a member that was cut off
	// does not end a healthy leadership when it comes back.
	pre bool
	// transfer follows the wish of the leader, which has given up its lease.
	transfer bool
}

// ballot gathers the votes of a campaign.
type ballot struct {
	pre      bool
	transfer bool
	// term is that of the campaign, or 0 if there is none.
	term    Term
	granted map[Identity]bool
}

// resetElection draws the time of the next campaign.
func (m *Member) resetElection(now time.Time) {
	timeout := m.options.ElectionTimeout
	m.electionAt = now.Add(timeout + time.Duration(m.random.Int64N(int64(timeout))))
}

// campaign asks all voters for their vote.
func (m *Member) campaign(now time.Time, kind campaignKind) {
	m.role = Candidate
	m.leader = ""
	m.resetElection(now)
	term := m.hard.Term + 1
	m.ballot = ballot{pre: kind.pre, transfer: kind.transfer, term: term, granted: map[Identity]bool{}}
	if !kind.pre {
		m.hard = HardState{Term: term, Vote: m.options.Self}
		m.disk.pending.dirty = true
	}
	for _, name := range m.voters().names {
		message := m.message(name, VoteRequest{
			Pre:       kind.pre,
			Transfer:  kind.transfer,
			LastIndex: m.log.last(),
			LastTerm:  m.log.lastTerm(),
		})
		message.Term = term
		if name == m.options.Self {
			message = m.message(name, VoteAnswer{Pre: kind.pre, For: term, Granted: true})
		}
		m.sendSynced(message)
	}
}

// receiveVoteRequest answers a candidate.
//
// A blank member does not vote: it may be a voter that lost its disk and with
// it the entries and votes that it had promised to keep.
func (m *Member) receiveVoteRequest(now time.Time, message Message, body VoteRequest) {
	if m.blank() && !m.unsafe(blankVotes) {
		return
	}
	answer := VoteAnswer{Pre: body.Pre, For: message.Term}
	bound := m.boundToLeader(now) && !body.Transfer && !m.unsafe(voteInLease)
	upToDate := m.upToDate(body)
	if body.Pre {
		answer.Granted = !bound && upToDate && message.Term > m.hard.Term
		m.send(m.message(message.From, answer))
		return
	}
	if message.Term > m.hard.Term {
		if bound {
			return
		}
		m.follow(now, message.Term, "")
	}
	free := m.hard.Vote == "" && m.leader == "" || m.hard.Vote == message.From
	if message.Term == m.hard.Term && free && upToDate {
		answer.Granted = true
		if m.hard.Vote == "" {
			m.hard.Vote = message.From
			m.disk.pending.dirty = true
		}
		m.resetElection(now)
	}
	m.sendSynced(m.message(message.From, answer))
}

// boundToLeader reports whether the member must not vote because a leader may
// hold a lease that counts on it.
func (m *Member) boundToLeader(now time.Time) bool {
	if m.office != nil {
		return now.Before(m.heardByQuorum(now).Add(m.options.ElectionTimeout))
	}
	if m.heard.Equal(m.start) && m.unsafe(noRestartWait) {
		return false
	}
	return now.Before(m.heard.Add(m.options.ElectionTimeout))
}

// upToDate reports whether the candidate's log holds all that the member's does,
// as far as it may be committed.
func (m *Member) upToDate(body VoteRequest) bool {
	if body.LastTerm != m.log.lastTerm() {
		return body.LastTerm > m.log.lastTerm()
	}
	return body.LastIndex >= m.log.last()
}

func (m *Member) receiveVoteAnswer(now time.Time, from Identity, body VoteAnswer) {
	if m.role != Candidate || body.For != m.ballot.term || body.Pre != m.ballot.pre {
		return
	}
	if body.Granted && m.voters().contains(from) {
		m.ballot.granted[from] = true
	}
	if len(m.ballot.granted) < m.votesNeeded() {
		return
	}
	if m.ballot.pre {
		m.campaign(now, campaignKind{})
		return
	}
	m.takeOffice(now)
}

// votesNeeded returns how many votes win. The first election of a cluster takes
// all of them: then each voter has synced the initial snapshot, and a second
// bootstrap, which needs the promise of one of them, can never begin.
func (m *Member) votesNeeded() int {
	first := !m.begun && m.snapshot.Term == 0 && m.log.last() == m.snapshot.Index
	if first && !m.unsafe(beginByMajority) {
		return len(m.voters().names)
	}
	return m.voters().quorum()
}
