package counter_test

import (
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
})
