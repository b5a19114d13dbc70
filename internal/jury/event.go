package jury

// Event is an input of Member.Handle: Tick, Receive, Propose, Synced, Compact,
// ChangeVoters, TransferLeadership, Bootstrap or Failed.
type Event interface {
	event()
}

// Tick triggers actions that are due by time. A driver sends one at least every
// third of Options.Heartbeat.
type Tick struct{}

// Receive delivers a message from another member.
type Receive struct {
	Message Message
}

// Proposal is one command to append to the log.
type Proposal struct {
	// ID identifies the proposal in its Answer. The driver chooses it; it is not
	// stored.
	ID   uint64
	Data []byte
}

// Propose appends commands to the leader's log, in order and in one write.
type Propose struct {
	Proposals []Proposal
}

// Synced reports that the whole Persist with the number Batch is synced to disk.
type Synced struct {
	Batch uint64
}

// Compact reports that the replicated state machine has applied all entries up
// to Index and that Data is its encoded state. The member persists a snapshot
// and drops the entries that it covers from memory, except the last
// Options.KeptEntries. The event has no effect if Index is not committed or not
// above the index of the member's snapshot.
type Compact struct {
	Index Index
	Data  []byte
}

// ChangeVoters adds or removes one voter. Exactly one of Add and Remove must be
// set. Add must be a learner that has caught up.
type ChangeVoters struct {
	ID     uint64
	Add    Identity
	Remove Identity
}

// TransferLeadership asks the leader to transfer leadership to the most
// up-to-date voter, for example before a planned stop.
type TransferLeadership struct {
	ID uint64
}

// Bootstrap installs the initial snapshot in a blank member. A member refuses it
// if it already belongs to another cluster. The Answer to an accepted Bootstrap
// follows once the snapshot is synced.
type Bootstrap struct {
	ID      uint64
	Cluster string
	// Voters are the identities of all voters of the cluster.
	Voters []Identity
	// Data is the initial state of the replicated state machine.
	Data []byte
	// Index and Term are the log position of Data if it was recovered from a
	// cluster that lost its majority. The new log continues after Index and its
	// terms after Term, because upstreams compare terms as fencing numbers. Both
	// are 0 for a new cluster.
	Index Index
	Term  Term
}

// Failed reports an unrecoverable failure in the driver: a write or sync failed,
// the disk is full, or the state machine could not apply an entry. The member
// stops for good: it ignores or refuses all later events until the process
// restarts.
type Failed struct {
	// Cause must not be nil.
	Cause error
}

func (Tick) event()               {}
func (Receive) event()            {}
func (Propose) event()            {}
func (Synced) event()             {}
func (Compact) event()            {}
func (ChangeVoters) event()       {}
func (TransferLeadership) event() {}
func (Bootstrap) event()          {}
func (Failed) event()             {}
