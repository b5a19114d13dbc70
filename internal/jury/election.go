package jury

import "time"

// campaignOptions select the type of a campaign.
type campaignOptions struct {
	// preVote starts a pre-vote, which changes no terms. A member that returns
	// from a partition therefore does not depose a healthy leader.
	preVote bool
	// transfer marks a campaign that the leader requested after it gave up its
	// lease.
	transfer bool
	// restart marks the campaign of a restart election.
	restart bool
}

// voteTally counts the votes of a campaign.
type voteTally struct {
	preVote  bool
	transfer bool
	// term is the term of the campaign, or 0 if there is none.
	term    Term
	granted map[Identity]bool
}

// scheduleCampaign sets the next campaign to a random time between one and two
// election timeouts from now.
func (m *Member) scheduleCampaign(now time.Time) {
	timeout := m.options.ElectionTimeout
	m.nextCampaignAt = now.Add(timeout + time.Duration(m.random.Int64N(int64(timeout))))
}

// campaign starts a campaign and requests the vote of every voter.
func (m *Member) campaign(now time.Time, options campaignOptions) {
	m.role = Candidate
	m.leader = ""
	m.scheduleCampaign(now)
	term := m.hardState.Term + 1
	m.tally = voteTally{preVote: options.preVote, transfer: options.transfer, term: term, granted: map[Identity]bool{}}
	if !options.preVote {
		m.hardState = HardState{Term: term, Vote: m.options.Self}
		m.writes.pending.dirty = true
	}
	for _, id := range m.voters().ids {
		request := VoteRequest{
			Pre:       options.preVote,
			Transfer:  options.transfer,
			LastIndex: m.log.last(),
			LastTerm:  m.log.lastTerm(),
		}
		if options.restart {
			request.Restarted = m.restart.processes[id]
		}
		message := m.message(id, request)
		message.Term = term
		if id == m.options.Self {
			message = m.message(id, VoteAnswer{Pre: options.preVote, For: term, Granted: true})
		}
		m.sendSynced(message)
	}
}

// receiveVoteRequest answers a candidate.
//
// A blank member does not vote. It may be a voter that lost its disk, and with
// it the entries and votes that it had acknowledged.
func (m *Member) receiveVoteRequest(now time.Time, message Message, body VoteRequest) {
	if m.blank() && !m.mutated(blankMemberVotes) {
		return
	}
	answer := VoteAnswer{Pre: body.Pre, For: message.Term}
	leased := m.leaderMayHoldLease(now) && !body.Transfer && !m.restartedWith(body) && !m.mutated(voteDuringLease)
	upToDate := m.candidateUpToDate(body)
	if body.Pre {
		answer.Granted = !leased && upToDate && message.Term > m.hardState.Term
		m.send(m.message(message.From, answer))
		return
	}
	if message.Term > m.hardState.Term {
		if leased {
			return
		}
		m.becomeFollower(now, message.Term, "")
	}
	voteAvailable := m.hardState.Vote == "" && m.leader == "" || m.hardState.Vote == message.From
	if message.Term == m.hardState.Term && voteAvailable && upToDate {
		answer.Granted = true
		if m.hardState.Vote == "" {
			m.hardState.Vote = message.From
			m.writes.pending.dirty = true
		}
		m.scheduleCampaign(now)
	}
	m.sendSynced(m.message(message.From, answer))
}

// leaderMayHoldLease reports whether a leader may hold a lease that relies on
// this member. The member must not vote for another candidate until it ends.
func (m *Member) leaderMayHoldLease(now time.Time) bool {
	if m.leading != nil {
		return now.Before(m.quorumContactAt(now).Add(m.options.ElectionTimeout))
	}
	if m.leaderContactAt.Equal(m.startedAt) && m.mutated(skipRestartWait) {
		return false
	}
	return now.Before(m.leaderContactAt.Add(m.options.ElectionTimeout))
}

// candidateUpToDate reports whether the candidate's log is at least as up to
// date as the member's, by the term and the index of the last entry.
func (m *Member) candidateUpToDate(body VoteRequest) bool {
	if body.LastTerm != m.log.lastTerm() {
		return body.LastTerm > m.log.lastTerm()
	}
	return body.LastIndex >= m.log.last()
}

func (m *Member) receiveVoteAnswer(now time.Time, from Identity, body VoteAnswer) {
	if m.role != Candidate || body.For != m.tally.term || body.Pre != m.tally.preVote {
		return
	}
	if body.Granted && m.voters().contains(from) {
		m.tally.granted[from] = true
	}
	if len(m.tally.granted) < m.votesNeeded() {
		return
	}
	if m.tally.preVote {
		m.campaign(now, campaignOptions{})
		return
	}
	m.becomeLeader(now)
}

// votesNeeded returns how many votes win the election. The first election of a
// cluster requires the votes of all voters. This ensures that every voter has
// synced the initial snapshot, so that a conflicting bootstrap which includes
// any of them can never elect a leader.
func (m *Member) votesNeeded() int {
	firstElection := !m.hadLeader && m.snapshot.Term == 0 && m.log.last() == m.snapshot.Index
	if firstElection && !m.mutated(firstElectionByMajority) {
		return len(m.voters().ids)
	}
	return m.voters().quorum()
}
