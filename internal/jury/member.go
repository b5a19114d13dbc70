package jury

import (
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"
)

// Role is the Raft role of a member in its current term.
type Role uint8

// The roles.
const (
	// Follower replicates from a leader or waits for one.
	Follower Role = iota
	// Candidate collects pre-votes or votes.
	Candidate
	// Leader appends to the log and replicates it to the other members.
	Leader
)

// Member is one member of a Raft cluster. It is not safe for concurrent use.
type Member struct {
	options Options
	random  *rand.Rand
	// startedAt is when the Member was created. Times in messages are relative
	// to it.
	startedAt time.Time
	// failure is not nil once the member has stopped after a failure.
	failure error

	// hardState may be newer than the one on disk. Messages that depend on it
	// wait in writes.
	hardState HardState
	log       entryLog
	writes    diskWrites
	// cluster is the only cluster that the member may belong to. It is empty if
	// the member may join any.
	cluster string
	// snapshot is the latest snapshot. Its Index is 0 in a blank member.
	snapshot Snapshot
	// voterSets are the voter sets by log index. The first is in force at the
	// index of the snapshot, the last is in force now.
	voterSets []voterSet
	// commitIndex never decreases and never exceeds the last index of the log.
	commitIndex Index

	role   Role
	leader Identity
	// leaderContactAt is when the member last received a message from a leader
	// of its term, or when it started.
	leaderContactAt time.Time
	nextCampaignAt  time.Time
	tally           voteTally
	// leading is nil unless role is Leader.
	leading *leaderState
	// hadLeader is set once this process has led or heard from a leader.
	hadLeader bool
	reads     readTracker
	restart   restartElection

	// actions are the actions that Handle returns.
	actions []Action
	// toSelf are the pending messages from the member to itself.
	toSelf []Message
	// mutations are the mutations enabled by a test. It is always 0 in
	// production.
	mutations mutation
}

// New returns a member that starts from state. It returns an error if options
// or state are invalid. The replicated state machine must start from the
// snapshot in state; Commit actions continue after it.
//
// New treats the start as contact with a leader, so that a restarted voter
// withholds its vote for an election timeout. Otherwise it could help to elect a
// leader while the lease that it supported before a crash still runs, and two
// leaders would send orders to upstreams at the same time.
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
		options:         options,
		random:          rand.New(rand.NewPCG(options.Seed, uint64(len(options.Self)))),
		startedAt:       now,
		hardState:       state.HardState,
		log:             log,
		snapshot:        state.Snapshot,
		commitIndex:     state.Snapshot.Index,
		leaderContactAt: now,
	}
	m.writes.submitted, m.writes.synced = log.last(), log.last()
	if last := log.lastTerm(); last > m.hardState.Term {
		// The process crashed after it wrote a snapshot of a later term and
		// before it wrote that term. The member has not voted in that term.
		m.hardState = HardState{Term: last}
	}
	if stale {
		m.writes.pending = batch{dirty: true, truncateFrom: state.Snapshot.Index}
	}
	m.reads.lastToken = m.random.Uint64() | 1
	m.restart = newRestartElection(m.random.Uint64() | 1)
	m.cluster = state.Cluster
	if m.snapshot.Index > 0 {
		m.snapshot.Cluster = state.Cluster
		m.voterSets = []voterSet{newVoterSet(m.snapshot.Index, m.snapshot.Voters)}
	}
	for i := range log.entries {
		if err := m.recordVoterSet(log.entries[i]); err != nil {
			return nil, err
		}
	}
	m.scheduleCampaign(now)
	return m, nil
}

// Handle processes one event and returns the actions for the driver, in order.
// The value of now must not decrease between calls.
func (m *Member) Handle(now time.Time, event Event) []Action {
	m.actions = nil
	if m.failure != nil {
		m.refuseAfterFailure(event)
		return m.actions
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
	m.finishEvent(now)
	return m.actions
}

// finishEvent processes the member's messages to itself and persists unwritten
// state.
func (m *Member) finishEvent(now time.Time) {
	for len(m.toSelf) > 0 {
		message := m.toSelf[0]
		m.toSelf = m.toSelf[1:]
		m.receive(now, message)
	}
	m.persist()
}

// fail stops the member for good. A leader steps down, because it can no longer
// guarantee that its entries are persisted.
func (m *Member) fail(cause error) {
	m.stepDown()
	m.failure = cause
	m.leader = ""
	m.toSelf = nil
}

// refuseAfterFailure answers an event of a stopped member with its failure.
func (m *Member) refuseAfterFailure(event Event) {
	switch e := event.(type) {
	case Propose:
		for _, proposal := range e.Proposals {
			m.actions = append(m.actions, Answer{ID: proposal.ID, Err: m.failure})
		}
	case ChangeVoters:
		m.actions = append(m.actions, Answer{ID: e.ID, Err: m.failure})
	case TransferLeadership:
		m.actions = append(m.actions, Answer{ID: e.ID, Err: m.failure})
	case Bootstrap:
		m.actions = append(m.actions, Answer{ID: e.ID, Err: m.failure})
	case Tick, Receive, Synced, Compact, Failed:
	}
}

func (m *Member) tick(now time.Time) {
	if m.leading != nil {
		m.tickLeader(now)
		return
	}
	m.probeRestart(now)
	if now.Before(m.nextCampaignAt) {
		return
	}
	if m.mayCampaign() {
		m.campaign(now, campaignOptions{preVote: true})
		return
	}
	m.leader = ""
	m.scheduleCampaign(now)
}

// blank reports whether the member has no snapshot yet. Its cluster may already
// be recorded.
func (m *Member) blank() bool {
	return m.snapshot.Index == 0
}

// voters returns the voter set in force, which is the latest in the log,
// committed or not.
func (m *Member) voters() voterSet {
	if len(m.voterSets) == 0 {
		return voterSet{}
	}
	return m.voterSets[len(m.voterSets)-1]
}

func (m *Member) isVoter() bool {
	return !m.blank() && m.voters().contains(m.options.Self)
}

// mayCampaign reports whether the member may campaign. It may if it is a voter
// or if the change that removed it is not committed.
//
// A leader may fail after it appended its own removal and before any other voter
// received the entry. If the others need its vote for a majority, its longer log
// prevents it from voting for them, and no other member could ever be elected.
// The removed leader therefore campaigns and leads until its removal is
// committed. Its own vote does not count.
func (m *Member) mayCampaign() bool {
	if m.blank() || m.isVoter() {
		return !m.blank()
	}
	count := len(m.voterSets)
	return m.voters().index > m.commitIndex && count > 1 && m.voterSets[count-2].contains(m.options.Self)
}

// recordVoterSet records the voter set of an EntryVoters. It ignores other
// entries.
func (m *Member) recordVoterSet(entry Entry) error {
	if entry.Kind != EntryVoters {
		return nil
	}
	ids, err := DecodeVoters(entry.Data)
	if err != nil {
		return err
	}
	m.voterSets = append(m.voterSets, newVoterSet(entry.Index, ids))
	return nil
}

// append appends entries to the log and puts their voter sets in force.
func (m *Member) append(entries ...Entry) {
	for _, entry := range entries {
		if err := m.recordVoterSet(entry); err != nil {
			m.fail(err)
			return
		}
		m.log.append(entry)
	}
}

// truncate removes the entries from index on, with their voter sets.
func (m *Member) truncate(index Index) {
	m.log.truncate(index)
	m.writes.noteTruncation(index)
	for len(m.voterSets) > 1 && m.voters().index >= index {
		m.voterSets = m.voterSets[:len(m.voterSets)-1]
	}
}

// commitTo advances the commit index to index, or to the end of the log if that
// is lower, and emits a Commit of the newly committed entries.
func (m *Member) commitTo(index Index) {
	index = min(index, m.log.last())
	if index <= m.commitIndex {
		return
	}
	entries := m.log.entriesFrom(m.commitIndex+1, 0)[:index-m.commitIndex]
	m.commitIndex = index
	if m.leading != nil {
		for _, entry := range entries {
			if entry.Index >= m.leading.barrier {
				m.leading.uncommittedBytes -= len(entry.Data)
			}
		}
	}
	m.actions = append(m.actions, Commit{Entries: entries[:len(entries):len(entries)]})
	m.advanceFreshness()
}

func (m *Member) compact(e Compact) {
	term, found := m.log.term(e.Index)
	if !found || e.Index > m.commitIndex || e.Index <= m.snapshot.Index {
		return
	}
	m.snapshot = Snapshot{
		Index:   e.Index,
		Term:    term,
		Cluster: m.snapshot.Cluster,
		Voters:  m.votersAt(e.Index).ids,
		Data:    e.Data,
	}
	snapshot := m.snapshot
	m.writes.pending.dirty = true
	m.writes.pending.snapshot = &snapshot
	if e.Index > Index(m.options.KeptEntries) {
		m.log.compact(e.Index - Index(m.options.KeptEntries))
	}
	for len(m.voterSets) > 1 && m.voterSets[1].index <= m.snapshot.Index {
		m.voterSets = m.voterSets[1:]
	}
}

// votersAt returns the voter set in force at index.
func (m *Member) votersAt(index Index) voterSet {
	inForce := m.voterSets[0]
	for _, set := range m.voterSets {
		if set.index <= index {
			inForce = set
		}
	}
	return inForce
}

func (m *Member) bootstrap(now time.Time, e Bootstrap) {
	if m.cluster != "" && m.cluster != e.Cluster || e.Cluster == "" || len(e.Voters) == 0 {
		m.actions = append(m.actions, Answer{ID: e.ID, Err: ErrNotBlank})
		return
	}
	if m.blank() {
		m.hardState.Term = max(m.hardState.Term, e.Term)
		m.restoreSnapshot(now, Snapshot{
			Index:   max(1, e.Index),
			Cluster: e.Cluster,
			Voters:  newVoterSet(1, e.Voters).ids,
			Data:    e.Data,
		})
	}
	m.afterSync(Answer{ID: e.ID, Index: m.snapshot.Index})
}

// restoreSnapshot replaces the log and the replicated state by a snapshot.
func (m *Member) restoreSnapshot(now time.Time, snapshot Snapshot) {
	m.writes.noteSnapshotInstall(snapshot, m.commitIndex)
	m.snapshot = snapshot
	m.cluster = snapshot.Cluster
	m.log.reset(snapshot.Index, snapshot.Term)
	m.voterSets = []voterSet{newVoterSet(snapshot.Index, snapshot.Voters)}
	m.commitIndex = snapshot.Index
	m.scheduleCampaign(now)
	m.actions = append(m.actions, Restore{Snapshot: snapshot})
	m.advanceFreshness()
}

// send emits a Send without waiting for unsynced state.
func (m *Member) send(message Message) {
	m.actions = append(m.actions, Send{Message: message})
}

// message returns a message of the member's current term.
func (m *Member) message(to Identity, body Body) Message {
	return Message{
		From:    m.options.Self,
		To:      to,
		Cluster: m.snapshot.Cluster,
		Term:    m.hardState.Term,
		Body:    body,
	}
}

// sinceStart returns now in the form used in messages.
func (m *Member) sinceStart(now time.Time) time.Duration {
	return now.Sub(m.startedAt)
}
