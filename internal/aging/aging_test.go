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
	var tracker *aging.Tracker[string]
	starved := func(seconds int, key string) bool {
		_, starves := tracker.Starved(at(seconds), key)
		return starves
	}

	BeforeEach(func() {
		tracker = aging.New[string](aging.Options{StarvedAfter: 3 * time.Second, ForgetAfter: 10 * time.Second, MaxKeys: 2})
	})

	It("measures the time from the first request for a key since it was last served", func() {
		tracker.Requested(at(0), "a")
		tracker.Requested(at(2), "a")
		Expect(starved(2, "a")).To(BeFalse())
		Expect(starved(3, "a")).To(BeTrue())
		tracker.Served("a")
		Expect(starved(3, "a")).To(BeFalse())
		tracker.Requested(at(9), "a")
		Expect(starved(9, "a")).To(BeFalse(), "it was served after every earlier request")
	})

	It("forgets a key that is no longer requested", func() {
		tracker.Requested(at(0), "a")
		Expect(starved(11, "a")).To(BeFalse())
		tracker.Requested(at(11), "a")
		Expect(starved(13, "a")).To(BeFalse())
	})

	// Callers may name any model, so the memory must not grow with the number of names.
	It("tracks a bounded number of keys, those that were requested first", func() {
		tracker.Requested(at(0), "a")
		tracker.Requested(at(0), "b")
		tracker.Requested(at(0), "c")
		Expect(starved(5, "b")).To(BeTrue())
		Expect(starved(5, "c")).To(BeFalse())
		tracker.Requested(at(11), "c")
		Expect(starved(14, "c")).To(BeTrue(), "the other keys are no longer requested")
	})
})
