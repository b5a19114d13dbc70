package jury

// safeguard names mechanisms that tests take out, to see that the checks of the
// schedules find what each is there for.
type safeguard uint32

const (
	// ackUnsynced sends answers before what they acknowledge is synced.
	ackUnsynced safeguard = 1 << iota
	// countUnsynced lets a leader count its own entries before they are synced.
	countUnsynced
	// voteInLease grants votes while a leader's lease may run.
	voteInLease
	// noRestartWait lets a member that restarts vote at once.
	noRestartWait
	// orderAtOnce lets a new leader order without waiting for the old one.
	orderAtOnce
	// commitOldTerms commits entries of earlier terms by counting them.
	commitOldTerms
	// beginByMajority lets a majority hold the first election of a cluster.
	beginByMajority
	// vouchWithoutLease answers freshness questions without a lease.
	vouchWithoutLease
	// keepLeaseInTransfer lets a leader that hands over keep its lease.
	keepLeaseInTransfer
	// blankVotes lets a blank member vote.
	blankVotes
	// changeAtOnce lets changes of voters overlap.
	changeAtOnce
	// leaseFromAnswer counts the lease from when the answer came.
	leaseFromAnswer
	// ignoreDrift gives the lease the length of the refusal to vote.
	ignoreDrift
)

// unsafe reports whether a test took the safeguard out.
func (m *Member) unsafe(s safeguard) bool {
	return m.weakened&s != 0
}
