package jury

import (
	"cmp"
	"slices"
	"time"
)

// After a restart of all voters, nobody leads and no lease runs, but each voter has to
// assume that it supported a lease until it stopped. The restart election spares them the
// wait of an election timeout: the voter with the latest log campaigns at once after it has
// proof that no process of any voter leads or supports a lease.
//
// The proof takes two rounds. In the first, the candidate learns the current process of
// each voter. In the second, each of these processes confirms that it has neither led nor
// followed since it started. Since all of them had started before the second round, a
// leader elected later needs one of the processes that vote for the candidate: its lease
// makes that process refuse the vote, and so does a further restart.

// RestartProbe asks a voter whether its process has led or followed since its start.
type RestartProbe struct {
	// Process is a random number of the sender's process.
	Process uint64
	// Round is the sender's round, 0 while it doesn't know the processes of all voters.
	// Asked is the receiver's process as known to the sender.
	Round uint64
	Asked uint64
}

// RestartAnswer answers a RestartProbe.
type RestartAnswer struct {
	// For is the identity that was asked. If it isn't that of the sender, the sender runs
	// in its place on an empty disk, and no process of For runs any more.
	For     Identity
	Process uint64
	Round   uint64
	// Unaffiliated is set if the process is the one that was asked, and has neither led nor
	// followed since its start.
	Unaffiliated bool
	LastIndex    Index
	LastTerm     Term
}

func (RestartProbe) body()  {}
func (RestartAnswer) body() {}

// restartElection is the state of a voter that has restarted and seeks the proof.
type restartElection struct {
	// process is the random number of this process. It is not 0.
	process     uint64
	nextProbeAt time.Time
	// processes are the processes of the other voters, 0 for one that is gone. confirmed are
	// the answers of the current round. Rounds start at a random number, so that a delayed
	// answer to an earlier process of this member belongs to none.
	processes map[Identity]uint64
	round     uint64
	confirmed map[Identity]RestartAnswer
}

func newRestartElection(process uint64) restartElection {
	return restartElection{
		process: process, round: process,
		processes: map[Identity]uint64{}, confirmed: map[Identity]RestartAnswer{},
	}
}

// end ends the restart election: the member leads or has heard from a leader.
func (r *restartElection) end() {
	clear(r.processes)
	clear(r.confirmed)
}

// learn records the process of a voter. A new process ends the current round.
func (r *restartElection) learn(id Identity, process uint64) {
	if known, found := r.processes[id]; found && known == process {
		return
	}
	r.processes[id] = process
	r.startRound()
}

func (r *restartElection) startRound() {
	r.round++
	clear(r.confirmed)
}

// probeRestart sends the probes that are due.
func (m *Member) probeRestart(now time.Time) {
	if m.hadLeader || !m.isVoter() || now.Before(m.restart.nextProbeAt) {
		return
	}
	if m.restartProven() {
		// The campaign after the last round has failed.
		m.restart.startRound()
	}
	m.sendProbes(now)
}

// witnesses returns the other members that may lead or support a lease: the voters, and those
// before the latest change of voters, whose leader may have removed itself.
func (m *Member) witnesses() []Identity {
	ids := m.voters().ids
	if count := len(m.voterSets); count > 1 {
		ids = slices.Concat(ids, m.voterSets[count-2].ids)
		slices.Sort(ids)
		ids = slices.Compact(ids)
	}
	return slices.DeleteFunc(slices.Clone(ids), func(id Identity) bool { return id == m.options.Self })
}

// sendProbes asks the witnesses that have not confirmed the current round.
func (m *Member) sendProbes(now time.Time) {
	m.restart.nextProbeAt = now.Add(m.options.Heartbeat)
	round := uint64(0)
	if m.knowsAllProcesses() {
		round = m.restart.round
	}
	for _, id := range m.witnesses() {
		if _, confirmed := m.restart.confirmed[id]; confirmed {
			continue
		}
		m.send(m.message(id, RestartProbe{Process: m.restart.process, Round: round, Asked: m.restart.processes[id]}))
	}
}

// knowsAllProcesses reports whether the processes of all witnesses are known.
func (m *Member) knowsAllProcesses() bool {
	return !slices.ContainsFunc(m.witnesses(), func(id Identity) bool {
		_, known := m.restart.processes[id]
		return !known
	})
}

// restartProven reports whether all witnesses have confirmed the current round.
func (m *Member) restartProven() bool {
	return !slices.ContainsFunc(m.witnesses(), func(id Identity) bool {
		_, confirmed := m.restart.confirmed[id]
		return !confirmed
	})
}

// receiveRestartProbe answers a probe. It also answers one to the former identity of this
// instance.
func (m *Member) receiveRestartProbe(now time.Time, message Message, body RestartProbe) {
	answer := RestartAnswer{
		For: message.To, Process: m.restart.process, Round: body.Round,
		LastIndex: m.log.last(), LastTerm: m.log.lastTerm(),
	}
	answer.Unaffiliated = !m.hadLeader && body.Asked == m.restart.process
	m.send(m.message(message.From, answer))
	if message.To == m.options.Self && !m.hadLeader && m.isVoter() {
		m.learnProcess(now, message.From, body.Process)
	}
}

// learnProcess records the process of a voter, and starts the second round at once if it was
// the last one unknown.
func (m *Member) learnProcess(now time.Time, id Identity, process uint64) {
	if !slices.Contains(m.witnesses(), id) {
		return
	}
	before := m.restart.round
	m.restart.learn(id, process)
	if m.restart.round != before && m.knowsAllProcesses() {
		m.sendProbes(now)
	}
}

func (m *Member) receiveRestartAnswer(now time.Time, message Message, body RestartAnswer) {
	if m.hadLeader || !m.isVoter() || message.From.Instance() != body.For.Instance() {
		return
	}
	if message.From != body.For {
		// The process of this identity is gone for good.
		m.learnProcess(now, body.For, 0)
		m.restart.confirmed[body.For] = RestartAnswer{For: body.For}
	} else {
		m.learnProcess(now, body.For, body.Process)
	}
	if body.Unaffiliated && body.Round == m.restart.round && body.Process == m.restart.processes[body.For] {
		m.restart.confirmed[body.For] = body
	}
	if m.restartProven() && m.hasLatestLog() {
		m.campaign(now, campaignOptions{restart: true})
	}
}

// hasLatestLog reports whether no voter that confirmed the restart has a later log. Of several
// voters with the same log, it is true for the one with the lowest identity.
func (m *Member) hasLatestLog() bool {
	for id, answer := range m.restart.confirmed {
		order := cmp.Or(
			cmp.Compare(answer.LastTerm, m.log.lastTerm()),
			cmp.Compare(answer.LastIndex, m.log.last()),
			cmp.Compare(m.options.Self, id),
		)
		if order > 0 {
			return false
		}
	}
	return true
}

// restartedWith reports whether the member may grant a vote to the candidate of a restart
// election although a lease that it supported before its start may run.
func (m *Member) restartedWith(body VoteRequest) bool {
	return !m.hadLeader && body.Restarted == m.restart.process
}
