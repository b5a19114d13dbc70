package chamber_test

import (
	"context"
	"fmt"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lovagelift/lovagelift/internal/chamber"
	"github.com/lovagelift/lovagelift/internal/courier"
	"github.com/lovagelift/lovagelift/internal/docket"
	"github.com/lovagelift/lovagelift/internal/jury"
	"github.com/lovagelift/lovagelift/internal/registry"
	"github.com/lovagelift/lovagelift/internal/salvage"
)

var _ = Describe("an accepted configuration", func() {
	var c *cluster

	BeforeEach(func(ctx SpecContext) { c = newCluster(ctx) })

	revisionEverywhere := func(revision registry.Revision) func() bool {
		return func() bool {
			now := time.Now()
			for _, node := range c.running() {
				if !node.HasConfigLease(now) || node.ConfigCache().Latest().Revision != revision {
					return false
				}
			}
			return true
		}
	}

	It("is in force everywhere, and after a restart of all voters", SpecTimeout(specTimeout), func(ctx SpecContext) {
		for n := range 20 {
			result := proposeChange(ctx, c.nodes["f"], newChange(fmt.Sprintf("change-%d", n), registry.Revision(n)))
			Expect(result.Verdict).To(Equal(registry.VerdictApplied))
		}
		Eventually(ctx, revisionEverywhere(20)).Should(BeTrue())
		for _, name := range []string{"a", "b", "c"} {
			c.nodes[name].stop()
		}
		for _, name := range []string{"a", "b", "c"} {
			c.nodes[name].restart()
		}
		Eventually(ctx, revisionEverywhere(20)).Should(BeTrue())
	})

	// An upgraded instance accepts declarations in a newer format that the others can't decode.
	// They must admit no new work but must keep voting, so that the next change, which they can
	// decode, is accepted and takes effect.
	It("that can't be decoded stops no voter", SpecTimeout(specTimeout), func(ctx SpecContext) {
		newer := newChange("newer", 0)
		newer.Declarations = []byte(`{"format":1000}`)
		Expect(proposeChange(ctx, c.nodes["f"], newer)).To(HaveField("Verdict", registry.VerdictApplied))
		Eventually(ctx, func() bool {
			now := time.Now()
			for _, node := range c.running() {
				if node.HasConfigLease(now) {
					return false
				}
			}
			return true
		}).Should(BeTrue())
		Expect(proposeChange(ctx, c.nodes["f"], newChange("readable", 1))).To(HaveField("Verdict", registry.VerdictApplied))
		Eventually(ctx, revisionEverywhere(2)).Should(BeTrue())
	})

	// An upgraded instance proposes a command that the voters don't know. If it were committed,
	// each of them would stop when applying it.
	It("is unaffected by a command that the voters don't know", SpecTimeout(specTimeout), func(ctx SpecContext) {
		Expect(proposeChange(ctx, c.nodes["f"], newChange("first", 0))).To(HaveField("Verdict", registry.VerdictApplied))
		for _, local := range []bool{false, true} {
			for _, name := range []string{"a", "b", "c"} {
				proposed := c.nodes["f"].pools[0].Propose(ctx, c.nodes[name].address(), []byte(`{"format":1000}`), local)
				Expect(proposed.Fate).To(Equal(courier.ProposalRejected))
				Expect(proposed.Reason).To(ContainSubstring("newer program"))
			}
		}
		Expect(proposeChange(ctx, c.nodes["f"], newChange("second", 1))).To(HaveField("Verdict", registry.VerdictApplied))
	})

	// Eight operators change the same revision concurrently through different instances. Exactly
	// one change must be accepted, and the other operators must learn what was changed and by whom.
	It("is one of those that raced for a revision", SpecTimeout(specTimeout), func(ctx SpecContext) {
		var goroutines sync.WaitGroup
		answers := make(chan registry.ChangeResult, 8)
		for n, node := range append(c.running(), c.running()...) {
			goroutines.Go(func() {
				defer GinkgoRecover()
				answers <- proposeChange(ctx, node, newChange(fmt.Sprintf("race-%d", n), 0))
			})
		}
		goroutines.Wait()
		close(answers)
		accepted := 0
		for result := range answers {
			if result.Verdict == registry.VerdictApplied {
				accepted++
				continue
			}
			Expect(result.Verdict).To(Equal(registry.VerdictConflict))
			Expect(result.ChangesSince).To(HaveLen(1))
		}
		Expect(accepted).To(Equal(1))
	})

	// An instance is isolated for a long time. Once its lease has expired, it must admit nothing,
	// because its configuration may have been replaced. When it reconnects, it must get the
	// configuration in force and no older one in between.
	DescribeTable("is never replaced by an older one at an instance that was cut off",
		func(ctx SpecContext, name string) {
			Expect(proposeChange(ctx, c.nodes["a"], newChange("one", 0)).Verdict).To(Equal(registry.VerdictApplied))
			Eventually(ctx, revisionEverywhere(1)).Should(BeTrue())
			node := c.nodes[name]
			node.isolate()
			Expect(proposeChange(ctx, c.nodes["a"], newChange("two", 1)).Verdict).To(Equal(registry.VerdictApplied))
			Eventually(ctx, func() bool { return node.HasConfigLease(time.Now()) }).Should(BeFalse())
			callCtx, cancel := context.WithTimeout(ctx, 300*time.Millisecond)
			defer cancel()
			_, err := node.Propose(callCtx, newChange("three", 2))
			Expect(err).To(HaveOccurred())
			node.reconnect()
			Eventually(ctx, revisionEverywhere(2)).Should(BeTrue())
		},
		Entry("a follower", SpecTimeout(specTimeout), "f"),
		Entry("a voter", SpecTimeout(specTimeout), "b"),
	)

	// All voters are down. The follower's lease must expire, so that callers are refused
	// immediately and don't hang.
	It("is not used without voters for longer than its lease", SpecTimeout(specTimeout), func(ctx SpecContext) {
		follower := c.nodes["f"]
		Eventually(ctx, func() bool { return follower.HasConfigLease(time.Now()) }).Should(BeTrue())
		for _, name := range []string{"a", "b", "c"} {
			c.nodes[name].stop()
		}
		Eventually(ctx, func() bool { return follower.HasConfigLease(time.Now()) }).Should(BeFalse())
		callCtx, cancel := context.WithTimeout(ctx, 200*time.Millisecond)
		defer cancel()
		_, err := follower.Propose(callCtx, newChange("one", 0))
		Expect(err).To(HaveOccurred())
	})

	// A voter loses its disk and restarts blank under its old name. It must not count as the former
	// voter: an operator removes that one and adds the new one. Immediately after this repair, a
	// second voter is lost. Accepted changes must survive, and further changes must be accepted.
	It("outlives a second loss right after a repair", SpecTimeout(specTimeout), func(ctx SpecContext) {
		Expect(proposeChange(ctx, c.nodes["f"], newChange("one", 0)).Verdict).To(Equal(registry.VerdictApplied))
		lost := c.nodes["b"]
		formerIdentity := lost.Identity()
		lost.stop()
		Expect(os.RemoveAll(lost.folder)).To(Succeed())
		lost.restart()
		Expect(lost.Identity()).NotTo(Equal(formerIdentity))
		Expect(c.voter("a").Bootstrap(ctx)).NotTo(Succeed(), "a bootstrap instead of the repair must be refused")
		changeVoters(ctx, c, courier.VotersChange{Remove: formerIdentity})
		changeVoters(ctx, c, courier.VotersChange{Add: lost.Identity()})
		c.nodes["c"].stop()
		Eventually(ctx, func(g Gomega) {
			result, err := c.nodes["f"].Propose(ctx, newChange("two", 1))
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(result.Change.Verdict).To(Equal(registry.VerdictApplied))
		}).Should(Succeed())
		Expect(lost.ConfigCache().Latest().Revision).To(BeNumerically(">=", 1))
	})

	// Two of three voters lose their disks, so that there is no quorum. The state of the third
	// voter is exported, and a new cluster starts from it on blank disks. The accepted changes must
	// be in force again and fencing numbers must continue to increase. A follower of the old
	// cluster must follow the new one only after a restart, since its own configuration might be
	// newer.
	It("is restored in a new cluster after a loss of quorum", SpecTimeout(specTimeout), func(ctx SpecContext) {
		for n := range 3 {
			Expect(proposeChange(ctx, c.nodes["f"], newChange(fmt.Sprintf("change-%d", n), registry.Revision(n))).Verdict).To(Equal(registry.VerdictApplied))
		}
		Eventually(ctx, revisionEverywhere(3)).Should(BeTrue())
		_, formerTerm := c.nodes["a"].Leader()
		for _, name := range []string{"a", "b", "c"} {
			c.nodes[name].stop()
		}
		state, err := salvage.Read(c.nodes["a"].folder)
		Expect(err).NotTo(HaveOccurred())
		Expect(state.Revision).To(Equal(registry.Revision(3)))
		for _, name := range []string{"a", "b", "c"} {
			Expect(os.RemoveAll(c.nodes[name].folder)).To(Succeed())
			c.nodes[name].restart()
		}
		origin := chamber.InitialState{Index: state.Index, Term: state.Term, Data: state.Data}
		Expect(c.voter("b").BootstrapFrom(ctx, origin)).To(Succeed())
		for _, name := range []string{"a", "b", "c"} {
			voter := c.nodes[name]
			Eventually(ctx, func() bool { return voter.HasConfigLease(time.Now()) }).Should(BeTrue())
			Expect(voter.ConfigCache().Latest().Revision).To(Equal(registry.Revision(3)))
		}
		_, term := c.nodes["a"].Leader()
		Expect(term).To(BeNumerically(">", formerTerm))
		follower := c.nodes["f"]
		Eventually(ctx, func() bool { return follower.HasConfigLease(time.Now()) }).Should(BeFalse())
		follower.stop()
		follower.restart()
		Eventually(ctx, func() bool { return follower.HasConfigLease(time.Now()) }).Should(BeTrue())
		Expect(proposeChange(ctx, follower, newChange("change-3", 3)).Verdict).To(Equal(registry.VerdictApplied))
	})

	It("is founded once", SpecTimeout(specTimeout), func(ctx SpecContext) {
		Eventually(ctx, func() jury.Identity { leader, _ := c.nodes["a"].Leader(); return leader }).ShouldNot(BeEmpty())
		err := c.voter("c").Bootstrap(ctx)
		Expect(err).To(MatchError(ContainSubstring("at work in cluster")))
	})
})

var _ = Describe("a claim", func() {
	// Several instances claim the same key concurrently through different voters. Exactly one claim
	// must be granted.
	It("is granted to one of those that raced for it", SpecTimeout(specTimeout), func(ctx SpecContext) {
		c := newCluster(ctx)
		var goroutines sync.WaitGroup
		verdicts := make(chan docket.Verdict, 4)
		for n, node := range c.running() {
			goroutines.Go(func() {
				defer GinkgoRecover()
				result, err := node.Propose(ctx, docket.Claim{
					Key:      docket.KeyOf("booking", "k"),
					Claimant: docket.Claimant{Instance: fmt.Sprint(n), Incarnation: 1, Request: 1},
					Timeout:  time.Minute,
				})
				Expect(err).NotTo(HaveOccurred())
				verdicts <- result.Docket.Verdict
			})
		}
		goroutines.Wait()
		close(verdicts)
		counts := map[docket.Verdict]int{}
		for verdict := range verdicts {
			counts[verdict]++
		}
		Expect(counts).To(Equal(map[docket.Verdict]int{docket.VerdictGranted: 1, docket.VerdictInProgress: 3}))
		answer, err := c.nodes["f"].Lookup(ctx, docket.KeyOf("booking", "k"))
		Expect(err).NotTo(HaveOccurred())
		Expect(answer.Verdict).To(Equal(docket.VerdictInProgress))
	})

	// When the retention of a record expires, its key counts as a new request. The metrics of every
	// voter must count this, so that operators can see it.
	It("is counted when it expires", SpecTimeout(specTimeout), func(ctx SpecContext) {
		c := newClusterWith(ctx, clusterOptions{renewInterval: 50 * time.Millisecond, docket: shortRetention()})
		expectCountedExpiry(ctx, c, c.nodes["a"])
	})

	// An outcome whose answer was lost is recorded again. Its record must still be there then.
	It("is counted when it expires, although the answer to its outcome was late", SpecTimeout(specTimeout), func(ctx SpecContext) {
		var lateAnswers atomic.Int32
		c := newClusterWith(ctx, clusterOptions{
			renewInterval: 50 * time.Millisecond, docket: shortRetention(),
			answerDelay: func(command []byte) time.Duration {
				decoded, err := registry.Decode(command)
				if _, ok := decoded.(docket.Record); err != nil || !ok || lateAnswers.Add(1) > 1 {
					return 0
				}
				return proposalAttempt + 50*time.Millisecond
			},
		})
		expectCountedExpiry(ctx, c, c.votersWithoutLeader(ctx)[0])
		Expect(lateAnswers.Load()).To(BeNumerically(">", 1))
	})
})

// proposalAttempt is how long a voter waits for the answer to a proposal before it repeats it.
const proposalAttempt = time.Second

// shortRetention returns limits with a retention that a spec can wait for. It exceeds several attempts
// to make a proposal: one that is repeated after its record has expired gets another verdict.
func shortRetention() docket.Limits {
	limits := docket.DefaultLimits()
	limits.Retention, limits.MaxStep = 4*proposalAttempt, 100*time.Millisecond
	return limits
}

// expectCountedExpiry claims a key and records its outcome through a node, and expects each voter to
// count the expired record.
func expectCountedExpiry(ctx context.Context, c *cluster, proposer *node) {
	GinkgoHelper()
	key, by := docket.KeyOf("booking", "k"), docket.Claimant{Instance: "a", Incarnation: 1, Request: 1}
	propose := func(command registry.Command) docket.Verdict {
		result, err := proposer.Propose(ctx, command)
		Expect(err).NotTo(HaveOccurred())
		return result.Docket.Verdict
	}
	Expect(propose(docket.Claim{Key: key, Claimant: by, Timeout: time.Minute})).To(Equal(docket.VerdictGranted))
	Expect(propose(docket.Record{Key: key, Claimant: by, Attempt: 1, State: docket.StateUnknown})).To(Equal(docket.VerdictRecorded))
	for _, name := range []string{"a", "b", "c"} {
		Eventually(ctx, func() float64 {
			if gauge, ok := c.nodes[name].metrics.Snapshot().Gauges()["docket.expired+"]; ok {
				return gauge.Value()
			}
			return 0
		}).Should(Equal(1.0))
	}
	Expect(c.nodes["b"].Lookup(ctx, key)).To(HaveField("Verdict", docket.VerdictNotFound))
}

func changeVoters(ctx context.Context, c *cluster, change courier.VotersChange) {
	EventuallyWithOffset(1, ctx, func() error {
		callCtx, cancel := context.WithTimeout(ctx, 2*time.Second)
		defer cancel()
		err := c.nodes["a"].ChangeVoters(callCtx, change)
		if errors.Is(err, chamber.ErrNotAccepted) && alreadyApplied(c, change) {
			return nil
		}
		return err
	}).Should(Succeed())
}

// alreadyApplied reports whether an earlier attempt, whose reply was lost, made the change.
func alreadyApplied(c *cluster, change courier.VotersChange) bool {
	voters := c.voter("a").Status().Voters
	for _, identity := range voters {
		if identity == change.Add {
			return true
		}
		if identity == change.Remove {
			return false
		}
	}
	return change.Remove != ""
}
