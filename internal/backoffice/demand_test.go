package backoffice_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lovagelift/lovagelift/internal/backoffice"
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
