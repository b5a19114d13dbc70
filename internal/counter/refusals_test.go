package counter_test

import (
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// mostRefusals returns the largest number of refusals in one second.
func (u *reluctantUpstream) mostRefusals() int {
	u.mu.Lock()
	defer u.mu.Unlock()
	most, first := 0, 0
	for last, at := range u.refusals {
		for at.Sub(u.refusals[first]) >= time.Second {
			first++
		}
		most = max(most, last-first+1)
	}
	return most
}

func (u *reluctantUpstream) stateTolerance(tolerance string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.tolerance = tolerance
}

var _ = Describe("An upstream that states how many refusals it tolerates", func() {
	// Overloaded engines crashed because each of many instances kept below the stated number of
	// refusals, and all together exceeded it.
	DescribeTable("does not have to refuse more, from all instances together",
		func(engine bool) {
			group := newPeerGroup(3)
			model := group.ownedBy(1)
			if !engine {
				model = ""
			}
			brittle := newReluctantUpstream(group.clock)
			brittle.stateTolerance("6")
			group.control.announce("u", brittle.address(), group.ownedBy(1))
			group.waitUntilKnown(1)
			brittle.pushBack("", "i0", "i1", "i2")
			group.sendFor(5*time.Second, "/short/", model, 0, 1, 2)
			Expect(brittle.mostRefusals()).To(BeNumerically("<=", 6))

			brittle.pushBack("")
			// A report that is still under way counts from its arrival.
			Eventually(func() map[int]int {
				group.clock.advance(2 * time.Second)
				return group.sendFor(time.Second, "/short/", model, 0, 1, 2)
			}, specTimeout).Should(Equal(map[int]int{http.StatusOK: 20}))
		},
		Entry("a plain service", false),
		Entry("an engine", true),
	)
})
