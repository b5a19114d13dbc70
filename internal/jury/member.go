package jury

import (
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"
)

// Role is the part that a member plays in its term.
type Role uint8

// The roles.
const (
	// Follower answers a leader, or waits for one.
	Follower Role = iota
	// Candidate gathers votes.
	Candidate
	// Leader orders the log.
	Leader
)

// Member is one member of the agreement. It is not safe for concurrent use.
type Member struct {
	options Options
	random  *rand.Rand
	// start is when the member was made. Times in messages count from it.
	start time.Time
	// failure is not nil once the member takes no further part.
	failure error

	// hard may be ahead of the disk; messages that rest on it wait in disk.
	hard HardState
	log  entryLog
	disk disk
	// cluster is the only one that the member may belong to, or empty.
	cluster string
	// snapshot is the latest snapshot. Its Index is 0 in a blank member.
	snapshot Snapshot
	// sets are the sets of voters of the log in order, the first in force at
	// the snapshot or at the base of the log, the last in force now.
	sets []voterSet
	// commit never falls, and never exceeds the last index of the log.
	commit Index

	role   Role
	leader Identity
	// heard is when the member last heard from a leader, or when it started.
	heard      time.Time
	electionAt time.Time
	ballot     ballot
	// office is nil unless role is Leader.
	office *office
	// begun is whether the cluster is known to have had a leader.
	begun     bool
	freshness freshness

	out []Action
	// own are messages of the member to itself that are to be handled.
	own []Message
	// weakened are the safeguards that a test took out. It is 0 in a product.
	weakened safeguard
}

// New returns the member that holds state. If options or state cannot be used,
// New returns an error. The replicated state machine begins with the snapshot
// in state; Commit goes on after it.
//
// A new member counts as having heard from a leader at now. Else a voter that
// restarts could help to elect a leader while the lease that it had granted
// before the crash still runs, and two leaders would order at a time.
func New(now time.Time, options Options, state State) (*Member, error) {
	options = options.withDefaults()
	if err := errors.CombineErrors(options.check(), state.check()); err != nil {
		return nil, err
	}
	log, stale, err := state.logAfterSnapshot()
	if err != nil {
		return nil, err
	}
	m := &Member{
		options:  options,
		random:   rand.New(rand.NewPCG(options.Seed, uint64(len(options.Self)))),
		start:    now,
		hard:     state.HardState,
		log:      log,
		snapshot: state.Snapshot,
		commit:   state.Snapshot.Index,
		heard:    now,
	}
	m.disk.handed, m.disk.synced = log.last(), log.last()
	if last := log.lastTerm(); last > m.hard.Term {
		// A crash came after a snapshot of a later term was written and before
		// the term was. No vote was given in that term.
		m.hard = HardState{Term: last}
	}
	if stale {
		m.disk.pending = batch{dirty: true, truncate: state.Snapshot.Index}
	}
	m.freshness.next = m.random.Uint64() | 1
	m.cluster = state.Cluster
	if m.snapshot.Index > 0 {
		m.snapshot.Cluster = state.Cluster
		m.sets = []voterSet{newVoterSet(m.snapshot.Index, m.snapshot.Voters)}
	}
	for i := range log.entries {
		if err := m.noteVoters(log.entries[i]); err != nil {
			return nil, err
		}
	}
	m.resetElection(now)
	return m, nil
}

// Handle takes in one event and returns what the driver is to do, in order.
// Calls must not go back in time.
func (m *Member) Handle(now time.Time, event Event) []Action {
	m.out = nil
	if m.failure != nil {
		m.refuse(event)
		return m.out
	}
	switch e := event.(type) {
	case Tick:
		m.tick(now)
	case Receive:
		m.receive(now, e.Message)
	case Propose:
		m.propose(now, e.Proposals)
	case Synced:
		if m.batchSynced(e.Batch) {
			m.advanceCommit(now)
		}
	case Compact:
		m.compact(e)
	case ChangeVoters:
		m.changeVoters(now, e)
	case TransferLeadership:
		m.transferLeadership(now, e)
	case Bootstrap:
		m.bootstrap(now, e)
	case Failed:
		m.fail(&FailedError{Cause: e.Cause})
	}
	m.settle(now)
	return m.out
}

// settle handles what the member sent to itself and writes what is to be
// written.
func (m *Member) settle(now time.Time) {
	for len(m.own) > 0 {
		message := m.own[0]
		m.own = m.own[1:]
		m.receive(now, message)
	}
	m.persist()
}

// fail takes the member out for good. A leader loses its office: it could no
// longer vouch for what it appends.
func (m *Member) fail(cause error) {
	m.stepDown()
	m.failure = cause
	m.leader = ""
	m.own = nil
}

// refuse answers an event after a failure.
func (m *Member) refuse(event Event) {
	switch e := event.(type) {
	case Propose:
		for _, proposal := range e.Proposals {
			m.out = append(m.out, Answer{ID: proposal.ID, Refusal: m.failure})
		}
	case ChangeVoters:
		m.out = append(m.out, Answer{ID: e.ID, Refusal: m.failure})
	case TransferLeadership:
		m.out = append(m.out, Answer{ID: e.ID, Refusal: m.failure})
	case Bootstrap:
		m.out = append(m.out, Answer{ID: e.ID, Refusal: m.failure})
	case Tick, Receive, Synced, Compact, Failed:
	}
}

func (m *Member) tick(now time.Time) {
	if m.office != nil {
		m.lead(now)
		return
	}
	if now.Before(m.electionAt) {
		return
	}
	if m.mayCampaign() {
		m.campaign(now, campaignKind{pre: true})
		return
	}
	m.leader = ""
	m.resetElection(now)
}

// blank reports whether the member belongs to no cluster yet.
func (m *Member) blank() bool {
	return m.snapshot.Index == 0
}

// voters returns the set of voters in force: the latest in the log, committed
// or not.
func (m *Member) voters() voterSet {
	if len(m.sets) == 0 {
		return voterSet{}
	}
	return m.sets[len(m.sets)-1]
}

func (m *Member) isVoter() bool {
	return !m.blank() && m.voters().contains(m.options.Self)
}

// mayCampaign reports whether the member may campaign: if it is a voter, or if
// only an uncommitted change has removed it.
//
// A leader may fail after it appended its own removal and before another voter
// had the entry. The others may need its vote, which its longer log forbids it
// to give, so that nobody else could ever be elected. It leads just long enough
// to commit its removal; its own vote does not count.
func (m *Member) mayCampaign() bool {
	if m.blank() || m.isVoter() {
		return !m.blank()
	}
	count := len(m.sets)
	return m.voters().index > m.commit && count > 1 && m.sets[count-2].contains(m.options.Self)
}

// noteVoters takes note of a set of voters if entry holds one.
func (m *Member) noteVoters(entry Entry) error {
	if entry.Kind != EntryVoters {
		return nil
	}
	names, err := DecodeVoters(entry.Data)
	if err != nil {
		return err
	}
	m.sets = append(m.sets, newVoterSet(entry.Index, names))
	return nil
}

// append appends entries to the log.
func (m *Member) append(entries ...Entry) {
	for _, entry := range entries {
		if err := m.noteVoters(entry); err != nil {
			m.fail(err)
			return
		}
		m.log.append(entry)
	}
}

// truncate removes the entries from index on.
func (m *Member) truncate(index Index) {
	m.log.truncate(index)
	m.disk.truncated(index)
	for len(m.sets) > 1 && m.voters().index >= index {
		m.sets = m.sets[:len(m.sets)-1]
	}
}

// commitTo hands over the entries up to index.
func (m *Member) commitTo(index Index) {
	index = min(index, m.log.last())
	if index <= m.commit {
		return
	}
	entries := m.log.from(m.commit+1, 0)[:index-m.commit]
	m.commit = index
	if m.office != nil {
		for _, entry := range entries {
			if entry.Index >= m.office.barrier {
				m.office.uncommitted -= len(entry.Data)
			}
		}
	}
	m.out = append(m.out, Commit{Entries: entries[:len(entries):len(entries)]})
	m.confirmFreshness()
}

func (m *Member) compact(e Compact) {
	term, held := m.log.term(e.Index)
	if !held || e.Index > m.commit || e.Index <= m.snapshot.Index {
		return
	}
	m.snapshot = Snapshot{
		Index:   e.Index,
		Term:    term,
		Cluster: m.snapshot.Cluster,
		Voters:  m.votersAt(e.Index).names,
		Data:    e.Data,
	}
	snapshot := m.snapshot
	m.disk.pending.dirty = true
	m.disk.pending.snapshot = &snapshot
	if e.Index > Index(m.options.Kept) {
		m.log.compact(e.Index - Index(m.options.Kept))
	}
	for len(m.sets) > 1 && m.sets[1].index <= m.snapshot.Index {
		m.sets = m.sets[1:]
	}
}

// votersAt returns the set of voters in force at index.
func (m *Member) votersAt(index Index) voterSet {
	found := m.sets[0]
	for _, set := range m.sets {
		if set.index <= index {
			found = set
		}
	}
	return found
}

func (m *Member) bootstrap(now time.Time, e Bootstrap) {
	if m.cluster != "" && m.cluster != e.Cluster || e.Cluster == "" || len(e.Voters) == 0 {
		m.out = append(m.out, Answer{ID: e.ID, Refusal: ErrNotBlank})
		return
	}
	if m.blank() {
		m.hard.Term = max(m.hard.Term, e.Term)
		m.restore(now, Snapshot{
			Index:   max(1, e.Index),
			Cluster: e.Cluster,
			Voters:  newVoterSet(1, e.Voters).names,
			Data:    e.Data,
		})
	}
	m.afterSync(Answer{ID: e.ID, Index: m.snapshot.Index})
}

// restore replaces all that the member holds by a snapshot.
func (m *Member) restore(now time.Time, snapshot Snapshot) {
	m.disk.installed(snapshot, m.commit)
	m.snapshot = snapshot
	m.cluster = snapshot.Cluster
	m.log.reset(snapshot.Index, snapshot.Term)
	m.sets = []voterSet{newVoterSet(snapshot.Index, snapshot.Voters)}
	m.commit = snapshot.Index
	m.resetElection(now)
	m.out = append(m.out, Restore{Snapshot: snapshot})
	m.confirmFreshness()
}

// send sends a message of the member's present term.
func (m *Member) send(message Message) {
	m.out = append(m.out, Send{Message: message})
}

// message returns a message of the member's present term.
func (m *Member) message(to Identity, body Body) Message {
	return Message{
		From:    m.options.Self,
		To:      to,
		Cluster: m.snapshot.Cluster,
		Term:    m.hard.Term,
		Body:    body,
	}
}

// stamp returns now as it is written in messages.
func (m *Member) stamp(now time.Time) time.Duration {
	return now.Sub(m.start)
}
