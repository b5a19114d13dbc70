package chamber_test

import (
	"fmt"
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lovagelift/lovagelift/internal/docket"
	"github.com/lovagelift/lovagelift/internal/registry"
)

// maxPropagationTime is the target for the time from the acceptance of a change until it is in
// force on all instances.
const maxPropagationTime = 4 * time.Second

var _ = Describe("a change on seven instances", func() {
	// A change accepted through one instance must take effect on the six others in time for their
	// callers. Followers learn of it only when they next confirm their configuration.
	It("is in force everywhere in time", SpecTimeout(3*specTimeout), func(ctx SpecContext) {
		const changes = 24
		c := newClusterWith(ctx, clusterOptions{renewInterval: 500 * time.Millisecond, docket: docket.DefaultLimits()}, "d", "e", "f", "g")
		var accepted, inForce []time.Duration
		for n := range changes {
			start := time.Now()
			Expect(proposeChange(ctx, c.nodes["d"], newChange(fmt.Sprintf("change-%d", n), registry.Revision(n)))).
				To(HaveField("Verdict", registry.VerdictApplied))
			answered := time.Now()
			Eventually(ctx, func() bool { return c.allAtRevision(registry.Revision(n + 1)) }).
				WithPolling(time.Millisecond).WithTimeout(maxPropagationTime).Should(BeTrue())
			accepted = append(accepted, answered.Sub(start))
			inForce = append(inForce, time.Since(answered))
		}
		AddReportEntry("proposed to accepted", percentiles(accepted[1:]))
		AddReportEntry("accepted to in force on seven instances", percentiles(inForce[1:]))
	})
})

// allAtRevision reports whether the revision, or a later one, is in force on all nodes.
func (c *cluster) allAtRevision(revision registry.Revision) bool {
	for _, node := range c.running() {
		if node.ConfigCache().Latest().Revision < revision {
			return false
		}
	}
	return true
}

func percentiles(times []time.Duration) string {
	slices.Sort(times)
	at := func(percent int) time.Duration {
		return times[(len(times)-1)*percent/100].Round(100 * time.Microsecond)
	}
	return fmt.Sprintf("p50 %s, p99 %s, max %s of %d", at(50), at(99), times[len(times)-1].Round(100*time.Microsecond), len(times))
}
