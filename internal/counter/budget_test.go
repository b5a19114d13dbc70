package counter_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lovagelift/lovagelift/internal/counter"
)

var _ = Describe("The budget of retries", func() {
	// All upstreams of a service refuse, and every instance retries what it may. What
	// they get more than once within a window must stay within the slack, whether 7
	// instances share it or 86.
	DescribeTable("is shared by the instances that there are",
		func(instances int, slack float64) {
			limits := counter.RetryLimits{Slack: slack, Window: 10 * time.Second}
			reserve, refill := counter.RetryBudget(limits, instances)
			Expect(float64(instances) * (reserve + refill*limits.Window.Seconds())).To(BeNumerically("<=", slack))
			Expect(reserve).To(BeNumerically(">=", 1))
		},
		Entry("today's sites", 7, 54.0),
		Entry("the first grown site", 55, 150.0),
		Entry("the second grown site", 86, 212.0),
	)
})
