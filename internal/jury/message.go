package jury

import "time"

// Message is what one member sends to another. A message may be lost, doubled,
// late or out of order. Messages are immutable.
type Message struct {
	From Identity
	// To is the identity that the message is for. A member ignores a message to
	// an identity that is not its own, so that a member that lost its disk gets
	// nothing that was meant for the one it was.
	To Identity
	// Cluster is empty if the sender is blank.
	Cluster string
	// Term is the sender's term, but in a VoteRequest with Pre it is the term
	// that the sender would campaign in.
	Term Term
	Body Body
}

// Body is the content of a Message. It is one of VoteRequest, VoteAnswer,
// Append, AppendAnswer, InstallRequest, Heartbeat, HeartbeatAnswer, TakeOver
// and Join.
type Body interface {
	body()
}

// VoteRequest asks for a vote.
type VoteRequest struct {
	// Pre asks whether the vote would be given, and changes nothing.
	Pre bool
	// Transfer says that the leader asked for this campaign and has given up
	// its lease.
	Transfer  bool
	LastIndex Index
	LastTerm  Term
}

// VoteAnswer answers a VoteRequest.
type VoteAnswer struct {
	Pre bool
	// For is the term of the campaign that is answered.
	For     Term
	Granted bool
}

// Append carries entries from a leader.
type Append struct {
	// Prev and PrevTerm name the entry before Entries.
	Prev     Index
	PrevTerm Term
	Entries  []Entry
	Commit   Index
	// Sent is when the leader sent the message, counted on its own clock. The
	// answer returns it.
	Sent time.Duration
}

// AppendAnswer answers an Append or an InstallRequest. It is sent only when all
// that it acknowledges is synced.
type AppendAnswer struct {
	Rejected bool
	// Match is the last entry known to equal the leader's, or, if Rejected, the
	// Prev of the Append that was rejected.
	Match Index
	// Hint and HintTerm are, if Rejected, the last entry of the receiver that
	// may equal the leader's.
	Hint     Index
	HintTerm Term
	Sent     time.Duration
}

// InstallRequest carries a snapshot to a member that is too far behind for
// entries.
type InstallRequest struct {
	Snapshot Snapshot
	Sent     time.Duration
}

// Heartbeat keeps the leader's lease and tells how far the log is committed.
type Heartbeat struct {
	Sent time.Duration
	// Commit is the leader's commit index, as far as the receiver is known to
	// hold the leader's entries.
	Commit Index
	// Token is the latest token of the receiver that the leader got, or 0.
	Token uint64
	// FreshIndex is the leader's commit index, read under its lease after it
	// got Token. It is 0 if the leader cannot vouch for it.
	FreshIndex Index
}

// HeartbeatAnswer answers a Heartbeat.
type HeartbeatAnswer struct {
	Sent time.Duration
	// Last is the last index of the receiver's log, synced or not.
	Last Index
	// Token names the time at which the answer was sent on the receiver's
	// clock. The leader returns it in its next Heartbeat.
	Token uint64
}

// TakeOver asks a voter to campaign at once. The sender has given up its lease
// for the rest of its term.
type TakeOver struct{}

// Join asks a leader to replicate to the sender as a learner.
type Join struct{}

func (VoteRequest) body()     {}
func (VoteAnswer) body()      {}
func (Append) body()          {}
func (AppendAnswer) body()    {}
func (InstallRequest) body()  {}
func (Heartbeat) body()       {}
func (HeartbeatAnswer) body() {}
func (TakeOver) body()        {}
func (Join) body()            {}
