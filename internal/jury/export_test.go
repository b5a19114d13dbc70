package jury

// Safeguard names a mechanism that a test takes out.
type Safeguard = safeguard

// The safeguards that tests take out.
const (
	AckUnsynced         = ackUnsynced
	CountUnsynced       = countUnsynced
	VoteInLease         = voteInLease
	NoRestartWait       = noRestartWait
	OrderAtOnce         = orderAtOnce
	CommitOldTerms      = commitOldTerms
	BeginByMajority     = beginByMajority
	VouchWithoutLease   = vouchWithoutLease
	KeepLeaseInTransfer = keepLeaseInTransfer
	BlankVotes          = blankVotes
	ChangeAtOnce        = changeAtOnce
	LeaseFromAnswer     = leaseFromAnswer
	IgnoreDrift         = ignoreDrift
)

// Weaken takes safeguards out of m.
func (m *Member) Weaken(s Safeguard) {
	m.weakened = s
}

// EntryTerm returns the term of the entry at index, if it is in memory.
func (m *Member) EntryTerm(index Index) (Term, bool) {
	return m.log.term(index)
}
