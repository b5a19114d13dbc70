package electorate_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lovagelift/lovagelift/internal/electorate"
	"github.com/lovagelift/lovagelift/internal/jury"
)

var now = time.Date(2026, 12, 2, 8, 0, 0, 0, time.UTC)

// The identities of replicas. a1 is the leader. The part before the slash names the
// instance, the number after it the data folder.
const (
	a1 = jury.Identity("a/1")
	b1 = jury.Identity("b/1")
	b2 = jury.Identity("b/2")
	c1 = jury.Identity("c/1")
	d1 = jury.Identity("d/1")
	e1 = jury.Identity("e/1")
)

// answering returns the status of a replica that answers and has caught up.
func answering(name jury.Identity) jury.PeerStatus {
	return jury.PeerStatus{ID: name, Active: true, LastContact: now.Add(-100 * time.Millisecond), CaughtUp: true}
}

// silent returns the status of a replica that answered last before the given time.
func silent(name jury.Identity, silence time.Duration) jury.PeerStatus {
	return jury.PeerStatus{ID: name, LastContact: now.Add(-silence), CaughtUp: true}
}

// behind returns the status of a replica that answers but has not caught up.
func behind(name jury.Identity) jury.PeerStatus {
	peer := answering(name)
	peer.CaughtUp = false
	return peer
}

var _ = Describe("Decide", func() {
	three := []jury.Identity{a1, b1, c1}
	decide := func(voters []jury.Identity, leaderFor time.Duration, peers ...jury.PeerStatus) electorate.Change {
		return electorate.Decide(now, a1, voters, peers, now.Add(-leaderFor),
			electorate.Options{MinVoters: 3, SilenceTimeout: 1500 * time.Millisecond})
	}
	const long = time.Minute

	It("changes nothing while all voters answer", func() {
		Expect(decide(three, long, answering(b1), answering(c1))).To(Equal(electorate.Change{}))
		Expect(decide(three, long, answering(b1), answering(c1), answering(d1))).To(Equal(electorate.Change{}))
	})

	// b lost its disk and restarts under a new identity, which has no vote. While the old
	// identity stays a voter, the loss of one more voter would end the majority.
	It("removes a voter that lost its disk, then adds its new identity", func() {
		lost := decide(three, long, silent(b1, time.Second), answering(c1), answering(b2))
		Expect(lost).To(Equal(electorate.Change{Remove: b1, Reason: electorate.DiskLost}))
		Expect(decide([]jury.Identity{a1, c1}, long, answering(c1), behind(b2))).To(Equal(electorate.Change{}))
		Expect(decide([]jury.Identity{a1, c1}, long, answering(c1), answering(b2))).
			To(Equal(electorate.Change{Add: b2, Reason: electorate.TooFew}))
	})

	// b is lost for good and d starts at another address. d must be added before b is
	// removed: the two voters without b could not lose another one.
	It("replaces the voter of a lost instance by another one", func() {
		Expect(decide(three, long, silent(b1, 2*time.Second), answering(c1), answering(d1))).
			To(Equal(electorate.Change{Add: d1, Reason: electorate.Replacement}))
		Expect(decide([]jury.Identity{a1, b1, c1, d1}, long, silent(b1, 2*time.Second), answering(c1), answering(d1))).
			To(Equal(electorate.Change{Remove: b1, Reason: electorate.Replaced}))
	})

	// There are five instances. If only three voted, a network partition could put two of
	// the voters on the side with two instances, and the other three could decide
	// nothing.
	It("lets the largest odd number of replicas vote", func() {
		Expect(decide(three, long, answering(b1), answering(c1), answering(d1), answering(e1))).
			To(Equal(electorate.Change{Add: d1, Reason: electorate.TooFew}))
		four := []jury.Identity{a1, b1, c1, d1}
		Expect(decide(four, long, answering(b1), answering(c1), answering(d1), answering(e1))).
			To(Equal(electorate.Change{Add: e1, Reason: electorate.TooFew}))
		Expect(decide(four, long, answering(b1), answering(c1), answering(d1))).To(Equal(electorate.Change{}))
	})

	It("does not replace a voter that is silent only briefly", func() {
		Expect(decide(three, long, silent(b1, time.Second), answering(c1), answering(d1))).To(Equal(electorate.Change{}))
	})

	// The leader has just been elected and has had no contact with b yet. Without the start
	// of the leadership as a bound, b would be replaced at once.
	It("counts silence from the start of the leadership at the earliest", func() {
		peers := []jury.PeerStatus{{ID: b1}, answering(c1), answering(d1)}
		Expect(decide(three, time.Second, peers...)).To(Equal(electorate.Change{}))
		Expect(decide(three, 2*time.Second, peers...)).To(Equal(electorate.Change{Add: d1, Reason: electorate.Replacement}))
	})

	It("keeps a silent voter if no replica can replace it", func() {
		Expect(decide(three, long, silent(b1, long), answering(c1))).To(Equal(electorate.Change{}))
		Expect(decide(three, long, silent(b1, long), answering(c1), behind(d1))).To(Equal(electorate.Change{}))
	})
})
