package counter_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lovagelift/lovagelift/internal/counter"
)

// askedBy returns how many of so many entry instances ask each control instance, of which
// the first leads.
func askedBy(entries int, alive []string) map[string]int {
	asked := map[string]int{}
	for i := range entries {
		asked[counter.ChosenControl(fmt.Sprintf("10.0.0.%d:7000", i), entries, alive, alive[0])]++
	}
	return asked
}

var _ = Describe("Whom an entry instance asks for news", func() {
	controls := []string{"c1", "c2", "c3", "c4", "c5", "c6", "c7", "c8", "c9"}

	It("is the leader, while all of them take little of its time", func() {
		Expect(askedBy(7, controls)).To(Equal(map[string]int{"c1": 7}))
	})

	// A leader was lost, and 86 entry instances came to its successor at once, each with a
	// new connection and for all upstreams: the successor sent its heartbeats late and was
	// replaced too, and so on. No model or adapter was loaded meanwhile.
	It("is any instance but the leader, about as many each, where there are many", func() {
		asked := askedBy(86, controls)
		Expect(asked).NotTo(HaveKey("c1"))
		Expect(asked).To(HaveLen(8))
		for _, count := range asked {
			Expect(count).To(BeNumerically("<=", 20))
		}
	})

	It("is an instance of the same failure domain, while there is one that does not lead", func() {
		Expect(counter.ChosenControlNear("10.0.0.7:7000", 86, controls, []string{"c1", "c4"}, "c1")).To(Equal("c4"))
		Expect(counter.ChosenControlNear("10.0.0.7:7000", 86, controls, []string{"c1"}, "c1")).To(BeElementOf(controls[1:]))
	})

	It("changes only for those whose instance is lost or becomes the leader", func() {
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

	It("pauses less between questions that many instances answer", func() {
		Expect(counter.SyncDelay(86, controls, "c1", "c1")).To(Equal(516 * time.Millisecond))
		Expect(counter.SyncDelay(86, controls, "c2", "c1")).To(Equal(250 * time.Millisecond))
	})

	// One control instance has a disk that stalls, and answers on from what it had before:
	// entry instances that ask it would know no change until the disk is well.
	Describe("is another one", func() {
		start := time.Unix(1000, 0)
		at := func(seconds float64) time.Time { return start.Add(time.Duration(seconds * float64(time.Second))) }

		DescribeTable("once the first has lagged for a second",
			func(confirmed bool, age time.Duration) {
				asker := counter.NewControlChooser("c1", "c2", "c3")
				Expect(asker.AfterReply(at(0), confirmed, age)).To(Equal("c1"))
				Expect(asker.AfterReply(at(0.9), confirmed, age)).To(Equal("c1"))
				Expect(asker.AfterReply(at(1), confirmed, age)).To(Equal("c2"))
				Expect(asker.AfterReply(at(1.2), true, 0)).To(Equal("c2"), "the first is left alone for a while")
				Expect(asker.AfterReply(at(3.2), true, 0)).To(Equal("c1"))
			},
			Entry("and confirms nothing", false, time.Duration(0)),
			Entry("and confirms what is old", true, 2*time.Second),
		)

		It("not while each needs a moment to catch up", func() {
			asker := counter.NewControlChooser("c1", "c2", "c3")
			Expect(asker.AfterReply(at(0), false, 0)).To(Equal("c1"))
			Expect(asker.AfterReply(at(0.5), true, 0)).To(Equal("c1"))
			Expect(asker.AfterReply(at(1.2), false, 0)).To(Equal("c1"))
		})
	})
})
