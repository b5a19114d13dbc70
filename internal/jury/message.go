package jury

import "time"

// Message is a message between two members. The network may lose, duplicate,
// delay or reorder messages. Messages are immutable.
type Message struct {
	From Identity
	// To is the recipient's identity. A member ignores messages to any other
	// identity. After the loss of its disk it therefore ignores messages to its
	// former identity.
	To Identity
	// Cluster is empty if the sender is blank.
	Cluster string
	// Term is the sender's term. In a VoteRequest with Pre, it is the term that
	// the sender would campaign in.
	Term Term
	Body Body
}

// Body is the content of a Message: VoteRequest, VoteAnswer, Append,
// AppendAnswer, InstallRequest, Heartbeat, HeartbeatAnswer, TakeOver, Join,
// RestartProbe or RestartAnswer.
type Body interface {
	body()
}

// VoteRequest asks for a vote (RequestVote in Raft).
type VoteRequest struct {
	// Pre marks a pre-vote: the receiver answers whether it would grant the vote
	// and changes no state.
	Pre bool
	// Transfer marks a campaign that the leader requested with TakeOver. That
	// leader has given up its lease.
	Transfer bool
	// Restarted is the receiver's process in a restart election, else 0.
	Restarted uint64
	LastIndex Index
	LastTerm  Term
}

// VoteAnswer answers a VoteRequest.
type VoteAnswer struct {
	Pre bool
	// For is the term of the candidate's campaign.
	For     Term
	Granted bool
}

// Append replicates entries from the leader (AppendEntries in Raft).
type Append struct {
	// Prev and PrevTerm are the index and the term of the entry before Entries.
	Prev     Index
	PrevTerm Term
	Entries  []Entry
	Commit   Index
	// Sent is the time of sending on the leader's clock, counted from the
	// leader's start. The answer echoes it.
	Sent time.Duration
}

// AppendAnswer answers an Append or an InstallRequest. It is sent only after all
// entries that it acknowledges are synced.
type AppendAnswer struct {
	Rejected bool
	// Match is the index of the last entry known to match the leader's log. If
	// Rejected is set, it is the Prev of the rejected Append.
	Match Index
	// Hint and HintTerm are the index and the term of the receiver's last entry
	// that may match the leader's log. They are set only if Rejected is set.
	Hint     Index
	HintTerm Term
	Sent     time.Duration
}

// InstallRequest sends a snapshot to a member that needs entries which the
// leader has compacted (InstallSnapshot in Raft).
type InstallRequest struct {
	Snapshot Snapshot
	Sent     time.Duration
}

// Heartbeat extends the leader's lease and propagates the commit index.
type Heartbeat struct {
	Sent time.Duration
	// Commit is the leader's commit index, limited to the last entry of the
	// receiver that is known to match the leader's log.
	Commit Index
	// Token is the latest read request token from the receiver, or 0.
	Token uint64
	// FreshIndex answers the read request: it is the leader's commit index, read
	// under the lease after the leader received Token. It is 0 if the leader
	// cannot confirm that its commit index is the latest.
	FreshIndex Index
}

// HeartbeatAnswer answers a Heartbeat.
type HeartbeatAnswer struct {
	Sent time.Duration
	// Last is the last index of the answering member's log, synced or not.
	Last Index
	// Token identifies a read request that the answering member makes with this
	// answer. The leader returns the token in its next Heartbeat.
	Token uint64
}

// TakeOver asks a voter to campaign immediately (TimeoutNow in Raft). The sender
// has given up its lease for the rest of its term.
type TakeOver struct{}

// Join asks the leader to replicate to the sender as a learner (a non-voting
// member).
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
