package backoffice_test

import (
	"context"
	"slices"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lovagelift/lovagelift/internal/backoffice"
	"github.com/lovagelift/lovagelift/internal/courier"
	"github.com/lovagelift/lovagelift/internal/roster"
	"github.com/lovagelift/lovagelift/internal/upstreamapi"
)

// loseAll stops the given instances at the same moment and restarts them.
func (c *testCluster) loseAll(addresses ...string) {
	GinkgoHelper()
	var stops sync.WaitGroup
	for _, address := range addresses {
		stops.Go(func() { c.stop(c.instances[address]) })
	}
	stops.Wait()
	for _, address := range addresses {
		c.restart(address)
	}
}

// leave announces a leave to one instance after the other until one acknowledges it.
func (c *testCluster) leave(ctx context.Context, leave upstreamapi.Leave) {
	GinkgoHelper()
	next := 0
	Eventually(ctx, func() error {
		next++
		return c.instances[c.seeds[next%len(c.seeds)]].Leave(ctx, leave)
	}).Should(Succeed())
}

// saysLeft returns a function that reports whether the leader tells entry instances that an upstream
// has left.
func (c *testCluster) saysLeft(ctx context.Context, name string) func() bool {
	return func() bool {
		reply, ok := c.syncWithLeader(ctx)
		if !ok {
			return false
		}
		for _, record := range reply.Changes.Upstreams {
			if record.Name == name && record.Left {
				return true
			}
		}
		return false
	}
}

var _ = Describe("An acknowledged leave", func() {
	// An upstream announces its leave once. After a loss of power that forgot the leave, entry instances
	// go on sending requests to it.
	DescribeTable("is known after a loss of power right after the acknowledgement",
		func(ctx SpecContext, incarnation uint64, losses, lost int) {
			c := newTestCluster()
			c.fakes.add("e1", "a")
			c.putRoutes(ctx, c.seeds[0], 1)
			Expect(c.instances[c.seeds[0]].Announce(time.Now(), upstreamapi.Announcement{
				Name: "e1", Incarnation: 1, Sequence: 1, Address: "127.0.0.1:9", Services: []string{"pool"},
			})).To(Succeed())
			c.leave(ctx, upstreamapi.Leave{Name: "e1", Incarnation: incarnation})
			for range losses {
				c.loseAll(c.seeds[:lost]...)
			}
			Eventually(ctx, c.saysLeft(ctx, "e1")).Should(BeTrue())
		},
		Entry("of all instances", SpecTimeout(specTimeout), uint64(1), 1, 3),
		Entry("of all instances, twice", SpecTimeout(specTimeout), uint64(1), 2, 3),
		Entry("of a majority", SpecTimeout(specTimeout), uint64(1), 1, 2),
		Entry("of all instances, if it names no process", SpecTimeout(specTimeout), uint64(0), 1, 3),
	)

	// A leave that only the leader knew would be lost with it.
	DescribeTable("is known to the next leader if the leader that acknowledged it is lost", func(ctx SpecContext, incarnation uint64) {
		c := newTestCluster()
		c.fakes.add("e1", "a")
		c.putRoutes(ctx, c.seeds[0], 1)
		for _, address := range c.seeds {
			Expect(c.instances[address].Announce(time.Now(), upstreamapi.Announcement{
				Name: "e1", Incarnation: 1, Sequence: 1, Address: "127.0.0.1:9", Services: []string{"pool"},
			})).To(Succeed())
		}
		leader := ""
		Eventually(ctx, func() (led bool) {
			var reply courier.SyncReply
			reply, led = c.syncWithLeader(ctx)
			leader = reply.Leader
			return led
		}).Should(BeTrue())
		Eventually(ctx, func() error {
			return c.instances[leader].Leave(ctx, upstreamapi.Leave{Name: "e1", Incarnation: incarnation})
		}).Should(Succeed())
		c.stopped[leader] = true
		c.stop(c.instances[leader])
		Eventually(ctx, c.saysLeft(ctx, "e1")).Should(BeTrue())
	},
		Entry("and it names the process", SpecTimeout(specTimeout), uint64(1)),
		Entry("and it names no process", SpecTimeout(specTimeout), uint64(0)),
	)

	// A leave that only this instance knows would be lost with it.
	It("is not given without a majority of the voters, and not later than upstreams wait for it", func(ctx SpecContext) {
		c := newTestCluster()
		c.fakes.add("e1", "a")
		c.putRoutes(ctx, c.seeds[0], 1)
		for _, address := range c.seeds[1:] {
			c.stopped[address] = true
			c.stop(c.instances[address])
		}
		started := time.Now()
		Expect(c.instances[c.seeds[0]].Leave(ctx, upstreamapi.Leave{Name: "e1", Incarnation: 1})).To(MatchError(backoffice.ErrLeaveNotRecorded))
		Expect(time.Since(started)).To(BeNumerically("<", time.Second))
	}, SpecTimeout(specTimeout))

	It("does not hide a later process of the same name", func(ctx SpecContext) {
		c := newTestCluster()
		c.fakes.add("e1", "a")
		c.putRoutes(ctx, c.seeds[0], 1)
		c.leave(ctx, upstreamapi.Leave{Name: "e1", Incarnation: 1})
		c.loseAll(c.seeds...)
		Eventually(ctx, c.saysLeft(ctx, "e1")).Should(BeTrue())
		Expect(c.instances[c.seeds[1]].Announce(time.Now(), upstreamapi.Announcement{
			Name: "e1", Incarnation: 2, Sequence: 1, Address: "127.0.0.1:10", Services: []string{"pool"},
		})).To(Succeed())
		Eventually(ctx, c.saysLeft(ctx, "e1")).Should(BeFalse())
	}, SpecTimeout(specTimeout))

	// After a restart of the control instances, a leave that named no process hid the one that has its name since.
	It("that names no process does not hide one that takes over the name minutes later", func(ctx SpecContext) {
		c := newTestCluster()
		c.fakes.add("e1", "a")
		c.putRoutes(ctx, c.seeds[0], 1)
		c.leave(ctx, upstreamapi.Leave{Name: "e1"})
		c.ahead = 5 * time.Minute
		c.loseAll(c.seeds...)
		sequence := uint64(0)
		Eventually(ctx, func() (served bool) {
			sequence++
			_ = c.instances[c.seeds[1]].Announce(time.Now().Add(c.ahead), upstreamapi.Announcement{
				Name: "e1", Sequence: sequence, Address: "127.0.0.1:10", Services: []string{"pool"},
			})
			reply, ok := c.syncWithLeader(ctx)
			return ok && slices.ContainsFunc(reply.Changes.Upstreams, func(record roster.UpstreamRecord) bool {
				return record.Name == "e1" && !record.Left && record.Static != nil && record.Static.Address == "127.0.0.1:10"
			})
		}).Should(BeTrue())
	}, SpecTimeout(specTimeout))
})
