package jury

import (
	"slices"
	"strings"
	"time"
)

// Status is the state of a Member as seen by itself.
type Status struct {
	Role Role
	Term Term
	// Leader is empty if the member knows no current leader. A driver then sends
	// a Join to the members that it knows, even if Voter is set: a voter that was
	// removed while partitioned does not know about its removal.
	Leader Identity
	// Commit is the commit index, and Last the last index of the log.
	Commit, Last Index
	// SnapshotIndex is the index of the latest snapshot, 0 in a blank member.
	SnapshotIndex Index
	Cluster       string
	Voters        []Identity
	// Voter reports whether the member is in Voters.
	Voter bool
	// Failure is not nil once the member has stopped after a failure.
	Failure error
}

// PeerStatus is the state of another member as seen by the leader.
type PeerStatus struct {
	ID Identity
	// Active reports whether the peer has answered a message that the leader
	// sent within the last election timeout. LastContact is when the leader sent
	// the latest message that the peer answered, or zero if there is none.
	Active      bool
	LastContact time.Time
	// CaughtUp reports whether the peer has synced all committed entries.
	CaughtUp bool
}

// Status returns the state of the member.
func (m *Member) Status() Status {
	return Status{
		Role:          m.role,
		Term:          m.hardState.Term,
		Leader:        m.leader,
		Commit:        m.commitIndex,
		Last:          m.log.last(),
		SnapshotIndex: m.snapshot.Index,
		Cluster:       m.snapshot.Cluster,
		Voters:        slices.Clone(m.voters().ids),
		Voter:         m.isVoter(),
		Failure:       m.failure,
	}
}

// Peers returns the state at now of the members that a leader replicates to,
// sorted by identity. It returns nil if the member is not the leader.
func (m *Member) Peers(now time.Time) []PeerStatus {
	if m.role != Leader {
		return nil
	}
	peers := make([]PeerStatus, 0, len(m.leading.peers))
	for id, p := range m.leading.peers {
		peers = append(peers, PeerStatus{
			ID: id, Active: m.answersRecently(now, p), LastContact: p.answeredSendAt, CaughtUp: p.match >= m.commitIndex,
		})
	}
	slices.SortFunc(peers, func(a, b PeerStatus) int { return strings.Compare(string(a.ID), string(b.ID)) })
	return peers
}

// Snapshot returns the latest snapshot. Its Index is 0 in a blank member.
func (m *Member) Snapshot() Snapshot {
	return m.snapshot
}
