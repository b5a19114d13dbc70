package backoffice_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lovagelift/lovagelift/internal/courier"
	"github.com/lovagelift/lovagelift/internal/roster"
)

var _ = Describe("The roster of a control instance", func() {
	isIncomplete := func(ctx SpecContext, c *testCluster, address string) func() bool {
		return func() bool {
			reply, err := c.calls.Sync(ctx, address, courier.SyncArgs{})
			Expect(err).NotTo(HaveOccurred())
			return reply.RosterIncomplete
		}
	}

	It("may be incomplete just after the start", func(ctx SpecContext) {
		c := newTestCluster()
		Expect(isIncomplete(ctx, c, c.seeds[0])()).To(BeTrue())
		Eventually(ctx, isIncomplete(ctx, c, c.seeds[0])).Should(BeFalse())
	}, SpecTimeout(specTimeout))

	It("is complete again some time after one of the others is gone for good", func(ctx SpecContext) {
		c := newTestCluster()
		Eventually(ctx, isIncomplete(ctx, c, c.seeds[0])).Should(BeFalse())
		c.stopped[c.seeds[2]] = true
		c.stop(c.instances[c.seeds[2]])
		Eventually(ctx, isIncomplete(ctx, c, c.seeds[0])).MustPassRepeatedly(10).WithPolling(time.Second).Should(BeFalse())
	}, SpecTimeout(specTimeout))

	// An instance that was cut off from the others knows only the members that reach it.
	// Entry instances that sync with it would have other owners of models and quotas than the rest.
	It("has the members that report to an instance which it cannot reach", func(ctx SpecContext) {
		c := startTestCluster(&testCluster{orderGap: time.Second, cut: true})
		entry := roster.InstanceRecord{
			Name: "entry", Incarnation: 1,
			Static: &roster.InstanceStatic{CallerAddress: "127.0.0.1:1", FailureDomain: "here", InnerAddress: "entry"},
		}
		Eventually(ctx, func() []string {
			entry.Sequence++
			_, err := c.calls.Sync(ctx, c.seeds[2], courier.SyncArgs{From: entry})
			Expect(err).NotTo(HaveOccurred())
			other := entry
			other.Name, other.Static = "other", &roster.InstanceStatic{CallerAddress: "127.0.0.1:2", FailureDomain: "here", InnerAddress: "other"}
			reply, err := c.calls.Sync(ctx, c.seeds[0], courier.SyncArgs{From: other})
			Expect(err).NotTo(HaveOccurred())
			return reply.Members.Entries
		}).Should(ConsistOf("entry", "other"))
		Eventually(ctx, isIncomplete(ctx, c, c.seeds[0])).Should(BeFalse())
	}, SpecTimeout(specTimeout))

	It("may be incomplete without the others", func(ctx SpecContext) {
		c := newTestCluster()
		Eventually(ctx, isIncomplete(ctx, c, c.seeds[0])).Should(BeFalse())
		for _, address := range c.seeds[1:] {
			c.stopped[address] = true
			c.stop(c.instances[address])
		}
		Eventually(ctx, isIncomplete(ctx, c, c.seeds[0])).Should(BeTrue())
	}, SpecTimeout(specTimeout))
})
