package backoffice_test

import (
	"context"
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lovagelift/lovagelift/internal/backoffice"
	"github.com/lovagelift/lovagelift/internal/courier"
	"github.com/lovagelift/lovagelift/internal/resumption"
	"github.com/lovagelift/lovagelift/internal/roster"
	"github.com/lovagelift/lovagelift/internal/upstreamapi"
)

// syncWith syncs with one instance as an entry instance does.
func (c *testCluster) syncWith(ctx context.Context, address string, demand ...courier.Demand) (courier.SyncReply, error) {
	return c.calls.Sync(ctx, address, courier.SyncArgs{From: roster.InstanceRecord{
		Name: "entry", Incarnation: 1, Sequence: uint64(time.Now().UnixNano()),
		Static: &roster.InstanceStatic{CallerAddress: "127.0.0.1:1", FailureDomain: "here", InnerAddress: "entry"},
	}, Demand: demand})
}

// membersOf returns the membership that an instance sends to a caller that has the
// revision have, and nil if it sends none.
func (c *testCluster) membersOf(ctx context.Context, address string, have uint64) *courier.Members {
	reply, err := c.calls.Sync(ctx, address, courier.SyncArgs{From: roster.InstanceRecord{
		Name: "entry", Incarnation: 1, Sequence: uint64(time.Now().UnixNano()),
		Static: &roster.InstanceStatic{CallerAddress: "127.0.0.1:1", FailureDomain: "here", InnerAddress: "entry"},
	}, Members: have})
	if err != nil {
		return &courier.Members{}
	}
	return reply.Members
}

// holdersOf returns the engines that hold a model, as reported by one instance.
func (c *testCluster) holdersOf(ctx context.Context, address, model string, demand ...courier.Demand) []string {
	reply, err := c.syncWith(ctx, address, demand...)
	if err != nil {
		return nil
	}
	states, err := courier.DecodeEngineStates(reply.Holdings)
	if err != nil {
		return nil
	}
	var holders []string
	for _, engine := range states.Engines {
		for _, known := range engine.Models {
			if known.Name == model {
				holders = append(holders, engine.Name)
			}
		}
	}
	return holders
}

var _ = Describe("An instance that does not lead", func() {
	// Entry instances sync with control instances that do not lead. Demand for a
	// model that no engine holds must reach the leader through them, and they must report
	// which engine holds it afterwards.
	It("hands on what is asked for, and what engines hold", func(ctx SpecContext) {
		c := newTestCluster()
		c.fakes.add("e1", "a")
		c.putRoutes(ctx, c.seeds[0], 1)
		c.announce(ctx, "e1")
		var leader string
		Eventually(ctx, func() bool {
			reply, ok := c.syncWithLeader(ctx)
			leader = reply.Leader
			return ok
		}).Should(BeTrue())
		follower := c.seeds[0]
		if follower == leader {
			follower = c.seeds[1]
		}
		Eventually(ctx, func() []string { return c.holdersOf(ctx, follower, "a") }).Should(ConsistOf("e1"))
		wanted := courier.Demand{Service: "pool", Model: "b", Requests: 1, Waiting: 1, Reading: time.Millisecond}
		Eventually(ctx, func() []string { return c.holdersOf(ctx, follower, "b", wanted) }).Should(ConsistOf("e1"))
	}, SpecTimeout(specTimeout))

	// With 291 entry instances that sync several times a second, a list of 300 instances
	// in each reply takes 20 KB a second, although it hardly ever changes.
	It("sends the membership only to a caller that does not have it", func(ctx SpecContext) {
		c := newTestCluster()
		c.putRoutes(ctx, c.seeds[0], 1)
		var members *courier.Members
		Eventually(ctx, func() int {
			members = c.membersOf(ctx, c.seeds[0], 0)
			return len(members.Controls)
		}).Should(Equal(len(c.seeds)))
		Expect(members.Entries).To(ConsistOf("entry"))
		Expect(members.Revision).NotTo(BeZero())
		Expect(c.membersOf(ctx, c.seeds[0], members.Revision)).To(BeNil())
		Eventually(ctx, func() *courier.Members { return c.membersOf(ctx, c.seeds[1], members.Revision) }).
			Should(BeNil(), "other control instances have the same membership")
	}, SpecTimeout(specTimeout))

	// Guards against entry instances that never get the roster: unpacked, that of thousands of
	// upstreams does not reach them over a slow link before the call times out, and they ask again.
	It("sends the whole roster packed, and then what has changed", func(ctx SpecContext) {
		c := newTestCluster()
		c.putRoutes(ctx, c.seeds[0], 1)
		announce := func(name string) {
			Expect(c.instances[c.seeds[0]].Announce(time.Now(), upstreamapi.Announcement{
				Name: name, Incarnation: 1, Sequence: 1, Address: name + ":9", Services: []string{"desk"}, FailureDomain: "here",
			})).To(Succeed())
		}
		for i := range 1000 {
			announce(fmt.Sprint("engine-", i))
		}
		sync := func(cursor roster.Cursor) courier.SyncReply {
			reply, err := c.calls.Sync(ctx, c.seeds[0], courier.SyncArgs{Cursor: cursor})
			Expect(err).NotTo(HaveOccurred())
			return reply
		}
		var whole courier.SyncReply
		Eventually(ctx, func() int {
			whole = sync(roster.Cursor{})
			return len(withRoster(whole).Changes.Upstreams)
		}).Should(Equal(1000))
		Expect(len(whole.Roster)).To(BeNumerically("<", 40_000))
		announce("another")
		later := sync(withRoster(whole).Changes.Next)
		Expect(later.Roster).To(BeEmpty())
		Expect(later.Changes.Upstreams).To(HaveLen(1))
	}, SpecTimeout(specTimeout))

	// Guards against links and processor time that are taken up by the states of thousands of engines,
	// all of which are sent again for each report of one.
	It("sends the states of many engines less often", func() {
		Expect(backoffice.EngineStatesInterval(112)).To(Equal(50 * time.Millisecond))
		Expect(backoffice.EngineStatesInterval(1000)).To(Equal(300 * time.Millisecond))
		Expect(backoffice.EngineStatesInterval(3000)).To(BeNumerically("<=", time.Second))
	})

	It("keeps streams that are bound to a version apart", func() {
		plain := courier.Demand{Model: "a", Requests: 3, Waiting: 1}
		first, second := courier.Demand{Model: "a", Waiting: 2, Software: resumption.BoundTo("v1")}, courier.Demand{Model: "a", Waiting: 4, Software: resumption.BoundTo("v2")}
		merged := backoffice.MergeDemand([]courier.Demand{first, plain}, []courier.Demand{plain, second})
		first.Waiting = 0
		Expect(merged).To(ConsistOf(courier.Demand{Model: "a", Requests: 6, Waiting: 1}, second, first))
	})

	It("adds up requests of two reports, and takes the waiting ones from the newer", func() {
		merged := backoffice.MergeDemand(
			[]courier.Demand{{Model: "a", Requests: 2, Waiting: 2, Open: 1, RunTime: time.Second}, {Model: "b", Requests: 1, Waiting: 1}},
			[]courier.Demand{{Model: "a", Requests: 3, Waiting: 1, Open: 4}},
		)
		Expect(merged).To(ConsistOf(
			courier.Demand{Model: "a", Requests: 5, Waiting: 1, Open: 4, RunTime: time.Second},
			courier.Demand{Model: "b", Requests: 1},
		))
	})
})
