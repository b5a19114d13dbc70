package counter_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lovagelift/lovagelift/internal/counter"
)

// entriesPerControl returns the number of entry instances that call each control instance. The
// first control instance is the leader.
func entriesPerControl(entries int, alive []string) map[string]int {
	counts := map[string]int{}
	for i := range entries {
		counts[counter.ChosenControl(fmt.Sprintf("10.0.0.%d:7000", i), entries, alive, alive[0])]++
	}
	return counts
}

var _ = Describe("Whom an entry instance asks for news", func() {
	controls := []string{"c1", "c2", "c3", "c4", "c5", "c6", "c7", "c8", "c9"}

	It("is the leader, while there are few entry instances", func() {
		Expect(entriesPerControl(7, controls)).To(Equal(map[string]int{"c1": 7}))
	})

	// A leader fails. If 86 entry instances call its successor at once, each with a new connection
	// and a request for all upstreams, the successor sends its heartbeats late and is replaced in
	// turn, repeatedly. No model or adapter is loaded in the meantime.
	It("is any instance but the leader, about as many each, where there are many", func() {
		counts := entriesPerControl(86, controls)
		Expect(counts).NotTo(HaveKey("c1"))
		Expect(counts).To(HaveLen(8))
		for _, count := range counts {
			Expect(count).To(BeNumerically("<=", 20))
		}
	})

	It("is a non-leader in the same failure domain, if there is one", func() {
		Expect(counter.ChosenControlNear("10.0.0.7:7000", 86, controls, []string{"c1", "c4"}, "c1")).To(Equal("c4"))
		Expect(counter.ChosenControlNear("10.0.0.7:7000", 86, controls, []string{"c1"}, "c1")).To(BeElementOf(controls[1:]))
	})

	It("changes only if that instance is lost or becomes the leader", func() {
		changed := 0
		for i := range 86 {
			self := fmt.Sprintf("10.0.0.%d:7000", i)
			before := counter.ChosenControl(self, 86, controls, "c1")
			after := counter.ChosenControl(self, 86, controls[1:], "c2")
			if before != after {
				Expect(before).To(Equal("c2"))
				changed++
			}
		}
		Expect(changed).To(BeNumerically("<=", 20))
	})

	It("is asked at shorter intervals if it is not the leader", func() {
		Expect(counter.SyncDelay(86, 140, controls, "c1", "c1")).To(Equal(516 * time.Millisecond))
		Expect(counter.SyncDelay(86, 140, controls, "c2", "c1")).To(Equal(250 * time.Millisecond))
	})

	// Guards against control instances that spend all their processor time on renewals.
	It("is asked at longer intervals among thousands of upstreams", func() {
		Expect(counter.SyncDelay(100, 1000, controls, "c2", "c1")).To(Equal(312 * time.Millisecond))
		Expect(counter.SyncDelay(300, 3000, controls, "c2", "c1")).To(Equal(time.Second))
	})

	// A control instance whose disk stalls keeps answering from its old state. Entry instances that
	// call it would miss all changes until the disk recovers.
	Describe("is another one", func() {
		start := time.Unix(1000, 0)
		at := func(seconds float64) time.Time { return start.Add(time.Duration(seconds * float64(time.Second))) }

		DescribeTable("once the first has lagged for a second",
			func(confirmed bool, age time.Duration) {
				chooser := counter.NewControlChooser("c1", "c2", "c3")
				Expect(chooser.AfterReply(at(0), confirmed, age)).To(Equal("c1"))
				Expect(chooser.AfterReply(at(0.9), confirmed, age)).To(Equal("c1"))
				Expect(chooser.AfterReply(at(1), confirmed, age)).To(Equal("c2"))
				Expect(chooser.AfterReply(at(1.2), true, 0)).To(Equal("c2"), "the first is avoided for a while")
				Expect(chooser.AfterReply(at(3.2), true, 0)).To(Equal("c1"))
			},
			Entry("and confirms nothing", false, time.Duration(0)),
			Entry("and confirms an old state", true, 2*time.Second),
		)

		It("not while each needs a moment to catch up", func() {
			chooser := counter.NewControlChooser("c1", "c2", "c3")
			Expect(chooser.AfterReply(at(0), false, 0)).To(Equal("c1"))
			Expect(chooser.AfterReply(at(0.5), true, 0)).To(Equal("c1"))
			Expect(chooser.AfterReply(at(1.2), false, 0)).To(Equal("c1"))
		})
	})
})
