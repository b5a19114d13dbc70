package backoffice_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lovagelift/lovagelift/internal/backoffice"
)

var _ = Describe("The requests that wait for a model", func() {
	// Callers of one entry instance wait for a model that nobody holds, those of the
	// next one don't. What the next one told would have hidden them: models that fewer
	// wait for were brought back before theirs.
	It("are those of all entry instances", func() {
		now := time.Now()
		var waiting backoffice.Waiting
		waiting.Tell(now, "a", 3)
		waiting.Tell(now, "a", 2)
		waiting.Tell(now, "b", 0)
		Expect(waiting.At(now)).To(Equal(5))
		later := now.Add(250 * time.Millisecond)
		waiting.Tell(later, "a", 1)
		Expect(waiting.At(later)).To(Equal(1))
	})

	It("are forgotten when an entry instance tells no more of them", func() {
		now := time.Now()
		var waiting backoffice.Waiting
		waiting.Tell(now, "a", 3)
		Expect(waiting.At(now.Add(2 * time.Second))).To(BeZero())
	})
})
