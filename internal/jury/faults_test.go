package jury_test

import (
	"slices"
	"time"

	"github.com/lovagelift/lovagelift/internal/jury"
)

// sendJoins occasionally sends a Join to all other nodes if the node knows no
// leader.
func (s *simulation) sendJoins(n *node) {
	status := n.member.Status()
	if status.Leader != "" || s.random.IntN(10) > 0 {
		return
	}
	for _, other := range s.nodes {
		if other != n {
			s.sendMessage(jury.Message{
				From: n.identity, To: other.identity, Cluster: status.Cluster, Term: status.Term, Body: jury.Join{},
			})
		}
	}
}

// injectFaults injects at most one fault into a random node, or restarts the
// node if it is down.
func (s *simulation) injectFaults() {
	n := s.nodes[s.random.IntN(len(s.nodes))]
	other := s.nodes[s.random.IntN(len(s.nodes))]
	duration := time.Duration(s.random.Int64N(int64(6 * testElectionTimeout)))
	switch {
	case !n.up:
		if s.occurs(s.faults.restart) {
			s.start(n)
		}
	case s.occurs(s.faults.crash):
		s.crash(n)
	case s.occurs(s.faults.pause):
		n.pausedUntil = s.now + duration
	case s.occurs(s.faults.isolate):
		s.isolate(n, duration)
	case s.occurs(s.faults.blockOneWay):
		s.blockedUntil[[2]string{n.instance, other.instance}] = s.now + duration
	case s.occurs(s.faults.loseDisk):
		s.loseDisk(n)
	}
}

func (s *simulation) isolate(n *node, duration time.Duration) {
	for _, other := range s.nodes {
		s.blockedUntil[[2]string{n.instance, other.instance}] = s.now + duration
		s.blockedUntil[[2]string{other.instance, n.instance}] = s.now + duration
	}
}

// loseDisk replaces the disk of a node by an empty one. It does nothing if this
// could cost the majority: all nodes must be up, and each voter set that a node
// knows must have at least three voters, none of which has lost its disk.
func (s *simulation) loseDisk(n *node) {
	if s.history.highestCommit == 0 {
		return
	}
	for _, other := range s.nodes {
		if !other.up {
			return
		}
		status := other.member.Status()
		if len(status.Voters) > 0 && len(status.Voters) < 3 {
			return
		}
		for _, id := range status.Voters {
			if s.nodeByIdentity(id) == nil {
				return
			}
		}
	}
	s.crash(n)
	s.lostDisks[n.identity] = n.disk // no copy of the entries is needed, because newDisk replaces n.disk
	s.newDisk(n)
	s.start(n)
}

// leader returns the running leader with the highest term, or nil.
func (s *simulation) leader() *node {
	var found *node
	for _, n := range s.nodes {
		if !n.up || n.member.Status().Role != jury.Leader {
			continue
		}
		if found == nil || n.member.Status().Term > found.member.Status().Term {
			found = n
		}
	}
	return found
}

// runClients performs the actions of callers, operators and the state machine.
func (s *simulation) runClients() {
	if s.bootstrapCount > 0 && s.history.highestCommit == 0 && s.random.IntN(20) == 0 {
		s.bootstrap("juryline", s.nodes[:s.bootstrapCount], s.nodes[:s.bootstrapCount])
	}
	for _, n := range s.nodes {
		if !n.isRunning(s.now) {
			continue
		}
		status := n.member.Status()
		if status.Role == jury.Leader {
			s.driveLeader(n, status)
		}
		if s.occurs(s.faults.compact) && n.appliedIndex > status.SnapshotIndex {
			s.handle(n, jury.Compact{Index: n.appliedIndex, Data: encodeState(n.appliedState)})
		}
	}
}

func (s *simulation) driveLeader(n *node, status jury.Status) {
	if s.random.IntN(1000) < s.faults.propose {
		var proposals []jury.Proposal
		for range 1 + s.random.IntN(3) {
			s.lastProposalID++
			proposals = append(proposals, jury.Proposal{ID: s.lastProposalID, Data: newCommand(s.lastProposalID, n.appliedState&revisionBits)})
		}
		s.handle(n, jury.Propose{Proposals: proposals})
	}
	if s.occurs(s.faults.transfer) {
		s.handle(n, jury.TransferLeadership{})
	}
	s.replaceLostVoters(n, status)
	if s.occurs(s.faults.changeVoter) {
		s.changeRandomVoter(n, status)
	}
}

// replaceLostVoters removes a voter that lost its disk, if there is one. It
// otherwise adds voters if there are fewer than three or the faults have ended.
func (s *simulation) replaceLostVoters(n *node, status jury.Status) {
	for _, id := range status.Voters {
		if s.nodeByIdentity(id) == nil {
			s.handle(n, jury.ChangeVoters{Remove: id})
			return
		}
	}
	if len(status.Voters) < 3 || s.faultsEnded {
		for _, other := range s.nodes {
			if !slices.Contains(status.Voters, other.identity) {
				s.handle(n, jury.ChangeVoters{Add: other.identity})
			}
		}
	}
}

func (s *simulation) changeRandomVoter(n *node, status jury.Status) {
	other := s.nodes[s.random.IntN(len(s.nodes))]
	if !slices.Contains(status.Voters, other.identity) {
		s.handle(n, jury.ChangeVoters{Add: other.identity})
		return
	}
	if len(status.Voters) > 2 {
		s.handle(n, jury.ChangeVoters{Remove: other.identity})
	}
}
