package backoffice_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lovagelift/lovagelift/internal/backoffice"
	"github.com/lovagelift/lovagelift/internal/courier"
)

var _ = Describe("State reported by entry instances", func() {
	start := time.Unix(1000, 0)

	// Requests at two entry instances use an adapter. It must not be unloaded until both
	// instances have reported that theirs have ended.
	It("says that an adapter is in use until no instance uses it", func() {
		reported := backoffice.NewReported()
		adapter := backoffice.Adapter{Model: "m", Name: "a"}
		open := courier.Demand{Model: "m", Adapter: "a", Requests: 1, Open: 1}
		reported.RecordDemand(start, "e1", open)
		reported.RecordDemand(start, "e2", open, courier.Demand{Model: "m", Adapter: "b", Open: 2})
		reported.RecordDemand(start, "e1")
		Expect(reported.AdapterInUse(adapter)).To(BeTrue())
		reported.RecordDemand(start, "e2", courier.Demand{Model: "m", Adapter: "b", Open: 1})
		Expect(reported.AdapterInUse(adapter)).To(BeFalse())
	})

	It("says which engines have a low rate limit while the limit is reported", func() {
		reported := backoffice.NewReported()
		reported.RecordLimit(start, "e1", 1.1)
		reported.RecordLimit(start, "e2", 40)
		Expect(reported.HasLowLimit(start, "e1", 64)).To(BeTrue())
		Expect(reported.HasLowLimit(start, "e2", 64)).To(BeFalse(), "the limit is close to the number of slots")
		Expect(reported.HasLowLimit(start, "e3", 64)).To(BeFalse())
		Expect(reported.HasLowLimit(start.Add(3*time.Second), "e1", 64)).To(BeFalse())
	})

	// Callers may name any model and adapter. The memory of an instance must not grow
	// without bound with the names, whether it leads or not.
	It("is removed once requests stop", func() {
		reported := backoffice.NewReported()
		for i := range 1000 {
			reported.RecordDemand(start, "e1", courier.Demand{Model: fmt.Sprint("m", i), Adapter: fmt.Sprint("a", i), Requests: 1, Open: 1})
		}
		Expect(reported.Entries(start.Add(time.Second))).To(BeNumerically(">", 2000))
		Expect(reported.Entries(start.Add(time.Minute))).To(BeZero())
	})
})
