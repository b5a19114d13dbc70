package departure_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lovagelift/lovagelift/internal/departure"
	"github.com/lovagelift/lovagelift/internal/upstreamapi"
)

var start = time.Date(2026, 12, 4, 8, 0, 0, 0, time.UTC)

func leave(name string, incarnation uint64) upstreamapi.Leave {
	return upstreamapi.Leave{Name: name, Incarnation: incarnation}
}

func update(now time.Time, leaves ...upstreamapi.Leave) departure.Update {
	return departure.Update{Now: now, Leaves: leaves}
}

var _ = Describe("Records", func() {
	It("cover a process that has left and the earlier ones, and no later one", func() {
		records := departure.Records{}.With(update(start, leave("e1", 5), leave("e2", 0)))
		Expect(records.Covers(start, leave("e1", 4))).To(BeTrue())
		Expect(records.Covers(start, leave("e1", 5))).To(BeTrue())
		Expect(records.Covers(start, leave("e1", 6))).To(BeFalse())
		Expect(records.Covers(start, leave("e1", 0))).To(BeFalse(), "a later process may have left")
		Expect(records.Covers(start, leave("e2", 7))).To(BeTrue())
		Expect(records.Covers(start, leave("e3", 1))).To(BeFalse())
	})

	// The next process of the name would be hidden.
	It("say nothing of a minute later if they name no process, and are renewed before", func() {
		records := departure.Records{}.With(update(start, leave("e1", 0)))
		Expect(records.Since(start.Add(time.Minute), 0)).To(BeEmpty())
		again := update(start.Add(40*time.Second), leave("e1", 0))
		Expect(records.Covers(again.Now, leave("e1", 0))).To(BeFalse())
		Expect(records.With(again).Since(start.Add(time.Minute), records.Revision())).To(HaveLen(1))
	})

	It("are the same after a snapshot, and go on with the next revision", func() {
		records := departure.Records{}.With(update(start, leave("e1", 5), leave("e2", 0)))
		restored, err := departure.Restore(records.Snapshot())
		Expect(err).NotTo(HaveOccurred())
		Expect(restored).To(Equal(records))
		later := update(start.Add(time.Second), leave("e1", 5), leave("e3", 1))
		Expect(restored.With(later).Since(later.Now, records.Revision())).To(Equal([]upstreamapi.Leave{leave("e3", 1)}))
		Expect(restored.With(later)).To(Equal(records.With(later)))
		Expect(departure.Records{}.With(later).Since(later.Now, 0)).To(HaveLen(2))
	})

	It("reject a truncated snapshot", func() {
		snapshot := departure.Records{}.With(update(start, leave("e1", 5))).Snapshot()
		_, err := departure.Restore(snapshot[:len(snapshot)-1])
		Expect(err).To(HaveOccurred())
	})

	It("drop what is old and, beyond the bound, what is oldest", func() {
		records := departure.Records{}.With(update(start, leave("e1", 1)))
		records = records.With(update(start.Add(time.Hour), leave("e2", 1)))
		Expect(records.Since(start.Add(time.Hour), 0)).To(Equal([]upstreamapi.Leave{leave("e2", 1)}))
		var many []upstreamapi.Leave
		for n := range 5000 {
			many = append(many, leave(fmt.Sprintf("f%d", n), 1))
		}
		records = records.With(update(start.Add(time.Hour), many...))
		Expect(records.Since(start.Add(time.Hour), 0)).To(HaveLen(4096))
		Expect(records.Covers(start, leave("e2", 1))).To(BeFalse())
		Expect(records.Covers(start, leave("f4999", 1))).To(BeTrue())
	})
})
