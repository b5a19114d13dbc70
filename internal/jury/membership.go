package jury

import (
	"time"

	"github.com/cockroachdb/errors"
)

// errForked means that a leader's log conflicts with a committed entry. This is
// impossible unless a disk loses synced data or an identity is reused.
var errForked = errors.New("jury: the leader contradicts a committed entry; the cluster has forked")

// changeVoters appends the entry for a change of voters.
func (m *Member) changeVoters(now time.Time, e ChangeVoters) {
	set, err := m.nextVoterSet(now, e)
	if err != nil {
		m.actions = append(m.actions, Answer{ID: e.ID, Err: err})
		return
	}
	data, err := EncodeVoters(set.ids)
	if err != nil {
		m.actions = append(m.actions, Answer{ID: e.ID, Err: err})
		return
	}
	m.appendToLeaderLog(e.ID, EntryVoters, data)
	m.replicateAll(now)
}

// nextVoterSet returns the voter set after the change, or an error if the change
// is not permitted.
//
// If two sets differ by one voter, every quorum of one overlaps every quorum of
// the other, so they cannot make conflicting decisions. Therefore only one change
// may be in progress, and the leader must first have committed an entry of its
// term: before that, it may not know about a change that an earlier leader
// started.
func (m *Member) nextVoterSet(now time.Time, e ChangeVoters) (voterSet, error) {
	if err := m.proposalRefusal(now); err != nil {
		return voterSet{}, err
	}
	pending := m.commitIndex < m.leading.barrier || m.commitIndex < m.voters().index
	if pending && !m.mutated(overlapChanges) {
		return voterSet{}, ErrChangePending
	}
	var set voterSet
	switch {
	case (e.Add == "") == (e.Remove == ""):
		return voterSet{}, errors.New("jury: a change adds one voter or removes one")
	case e.Add != "":
		if err := m.checkNewVoter(now, e.Add); err != nil {
			return voterSet{}, err
		}
		set = m.voters().with(e.Add)
	case !m.voters().contains(e.Remove):
		return voterSet{}, errors.Newf("jury: %s is no voter", e.Remove)
	case len(m.voters().ids) == 1:
		return voterSet{}, errors.New("jury: the last voter cannot be removed")
	default:
		set = m.voters().without(e.Remove)
	}
	return set, m.checkQuorumMargin(now, e, set)
}

// checkQuorumMargin returns an error if the changed set could lose its
// majority.
//
// A change takes effect as soon as it is appended. Suppose that it removes a
// voter that could return, and another voter is lost at that moment. The change
// can then be neither committed nor reverted, and the cluster stays unavailable
// even when a majority of the old set is back. A removal therefore requires that
// the new set can lose one more voter, or that the removed voter is known to
// have lost its disk. A removal that leaves a single voter is exempt.
func (m *Member) checkQuorumMargin(now time.Time, e ChangeVoters, set voterSet) error {
	live := m.countLive(now, set)
	spare := live - set.quorum()
	switch {
	case spare < 0:
		return errors.Newf("jury: only %d voters of the changed set of %d answer, fewer than a majority",
			live, len(set.ids))
	case e.Remove == "" || spare > 0 || len(set.ids) == 1 || m.knownDiskLost(now, e.Remove):
		return nil
	}
	return errors.Newf("jury: without %s the voters could not lose another one; "+
		"add another voter before, or start its instance on an empty folder if its disk is lost", e.Remove)
}

// knownDiskLost reports whether the voter's instance answers under another
// identity and no longer under this one. It has then lost its disk and never
// returns as this voter.
func (m *Member) knownDiskLost(now time.Time, voter Identity) bool {
	if p := m.leading.peers[voter]; p != nil && m.answersRecently(now, p) {
		return false
	}
	for id, p := range m.leading.peers {
		if id != voter && id.Instance() == voter.Instance() && m.answersRecently(now, p) {
			return true
		}
	}
	return false
}

// checkNewVoter returns an error if id cannot become a voter.
func (m *Member) checkNewVoter(now time.Time, id Identity) error {
	for _, voter := range m.voters().ids {
		if voter == id {
			return errors.Newf("jury: %s is a voter already", id)
		}
		if voter.Instance() == id.Instance() {
			return errors.Newf("jury: %s is still a voter; remove it before %s is added", voter, id)
		}
	}
	p := m.leading.peers[id]
	if p == nil || !m.answersRecently(now, p) {
		return errors.Newf("jury: %s is no learner that answers", id)
	}
	if p.match < m.commitIndex {
		return errors.Newf("jury: %s has caught up to entry %d of %d", id, p.match, m.commitIndex)
	}
	return nil
}

// answersRecently reports whether the peer has answered a message that was sent
// within the last election timeout.
func (m *Member) answersRecently(now time.Time, p *progress) bool {
	return !p.answeredSendAt.IsZero() && now.Sub(p.answeredSendAt) < m.options.ElectionTimeout
}

// countLive returns how many voters of a set are live, counting the leader
// itself.
func (m *Member) countLive(now time.Time, set voterSet) int {
	count := 0
	for _, id := range set.ids {
		p := m.leading.peers[id]
		if id == m.options.Self || p != nil && m.answersRecently(now, p) {
			count++
		}
	}
	return count
}

// stepDownIfRemoved hands over leadership and steps down if the leader's own
// removal is committed. It reports whether it did.
func (m *Member) stepDownIfRemoved(now time.Time) bool {
	if m.voters().index > m.commitIndex || m.isVoter() {
		return false
	}
	m.heartbeat(now)
	if to, found := m.transferTarget(now); found {
		m.send(m.message(to, TakeOver{}))
	}
	m.stepDown()
	m.scheduleCampaign(now)
	return true
}

// transferLeadership starts a leadership transfer. The Answer reports only the
// start; SteppedDown reports the end of the leadership.
func (m *Member) transferLeadership(now time.Time, e TransferLeadership) {
	if m.leading == nil {
		m.actions = append(m.actions, Answer{ID: e.ID, Err: ErrNotLeader})
		return
	}
	to, found := m.transferTarget(now)
	if !found {
		m.actions = append(m.actions, Answer{ID: e.ID, Err: ErrNoVoter})
		return
	}
	if m.leading.transfer.target == "" {
		m.leading.transfer = leadershipTransfer{target: to, deadline: now.Add(m.options.ElectionTimeout)}
	}
	m.actions = append(m.actions, Answer{ID: e.ID})
	m.continueTransfer(now)
}

// transferTarget returns the most up-to-date of the other live voters.
func (m *Member) transferTarget(now time.Time) (Identity, bool) {
	var best Identity
	for _, id := range m.voters().ids {
		p := m.leading.peers[id]
		if p == nil || !m.answersRecently(now, p) {
			continue
		}
		if best == "" || p.match > m.leading.peers[best].match {
			best = id
		}
	}
	return best, best != ""
}

// continueTransfer gives up the lease and asks the target to campaign once the
// target has the whole log.
func (m *Member) continueTransfer(now time.Time) {
	transfer := &m.leading.transfer
	if transfer.target == "" || transfer.leaseGivenUp {
		return
	}
	if p := m.leading.peers[transfer.target]; p == nil || p.match < m.log.last() {
		return
	}
	transfer.leaseGivenUp = true
	transfer.deadline = now.Add(m.options.ElectionTimeout)
	m.send(m.message(transfer.target, TakeOver{}))
}
