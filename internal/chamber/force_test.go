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

// The target is that a change is in force everywhere within this time.
const inForceWithin = 4 * time.Second

var _ = Describe("a change on seven instances", func() {
	// An operator's change is accepted through one instance. Callers of the six
	// others must meet it soon; those without a disk learn of it when they next
	// confirm their configuration.
	It("is in force everywhere in time", SpecTimeout(3*specTimeout), func(ctx SpecContext) {
		const changes = 24
		h := newHouseOf(ctx, houseOptions{renewEvery: 500 * time.Millisecond, docket: docket.DefaultLimits()}, "d", "e", "f", "g")
		var accepted, everywhere []time.Duration
		for n := range changes {
			start := time.Now()
			Expect(apply(ctx, h.members["d"], change(fmt.Sprintf("change-%d", n), registry.Revision(n)))).
				To(HaveField("Verdict", registry.VerdictApplied))
			answered := time.Now()
			Eventually(ctx, func() bool { return h.allAt(registry.Revision(n + 1)) }).
				WithPolling(time.Millisecond).WithTimeout(inForceWithin).Should(BeTrue())
			accepted = append(accepted, answered.Sub(start))
			everywhere = append(everywhere, time.Since(answered))
		}
		AddReportEntry("proposed to accepted", percentiles(accepted[1:]))
		AddReportEntry("accepted to in force on seven instances", percentiles(everywhere[1:]))
	})
})

// allAt tells whether every member has that revision in force.
func (h *house) allAt(revision registry.Revision) bool {
	for _, part := range h.parts() {
		if part.Gazette().Latest().Revision < revision {
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
