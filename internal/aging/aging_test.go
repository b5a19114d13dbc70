package aging_test

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lovagelift/lovagelift/internal/aging"
)

func TestAging(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "aging")
}

var _ = Describe("Tracker", func() {
	start := time.Unix(1000, 0)
	at := func(seconds int) time.Time { return start.Add(time.Duration(seconds) * time.Second) }
	var ages *aging.Tracker[string]
	starved := func(seconds int, key string) bool {
		_, starves := ages.Starved(at(seconds), key)
		return starves
	}

	BeforeEach(func() {
		ages = aging.New[string](aging.Options{StarvedAfter: 3 * time.Second, ForgetAfter: 10 * time.Second, MaxKeys: 2})
	})

	It("measures the time from the first request for a key since it was last served", func() {
		ages.Requested(at(0), "a")
		ages.Requested(at(2), "a")
		Expect(starved(2, "a")).To(BeFalse())
		Expect(starved(3, "a")).To(BeTrue())
		ages.Served("a")
		Expect(starved(3, "a")).To(BeFalse())
		ages.Requested(at(9), "a")
		Expect(starved(9, "a")).To(BeFalse(), "it was served after every earlier request")
	})

	It("forgets a key that is no longer requested", func() {
		ages.Requested(at(0), "a")
		Expect(starved(11, "a")).To(BeFalse())
		ages.Requested(at(11), "a")
		Expect(starved(13, "a")).To(BeFalse())
	})

	// Callers may name any model, so the memory must not grow with the number of names.
	It("tracks a bounded number of keys, those that were requested first", func() {
		ages.Requested(at(0), "a")
		ages.Requested(at(0), "b")
		ages.Requested(at(0), "c")
		Expect(starved(5, "b")).To(BeTrue())
		Expect(starved(5, "c")).To(BeFalse())
		ages.Requested(at(11), "c")
		Expect(starved(14, "c")).To(BeTrue(), "the other keys are no longer requested")
	})
})
