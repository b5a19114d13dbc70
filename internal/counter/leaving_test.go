package counter_test

import (
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("An upstream that states in its responses that it leaves", func() {
	// An engine that could not reach the control instances stated its leave, and instances that had
	// passed on its responses went on sending.
	DescribeTable("gets nothing more from any instance",
		func(engine bool) {
			group := newPeerGroup(3)
			model := group.ownedBy(1)
			u, stays := newReluctantUpstream(group.clock), newReluctantUpstream(group.clock)
			group.control.announce("u", u.address(), model)
			group.waitUntilKnown(1)
			if !engine {
				model = ""
			}
			Expect(group.sendTo(0, "/short/", model)).To(Equal(http.StatusOK))
			u.leave()
			Expect(group.sendTo(0, "/short/", model)).To(Equal(http.StatusOK), "the response is passed on")
			group.control.announce("v", stays.address(), group.ownedBy(1))
			group.waitUntilKnown(2)
			group.clock.advance(time.Millisecond)
			stated := group.clock.Now()
			Eventually(func() int {
				group.sendFor(300*time.Millisecond, "/short/", model, 0, 1, 2)
				from := group.clock.Now()
				group.sendFor(300*time.Millisecond, "/short/", model, 0, 1, 2)
				return u.arrivalsOf("i0", stated) + u.arrivalsOf("i1", from) + u.arrivalsOf("i2", from)
			}, specTimeout).Should(BeZero())
			Expect(group.sendFor(2*time.Second, "/short/", model, 0, 1, 2)).To(Equal(map[int]int{http.StatusOK: 40}))
		},
		Entry("a plain service", false),
		Entry("an engine", true),
	)
})
