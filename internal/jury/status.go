package jury

import (
	"slices"
	"strings"
	"time"
)

// Status is what a Member knows of itself.
type Status struct {
	Role Role
	Term Term
	// Leader is empty if no leader was heard lately. A driver then sends a Join
	// to the members it knows of, also if Voter is set: a voter that was removed
	// while it was cut off does not know it.
	Leader Identity
	// Commit is the last committed index, and Last the last of the log.
	Commit, Last Index
	// SnapshotIndex is the index of the latest snapshot, 0 in a blank member.
	SnapshotIndex Index
	Cluster       string
	Voters        []Identity
	// Voter says whether the member is in Voters.
	Voter bool
	// Failure is not nil once the member takes no further part.
	Failure error
}

// PeerStatus is what a leader knows of another member.
type PeerStatus struct {
	Name Identity
	// Answers says that the peer has answered within the election timeout, and
	// Heard when it answered last, zero if it never did.
	Answers bool
	Heard   time.Time
	// CaughtUp says that the peer holds all that is committed.
	CaughtUp bool
}

// Status returns what the member knows of itself.
func (m *Member) Status() Status {
	return Status{
		Role:          m.role,
		Term:          m.hard.Term,
		Leader:        m.leader,
		Commit:        m.commit,
		Last:          m.log.last(),
		SnapshotIndex: m.snapshot.Index,
		Cluster:       m.snapshot.Cluster,
		Voters:        slices.Clone(m.voters().names),
		Voter:         m.isVoter(),
		Failure:       m.failure,
	}
}

// Peers returns what a leader knows at now of the members that it replicates to,
// sorted by name. It returns nothing on others.
func (m *Member) Peers(now time.Time) []PeerStatus {
	if m.role != Leader {
		return nil
	}
	peers := make([]PeerStatus, 0, len(m.office.peers))
	for name, p := range m.office.peers {
		peers = append(peers, PeerStatus{
			Name: name, Answers: m.answers(now, p), Heard: p.heard, CaughtUp: p.match >= m.commit,
		})
	}
	slices.SortFunc(peers, func(a, b PeerStatus) int { return strings.Compare(string(a.Name), string(b.Name)) })
	return peers
}

// Snapshot returns the latest snapshot. Its Index is 0 in a blank member.
func (m *Member) Snapshot() Snapshot {
	return m.snapshot
}
