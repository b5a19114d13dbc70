package counter_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lovagelift/lovagelift/internal/counter"
)

var _ = Describe("The retry budget", func() {
	// All upstreams of a service refuse, and every instance uses its full retry budget. The total
	// within a window must stay within the slack for any number of instances.
	DescribeTable("is divided among the instances",
		func(instances int, slack float64) {
			limits := counter.RetryLimits{Burst: slack, Window: 10 * time.Second}
			reserve, refill := counter.RetryBudget(limits, instances)
			Expect(float64(instances) * (reserve + refill*limits.Window.Seconds())).To(BeNumerically("<=", slack))
			Expect(reserve).To(BeNumerically(">=", 1))
		},
		Entry("today's sites", 7, 54.0),
		Entry("the first grown site", 55, 150.0),
		Entry("the second grown site", 86, 212.0),
	)
})
