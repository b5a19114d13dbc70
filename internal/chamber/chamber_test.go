package chamber_test

import (
	"context"
	"fmt"
	"os"
	"sync"
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
	var h *house

	BeforeEach(func(ctx SpecContext) { h = newHouse(ctx) })

	revisionEverywhere := func(revision registry.Revision) func() bool {
		return func() bool {
			now := time.Now()
			for _, part := range h.parts() {
				if !part.Fresh(now) || part.Gazette().Latest().Revision != revision {
					return false
				}
			}
			return true
		}
	}

	It("is in force everywhere, and after a restart of all voters", SpecTimeout(specTimeout), func(ctx SpecContext) {
		for n := range 20 {
			answer := apply(ctx, h.members["f"], change(fmt.Sprintf("change-%d", n), registry.Revision(n)))
			Expect(answer.Verdict).To(Equal(registry.VerdictApplied))
		}
		Eventually(ctx, revisionEverywhere(20)).Should(BeTrue())
		for _, name := range []string{"a", "b", "c"} {
			h.members[name].stop()
		}
		for _, name := range []string{"a", "b", "c"} {
			h.members[name].restart()
		}
		Eventually(ctx, revisionEverywhere(20)).Should(BeTrue())
	})

	// One instance is upgraded and accepts declarations of a newer format. The
	// others can't read them: they admit no new work. But they go on voting, so
	// that the next change, which they can read, is accepted and in force.
	It("that can't be read stops no voter", SpecTimeout(specTimeout), func(ctx SpecContext) {
		newer := change("newer", 0)
		newer.Declarations = []byte(`{"format":1000}`)
		Expect(apply(ctx, h.members["f"], newer)).To(HaveField("Verdict", registry.VerdictApplied))
		Eventually(ctx, func() bool {
			now := time.Now()
			for _, part := range h.parts() {
				if part.Fresh(now) {
					return false
				}
			}
			return true
		}).Should(BeTrue())
		Expect(apply(ctx, h.members["f"], change("readable", 1))).To(HaveField("Verdict", registry.VerdictApplied))
		Eventually(ctx, revisionEverywhere(2)).Should(BeTrue())
	})

	// An upgraded instance proposes a command that the voters don't know. If it
	// were committed, each of them would stop when it carried it out.
	It("is not reached by a command that the voters don't know", SpecTimeout(specTimeout), func(ctx SpecContext) {
		Expect(apply(ctx, h.members["f"], change("first", 0))).To(HaveField("Verdict", registry.VerdictApplied))
		for _, here := range []bool{false, true} {
			for _, name := range []string{"a", "b", "c"} {
				proposed := h.members["f"].pools[0].Propose(ctx, h.members[name].address(), []byte(`{"format":1000}`), here)
				Expect(proposed.Fate).To(Equal(courier.FateNotAccepted))
				Expect(proposed.Reason).To(ContainSubstring("newer program"))
			}
		}
		Expect(apply(ctx, h.members["f"], change("second", 1))).To(HaveField("Verdict", registry.VerdictApplied))
	})

	// Eight operators have seen the same revision and change it at the same
	// moment, through different instances. One wins; each other is told what
	// was changed, and by whom.
	It("is one of those that raced for a revision", SpecTimeout(specTimeout), func(ctx SpecContext) {
		var racing sync.WaitGroup
		answers := make(chan registry.Answer, 8)
		for n, part := range append(h.parts(), h.parts()...) {
			racing.Go(func() {
				defer GinkgoRecover()
				answers <- apply(ctx, part, change(fmt.Sprintf("race-%d", n), 0))
			})
		}
		racing.Wait()
		close(answers)
		accepted := 0
		for answer := range answers {
			if answer.Verdict == registry.VerdictApplied {
				accepted++
				continue
			}
			Expect(answer.Verdict).To(Equal(registry.VerdictConflict))
			Expect(answer.Since).To(HaveLen(1))
		}
		Expect(accepted).To(Equal(1))
	})

	// An instance is cut off for long. It must not go on under what was replaced
	// meanwhile: once its lease has passed it admits nothing. When it is back,
	// it has what is in force, and nothing older in between.
	DescribeTable("is never replaced by an older one at an instance that was cut off",
		func(ctx SpecContext, name string) {
			Expect(apply(ctx, h.members["a"], change("one", 0)).Verdict).To(Equal(registry.VerdictApplied))
			Eventually(ctx, revisionEverywhere(1)).Should(BeTrue())
			cut := h.members[name]
			cut.cutOff()
			Expect(apply(ctx, h.members["a"], change("two", 1)).Verdict).To(Equal(registry.VerdictApplied))
			Eventually(ctx, func() bool { return cut.Fresh(time.Now()) }).Should(BeFalse())
			tryCtx, cancel := context.WithTimeout(ctx, 300*time.Millisecond)
			defer cancel()
			_, err := cut.Propose(tryCtx, change("three", 2))
			Expect(err).To(HaveOccurred())
			cut.heal()
			Eventually(ctx, revisionEverywhere(2)).Should(BeTrue())
		},
		Entry("a follower", SpecTimeout(specTimeout), "f"),
		Entry("a voter", SpecTimeout(specTimeout), "b"),
	)

	// All voters are lost. The follower says so by its lease: callers get a
	// refusal at once, and nothing that hangs.
	It("is not used without voters for longer than its lease", SpecTimeout(specTimeout), func(ctx SpecContext) {
		follower := h.members["f"]
		Eventually(ctx, func() bool { return follower.Fresh(time.Now()) }).Should(BeTrue())
		for _, name := range []string{"a", "b", "c"} {
			h.members[name].stop()
		}
		Eventually(ctx, func() bool { return follower.Fresh(time.Now()) }).Should(BeFalse())
		tryCtx, cancel := context.WithTimeout(ctx, 200*time.Millisecond)
		defer cancel()
		_, err := follower.Propose(tryCtx, change("one", 0))
		Expect(err).To(HaveOccurred())
	})

	// One voter loses its disk and comes back blank under its old name. It must
	// not count as the voter it was: an operator removes that one and adds it.
	// Right after that repair, a second voter is lost. What was accepted is
	// still there, and more is accepted.
	It("outlives a second loss right after a repair", SpecTimeout(specTimeout), func(ctx SpecContext) {
		Expect(apply(ctx, h.members["f"], change("one", 0)).Verdict).To(Equal(registry.VerdictApplied))
		lost := h.members["b"]
		was := lost.Identity()
		lost.stop()
		Expect(os.RemoveAll(lost.folder)).To(Succeed())
		lost.restart()
		Expect(lost.Identity()).NotTo(Equal(was))
		Expect(h.voter("a").Bootstrap(ctx)).NotTo(Succeed(), "a bootstrap in place of the repair does no harm")
		changeVoters(ctx, h, courier.VotersChange{Remove: was})
		changeVoters(ctx, h, courier.VotersChange{Add: lost.Identity()})
		h.members["c"].stop()
		Eventually(ctx, func(g Gomega) {
			result, err := h.members["f"].Propose(ctx, change("two", 1))
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(result.Change.Verdict).To(Equal(registry.VerdictApplied))
		}).Should(Succeed())
		Expect(lost.Gazette().Latest().Revision).To(BeNumerically(">=", 1))
	})

	// Two of three voters lose their disks: no majority can decide any more. The
	// third one's state is exported, and a new cluster founded from it on blank
	// disks. What was accepted is in force again, fencing numbers go on, and an
	// instance that followed the old cluster follows the new one only after a
	// restart, since what it knew might be newer.
	It("is brought over when a majority is lost", SpecTimeout(specTimeout), func(ctx SpecContext) {
		for n := range 3 {
			Expect(apply(ctx, h.members["f"], change(fmt.Sprintf("change-%d", n), registry.Revision(n))).Verdict).To(Equal(registry.VerdictApplied))
		}
		Eventually(ctx, revisionEverywhere(3)).Should(BeTrue())
		_, lostTerm := h.members["a"].Leader()
		for _, name := range []string{"a", "b", "c"} {
			h.members[name].stop()
		}
		state, err := salvage.Read(h.members["a"].folder)
		Expect(err).NotTo(HaveOccurred())
		Expect(state.Revision).To(Equal(registry.Revision(3)))
		for _, name := range []string{"a", "b", "c"} {
			Expect(os.RemoveAll(h.members[name].folder)).To(Succeed())
			h.members[name].restart()
		}
		origin := chamber.Origin{Index: state.Index, Term: state.Term, Data: state.Data}
		Expect(h.voter("b").BootstrapFrom(ctx, origin)).To(Succeed())
		for _, name := range []string{"a", "b", "c"} {
			voter := h.members[name]
			Eventually(ctx, func() bool { return voter.Fresh(time.Now()) }).Should(BeTrue())
			Expect(voter.Gazette().Latest().Revision).To(Equal(registry.Revision(3)))
		}
		_, term := h.members["a"].Leader()
		Expect(term).To(BeNumerically(">", lostTerm))
		follower := h.members["f"]
		Eventually(ctx, func() bool { return follower.Fresh(time.Now()) }).Should(BeFalse())
		follower.stop()
		follower.restart()
		Eventually(ctx, func() bool { return follower.Fresh(time.Now()) }).Should(BeTrue())
		Expect(apply(ctx, follower, change("change-3", 3)).Verdict).To(Equal(registry.VerdictApplied))
	})

	It("is founded once", SpecTimeout(specTimeout), func(ctx SpecContext) {
		Eventually(ctx, func() jury.Identity { leader, _ := h.members["a"].Leader(); return leader }).ShouldNot(BeEmpty())
		err := h.voter("c").Bootstrap(ctx)
		Expect(err).To(MatchError(ContainSubstring("at work in cluster")))
	})
})

var _ = Describe("a claim", func() {
	// Two instances claim the same key at the same moment, through different
	// voters. One is granted.
	It("is granted to one of those that raced for it", SpecTimeout(specTimeout), func(ctx SpecContext) {
		h := newHouse(ctx)
		var racing sync.WaitGroup
		verdicts := make(chan docket.Verdict, 4)
		for n, part := range h.parts() {
			racing.Go(func() {
				defer GinkgoRecover()
				result, err := part.Propose(ctx, docket.Claim{
					Key:      docket.KeyOf("booking", "k"),
					Claimant: docket.Claimant{Instance: fmt.Sprint(n), Incarnation: 1, Request: 1},
					Timeout:  time.Minute,
				})
				Expect(err).NotTo(HaveOccurred())
				verdicts <- result.Docket.Verdict
			})
		}
		racing.Wait()
		close(verdicts)
		counted := map[docket.Verdict]int{}
		for verdict := range verdicts {
			counted[verdict]++
		}
		Expect(counted).To(Equal(map[docket.Verdict]int{docket.VerdictGranted: 1, docket.VerdictInProgress: 3}))
		answer, err := h.members["f"].Lookup(ctx, docket.KeyOf("booking", "k"))
		Expect(err).NotTo(HaveOccurred())
		Expect(answer.Verdict).To(Equal(docket.VerdictInProgress))
	})

	// A record's retention runs out, and its key is a new request from then on.
	// Operators must see that it happens, at any voter.
	It("is counted when it expires", SpecTimeout(specTimeout), func(ctx SpecContext) {
		limits := docket.DefaultLimits()
		limits.Retention, limits.MaxStep = 200*time.Millisecond, 100*time.Millisecond
		h := newHouseOf(ctx, houseOptions{renewEvery: 50 * time.Millisecond, docket: limits})
		key, by := docket.KeyOf("booking", "k"), docket.Claimant{Instance: "a", Incarnation: 1, Request: 1}
		propose := func(command registry.Command) docket.Verdict {
			result, err := h.members["a"].Propose(ctx, command)
			Expect(err).NotTo(HaveOccurred())
			return result.Docket.Verdict
		}
		Expect(propose(docket.Claim{Key: key, Claimant: by, Timeout: time.Minute})).To(Equal(docket.VerdictGranted))
		Expect(propose(docket.Record{Key: key, Claimant: by, Attempt: 1, State: docket.StateUnknown})).To(Equal(docket.VerdictRecorded))
		for _, name := range []string{"a", "b", "c"} {
			Eventually(ctx, func() float64 {
				if gauge, ok := h.members[name].metrics.Snapshot().Gauges()["docket.expired+"]; ok {
					return gauge.Value()
				}
				return 0
			}).Should(Equal(1.0))
		}
		Expect(h.members["b"].Lookup(ctx, key)).To(HaveField("Verdict", docket.VerdictNone))
	})
})

func changeVoters(ctx context.Context, h *house, c courier.VotersChange) {
	EventuallyWithOffset(1, ctx, func() error {
		tryCtx, cancel := context.WithTimeout(ctx, 2*time.Second)
		defer cancel()
		err := h.members["a"].ChangeVoters(tryCtx, c)
		if errors.Is(err, chamber.ErrNotAccepted) && alreadyDone(h, c) {
			return nil
		}
		return err
	}).Should(Succeed())
}

// alreadyDone tells whether an earlier try, whose answer was lost, did it.
func alreadyDone(h *house, c courier.VotersChange) bool {
	voters := h.voter("a").Status().Voters
	for _, identity := range voters {
		if identity == c.Add {
			return true
		}
		if identity == c.Remove {
			return false
		}
	}
	return c.Remove != ""
}
