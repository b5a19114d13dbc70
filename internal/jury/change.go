package jury

import (
	"time"

	"github.com/cockroachdb/errors"
)

// errForked means that a leader contradicts what is committed. It cannot happen
// while disks keep what they synced and identities are not used twice.
var errForked = errors.New("jury: the leader contradicts a committed entry; the cluster has forked")

// changeVoters appends a changed set of voters.
func (m *Member) changeVoters(now time.Time, e ChangeVoters) {
	set, err := m.changedSet(now, e)
	if err != nil {
		m.out = append(m.out, Answer{ID: e.ID, Refusal: err})
		return
	}
	data, err := EncodeVoters(set.names)
	if err != nil {
		m.out = append(m.out, Answer{ID: e.ID, Refusal: err})
		return
	}
	m.appendOwn(e.ID, EntryVoters, data)
	m.replicateAll(now)
}

// changedSet returns the set of voters after the change, or why it is refused.
//
// Sets one voter apart share a voter in any two quorums, so that both cannot
// decide at a time. That holds only while one change is under way and after the
// leader has committed an entry of its term: else a change that an earlier
// leader began may still be unknown to it.
func (m *Member) changedSet(now time.Time, e ChangeVoters) (voterSet, error) {
	if err := m.refusal(now); err != nil {
		return voterSet{}, err
	}
	pending := m.commit < m.office.barrier || m.commit < m.voters().index
	if pending && !m.unsafe(changeAtOnce) {
		return voterSet{}, ErrChangePending
	}
	var set voterSet
	switch {
	case (e.Add == "") == (e.Remove == ""):
		return voterSet{}, errors.New("jury: a change adds one voter or removes one")
	case e.Add != "":
		if err := m.checkAddition(now, e.Add); err != nil {
			return voterSet{}, err
		}
		set = m.voters().with(e.Add)
	case !m.voters().contains(e.Remove):
		return voterSet{}, errors.Newf("jury: %s is no voter", e.Remove)
	case len(m.voters().names) == 1:
		return voterSet{}, errors.New("jury: the last voter cannot be removed")
	default:
		set = m.voters().without(e.Remove)
	}
	return set, m.checkSpare(now, e, set)
}

// checkSpare returns an error if the changed set may be left without a majority.
//
// A change is in force from when it is appended. If a voter were removed that
// may come back, and another one is lost at that moment, the change could
// neither be committed nor be taken back, and the cluster would stand still for
// good, though a majority of the former set is there again. So the set after a
// removal can lose one voter, or the removed one is known to have lost its disk.
func (m *Member) checkSpare(now time.Time, e ChangeVoters, set voterSet) error {
	live := m.live(now, set)
	spare := live - set.quorum()
	switch {
	case spare < 0:
		return errors.Newf("jury: only %d voters of the changed set of %d answer, fewer than a majority",
			live, len(set.names))
	case e.Remove == "" || spare > 0 || len(set.names) == 1 || m.knownLost(now, e.Remove):
		return nil
	}
	return errors.Newf("jury: without %s the voters could not lose another one; "+
		"add another voter before, or start its instance on an empty folder if its disk is lost", e.Remove)
}

// knownLost reports whether a voter's instance is there under another identity:
// then it has lost its disk and never comes back as that voter.
func (m *Member) knownLost(now time.Time, voter Identity) bool {
	if p := m.office.peers[voter]; p != nil && m.answers(now, p) {
		return false
	}
	for name, p := range m.office.peers {
		if name != voter && name.Instance() == voter.Instance() && m.answers(now, p) {
			return true
		}
	}
	return false
}

// checkAddition returns why name cannot become a voter, or nil.
func (m *Member) checkAddition(now time.Time, name Identity) error {
	for _, voter := range m.voters().names {
		if voter == name {
			return errors.Newf("jury: %s is a voter already", name)
		}
		if voter.Instance() == name.Instance() {
			return errors.Newf("jury: %s is still a voter; remove it before %s is added", voter, name)
		}
	}
	p := m.office.peers[name]
	if p == nil || !m.answers(now, p) {
		return errors.Newf("jury: %s is no learner that answers", name)
	}
	if p.match < m.commit {
		return errors.Newf("jury: %s has caught up to entry %d of %d", name, p.match, m.commit)
	}
	return nil
}

// answers reports whether p answered lately.
func (m *Member) answers(now time.Time, p *peer) bool {
	return !p.heard.IsZero() && now.Sub(p.heard) < m.options.ElectionTimeout
}

// live returns how many voters of a set answer.
func (m *Member) live(now time.Time, set voterSet) int {
	count := 0
	for _, name := range set.names {
		p := m.office.peers[name]
		if name == m.options.Self || p != nil && m.answers(now, p) {
			count++
		}
	}
	return count
}

// leaveOffice hands over if the leader's own removal is committed.
func (m *Member) leaveOffice(now time.Time) bool {
	if m.voters().index > m.commit || m.isVoter() {
		return false
	}
	m.heartbeat(now)
	if to, found := m.successor(now); found {
		m.send(m.message(to, TakeOver{}))
	}
	m.stepDown()
	m.resetElection(now)
	return true
}

// transferLeadership begins to hand over. The answer says only that the
// handover has begun; SteppedDown says that it is done.
func (m *Member) transferLeadership(now time.Time, e TransferLeadership) {
	if m.office == nil {
		m.out = append(m.out, Answer{ID: e.ID, Refusal: ErrNotLeader})
		return
	}
	to, found := m.successor(now)
	if !found {
		m.out = append(m.out, Answer{ID: e.ID, Refusal: ErrNoVoter})
		return
	}
	if m.office.transfer.to == "" {
		m.office.transfer = transfer{to: to, until: now.Add(m.options.ElectionTimeout)}
	}
	m.out = append(m.out, Answer{ID: e.ID})
	m.continueTransfer(now)
}

// successor returns the voter that is furthest ahead of those that answer.
func (m *Member) successor(now time.Time) (Identity, bool) {
	var best Identity
	for _, name := range m.voters().names {
		p := m.office.peers[name]
		if p == nil || !m.answers(now, p) {
			continue
		}
		if best == "" || p.match > m.office.peers[best].match {
			best = name
		}
	}
	return best, best != ""
}

// continueTransfer gives up the lease and calls the successor once it holds the
// whole log.
func (m *Member) continueTransfer(now time.Time) {
	t := &m.office.transfer
	if t.to == "" || t.surrendered {
		return
	}
	if p := m.office.peers[t.to]; p == nil || p.match < m.log.last() {
		return
	}
	t.surrendered = true
	t.until = now.Add(m.options.ElectionTimeout)
	m.send(m.message(t.to, TakeOver{}))
}
