package edition_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lovagelift/lovagelift/internal/edition"
)

var _ = Describe("Proof", func() {
	asked := time.Unix(1000, 0)
	confirmed := func(version uint64, age time.Duration) edition.Reading {
		return edition.Reading{Version: version, Confirmed: true, Age: age}
	}
	proven := edition.Proof{}.With(asked, "a", 7, confirmed(7, time.Second))

	It("counts back from the question", func() {
		Expect(proven.Covers(asked.Add(-time.Second))).To(BeTrue())
		Expect(proven.Covers(asked.Add(-time.Second + 1))).To(BeFalse())
		Expect(proven.Voucher()).To(Equal("a"))
		age, ok := proven.Age(asked.Add(time.Second))
		Expect(ok).To(BeTrue())
		Expect(age).To(Equal(2 * time.Second))
	})

	It("covers nothing before a replica has confirmed anything", func() {
		Expect(edition.Proof{}.Covers(time.Time{})).To(BeFalse())
		_, ok := edition.Proof{}.Age(asked)
		Expect(ok).To(BeFalse())
	})

	DescribeTable("stays as it is",
		func(later time.Duration, held uint64, reading edition.Reading) {
			Expect(proven.With(asked.Add(later), "b", held, reading)).To(Equal(proven))
		},
		// The replica has started again and knows who leads, and has not applied its log.
		Entry("by a replica that confirms nothing", time.Minute, uint64(7), edition.Reading{Version: 7}),
		// The newer routes could not be read here.
		Entry("by a replica that has a newer version than the copy", time.Minute, uint64(7), confirmed(8, 0)),
		// Two answers crossed, or another replica is behind.
		Entry("by an older confirmation", time.Second, uint64(7), confirmed(7, 3*time.Second)),
	)

	It("is as good from a replica that is behind the copy, for what it covers", func() {
		later := proven.With(asked.Add(time.Minute), "b", 9, confirmed(8, 0))
		Expect(later.Covers(asked.Add(time.Minute))).To(BeTrue())
		Expect(later.Voucher()).To(Equal("b"))
	})
})
