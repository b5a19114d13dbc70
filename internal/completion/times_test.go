package completion_test

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lovagelift/lovagelift/internal/completion"
)

func TestCompletion(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "completion")
}

var _ = Describe("Times", func() {
	It("knows nothing of a key before the first request", func() {
		times := completion.Times[string]{}
		times.Observe("seats", time.Second)
		_, known := times.Longest("letters")
		Expect(known).To(BeFalse())
	})

	It("approaches a time that all requests take, from above", func() {
		times := completion.Times[string]{}
		for range 40 {
			times.Observe("seats", time.Second)
			longest, known := times.Longest("seats")
			Expect(known).To(BeTrue())
			Expect(longest).To(BeNumerically(">=", time.Second))
		}
		longest, _ := times.Longest("seats")
		Expect(longest).To(BeNumerically("<", 1050*time.Millisecond))
	})

	It("exceeds nearly all of times that vary", func() {
		times := completion.Times[string]{}
		exceeded := 0
		for n := range 1000 {
			sample := time.Duration(1+n*7919%100) * 10 * time.Millisecond
			if longest, known := times.Longest("seats"); known && sample > longest {
				exceeded++
			}
			times.Observe("seats", sample)
		}
		Expect(exceeded).To(BeNumerically("<", 20))
	})

	It("tells a time that most of times that vary do not exceed", func() {
		times := completion.Times[string]{}
		Expect(times.Usual("seats")).To(BeZero())
		exceeded := 0
		for n := range 1000 {
			sample := time.Duration(1+n*7919%100) * 10 * time.Millisecond
			if n > 0 && sample > times.Usual("seats") {
				exceeded++
			}
			times.Observe("seats", sample)
		}
		Expect(exceeded).To(BeNumerically("<", 300))
		Expect(exceeded).To(BeNumerically(">", 50), "far less than the longest")
	})
})
