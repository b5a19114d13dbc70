package backoffice_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lovagelift/lovagelift/internal/backoffice"
)

var _ = Describe("Strain", func() {
	It("puts nothing off while an instance wakes in time", func() {
		Expect(backoffice.StrainAfter(time.Millisecond, 5*time.Millisecond, 2*time.Millisecond)).To(Equal(1.0))
	})

	// A hundred questions come at once, and a leader wakes a quarter of a second late: two
	// more such rounds and it would be replaced.
	It("puts off what can wait within two rounds of a lack of processor time", func() {
		Expect(backoffice.StrainAfter(250 * time.Millisecond)).To(BeNumerically(">", 2))
		Expect(backoffice.StrainAfter(250*time.Millisecond, 250*time.Millisecond)).To(Equal(4.0))
	})

	It("ends within some rounds after it", func() {
		after := []time.Duration{250 * time.Millisecond, 250 * time.Millisecond}
		for range 8 {
			after = append(after, 0)
		}
		Expect(backoffice.StrainAfter(after...)).To(Equal(1.0))
	})
})
