// Package electorate decides the membership of the consensus group: it plans which
// replicas vote, so that a lost voter is replaced without an operator.
//
// It is pure: it takes the current time and the leader's view of the replicas, and returns
// at most one change. The consensus protocol itself rejects unsafe changes (package jury);
// this package only proposes them.
package electorate

import (
	"time"

	"github.com/lovagelift/lovagelift/internal/jury"
)

// Options configures Decide.
type Options struct {
	// MinVoters is the minimum number of voters. With more replicas there are more voters:
	// the largest odd number that is not above the number of replicas. Any majority of
	// the replicas then holds a majority of the voters, so that it keeps working when
	// the others are partitioned from it.
	MinVoters int
	// SilenceTimeout is how long a voter must be silent before another replica takes its
	// place. It must be above the election timeout, or every lost packet would cause a
	// change.
	SilenceTimeout time.Duration
}

// Change adds or removes a voter. The zero value is no change.
type Change struct {
	Add    jury.Identity
	Remove jury.Identity
	Reason Reason
}

// Reason is the reason for a change.
type Reason string

const (
	// DiskLost means that the instance of the voter runs under another identity.
	DiskLost Reason = "disk-lost"
	// TooFew means that there are fewer voters than there should be.
	TooFew Reason = "too-few"
	// Replacement means that a voter is silent and another replica can vote.
	Replacement Reason = "replacement"
	// Replaced means that a voter is silent and there are enough voters without it.
	Replaced Reason = "replaced"
)

// Decide returns the next change that the leader self should propose, given the current
// voters and its peers. leaderSince is the start of its leadership: silence before that
// time does not count, so a new leader treats no voter as silent until SilenceTimeout has
// passed.
func Decide(
	now time.Time, self jury.Identity, voters []jury.Identity, peers []jury.PeerStatus, leaderSince time.Time, options Options,
) Change {
	g := newGroup(now, self, voters, peers, leaderSince, options)
	size := max(options.MinVoters, largestOdd(len(voters)+g.learners))
	switch {
	case g.diskLost != "":
		return Change{Remove: g.diskLost, Reason: DiskLost}
	case g.learner != "" && len(voters) < size:
		return Change{Add: g.learner, Reason: TooFew}
	case g.silent != "" && len(voters) > options.MinVoters && len(voters)%2 == 0:
		return Change{Remove: g.silent, Reason: Replaced}
	case g.silent != "" && g.learner != "" && len(voters)%2 == 1:
		return Change{Add: g.learner, Reason: Replacement}
	default:
		return Change{}
	}
}

// largestOdd returns the largest odd number that is not above n.
func largestOdd(n int) int {
	return n - 1 + n%2
}

// group classifies the replicas. An identity is empty if there is no replica of its kind.
type group struct {
	// diskLost is a voter whose instance answers under another identity.
	diskLost jury.Identity
	// silent is a voter that has not answered for SilenceTimeout.
	silent jury.Identity
	// learner is a replica that does not vote, answers and has caught up.
	learner jury.Identity
	// learners is the number of replicas that answer and do not vote, without those that
	// run on the instance of a voter.
	learners int
}

func newGroup(
	now time.Time, self jury.Identity, voters []jury.Identity, peers []jury.PeerStatus, leaderSince time.Time, options Options,
) group {
	var g group
	statuses := make(map[jury.Identity]jury.PeerStatus, len(peers))
	for _, peer := range peers {
		statuses[peer.ID] = peer
	}
	votes := make(map[jury.Identity]bool, len(voters))
	byInstance := make(map[string]jury.Identity, len(voters))
	for _, voter := range voters {
		votes[voter] = true
		byInstance[voter.Instance()] = voter
		lastContact := statuses[voter].LastContact
		if lastContact.Before(leaderSince) {
			lastContact = leaderSince
		}
		if voter != self && g.silent == "" && now.Sub(lastContact) >= options.SilenceTimeout {
			g.silent = voter
		}
	}
	for _, peer := range peers {
		if votes[peer.ID] || !peer.Active {
			continue
		}
		if voter, taken := byInstance[peer.ID.Instance()]; taken {
			if voter != self && !statuses[voter].Active {
				g.diskLost = voter
			}
			continue
		}
		g.learners++
		if peer.CaughtUp && g.learner == "" {
			g.learner = peer.ID
		}
	}
	return g
}
