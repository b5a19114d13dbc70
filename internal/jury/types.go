// Package jury implements the agreement protocol of the voters: a replicated
// log with leader election (consensus).
//
// The protocol is a pure state machine. It takes the present time and events,
// and returns actions; it does no I/O, starts no goroutine and reads no clock.
package jury

import "strings"

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

// Instance returns the name of the instance that the voter runs on. Two
// identities of one instance are two data folders of it.
func (i Identity) Instance() string {
	slash := strings.LastIndexByte(string(i), '/')
	if slash < 0 {
		return string(i)
	}
	return string(i[:slash])
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
	// Term is the term of the entry at Index. It is 0 only in the initial
	// snapshot, which no leader made.
	Term Term
	// Cluster is the random name that the bootstrap gave to the set of voters.
	// Members of different clusters ignore each other. It is never empty in a
	// snapshot that is kept.
	Cluster string
	// Voters is the set of voters in force at Index, sorted, each once.
	Voters []Identity
	// Data is the encoded state of the replicated state machine.
	Data []byte
}
