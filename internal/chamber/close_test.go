package chamber_test

import (
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lovagelift/lovagelift/internal/chamber"
)

// It was proposed again and again at the closed voter until its time was over.
var _ = Describe("A proposal that waits for the other voters ends when its voter is closed", func() {
	// proposeAndStop proposes a change at a voter of a cluster whose others are isolated, stops that voter and
	// returns the error of the proposal.
	proposeAndStop := func(ctx SpecContext, c *cluster, at *node) error {
		GinkgoHelper()
		for _, n := range c.nodes {
			if n != at {
				n.isolate()
			}
		}
		voter, failures := c.voter(at.name), make(chan error, 1)
		go func() {
			_, err := voter.Propose(ctx, newChange("pending", 0))
			failures <- err
		}()
		Consistently(ctx, failures, 100*time.Millisecond).ShouldNot(Receive())
		at.stop()
		var failure error
		Eventually(ctx, failures, time.Second).Should(Receive(&failure))
		return failure
	}

	It("with an unknown outcome at the leader", SpecTimeout(specTimeout), func(ctx SpecContext) {
		c := newCluster(ctx)
		others := c.votersWithoutLeader(ctx)
		for _, n := range c.nodes {
			if n.voter && !slices.Contains(others, n) {
				failure := proposeAndStop(ctx, c, n)
				Expect(failure).To(HaveOccurred())
				Expect(failure).NotTo(MatchError(chamber.ErrNotAccepted))
			}
		}
	})

	It("at another voter", SpecTimeout(specTimeout), func(ctx SpecContext) {
		c := newCluster(ctx)
		Expect(proposeAndStop(ctx, c, c.votersWithoutLeader(ctx)[0])).To(HaveOccurred())
	})
})
