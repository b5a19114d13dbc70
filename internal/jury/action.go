package jury

import "github.com/cockroachdb/errors"

// Action is an output of Member.Handle: Persist, Send, Commit, Restore,
// BecameLeader, SteppedDown or Answer. A driver executes actions in the order
// returned.
type Action interface {
	action()
}

// Persist asks the driver to write and sync state and then to send a Synced
// event with the same Batch. A member has at most one Persist in progress;
// changes that arise meanwhile go into the next one.
//
// The driver writes the parts in the order of the fields. A crash may leave any
// prefix of the parts, and any prefix of Entries. The old entries up to the
// Index of Snapshot are removed last or not at all: after a crash between
// Snapshot and TruncateFrom, the entry at that Index shows the restarted member
// that the log conflicts with the snapshot.
type Persist struct {
	// Batch numbers the Persist actions of a Member, starting at 1.
	Batch uint64
	// Snapshot, if not nil, replaces the snapshot and all entries up to its
	// Index.
	Snapshot  *Snapshot
	HardState HardState
	// TruncateFrom, if not 0, removes all entries from that index on.
	TruncateFrom Index
	// Entries have consecutive indices that continue the log on the disk or
	// start directly after the Index of Snapshot.
	Entries []Entry
}

// Send asks the driver to send a message. The driver may drop it.
type Send struct {
	Message Message
}

// Commit delivers committed entries to the replicated state machine, each
// exactly once and in order.
type Commit struct {
	Entries []Entry
}

// Restore replaces the state of the replicated state machine by that of
// Snapshot. Later Commit actions continue after its Index.
type Restore struct {
	Snapshot Snapshot
}

// BecameLeader reports that the member won the election of Term.
type BecameLeader struct {
	Term Term
}

// SteppedDown reports that the member no longer leads in Term. Its uncommitted
// entries may still be committed by a later leader.
type SteppedDown struct {
	Term Term
}

// Answer is the response to an event or proposal that carries an ID.
type Answer struct {
	ID uint64
	// Err is nil if the event was accepted. Otherwise the event had no
	// effect and never will.
	Err error
	// Index and Term are those of the entry that was appended for the event, or
	// 0. The proposal succeeded if the entry committed at Index is of Term; it
	// failed for good if the entry committed there is of another term. The
	// Answer to a Bootstrap has only the Index of the snapshot.
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

// FailedError is the refusal of a member that has stopped after a Failed event.
type FailedError struct {
	// Cause is the cause from the Failed event.
	Cause error
}

// Error implements error.
func (e *FailedError) Error() string {
	return "jury: the member has failed: " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *FailedError) Unwrap() error {
	return e.Cause
}

// The values of Answer.Err, besides FailedError and the errors for a voter
// change that is not permitted.
var (
	// ErrNotLeader means that the member is not the leader.
	ErrNotLeader = errors.New("jury: not the leader")
	// ErrNoLease means that the leader's lease has ended, because no quorum of
	// voters answered recently.
	ErrNoLease = errors.New("jury: the leader has not heard from a quorum lately")
	// ErrTransferring means that a leadership transfer is in progress.
	ErrTransferring = errors.New("jury: the leader is handing over")
	// ErrOverloaded means that the leader has too many uncommitted entries or
	// too much uncommitted data.
	ErrOverloaded = errors.New("jury: too many entries are uncommitted")
	// ErrChangePending means that the leader has not yet committed an entry of
	// its term or the previous change of voters.
	ErrChangePending = errors.New("jury: an earlier change is not committed yet")
	// ErrNotBlank means that the member already belongs to another cluster, or
	// that the Bootstrap lacks a cluster or voters.
	ErrNotBlank = errors.New("jury: the member already holds an initial snapshot of another cluster")
	// ErrNoVoter means that no other voter is available to take over the
	// leadership.
	ErrNoVoter = errors.New("jury: no other voter is there to take over")
)
