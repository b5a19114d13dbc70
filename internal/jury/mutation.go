package jury

// mutation is a set of safeguards to disable. Tests use it to verify that the
// invariant checks detect the absence of each safeguard.
type mutation uint32

const (
	// ackBeforeSync sends answers before the state that they acknowledge is
	// synced.
	ackBeforeSync mutation = 1 << iota
	// countUnsyncedEntries lets a leader count its own unsynced entries towards
	// the quorum.
	countUnsyncedEntries
	// voteDuringLease grants votes while a leader may hold a lease.
	voteDuringLease
	// skipRestartWait lets a restarted member vote immediately.
	skipRestartWait
	// skipTakeoverWait lets a new leader send orders to upstreams without
	// Options.TakeoverWait.
	skipTakeoverWait
	// commitEarlierTerms commits entries of earlier terms by counting replicas.
	commitEarlierTerms
	// firstElectionByMajority lets a majority win the first election of a
	// cluster.
	firstElectionByMajority
	// readWithoutLease lets a leader confirm reads without a lease.
	readWithoutLease
	// keepLeaseDuringTransfer lets a leader keep its lease during a leadership
	// transfer.
	keepLeaseDuringTransfer
	// blankMemberVotes lets a blank member vote.
	blankMemberVotes
	// overlapChanges lets a change of voters start before the previous one is
	// committed.
	overlapChanges
	// leaseFromReceipt starts the lease when an answer is received and not when
	// the answered message was sent.
	leaseFromReceipt
	// ignoreClockDrift makes the lease as long as the election timeout.
	ignoreClockDrift
)

// mutated reports whether a test enabled the mutation.
func (m *Member) mutated(which mutation) bool {
	return m.mutations&which != 0
}
