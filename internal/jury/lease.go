package jury

import (
	"slices"
	"time"
)

// maxReadRequests limits both the unanswered read requests of a member and the
// confirmations that wait for its commit index.
const maxReadRequests = 32

// quorumContactAt returns the latest time such that a quorum of voters, the
// leader included, has answered messages sent at or after it.
func (m *Member) quorumContactAt(now time.Time) time.Time {
	voters := m.voters()
	times := make([]time.Time, 0, len(voters.ids))
	for _, id := range voters.ids {
		switch peer := m.leading.peers[id]; {
		case id == m.options.Self:
			times = append(times, now)
		case peer != nil && m.mutated(leaseFromReceipt):
			times = append(times, peer.lastAnswerAt)
		case peer != nil:
			times = append(times, peer.answeredSendAt)
		default:
			times = append(times, time.Time{})
		}
	}
	slices.SortFunc(times, func(a, b time.Time) int { return b.Compare(a) })
	return times[voters.quorum()-1]
}

// leaseEnd returns when the leader's lease ends, and whether the member holds a
// lease. No other member can be elected before the lease ends.
//
// The lease starts when a message is sent and not when its answer arrives: a
// follower may have received the message, and started to withhold its vote,
// right after the send.
func (m *Member) leaseEnd(now time.Time) (time.Time, bool) {
	if m.leading == nil || m.failure != nil {
		return time.Time{}, false
	}
	if m.leading.transfer.leaseGivenUp && !m.mutated(keepLeaseDuringTransfer) {
		return time.Time{}, false
	}
	duration := m.options.Lease()
	if m.mutated(ignoreClockDrift) {
		duration = m.options.ElectionTimeout
	}
	end := m.quorumContactAt(now).Add(duration)
	return end, now.Before(end)
}

// OrderRight reports whether the member may send orders (commands) to upstreams
// at now, with term as the fencing number. Unless the lease is extended, the right
// ends at until or earlier.
//
// The caller must check OrderRight immediately before each send. At most one
// member at a time holds the right or has orders in flight from when it held
// it, because a new leader waits for Options.TakeoverWait.
func (m *Member) OrderRight(now time.Time) (term Term, until time.Time, ok bool) {
	until, leased := m.leaseEnd(now)
	if !leased || m.commitIndex < m.leading.barrier {
		return 0, time.Time{}, false
	}
	if now.Before(m.leading.ordersFrom) && !m.mutated(skipTakeoverWait) {
		return 0, time.Time{}, false
	}
	return m.hardState.Term, until, true
}

// readRequest asks the leader for a read index, which is its commit index. Once
// the member has committed up to it, the member has all entries that were
// committed at sentAt. This is the ReadIndex protocol of Raft, with requests and
// answers carried by heartbeats.
type readRequest struct {
	token  uint64
	sentAt time.Time
}

// readConfirmation is the answer to a readRequest: no entry after index was
// committed at sentAt, the time of the request.
type readConfirmation struct {
	index  Index
	sentAt time.Time
}

// readTracker tracks a member's read requests and its Freshness.
type readTracker struct {
	// lastToken is the token of the latest request. Tokens start at a random
	// number, so that an answer from before a restart matches no request.
	lastToken uint64
	pending   []readRequest
	// awaitingCommit are the confirmations of indices that the member may not
	// have committed yet, in order.
	awaitingCommit []readConfirmation
	// asOf is the latest time for which the member is known to have committed
	// all entries. It is zero if there is none.
	asOf time.Time
}

// newRequest adds a request and returns its token, which is never 0.
func (r *readTracker) newRequest(now time.Time) uint64 {
	r.lastToken++
	if r.lastToken == 0 {
		r.lastToken = 1
	}
	r.pending = append(r.pending, readRequest{token: r.lastToken, sentAt: now})
	if len(r.pending) > maxReadRequests {
		r.pending = slices.Clone(r.pending[1:])
	}
	return r.lastToken
}

// recordAnswer records the leader's answer to a request. It drops the older
// pending requests.
func (r *readTracker) recordAnswer(body Heartbeat) {
	if body.Token == 0 || body.FreshIndex == 0 {
		return
	}
	for i, request := range r.pending {
		if request.token == body.Token {
			r.pending = slices.Clone(r.pending[i+1:])
			if len(r.awaitingCommit) < maxReadRequests {
				r.awaitingCommit = append(r.awaitingCommit, readConfirmation{index: body.FreshIndex, sentAt: request.sentAt})
			}
			return
		}
	}
}

// advanceFreshness consumes the confirmations up to the commit index.
func (m *Member) advanceFreshness() {
	reads := &m.reads
	for len(reads.awaitingCommit) > 0 && reads.awaitingCommit[0].index <= m.commitIndex {
		if reads.awaitingCommit[0].sentAt.After(reads.asOf) {
			reads.asOf = reads.awaitingCommit[0].sentAt
		}
		reads.awaitingCommit = reads.awaitingCommit[1:]
	}
}

// Freshness returns the latest time asOf for which the member is certain to have
// all entries that the cluster had committed by then. It returns false if there
// has been no such time since the member started.
func (m *Member) Freshness(now time.Time) (asOf time.Time, ok bool) {
	if m.canConfirmReads(now) {
		return now, true
	}
	return m.reads.asOf, !m.reads.asOf.IsZero()
}

// canConfirmReads reports whether the member is a leader that certainly has the
// latest commit index: it has committed an entry of its term, and its lease
// rules out a later leader.
func (m *Member) canConfirmReads(now time.Time) bool {
	_, leased := m.leaseEnd(now)
	if m.leading != nil && m.mutated(readWithoutLease) {
		leased = true
	}
	return leased && m.commitIndex >= m.leading.barrier
}
