package jury

import (
	"slices"
	"time"
)

// maxQuestions bounds the freshness questions that are kept.
const maxQuestions = 32

// heardByQuorum returns the latest time at which a leader sent a message that a
// quorum of voters, itself included, has answered.
func (m *Member) heardByQuorum(now time.Time) time.Time {
	voters := m.voters()
	times := make([]time.Time, 0, len(voters.names))
	for _, name := range voters.names {
		switch peer := m.office.peers[name]; {
		case name == m.options.Self:
			times = append(times, now)
		case peer != nil && m.unsafe(leaseFromAnswer):
			times = append(times, peer.active)
		case peer != nil:
			times = append(times, peer.heard)
		default:
			times = append(times, time.Time{})
		}
	}
	slices.SortFunc(times, func(a, b time.Time) int { return b.Compare(a) })
	return times[voters.quorum()-1]
}

// leaseEnd returns when the leader's lease ends. It returns false if the member
// holds no lease: no other member can have been elected before a lease ends.
//
// The lease counts from when a heartbeat was sent, for a follower may have
// started its refusal to vote as early as that.
func (m *Member) leaseEnd(now time.Time) (time.Time, bool) {
	if m.office == nil || m.failure != nil {
		return time.Time{}, false
	}
	if m.office.transfer.surrendered && !m.unsafe(keepLeaseInTransfer) {
		return time.Time{}, false
	}
	lease := m.options.Lease()
	if m.unsafe(ignoreDrift) {
		lease = m.options.ElectionTimeout
	}
	end := m.heardByQuorum(now).Add(lease)
	return end, now.Before(end)
}

// OrderRight reports whether the member may give orders to upstreams at now,
// under the fencing number term, and when that right ends at the latest.
//
// A caller asks immediately before each send. At most one member at a time
// holds the right or has an order under way that it checked before: a new
// leader waits for Options.Takeover.
func (m *Member) OrderRight(now time.Time) (term Term, until time.Time, ok bool) {
	until, leased := m.leaseEnd(now)
	if !leased || m.commit < m.office.barrier {
		return 0, time.Time{}, false
	}
	if now.Before(m.office.orderFrom) && !m.unsafe(orderAtOnce) {
		return 0, time.Time{}, false
	}
	return m.hard.Term, until, true
}

// question is one freshness question: was the log committed further than this
// member knew at the time at?
type question struct {
	token uint64
	at    time.Time
}

// confirmation says that all that was committed at the time at is at or before
// index.
type confirmation struct {
	index Index
	at    time.Time
}

// freshness follows as of when the member knows all that is committed.
type freshness struct {
	// next is the next token. Tokens begin at a random number, so that an answer
	// to an earlier start of the member matches none.
	next  uint64
	asked []question
	// waiting are confirmations beyond the member's commit index, in order.
	waiting []confirmation
	// asOf is the latest time that is confirmed. It is zero if there is none.
	asOf time.Time
}

// ask returns the token of a new question.
func (f *freshness) ask(now time.Time) uint64 {
	f.next++
	if f.next == 0 {
		f.next = 1
	}
	f.asked = append(f.asked, question{token: f.next, at: now})
	if len(f.asked) > maxQuestions {
		f.asked = slices.Clone(f.asked[1:])
	}
	return f.next
}

// answered takes note of the leader's answer.
func (f *freshness) answered(body Heartbeat) {
	if body.Token == 0 || body.FreshIndex == 0 {
		return
	}
	for i, asked := range f.asked {
		if asked.token == body.Token {
			f.asked = slices.Clone(f.asked[i+1:])
			if len(f.waiting) < maxQuestions {
				f.waiting = append(f.waiting, confirmation{index: body.FreshIndex, at: asked.at})
			}
			return
		}
	}
}

// confirmFreshness makes use of the confirmations that the member has caught up
// with.
func (m *Member) confirmFreshness() {
	f := &m.freshness
	for len(f.waiting) > 0 && f.waiting[0].index <= m.commit {
		if f.waiting[0].at.After(f.asOf) {
			f.asOf = f.waiting[0].at
		}
		f.waiting = f.waiting[1:]
	}
}

// Freshness returns the latest time of which the member knows that it had, by
// now, all entries that were committed anywhere at that time. If there is none
// since the member started, Freshness returns false.
func (m *Member) Freshness(now time.Time) (asOf time.Time, ok bool) {
	if m.vouches(now) {
		return now, true
	}
	return m.freshness.asOf, !m.freshness.asOf.IsZero()
}

// vouches reports whether the member, as leader, knows all that is committed:
// it has committed an entry of its term, and its lease excludes a later leader.
func (m *Member) vouches(now time.Time) bool {
	_, leased := m.leaseEnd(now)
	if m.office != nil && m.unsafe(vouchWithoutLease) {
		leased = true
	}
	return leased && m.commit >= m.office.barrier
}
