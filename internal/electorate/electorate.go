// Package electorate decides which replicas vote (membership of the consensus
// group), so that a lost voter is replaced without a person.
//
// It is pure: the present time and what the leader knows go in, and at most one
// change comes out. The agreement itself refuses whatever would be unsafe
// (package jury); this package only says what to ask for.
package electorate

import (
	"time"

	"github.com/lovagelift/lovagelift/internal/jury"
)

// Options configures Decide.
type Options struct {
	// Least is how many voters there should be at the least. There are more if there
	// are more replicas: the largest odd number of them. Any majority of the replicas
	// then holds a majority of the voters, so that it can go on when the rest is cut
	// off.
	Least int
	// Patience is how long a voter is silent before another replica takes its
	// place. It is above the election timeout, or every lost packet would cost a
	// change.
	Patience time.Duration
}

// Change adds a voter or removes one. The zero value is no change.
type Change struct {
	Add    jury.Identity
	Remove jury.Identity
	Reason Reason
}

// Reason says what a change is for.
type Reason string

const (
	// DiskLost means that the voter's instance is there under another identity.
	DiskLost Reason = "disk-lost"
	// TooFew means that there are fewer voters than there should be.
	TooFew Reason = "too-few"
	// Replacement means that a voter is silent and another replica can vote.
	Replacement Reason = "replacement"
	// Replaced means that a voter is silent and there are enough without it.
	Replaced Reason = "replaced"
)

// Decide returns the next change that the leader self should ask for, given the
// voters in force and its peers. since is when its leadership began: before the
// patience has passed since then, a voter that has not answered yet is not
// silent.
func Decide(
	now time.Time, self jury.Identity, voters []jury.Identity, peers []jury.PeerStatus, since time.Time, options Options,
) Change {
	g := newGroup(now, self, voters, peers, since, options)
	size := max(options.Least, largestOdd(len(voters)+g.learners))
	switch {
	case g.lost != "":
		return Change{Remove: g.lost, Reason: DiskLost}
	case g.learner != "" && len(voters) < size:
		return Change{Add: g.learner, Reason: TooFew}
	case g.silent != "" && len(voters) > options.Least && len(voters)%2 == 0:
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

// group is the replicas by what may be done with them. Each field is the first
// of its kind, or empty.
type group struct {
	// lost is a voter whose instance answers under another identity.
	lost jury.Identity
	// silent is a voter that has not answered for the patience.
	silent jury.Identity
	// learner is no voter, answers and has caught up.
	learner jury.Identity
	// learners is how many answer.
	learners int
}

func newGroup(
	now time.Time, self jury.Identity, voters []jury.Identity, peers []jury.PeerStatus, since time.Time, options Options,
) group {
	var g group
	known := make(map[jury.Identity]jury.PeerStatus, len(peers))
	for _, peer := range peers {
		known[peer.Name] = peer
	}
	voting := make(map[jury.Identity]bool, len(voters))
	instances := make(map[string]jury.Identity, len(voters))
	for _, voter := range voters {
		voting[voter] = true
		instances[voter.Instance()] = voter
		last := known[voter].Heard
		if last.Before(since) {
			last = since
		}
		if voter != self && g.silent == "" && now.Sub(last) >= options.Patience {
			g.silent = voter
		}
	}
	for _, peer := range peers {
		if voting[peer.Name] || !peer.Answers {
			continue
		}
		if voter, taken := instances[peer.Name.Instance()]; taken {
			if voter != self && !known[voter].Answers {
				g.lost = voter
			}
			continue
		}
		g.learners++
		if peer.CaughtUp && g.learner == "" {
			g.learner = peer.Name
		}
	}
	return g
}
