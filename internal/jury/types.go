// Package jury is the consensus protocol of the voters: Raft, with pre-votes,
// learners, leader leases, lease-based reads and changes of one voter at a time.
//
// The implementation is a deterministic state machine: a Member takes the
// current time and an Event and returns Actions. It does no I/O, starts no
// goroutines and reads no clock. The caller that feeds it events and executes
// its actions is called the driver.
package jury

import "strings"

// Index is the position of an entry in the log, starting at 1.
type Index uint64

// Term is a Raft term. Each term has at most one leader, so a leader uses its
// term as the fencing number of its orders to upstreams.
type Term uint64

// Identity identifies a member by its instance and its data folder. It consists
// of the instance's name, a slash and a random number generated with the data
// folder. An instance that lost its disk therefore returns with a new identity.
type Identity string

// EntryKind is the type of an Entry.
type EntryKind uint8

// The entry kinds.
const (
	// EntryCommand is a command for the replicated state machine.
	EntryCommand EntryKind = iota + 1
	// EntryVoters replaces the set of voters.
	EntryVoters
	// EntryBarrier is a no-op entry. A new leader appends one to commit the
	// entries of earlier terms.
	EntryBarrier
)

// Entry is one log entry. Entries are immutable.
type Entry struct {
	Index Index
	Term  Term
	Kind  EntryKind
	Data  []byte
}

// Instance returns the name of the instance that the member runs on. Different
// identities of one instance belong to different data folders.
func (i Identity) Instance() string {
	slash := strings.LastIndexByte(string(i), '/')
	if slash < 0 {
		return string(i)
	}
	return string(i[:slash])
}

// HardState is the part of the state that a voter must sync to disk before it
// answers a message.
type HardState struct {
	Term Term
	// Vote is the candidate that this voter voted for in Term, or empty.
	Vote Identity
}

// Snapshot is the state after applying all entries up to and including Index.
type Snapshot struct {
	Index Index
	// Term is the term of the entry at Index. It is 0 only in the initial
	// snapshot, which is written by the bootstrap and not by a leader.
	Term Term
	// Cluster is the random cluster ID from the bootstrap. Members of different
	// clusters ignore each other. Every snapshot that a member persists has one.
	Cluster string
	// Voters is the set of voters in force at Index, sorted and without
	// duplicates.
	Voters []Identity
	// Data is the encoded state of the replicated state machine.
	Data []byte
}
