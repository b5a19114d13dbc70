package jury_test

import (
	"flag"
	"time"

	"github.com/cockroachdb/errors"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/lovagelift/lovagelift/internal/jury"
)

// refusalOf returns why the only answer among actions is a refusal, or nil.
func refusalOf(actions []jury.Action) error {
	GinkgoHelper()
	answer, found := pick[jury.Answer](actions)
	Expect(found).To(BeTrue(), "there is an answer")
	return answer.Refusal
}

// pick returns the first action of a kind.
func pick[T jury.Action](actions []jury.Action) (T, bool) {
	for _, action := range actions {
		if found, ok := action.(T); ok {
			return found, true
		}
	}
	var none T
	return none, false
}

func newMember(state jury.State) *jury.Member {
	GinkgoHelper()
	member, err := jury.New(epoch, jury.Options{Self: "kgn-a/1"}, state)
	Expect(err).NotTo(HaveOccurred())
	return member
}

var _ = Describe("a blank member", func() {
	founders := []jury.Identity{"kgn-a/1", "kgn-b/2", "kgn-c/3"}

	It("answers the bootstrap only when the snapshot is synced", func() {
		member := newMember(jury.State{})
		actions := member.Handle(epoch, jury.Bootstrap{ID: 7, Cluster: "one", Voters: founders})
		_, answered := pick[jury.Answer](actions)
		Expect(answered).To(BeFalse())
		persist, _ := pick[jury.Persist](actions)
		Expect(persist.Snapshot.Voters).To(Equal(founders))
		actions = member.Handle(epoch, jury.Synced{Batch: persist.Batch})
		Expect(actions).To(Equal([]jury.Action{jury.Answer{ID: 7, Index: 1}}))
	})

	It("takes the same bootstrap again and no other", func() {
		member := newMember(jury.State{})
		persist, _ := pick[jury.Persist](member.Handle(epoch, jury.Bootstrap{Cluster: "one", Voters: founders}))
		member.Handle(epoch, jury.Synced{Batch: persist.Batch})
		Expect(refusalOf(member.Handle(epoch, jury.Bootstrap{Cluster: "one", Voters: founders}))).To(Succeed())
		Expect(refusalOf(member.Handle(epoch, jury.Bootstrap{Cluster: "two", Voters: founders}))).To(MatchError(jury.ErrNotBlank))
	})

	// An operator bootstraps a cluster, and one instance loses power between the
	// record of the cluster's name and the snapshot. It must not be won for
	// another cluster, which would then begin with a voter that the first
	// counts as its own.
	It("keeps to the cluster that its disk was recorded for", func() {
		member := newMember(jury.State{Cluster: "one"})
		Expect(refusalOf(member.Handle(epoch, jury.Bootstrap{Cluster: "two", Voters: founders}))).To(MatchError(jury.ErrNotBlank))
		heartbeat := jury.Message{From: "kgn-b/2", To: "kgn-a/1", Cluster: "two", Term: 3, Body: jury.Heartbeat{Sent: 1}}
		Expect(member.Handle(epoch, jury.Receive{Message: heartbeat})).To(BeEmpty())
		heartbeat.Cluster = "one"
		Expect(member.Handle(epoch, jury.Receive{Message: heartbeat})).NotTo(BeEmpty())
	})

	// Two of three voters are lost for good. The operator founds a new cluster
	// with the state of the third. Upstreams that know the fencing numbers of
	// the former leaders must take those of the new ones for later.
	It("goes on after the index and the term that a former cluster had", func() {
		w := newWorld(1, 3, quiet, 0)
		for _, n := range w.nodes {
			w.handle(n, jury.Bootstrap{
				Cluster: "again", Voters: identities(w.nodes), Data: encodeState(5), Index: 4711, Term: 12,
			})
		}
		w.until("a leader", func() bool { return w.leader() != nil && w.leader().applied > 4711 })
		status := w.leader().member.Status()
		Expect(status.Term).To(BeNumerically(">", 12))
		Expect(status.Commit).To(BeEquivalentTo(4712))
		w.profile.propose = 300
		Expect(w.heal()).To(Succeed())
	})

	It("never campaigns", func() {
		member := newMember(jury.State{})
		for i := range 100 {
			Expect(member.Handle(epoch.Add(time.Duration(i)*time.Second), jury.Tick{})).To(BeEmpty())
		}
	})
})

var _ = Describe("a member", func() {
	// A voter's disk was lost, and another one with its name has taken its
	// address. What is still under way to the first is not for the second.
	It("ignores what is for another identity of its instance", func() {
		member := newMember(jury.State{})
		message := jury.Message{From: "kgn-b/2", To: "kgn-a/0", Term: 3, Body: jury.Heartbeat{Sent: 1}}
		Expect(member.Handle(epoch, jury.Receive{Message: message})).To(BeEmpty())
	})

	// The leader's disk fails. It gives up the right to order and refuses what
	// comes, for the callers to ask another; a sync that reports success later
	// changes nothing.
	It("takes no further part once its disk has failed", func() {
		w, leader := begun(1, 3, 0)
		term := leader.member.Status().Term
		w.change(leader, "under way")
		cause := errors.New("no space left")
		actions := w.handle(leader, jury.Failed{Cause: cause})
		Expect(actions).To(Equal([]jury.Action{jury.SteppedDown{Term: term}}))
		_, _, ok := leader.member.OrderRight(leader.local(w.now))
		Expect(ok).To(BeFalse())
		var failed *jury.FailedError
		Expect(errors.As(refusalOf(w.change(leader, "later")), &failed)).To(BeTrue())
		Expect(failed.Cause).To(Equal(cause))
		Expect(w.handle(leader, jury.Synced{Batch: leader.writing.Batch})).To(BeEmpty())
		w.until("the others go on", func() bool {
			now := w.leader()
			return now != nil && now != leader && now.applied == now.member.Status().Last
		})
		Expect(w.history.err).NotTo(HaveOccurred())
	})

	It("refuses more than it may hold uncommitted, for certain", func() {
		w, leader := begun(1, 3, 0)
		for _, other := range w.others(leader) {
			w.mute(other, leader)
		}
		Expect(refusalOf(w.change(leader, string(make([]byte, 20<<20))))).To(Succeed(), "one of any size is taken")
		Expect(refusalOf(w.change(leader, "more"))).To(MatchError(jury.ErrOverloaded))
	})

	It("refuses changes of voters that could cost the majority", func() {
		w, leader := begun(1, 5, 0)
		learner := w.nodes[3]
		w.until("the learner has caught up", func() bool { return learner.applied == w.history.top })
		voter := w.others(leader)[0]
		change := func(change jury.ChangeVoters) error { return refusalOf(w.handle(leader, change)) }

		Expect(change(jury.ChangeVoters{})).To(MatchError(ContainSubstring("adds one voter or removes one")))
		Expect(change(jury.ChangeVoters{Add: "kgn-x/1"})).To(MatchError(ContainSubstring("no learner that answers")))
		Expect(change(jury.ChangeVoters{Add: voter.self})).To(MatchError(ContainSubstring("is a voter already")))
		twin := jury.Identity(voter.instance + "/99")
		Expect(change(jury.ChangeVoters{Add: twin})).To(MatchError(ContainSubstring("is still a voter; remove it before")))
		Expect(change(jury.ChangeVoters{Remove: "kgn-x/1"})).To(MatchError(ContainSubstring("is no voter")))
		Expect(change(jury.ChangeVoters{Remove: voter.self})).To(MatchError(ContainSubstring("could not lose another one")))
		Expect(change(jury.ChangeVoters{Add: learner.self})).To(Succeed())
		Expect(change(jury.ChangeVoters{Remove: learner.self})).To(MatchError(jury.ErrChangePending))
		w.until("the learner is a voter", func() bool { return learner.member.Status().Voter })
		for _, other := range w.others(leader) {
			if other != voter {
				w.isolate(other, ever)
			}
		}
		w.until("only one voter answers", func() bool {
			err := change(jury.ChangeVoters{Remove: voter.self})
			return err != nil && !errors.Is(err, jury.ErrChangePending)
		})
	})

	It("says what is wrong with its options and its state", func() {
		_, err := jury.New(epoch, jury.Options{}, jury.State{})
		Expect(err).To(MatchError(ContainSubstring("no identity")))
		_, err = jury.New(epoch, jury.Options{Self: "a/1", Heartbeat: time.Second}, jury.State{})
		Expect(err).To(MatchError(ContainSubstring("less than three heartbeats")))
		_, err = jury.New(epoch, jury.Options{Self: "a/1", ClockDrift: 0.3}, jury.State{})
		Expect(err).To(MatchError(ContainSubstring("clock drift 0.3 is outside")))
		snapshot := jury.Snapshot{Index: 4, Term: 1, Voters: []jury.Identity{"a/1"}}
		_, err = jury.New(epoch, jury.Options{Self: "a/1"}, jury.State{Snapshot: snapshot})
		Expect(err).To(MatchError(ContainSubstring("a snapshot but no cluster")))
		state := jury.State{Cluster: "one", Snapshot: snapshot, Entries: []jury.Entry{{Index: 6, Term: 1}}}
		_, err = jury.New(epoch, jury.Options{Self: "a/1"}, state)
		Expect(err).To(MatchError(ContainSubstring("the entry after 4 on the disk is 6")))
	})
})

var _ = Describe("the lease arithmetic", func() {
	It("holds at any two rates of the clocks within the bound", func() {
		// Each run draws the same, so that each has the same verdict.
		Expect(flag.Set("rapid.seed", "7")).To(Succeed())
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			drift := rapid.Float64Range(0.001, 0.2).Draw(t, "drift")
			options := jury.Options{
				ClockDrift:      drift,
				ElectionTimeout: time.Duration(rapid.IntRange(100, 5000).Draw(t, "timeout")) * time.Millisecond,
				OrderFlight:     time.Duration(rapid.IntRange(0, 5000).Draw(t, "flight")) * time.Millisecond,
			}
			leader := rapid.Float64Range(1-drift, 1+drift).Draw(t, "rate of the leader")
			follower := rapid.Float64Range(1-drift, 1+drift).Draw(t, "rate of the follower")
			lease := float64(options.Lease()) / leader
			refusal := float64(options.ElectionTimeout) / follower
			if lease > refusal+1 {
				t.Fatalf("a lease of %g outlasts the refusal to vote of %g", lease, refusal)
			}
			wait := float64(options.Takeover()) / follower
			if under := lease + float64(options.OrderFlight); wait+2 < under {
				t.Fatalf("a new leader waits %g, an order may be under way for %g", wait, under)
			}
		})
	})
})
