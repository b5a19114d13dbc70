package demand_test

import (
	"bytes"
	"encoding/gob"
	"fmt"
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lovagelift/lovagelift/internal/demand"
)

var drafts = demand.Target{Model: "drafts"}

// reports gives an Estimator one report a second, each of so many requests that
// are held for two seconds.
func reports(e *demand.Estimator, from time.Time, sequence uint64, seconds int, requests int64) time.Time {
	for i := range seconds {
		from = from.Add(time.Second)
		e.Add(from, demand.Report{Instance: "a", Incarnation: 1, Sequence: sequence + uint64(i), Counts: []demand.Count{
			{Target: drafts, Offered: requests, Ended: requests, Held: time.Duration(requests) * 2 * time.Second},
		}})
	}
	return from
}

var _ = Describe("Estimator", func() {
	var (
		e     *demand.Estimator
		start time.Time
	)
	BeforeEach(func() {
		start = time.Unix(1000, 0)
		e = demand.New(start)
	})

	It("finds a steady load at every scale, also soon after it began", func() {
		now := reports(e, start, 1, 60, 5)
		estimate := e.Estimates(now)[0]
		Expect(estimate.Fast).To(BeNumerically("~", 10, 0.6))
		Expect(estimate.Middle).To(BeNumerically("~", 10, 0.6))
		Expect(estimate.Slow).To(BeNumerically("~", 10, 0.6))
	})

	It("follows a tenfold shift within minutes, and keeps the memory of the hour", func() {
		now := reports(e, start, 1, 3600, 2)
		now = reports(e, now, 3601, 300, 20)
		estimate := e.Estimates(now)[0]
		Expect(estimate.Rising(4)).To(BeNumerically(">", 35))
		Expect(estimate.Slow).To(BeNumerically("<", 12))
		now = reports(e, now, 3901, 300, 2)
		estimate = e.Estimates(now)[0]
		Expect(estimate.Middle).To(BeNumerically("<", 8))
		Expect(estimate.Keeping()).To(BeNumerically(">=", estimate.Rising(0)))
	})

	It("counts a burst of seconds for rising the less the more moves weigh, and whole for keeping", func() {
		now := reports(e, start, 1, 1800, 1)
		now = reports(e, now, 1801, 5, 40)
		estimate := e.Estimates(now)[0]
		Expect(estimate.Rising(0)).To(Equal(estimate.Fast))
		Expect(estimate.Rising(1)).To(BeNumerically("~", estimate.Fast/2, 0.01))
		Expect(estimate.Rising(1000)).To(Equal(estimate.Middle))
		Expect(estimate.Keeping()).To(Equal(estimate.Fast))
	})

	// A report is sent again after its answer was lost, and arrives twice. Counted
	// twice, it would look like a doubled load and cause moves.
	It("ignores a report that comes twice, or after a later one", func() {
		r := demand.Report{Instance: "a", Incarnation: 1, Sequence: 2, Counts: []demand.Count{{Target: drafts, Offered: 10}}}
		Expect(e.Add(start, r)).To(BeTrue())
		once := e.Estimates(start)
		Expect(e.Add(start, r)).To(BeFalse())
		r.Sequence = 1
		Expect(e.Add(start, r)).To(BeFalse())
		Expect(e.Estimates(start)).To(Equal(once))
		r.Incarnation = 2
		Expect(e.Add(start, r)).To(BeTrue())
	})

	It("forgets what is no longer asked for", func() {
		now := reports(e, start, 1, 10, 1)
		Expect(e.Estimates(now)).To(HaveLen(1))
		Expect(e.Estimates(now.Add(24 * time.Hour))).To(BeEmpty())
	})
})

var _ = Describe("Merged", func() {
	It("adds up counts, whatever the order of the reports", func() {
		b := demand.Target{Model: "b", Adapter: "x"}
		one := demand.Report{Instance: "1", Counts: []demand.Count{{Target: drafts, Offered: 1, Ended: 2, Held: 3}, {Target: b, Offered: 4}}}
		two := demand.Report{Instance: "2", Counts: []demand.Count{{Target: drafts, Offered: 10, Ended: 20, Held: 30}}}
		merged := demand.Merged("m", 7, 9, one, two)
		Expect(merged.Counts).To(Equal([]demand.Count{{Target: b, Offered: 4}, {Target: drafts, Offered: 11, Ended: 22, Held: 33}}))
		Expect(demand.Merged("m", 7, 9, two, one)).To(Equal(merged))
	})

	// 6,500 requests a second over 330 nodes are 200 in 10 seconds at each. The
	// 24 KB a second that a node may spend on control are for all of it together.
	It("keeps a node's report small, and all of them merged", func() {
		var all []demand.Report
		for node := range 330 {
			r := demand.Report{Instance: fmt.Sprintf("node-%03d", node), Incarnation: 1, Sequence: 1}
			for i := range 200 {
				target := demand.Target{Model: fmt.Sprintf("model-%04d", (node*200+i)%1700)}
				r.Counts = append(r.Counts, demand.Count{Target: target, Offered: 1, Ended: 1, Held: 3 * time.Second})
			}
			slices.SortFunc(r.Counts, func(a, b demand.Count) int { return bytes.Compare([]byte(a.Target.Model), []byte(b.Target.Model)) })
			all = append(all, r)
		}
		one, merged := size(all[0]), size(demand.Merged("m", 1, 1, all...))
		GinkgoWriter.Println("report of a node", one, "B; merged", merged, "B")
		Expect(one).To(BeNumerically("<", 8_000))
		Expect(merged).To(BeNumerically("<", 64_000))
	})
})

func size(r demand.Report) int {
	var buffer bytes.Buffer
	Expect(gob.NewEncoder(&buffer).Encode(r)).To(Succeed())
	return buffer.Len()
}
