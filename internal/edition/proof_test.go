package edition_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lovagelift/lovagelift/internal/edition"
)

var _ = Describe("Proof", func() {
	sentAt := time.Unix(1000, 0)
	confirmed := func(version uint64, age time.Duration) edition.Reading {
		return edition.Reading{Version: version, Confirmed: true, Age: age}
	}
	proven := edition.Proof{}.With(sentAt, "a", 7, confirmed(7, time.Second))

	It("counts the age back from the sending of the request", func() {
		Expect(proven.Covers(sentAt.Add(-time.Second))).To(BeTrue())
		Expect(proven.Covers(sentAt.Add(-time.Second + 1))).To(BeFalse())
		Expect(proven.ConfirmedBy()).To(Equal("a"))
		age, ok := proven.Age(sentAt.Add(time.Second))
		Expect(ok).To(BeTrue())
		Expect(age).To(Equal(2 * time.Second))
	})

	It("covers no time before the first confirmation", func() {
		Expect(edition.Proof{}.Covers(time.Time{})).To(BeFalse())
		_, ok := edition.Proof{}.Age(sentAt)
		Expect(ok).To(BeFalse())
	})

	DescribeTable("stays as it is",
		func(later time.Duration, heldVersion uint64, reading edition.Reading) {
			Expect(proven.With(sentAt.Add(later), "b", heldVersion, reading)).To(Equal(proven))
		},
		// The replica has restarted and knows the leader, but has not applied its log.
		Entry("after a reading that is not confirmed", time.Minute, uint64(7), edition.Reading{Version: 7}),
		// The newer routes could not be decoded here.
		Entry("after a reading with a newer version than the copy", time.Minute, uint64(7), confirmed(8, 0)),
		// Two responses arrived in the reverse order, or another replica is behind.
		Entry("after an older confirmation", time.Second, uint64(7), confirmed(7, 3*time.Second)),
	)

	It("advances by a replica with an older version than the copy", func() {
		later := proven.With(sentAt.Add(time.Minute), "b", 9, confirmed(8, 0))
		Expect(later.Covers(sentAt.Add(time.Minute))).To(BeTrue())
		Expect(later.ConfirmedBy()).To(Equal("b"))
	})
})
