package jury

// Event is what a Member handles. It is one of Tick, Receive, Propose, Synced,
// Compact, ChangeVoters, TransferLeadership, Bootstrap and Failed.
type Event interface {
	event()
}

// Tick lets time pass. A driver sends one at least every third of
// Options.Heartbeat.
type Tick struct{}

// Receive hands over a message.
type Receive struct {
	Message Message
}

// Proposal is one command that a caller wants in the log.
type Proposal struct {
	// ID names the proposal in the Answer. It is the driver's own and is not
	// stored.
	ID   uint64
	Data []byte
}

// Propose asks for commands to be appended, in order and in one write.
type Propose struct {
	Proposals []Proposal
}

// Synced reports that all of the Persist with number Batch is on the disk.
type Synced struct {
	Batch uint64
}

// Compact reports that the replicated state machine has applied all entries up
// to Index and that Data is its encoded state. The member persists a snapshot
// and forgets the entries before it. If Index is not committed or is older than
// the snapshot that the member holds, the event has no effect.
type Compact struct {
	Index Index
	Data  []byte
}

// ChangeVoters asks for one voter to be added or removed. Exactly one of Add
// and Remove is set. The voter to add must be a learner that has caught up.
type ChangeVoters struct {
	ID     uint64
	Add    Identity
	Remove Identity
}

// TransferLeadership asks the leader to hand over to the voter that is furthest
// ahead, as before a planned stop.
type TransferLeadership struct {
	ID uint64
}

// Bootstrap gives the initial snapshot to a blank member. It is accepted only
// by a member that holds none, or holds the one of the same cluster; the Answer
// comes after the snapshot is synced.
type Bootstrap struct {
	ID      uint64
	Cluster string
	// Voters are the identities of all voters of the cluster.
	Voters []Identity
	// Data is the initial state of the replicated state machine.
	Data []byte
	// Index and Term are those that Data was taken at, if it is the state of a
	// cluster that lost its majority. The log goes on after Index, and the
	// terms, which upstreams know as fencing numbers, after Term. Both are 0 for
	// a new beginning.
	Index Index
	Term  Term
}

// Failed reports that the driver cannot go on: a write or sync failed, the disk
// is full, or the state machine could not apply an entry. The member takes no
// further part until its process starts anew.
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
