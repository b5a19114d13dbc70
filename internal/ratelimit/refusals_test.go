package ratelimit_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lovagelift/lovagelift/internal/ratelimit"
)

var _ = Describe("Refusals", func() {
	start := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

	It("pause nothing if the upstream states no tolerance", func() {
		Expect(ratelimit.Refusals{}.With(start).PausedUntil()).To(BeZero())
	})

	DescribeTable("stay below the tolerance however requests come",
		func(tolerance int) {
			refusals := ratelimit.Refusals{}.WithTolerance(tolerance)
			var at []time.Time
			for now := start; now.Before(start.Add(10 * time.Second)); now = now.Add(time.Millisecond) {
				if now.Before(refusals.PausedUntil()) {
					continue
				}
				refusals = refusals.With(now)
				at = append(at, now)
			}
			for i := tolerance; i < len(at); i++ {
				Expect(at[i].Sub(at[i-tolerance])).To(BeNumerically(">", time.Second))
			}
		},
		Entry("of 1", 1), Entry("of 2", 2), Entry("of 5", 5), Entry("of 40", 40),
	)
})
