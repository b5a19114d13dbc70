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

// refusalIn returns the Err of the first Answer among actions.
func refusalIn(actions []jury.Action) error {
	GinkgoHelper()
	answer, found := firstAction[jury.Answer](actions)
	Expect(found).To(BeTrue(), "the actions contain an Answer")
	return answer.Err
}

// firstAction returns the first action of type T.
func firstAction[T jury.Action](actions []jury.Action) (T, bool) {
	for _, action := range actions {
		if found, ok := action.(T); ok {
			return found, true
		}
	}
	var zero T
	return zero, false
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
		_, answered := firstAction[jury.Answer](actions)
		Expect(answered).To(BeFalse())
		persist, _ := firstAction[jury.Persist](actions)
		Expect(persist.Snapshot.Voters).To(Equal(founders))
		actions = member.Handle(epoch, jury.Synced{Batch: persist.Batch})
		Expect(actions).To(Equal([]jury.Action{jury.Answer{ID: 7, Index: 1}}))
	})

	It("takes the same bootstrap again and no other", func() {
		member := newMember(jury.State{})
		persist, _ := firstAction[jury.Persist](member.Handle(epoch, jury.Bootstrap{Cluster: "one", Voters: founders}))
		member.Handle(epoch, jury.Synced{Batch: persist.Batch})
		Expect(refusalIn(member.Handle(epoch, jury.Bootstrap{Cluster: "one", Voters: founders}))).To(Succeed())
		Expect(refusalIn(member.Handle(epoch, jury.Bootstrap{Cluster: "two", Voters: founders}))).To(MatchError(jury.ErrNotBlank))
	})

	// During a bootstrap, an instance loses power after it recorded the cluster
	// and before it wrote the snapshot. It must not join another cluster, because
	// the first cluster counts it as a voter.
	It("joins only the cluster that its disk belongs to", func() {
		member := newMember(jury.State{Cluster: "one"})
		Expect(refusalIn(member.Handle(epoch, jury.Bootstrap{Cluster: "two", Voters: founders}))).To(MatchError(jury.ErrNotBlank))
		heartbeat := jury.Message{From: "kgn-b/2", To: "kgn-a/1", Cluster: "two", Term: 3, Body: jury.Heartbeat{Sent: 1}}
		Expect(member.Handle(epoch, jury.Receive{Message: heartbeat})).To(BeEmpty())
		heartbeat.Cluster = "one"
		Expect(member.Handle(epoch, jury.Receive{Message: heartbeat})).NotTo(BeEmpty())
	})

	// Two of three voters are lost for good, and the operator bootstraps a new
	// cluster with the state of the third. Upstreams know the fencing numbers of
	// the former leaders, so those of the new leaders must be higher.
	It("continues after the index and the term of a recovered cluster", func() {
		sim := newSimulation(1, 3, noFaults, 0)
		for _, n := range sim.nodes {
			sim.handle(n, jury.Bootstrap{
				Cluster: "again", Voters: identities(sim.nodes), Data: encodeState(5), Index: 4711, Term: 12,
			})
		}
		sim.stepUntil("a leader", func() bool { return sim.leader() != nil && sim.leader().appliedIndex > 4711 })
		status := sim.leader().member.Status()
		Expect(status.Term).To(BeNumerically(">", 12))
		Expect(status.Commit).To(BeEquivalentTo(4712))
		sim.faults.propose = 300
		Expect(sim.endFaultsAndCheckRecovery()).To(Succeed())
	})

	It("never campaigns", func() {
		member := newMember(jury.State{})
		for i := range 100 {
			Expect(member.Handle(epoch.Add(time.Duration(i)*time.Second), jury.Tick{})).To(BeEmpty())
		}
	})
})

var _ = Describe("a member", func() {
	// An instance lost its disk and returned with a new identity at the same
	// address. It must not process messages to its former identity.
	It("ignores what is for another identity of its instance", func() {
		member := newMember(jury.State{})
		message := jury.Message{From: "kgn-b/2", To: "kgn-a/0", Term: 3, Body: jury.Heartbeat{Sent: 1}}
		Expect(member.Handle(epoch, jury.Receive{Message: message})).To(BeEmpty())
	})

	// After a disk failure, the leader must lose the right to send orders and
	// refuse proposals, so that callers try another member. A later report of a
	// successful sync must have no effect.
	It("stops for good after a disk failure", func() {
		sim, leader := startCluster(1, 3, 0)
		term := leader.member.Status().Term
		sim.propose(leader, "under way")
		cause := errors.New("no space left")
		actions := sim.handle(leader, jury.Failed{Cause: cause})
		Expect(actions).To(Equal([]jury.Action{jury.SteppedDown{Term: term}}))
		_, _, ok := leader.member.OrderRight(leader.localTime(sim.now))
		Expect(ok).To(BeFalse())
		var failed *jury.FailedError
		Expect(errors.As(refusalIn(sim.propose(leader, "later")), &failed)).To(BeTrue())
		Expect(failed.Cause).To(Equal(cause))
		Expect(sim.handle(leader, jury.Synced{Batch: leader.persisting.Batch})).To(BeEmpty())
		sim.stepUntil("the others continue", func() bool {
			current := sim.leader()
			return current != nil && current != leader && current.appliedIndex == current.member.Status().Last
		})
		Expect(sim.history.err).NotTo(HaveOccurred())
	})

	It("refuses proposals beyond the limit for uncommitted data", func() {
		sim, leader := startCluster(1, 3, 0)
		for _, other := range sim.others(leader) {
			sim.block(other, leader)
		}
		Expect(refusalIn(sim.propose(leader, string(make([]byte, 20<<20))))).To(Succeed(), "a single entry of any size is accepted")
		Expect(refusalIn(sim.propose(leader, "more"))).To(MatchError(jury.ErrOverloaded))
	})

	It("refuses changes of voters that could cost the majority", func() {
		sim, leader := startCluster(1, 5, 0)
		learner := sim.nodes[3]
		sim.stepUntil("the learner has caught up", func() bool { return learner.appliedIndex == sim.history.highestCommit })
		voter := sim.others(leader)[0]
		change := func(event jury.ChangeVoters) error { return refusalIn(sim.handle(leader, event)) }

		Expect(change(jury.ChangeVoters{})).To(MatchError(ContainSubstring("adds one voter or removes one")))
		Expect(change(jury.ChangeVoters{Add: "kgn-x/1"})).To(MatchError(ContainSubstring("no learner that answers")))
		Expect(change(jury.ChangeVoters{Add: voter.identity})).To(MatchError(ContainSubstring("is a voter already")))
		twin := jury.Identity(voter.instance + "/99")
		Expect(change(jury.ChangeVoters{Add: twin})).To(MatchError(ContainSubstring("is still a voter; remove it before")))
		Expect(change(jury.ChangeVoters{Remove: "kgn-x/1"})).To(MatchError(ContainSubstring("is no voter")))
		Expect(change(jury.ChangeVoters{Remove: voter.identity})).To(MatchError(ContainSubstring("could not lose another one")))
		Expect(change(jury.ChangeVoters{Add: learner.identity})).To(Succeed())
		Expect(change(jury.ChangeVoters{Remove: learner.identity})).To(MatchError(jury.ErrChangePending))
		sim.stepUntil("the learner is a voter", func() bool { return learner.member.Status().Voter })
		for _, other := range sim.others(leader) {
			if other != voter {
				sim.isolate(other, forever)
			}
		}
		sim.stepUntil("only one voter answers", func() bool {
			err := change(jury.ChangeVoters{Remove: voter.identity})
			return err != nil && !errors.Is(err, jury.ErrChangePending)
		})
	})

	It("reports invalid options and state", func() {
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
		Expect(err).To(MatchError(ContainSubstring("entry 4 on the disk is followed by entry 6")))
	})
})

var _ = Describe("the lease arithmetic", func() {
	It("holds at any two clock rates within the drift limit", func() {
		// A fixed seed makes the result reproducible.
		Expect(flag.Set("rapid.seed", "7")).To(Succeed())
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			drift := rapid.Float64Range(0.001, 0.2).Draw(t, "drift")
			options := jury.Options{
				ClockDrift:      drift,
				ElectionTimeout: time.Duration(rapid.IntRange(100, 5000).Draw(t, "timeout")) * time.Millisecond,
				OrderTimeout:    time.Duration(rapid.IntRange(0, 5000).Draw(t, "flight")) * time.Millisecond,
			}
			leader := rapid.Float64Range(1-drift, 1+drift).Draw(t, "leader clock rate")
			follower := rapid.Float64Range(1-drift, 1+drift).Draw(t, "follower clock rate")
			lease := float64(options.Lease()) / leader
			voteWithheld := float64(options.ElectionTimeout) / follower
			if lease > voteWithheld+1 {
				t.Fatalf("the lease lasts %g, but the follower withholds its vote only for %g", lease, voteWithheld)
			}
			wait := float64(options.TakeoverWait()) / follower
			if orderDuration := lease + float64(options.OrderTimeout); wait+2 < orderDuration {
				t.Fatalf("a new leader waits %g, but an order may be in flight for %g", wait, orderDuration)
			}
		})
	})
})
