package backoffice_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lovagelift/lovagelift/internal/backoffice"
)

var _ = Describe("Lateness", func() {
	It("says nothing while an instance wakes in time", func() {
		Expect(backoffice.ShortAfter(time.Millisecond, 5*time.Millisecond, 2*time.Millisecond)).To(BeFalse())
	})

	// A hundred questions come at once, and a leader wakes a quarter of a second late: two
	// more such rounds and it would be replaced.
	It("tells a lack of processor time after one round, and its end some rounds later", func() {
		late := []time.Duration{250 * time.Millisecond}
		Expect(backoffice.ShortAfter(late...)).To(BeTrue())
		Expect(backoffice.ShortAfter(append(late, make([]time.Duration, 12)...)...)).To(BeFalse())
	})
})
