// Package jury implements the agreement protocol of the voters: a replicated
// log with leader election (consensus).
//
// The protocol is a pure state machine. It takes the present time and events,
// and returns actions; it does no I/O, starts no goroutine and reads no clock.
package jury

// Index is the position of an entry in the log, counting from 1.
type Index uint64

// Term numbers the elections. A leader's term is its fencing number: each term
// has at most one leader.
type Term uint64

// Identity names one voter with one data folder. It is the instance's name, a
// slash and a number that was drawn when the data folder was made, so that an
// instance that lost its disk comes back under another identity.
type Identity string

// EntryKind says what an Entry holds.
type EntryKind uint8

// The kinds of entry.
const (
	// EntryCommand is a command for the replicated state machine.
	EntryCommand EntryKind = iota + 1
	// EntryVoters changes the set of voters.
	EntryVoters
	// EntryBarrier is empty. A new leader appends one to commit what earlier
	// terms left.
	EntryBarrier
)

// Entry is one record of the log. Entries are immutable.
type Entry struct {
	Index Index
	Term  Term
	Kind  EntryKind
	Data  []byte
}

// HardState is what a voter must have synced before it answers a message.
type HardState struct {
	Term Term
	// Vote is the candidate that got this voter's vote in Term, or empty.
	Vote Identity
}

// Snapshot is the state that results from all entries up to Index.
type Snapshot struct {
	Index Index
	Term  Term
	// Voters is the set of voters in force at Index.
	Voters []Identity
	// Data is the encoded state of the replicated state machine.
	Data []byte
}
