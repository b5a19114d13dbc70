package chamber_test

import (
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lovagelift/lovagelift/internal/chamber"
)

// It was proposed again and again at the closed voter until its time was over.
var _ = It("A proposal without an outcome ends when its voter is closed", SpecTimeout(specTimeout), func(ctx SpecContext) {
	c := newCluster(ctx)
	others := c.votersWithoutLeader(ctx)
	var leader *node
	for _, n := range c.nodes {
		switch {
		case slices.Contains(others, n):
			n.isolate()
		case n.voter:
			leader = n
		}
	}
	voter, failures := c.voter(leader.name), make(chan error, 1)
	go func() {
		_, err := voter.Propose(ctx, newChange("pending", 0))
		failures <- err
	}()
	Consistently(ctx, failures, 100*time.Millisecond).ShouldNot(Receive())
	leader.stop()
	var failure error
	Eventually(ctx, failures, time.Second).Should(Receive(&failure))
	Expect(failure).To(HaveOccurred())
	Expect(failure).NotTo(MatchError(chamber.ErrNotAccepted))
})
