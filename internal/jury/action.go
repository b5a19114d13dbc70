package jury

import "github.com/cockroachdb/errors"

// Action is what a driver does for a Member, in the order returned. It is one
// of Persist, Send, Commit, Restore, BecameLeader, SteppedDown and Answer.
type Action interface {
	action()
}

// Persist asks for state to be written and synced, and then for a Synced event
// with the same Batch. A member has at most one Persist under way; what comes
// up meanwhile is in the next.
//
// The parts are written in the order of the fields. A crash may leave any
// first part of them, and any first part of Entries. The old entries up to the
// Index of Snapshot are removed last or not at all: if a crash comes between
// Snapshot and TruncateFrom, the entry at that Index shows a new start that the
// log contradicts the snapshot.
type Persist struct {
	// Batch counts the Persists of one Member from 1.
	Batch uint64
	// Snapshot, if not nil, replaces the snapshot and all entries up to its
	// Index.
	Snapshot  *Snapshot
	HardState HardState
	// TruncateFrom, if not 0, removes all entries from that index on.
	TruncateFrom Index
	// Entries follow each other without a gap and follow what is on the disk or
	// the Index of Snapshot.
	Entries []Entry
}

// Send asks for a message to be sent. It may be dropped.
type Send struct {
	Message Message
}

// Commit hands over entries that are committed for good, each exactly once and
// in order.
type Commit struct {
	Entries []Entry
}

// Restore asks the replicated state machine to take over the state of Snapshot.
// Commit goes on after its Index.
type Restore struct {
	Snapshot Snapshot
}

// BecameLeader reports that the member won the election of Term.
type BecameLeader struct {
	Term Term
}

// SteppedDown reports that the member no longer leads in Term. What it proposed
// and did not see committed may be committed still.
type SteppedDown struct {
	Term Term
}

// Answer answers an event that carries an ID.
type Answer struct {
	ID uint64
	// Refusal is nil if the event was accepted. If it is not nil, the event had
	// no effect and never will.
	Refusal error
	// Index and Term are the entry that was appended for the event, or 0. The
	// proposal succeeded if the entry committed at Index is of Term, and has
	// failed for good if that entry is of another term.
	Index Index
	Term  Term
}

func (Persist) action()      {}
func (Send) action()         {}
func (Commit) action()       {}
func (Restore) action()      {}
func (BecameLeader) action() {}
func (SteppedDown) action()  {}
func (Answer) action()       {}

// FailedError is the refusal of a member that takes no further part.
type FailedError struct {
	// Cause is that of the Failed event.
	Cause error
}

// Error returns the cause.
func (e *FailedError) Error() string {
	return "jury: the member has failed: " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *FailedError) Unwrap() error {
	return e.Cause
}

// The refusals of an Answer, besides FailedError and explanations of a change of
// voters.
var (
	// ErrNotLeader means that the member does not lead.
	ErrNotLeader = errors.New("jury: not the leader")
	// ErrNoLease means that the leader has not heard from a quorum lately.
	ErrNoLease = errors.New("jury: the leader has not heard from a quorum lately")
	// ErrTransferring means that the leader is handing over.
	ErrTransferring = errors.New("jury: the leader is handing over")
	// ErrOverloaded means that too many entries are uncommitted.
	ErrOverloaded = errors.New("jury: too many entries are uncommitted")
	// ErrChangePending means that the leader has not yet committed an entry of
	// its term or the last change of voters.
	ErrChangePending = errors.New("jury: an earlier change is not committed yet")
	// ErrNotBlank means that the member already belongs to another cluster.
	ErrNotBlank = errors.New("jury: the member already holds an initial snapshot of another cluster")
	// ErrNoVoter means that no other voter can take over.
	ErrNoVoter = errors.New("jury: no other voter is there to take over")
)
