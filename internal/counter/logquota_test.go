package counter_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lovagelift/lovagelift/internal/counter"
)

var _ = Describe("The log quota", func() {
	// All upstreams refuse for several seconds. A line for each of thousands of requests would take
	// CPU time from the requests. The number of suppressed lines must be logged.
	It("limits the lines per second, and reports how many were suppressed", func() {
		var quota counter.LogQuota
		logged := 0
		for range 1000 {
			if _, ok := quota.Allow(start); ok {
				logged++
			}
		}
		Expect(logged).To(Equal(100))
		suppressed, ok := quota.Allow(start.Add(time.Second))
		Expect(ok).To(BeTrue())
		Expect(suppressed).To(Equal(900))
		suppressed, _ = quota.Allow(start.Add(time.Second))
		Expect(suppressed).To(BeZero())
	})
})
