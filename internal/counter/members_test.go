package counter_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("The list of entry instances", func() {
	// Instances with part of the list would have other owners of models and quotas than the rest.
	It("does not shrink by the word of a control instance that may not know all", func(ctx SpecContext) {
		g := newPeerGroup(3)
		g.waitUntilKnown(0)
		g.control.setRosterIncomplete(true)
		g.control.setExactEntries(g.peers[0].address, g.peers[1].address)
		synced := g.control.syncCount()
		Eventually(g.control.syncCount, specTimeout).Should(BeNumerically(">", synced+2*len(g.peers)))
		Expect(g.peers[0].proxy.Instances()).To(Equal(3))
		g.control.setRosterIncomplete(false)
		Eventually(ctx, g.peers[0].proxy.Instances).Should(Equal(2))
	}, SpecTimeout(specTimeout))

	// Guards against several owners after a loss of all control instances: those that start again have
	// heard of few entry instances, and the outage has lasted for longer than a list is kept.
	It("does not shrink by the word of a control instance that has just started, however long none answered", func(ctx SpecContext) {
		g := newPeerGroup(3)
		g.waitUntilKnown(0)
		g.control.setHasLeader(false)
		g.clock.advance(time.Minute)
		g.control.setRosterIncomplete(true)
		g.control.setExactEntries(g.peers[0].address)
		g.control.setHasLeader(true)
		synced := g.control.syncCount()
		Eventually(g.control.syncCount, specTimeout).Should(BeNumerically(">", synced+3*len(g.peers)))
		for _, p := range g.peers {
			Expect(p.proxy.Instances()).To(Equal(3))
		}
		g.clock.advance(5 * time.Second)
		Eventually(ctx, g.peers[0].proxy.Instances).Should(Equal(1), "a list that nobody confirms is not kept for good")
	}, SpecTimeout(specTimeout))
})
