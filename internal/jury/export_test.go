package jury

// Mutation is a set of safeguards to disable.
type Mutation = mutation

// The mutations.
const (
	AckBeforeSync           = ackBeforeSync
	CountUnsyncedEntries    = countUnsyncedEntries
	VoteDuringLease         = voteDuringLease
	SkipRestartWait         = skipRestartWait
	SkipTakeoverWait        = skipTakeoverWait
	CommitEarlierTerms      = commitEarlierTerms
	FirstElectionByMajority = firstElectionByMajority
	ReadWithoutLease        = readWithoutLease
	KeepLeaseDuringTransfer = keepLeaseDuringTransfer
	BlankMemberVotes        = blankMemberVotes
	OverlapChanges          = overlapChanges
	LeaseFromReceipt        = leaseFromReceipt
	IgnoreClockDrift        = ignoreClockDrift
)

// SetMutations disables the safeguards in mutations.
func (m *Member) SetMutations(mutations Mutation) {
	m.mutations = mutations
}

// EntryTerm returns the term of the entry at index, if it is in memory.
func (m *Member) EntryTerm(index Index) (Term, bool) {
	return m.log.term(index)
}
