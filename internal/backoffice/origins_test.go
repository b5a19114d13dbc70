package backoffice_test

import (
	"context"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lovagelift/lovagelift/internal/courier"
	"github.com/lovagelift/lovagelift/internal/resumption"
	"github.com/lovagelift/lovagelift/internal/roster"
)

const (
	toldStream  = resumption.StreamID(7)
	toldVersion = "v1"
	// streamTime is longer than a spec.
	streamTime = time.Minute
)

// tellStream tells one instance where a stream began, as an entry instance does.
func (c *testCluster) tellStream(ctx context.Context, address string) {
	GinkgoHelper()
	Eventually(ctx, func() error {
		_, err := c.calls.Sync(ctx, address, courier.SyncArgs{
			From: roster.InstanceRecord{Name: "entry", Incarnation: 1, Sequence: uint64(time.Now().UnixNano())},
			Streams: []courier.StreamGroup{{
				Origin: resumption.Origin{Service: "pool", SoftwareVersion: toldVersion}, Remaining: streamTime, Streams: []resumption.StreamID{toldStream},
			}},
		})
		return err
	}).Should(Succeed())
}

// knowing returns how many instances know the stream.
func (c *testCluster) knowing(ctx context.Context) func() int {
	return func() int {
		count := 0
		for _, address := range c.seeds {
			reply, err := c.calls.StreamOrigin(ctx, address, courier.OriginArgs{Stream: toldStream})
			if err == nil && reply.Known {
				Expect(reply.Origin.SoftwareVersion).To(Equal(toldVersion))
				count++
			}
		}
		return count
	}
}

var _ = Describe("The origin of a stream", func() {
	var c *testCluster

	BeforeEach(func(ctx SpecContext) {
		c = newTestCluster()
		c.putRoutes(ctx, c.seeds[0], 1)
		c.tellStream(ctx, c.seeds[0])
	})

	// A stream was refused as unknown after the one control instance that knew it had lost its memory.
	It("is known after the control instance that was told has restarted without its disk", func(ctx SpecContext) {
		Eventually(ctx, c.knowing(ctx)).Should(BeNumerically(">", 1))
		c.wipe(c.seeds[0])
		Eventually(ctx, c.knowing(ctx)).Should(BeNumerically(">", 0))
	}, SpecTimeout(specTimeout))

	// Copies in memory were lost one after the other in a rolling restart.
	It("is known after each control instance has restarted in turn", func(ctx SpecContext) {
		for _, address := range c.seeds {
			Eventually(ctx, c.knowing(ctx)).Should(BeNumerically(">", 1))
			c.stop(c.instances[address])
			c.restart(address)
		}
		Eventually(ctx, c.knowing(ctx)).Should(BeNumerically(">", 1))
	}, SpecTimeout(specTimeout))

	// After a call without a reply, the time of the next one was put off each time that it was looked at.
	It("is copied again after a call to the successor has failed", func(ctx SpecContext) {
		Eventually(ctx, c.knowing(ctx)).Should(BeNumerically(">", 1))
		copier, now := c.instances[c.seeds[0]].NewOriginCopier(), time.Now()
		Expect(copier.IsCallDue(now)).To(BeTrue())
		copier.Fail(now)
		due := false
		for range 16 {
			now = now.Add(125 * time.Millisecond)
			due = due || copier.IsCallDue(now)
		}
		Expect(due).To(BeTrue())
	}, SpecTimeout(specTimeout))
})
