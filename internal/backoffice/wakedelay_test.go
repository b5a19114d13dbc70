package backoffice_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lovagelift/lovagelift/internal/backoffice"
)

var _ = Describe("Wake delay", func() {
	It("reports no lack of processor time while an instance wakes in time", func() {
		Expect(backoffice.StarvedAfter(time.Millisecond, 5*time.Millisecond, 2*time.Millisecond)).To(BeFalse())
	})

	// A burst of 100 calls makes a leader wake a quarter of a second late. Two more such
	// rounds would get it replaced.
	It("reports a lack of processor time after one late round, and its end some rounds later", func() {
		late := []time.Duration{250 * time.Millisecond}
		Expect(backoffice.StarvedAfter(late...)).To(BeTrue())
		Expect(backoffice.StarvedAfter(append(late, make([]time.Duration, 12)...)...)).To(BeFalse())
	})
})
