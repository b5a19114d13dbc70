package backoffice_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lovagelift/lovagelift/internal/backoffice"
	"github.com/lovagelift/lovagelift/internal/courier"
)

var _ = Describe("Requests that wait for a model", func() {
	// Callers of one entry instance wait for a model that no engine holds, and those of
	// another one don't. The report of the second must not replace that of the first, or
	// models with fewer waiting requests are loaded first.
	It("are those of all entry instances", func() {
		now := time.Now()
		var waiting backoffice.WaitingRequests
		waiting.Set(now, "a", 3)
		waiting.Set(now, "a", 2)
		waiting.Set(now, "b", 0)
		Expect(waiting.Total(now)).To(Equal(5))
		later := now.Add(250 * time.Millisecond)
		waiting.Set(later, "a", 1)
		Expect(waiting.Total(later)).To(Equal(1))
	})

	It("expire when an entry instance stops reporting them", func() {
		now := time.Now()
		var waiting backoffice.WaitingRequests
		waiting.Set(now, "a", 3)
		Expect(waiting.Total(now.Add(2 * time.Second))).To(BeZero())
	})
})

// Models of one service differ in speed by a factor of four. By the service's mean, a fast model gets
// copies that it does not need, for which slower models are unloaded.
var _ = DescribeTable("The work requested of a model is counted by its run time",
	func(runTime time.Duration, slots float64) {
		now := time.Unix(1000, 0)
		reported := backoffice.NewReported()
		reported.RecordDemand(now, "owner", courier.Demand{Service: "pool", Model: "m", RunTime: runTime})
		for range 16 {
			reported.RecordDemand(now, "a", courier.Demand{Service: "pool", Model: "m", Requests: 5, Answering: 5 * time.Second})
			now = now.Add(250 * time.Millisecond)
		}
		const maxDecodeShare = 0.9
		Expect(reported.Rate(now.Add(-time.Millisecond), "pool", "m")).To(BeNumerically("~", slots/maxDecodeShare, 0.1))
	},
	Entry("unknown: the estimate of the requests", 0*time.Second, 20.0),
	Entry("of a fast model", 250*time.Millisecond, 5.0),
	Entry("of a slow model", 1500*time.Millisecond, 30.0),
)
