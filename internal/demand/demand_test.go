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

var draftsModel = demand.Target{Model: "drafts"}

// addReports adds one report per second to an Estimator, each with the given
// number of requests, which are held for two seconds each.
func addReports(e *demand.Estimator, from time.Time, sequence uint64, seconds int, requests int64) time.Time {
	for i := range seconds {
		from = from.Add(time.Second)
		e.Add(from, demand.Report{Instance: "a", Incarnation: 1, Sequence: sequence + uint64(i), Counts: []demand.Count{
			{Target: draftsModel, Offered: requests, Ended: requests, HoldTime: time.Duration(requests) * 2 * time.Second},
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

	It("estimates a steady load at every scale, also soon after it began", func() {
		now := addReports(e, start, 1, 60, 5)
		estimate := e.Estimates(now)[0]
		Expect(estimate.Fast).To(BeNumerically("~", 10, 0.6))
		Expect(estimate.Middle).To(BeNumerically("~", 10, 0.6))
		Expect(estimate.Slow).To(BeNumerically("~", 10, 0.6))
	})

	It("follows a tenfold shift within minutes, and keeps the memory of the hour", func() {
		now := addReports(e, start, 1, 3600, 2)
		now = addReports(e, now, 3601, 300, 20)
		estimate := e.Estimates(now)[0]
		Expect(estimate.ScaleUpLoad(4)).To(BeNumerically(">", 35))
		Expect(estimate.Slow).To(BeNumerically("<", 12))
		now = addReports(e, now, 3901, 300, 2)
		estimate = e.Estimates(now)[0]
		Expect(estimate.Middle).To(BeNumerically("<", 8))
		Expect(estimate.RetainedLoad()).To(BeNumerically(">=", estimate.ScaleUpLoad(0)))
	})

	It("counts a short burst less for scaling up the more moves weigh, and in full for keeping copies", func() {
		now := addReports(e, start, 1, 1800, 1)
		now = addReports(e, now, 1801, 5, 40)
		estimate := e.Estimates(now)[0]
		Expect(estimate.ScaleUpLoad(0)).To(Equal(estimate.Fast))
		Expect(estimate.ScaleUpLoad(1)).To(BeNumerically("~", estimate.Fast/2, 0.01))
		Expect(estimate.ScaleUpLoad(1000)).To(Equal(estimate.Middle))
		Expect(estimate.RetainedLoad()).To(Equal(estimate.Fast))
	})

	// A report is sent again after its answer was lost, and arrives twice.
	// Counted twice, it would look like a doubled load and cause moves.
	It("ignores a duplicate report, or one that arrives after a later one", func() {
		r := demand.Report{Instance: "a", Incarnation: 1, Sequence: 2, Counts: []demand.Count{{Target: draftsModel, Offered: 10}}}
		Expect(e.Add(start, r)).To(BeTrue())
		once := e.Estimates(start)
		Expect(e.Add(start, r)).To(BeFalse())
		r.Sequence = 1
		Expect(e.Add(start, r)).To(BeFalse())
		Expect(e.Estimates(start)).To(Equal(once))
		r.Incarnation = 2
		Expect(e.Add(start, r)).To(BeTrue())
	})

	It("drops targets without requests", func() {
		now := addReports(e, start, 1, 10, 1)
		Expect(e.Estimates(now)).To(HaveLen(1))
		Expect(e.Estimates(now.Add(24 * time.Hour))).To(BeEmpty())
	})
})

var _ = Describe("Merge", func() {
	It("adds up counts in any order of the reports", func() {
		b := demand.Target{Model: "b", Adapter: "x"}
		one := demand.Report{Instance: "1", Counts: []demand.Count{{Target: draftsModel, Offered: 1, Ended: 2, HoldTime: 3}, {Target: b, Offered: 4}}}
		two := demand.Report{Instance: "2", Counts: []demand.Count{{Target: draftsModel, Offered: 10, Ended: 20, HoldTime: 30}}}
		merged := demand.Merge("m", 7, 9, one, two)
		Expect(merged.Counts).To(Equal([]demand.Count{{Target: b, Offered: 4}, {Target: draftsModel, Offered: 11, Ended: 22, HoldTime: 33}}))
		Expect(demand.Merge("m", 7, 9, two, one)).To(Equal(merged))
	})

	// 6,500 requests per second over 330 nodes are about 200 in 10 seconds at
	// each. A node may spend 24 KB per second on all control traffic together.
	It("keeps the report of a node small, and the merged report of all nodes", func() {
		var all []demand.Report
		for node := range 330 {
			r := demand.Report{Instance: fmt.Sprintf("node-%03d", node), Incarnation: 1, Sequence: 1}
			for i := range 200 {
				target := demand.Target{Model: fmt.Sprintf("model-%04d", (node*200+i)%1700)}
				r.Counts = append(r.Counts, demand.Count{Target: target, Offered: 1, Ended: 1, HoldTime: 3 * time.Second})
			}
			slices.SortFunc(r.Counts, func(a, b demand.Count) int { return bytes.Compare([]byte(a.Target.Model), []byte(b.Target.Model)) })
			all = append(all, r)
		}
		one, merged := gobSize(all[0]), gobSize(demand.Merge("m", 1, 1, all...))
		GinkgoWriter.Println("report of a node", one, "B; merged", merged, "B")
		Expect(one).To(BeNumerically("<", 8_000))
		Expect(merged).To(BeNumerically("<", 64_000))
	})
})

func gobSize(r demand.Report) int {
	var buffer bytes.Buffer
	Expect(gob.NewEncoder(&buffer).Encode(r)).To(Succeed())
	return buffer.Len()
}
