package jury

import "slices"

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

// Snapshot returns the latest snapshot. Its Index is 0 in a blank member.
func (m *Member) Snapshot() Snapshot {
	return m.snapshot
}
