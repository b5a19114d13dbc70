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

	// All entry instances that know a stream may be gone when it is resumed.
	It("are found for the streams that entry instances have reported", func(ctx SpecContext) {
		c := newTestCluster()
		origin := resumption.Origin{Service: "pool", SoftwareVersion: "v2"}
		group := courier.StreamGroup{Origin: origin, Remaining: time.Minute, Streams: []resumption.StreamID{7, 8}}
		_, err := c.calls.Sync(ctx, c.seeds[1], courier.SyncArgs{Streams: []courier.StreamGroup{group}})
		Expect(err).NotTo(HaveOccurred())
		reply, err := c.calls.StreamOrigin(ctx, c.seeds[1], courier.OriginArgs{Stream: 8})
		Expect(err).NotTo(HaveOccurred())
		Expect(reply).To(Equal(courier.OriginReply{Known: true, Origin: origin}))
		reply, err = c.calls.StreamOrigin(ctx, c.seeds[1], courier.OriginArgs{Stream: 9})
		Expect(err).NotTo(HaveOccurred())
		Expect(reply.Known).To(BeFalse())
	}, SpecTimeout(specTimeout))
})
