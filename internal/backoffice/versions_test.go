package backoffice_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lovagelift/lovagelift/internal/courier"
	"github.com/lovagelift/lovagelift/internal/resumption"
)

var _ = Describe("Engines of several software versions", func() {
	// A stream that is resumed needs its adapter at the version that began it, even if an engine of
	// another one has loaded it.
	It("get an adapter for each version that needs it", func(ctx SpecContext) {
		c := newTestCluster()
		c.fakes.add("e1", "a")
		c.fakes.add("e2", "a")
		c.putRoutes(ctx, c.seeds[0], 1)
		c.announceVersion(ctx, "e1", "v1")
		c.announceVersion(ctx, "e2", "v2")
		for engine, version := range map[string]string{"e1": "v1", "e2": "v2"} {
			args := courier.WantArgs{Service: "pool", Model: "a", Adapter: "a1", Software: resumption.BoundTo(version), Timeout: time.Second}
			Eventually(ctx, c.want(ctx, args)).Should(Equal(engine))
		}
		args := courier.WantArgs{Service: "pool", Model: "a", Adapter: "a1", Software: resumption.BoundTo("v3"), Timeout: time.Second}
		Expect(c.want(ctx, args)()).To(BeEmpty())
	}, SpecTimeout(specTimeout))

	It("may be unknown to a control instance that has just started", func(ctx SpecContext) {
		c := newTestCluster()
		reply, err := c.calls.Sync(ctx, c.seeds[0], courier.SyncArgs{})
		Expect(err).NotTo(HaveOccurred())
		Expect(reply.RosterIncomplete).To(BeTrue())
		Eventually(ctx, func() bool {
			reply, err := c.calls.Sync(ctx, c.seeds[0], courier.SyncArgs{})
			return err == nil && !reply.RosterIncomplete
		}).Should(BeTrue())
	}, SpecTimeout(specTimeout))
})
