package electorate_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lovagelift/lovagelift/internal/electorate"
	"github.com/lovagelift/lovagelift/internal/jury"
)

var now = time.Date(2026, 12, 2, 8, 0, 0, 0, time.UTC)

// a leads; the number after the slash is that of the data folder.
const (
	a1 = jury.Identity("a/1")
	b1 = jury.Identity("b/1")
	b2 = jury.Identity("b/2")
	c1 = jury.Identity("c/1")
	d1 = jury.Identity("d/1")
	e1 = jury.Identity("e/1")
)

func answering(name jury.Identity) jury.PeerStatus {
	return jury.PeerStatus{Name: name, Answers: true, Heard: now.Add(-100 * time.Millisecond), CaughtUp: true}
}

func silent(name jury.Identity, since time.Duration) jury.PeerStatus {
	return jury.PeerStatus{Name: name, Heard: now.Add(-since), CaughtUp: true}
}

func behind(name jury.Identity) jury.PeerStatus {
	peer := answering(name)
	peer.CaughtUp = false
	return peer
}

var _ = Describe("Decide", func() {
	three := []jury.Identity{a1, b1, c1}
	decide := func(voters []jury.Identity, since time.Duration, peers ...jury.PeerStatus) electorate.Change {
		return electorate.Decide(now, a1, voters, peers, now.Add(-since),
			electorate.Options{Least: 3, Patience: 1500 * time.Millisecond})
	}
	const long = time.Minute

	It("changes nothing while all voters answer", func() {
		Expect(decide(three, long, answering(b1), answering(c1))).To(Equal(electorate.Change{}))
		Expect(decide(three, long, answering(b1), answering(c1), answering(d1))).To(Equal(electorate.Change{}))
	})

	// b lost its disk: it comes back under another identity, which has no vote.
	// While the one before stays a voter, the loss of one more would end all.
	It("takes out a voter that lost its disk, then takes in the new one", func() {
		lost := decide(three, long, silent(b1, time.Second), answering(c1), answering(b2))
		Expect(lost).To(Equal(electorate.Change{Remove: b1, Reason: electorate.DiskLost}))
		Expect(decide([]jury.Identity{a1, c1}, long, answering(c1), behind(b2))).To(Equal(electorate.Change{}))
		Expect(decide([]jury.Identity{a1, c1}, long, answering(c1), answering(b2))).
			To(Equal(electorate.Change{Add: b2, Reason: electorate.TooFew}))
	})

	// b is gone for good and d comes at another address. d is taken in first: the
	// set without b could lose no voter.
	It("puts another instance in the place of one that is gone", func() {
		Expect(decide(three, long, silent(b1, 2*time.Second), answering(c1), answering(d1))).
			To(Equal(electorate.Change{Add: d1, Reason: electorate.Replacement}))
		Expect(decide([]jury.Identity{a1, b1, c1, d1}, long, silent(b1, 2*time.Second), answering(c1), answering(d1))).
			To(Equal(electorate.Change{Remove: b1, Reason: electorate.Replaced}))
	})

	// Five instances are there. If three voted, a cut could leave two of them with a
	// minority of the instances, and the majority could decide nothing.
	It("has as many vote as are there, but for an even number", func() {
		Expect(decide(three, long, answering(b1), answering(c1), answering(d1), answering(e1))).
			To(Equal(electorate.Change{Add: d1, Reason: electorate.TooFew}))
		four := []jury.Identity{a1, b1, c1, d1}
		Expect(decide(four, long, answering(b1), answering(c1), answering(d1), answering(e1))).
			To(Equal(electorate.Change{Add: e1, Reason: electorate.TooFew}))
		Expect(decide(four, long, answering(b1), answering(c1), answering(d1))).To(Equal(electorate.Change{}))
	})

	It("waits before it gives a silent voter up", func() {
		Expect(decide(three, long, silent(b1, time.Second), answering(c1), answering(d1))).To(Equal(electorate.Change{}))
	})

	// The leader has just been elected and has not heard of b yet. b would count as
	// silent since the beginning of time.
	It("counts silence from the beginning of the leadership", func() {
		peers := []jury.PeerStatus{{Name: b1}, answering(c1), answering(d1)}
		Expect(decide(three, time.Second, peers...)).To(Equal(electorate.Change{}))
		Expect(decide(three, 2*time.Second, peers...)).To(Equal(electorate.Change{Add: d1, Reason: electorate.Replacement}))
	})

	It("leaves a silent voter where nobody can take its place", func() {
		Expect(decide(three, long, silent(b1, long), answering(c1))).To(Equal(electorate.Change{}))
		Expect(decide(three, long, silent(b1, long), answering(c1), behind(d1))).To(Equal(electorate.Change{}))
	})
})
