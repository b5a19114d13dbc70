package resumption_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lovagelift/lovagelift/internal/resumption"
)

var _ = Describe("An instance at which streams begin", func() {
	start := time.Unix(1000, 0)
	after := start.Add

	It("is silent since it was last heard from, until no stream of it can be resumed", func() {
		var b resumption.Beginners
		Expect(b.AnySilentSince(after(time.Second), start)).To(BeFalse())
		b.Observe(start, "a", start, false)
		Expect(b.AnySilentSince(after(time.Second), start)).To(BeTrue())
		Expect(b.AnySilentSince(after(time.Second), start.Add(-1))).To(BeFalse())
		Expect(b.AnySilentSince(after(resumption.MaxRetention+1), start)).To(BeFalse())
		b.Observe(after(time.Minute), "a", after(time.Minute), false)
		Expect(b.AnySilentSince(after(time.Minute), start)).To(BeFalse())
	})

	It("is not silent after it was drained", func() {
		var b resumption.Beginners
		b.Observe(start, "a", start, false)
		b.Observe(start, "a", start, true)
		Expect(b.AnySilentSince(after(time.Second), start)).To(BeFalse())
	})
})
