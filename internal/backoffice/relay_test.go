package backoffice_test

import (
	"context"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lovagelift/lovagelift/internal/backoffice"
	"github.com/lovagelift/lovagelift/internal/courier"
	"github.com/lovagelift/lovagelift/internal/roster"
)

// syncAt asks one instance as an entry instance does.
func (s *site) syncAt(ctx context.Context, address string, demand ...courier.Demand) (courier.SyncReply, error) {
	return s.calls.Sync(ctx, address, courier.SyncArgs{From: roster.InstanceRecord{
		Name: "entry", Incarnation: 1, Sequence: uint64(time.Now().UnixNano()),
		Static: &roster.InstanceStatic{CallerAddress: "127.0.0.1:1", FailureDomain: "here", InnerAddress: "entry"},
	}, Demand: demand})
}

// membersAt returns who is alive by what an instance tells one that has a revision of it.
func (s *site) membersAt(ctx context.Context, address string, have uint64) *courier.Members {
	reply, err := s.calls.Sync(ctx, address, courier.SyncArgs{From: roster.InstanceRecord{
		Name: "entry", Incarnation: 1, Sequence: uint64(time.Now().UnixNano()),
		Static: &roster.InstanceStatic{CallerAddress: "127.0.0.1:1", FailureDomain: "here", InnerAddress: "entry"},
	}, Members: have})
	if err != nil {
		return &courier.Members{}
	}
	return reply.Members
}

// holders returns the engines that hold a model by what an instance tells.
func (s *site) holders(ctx context.Context, address, model string, demand ...courier.Demand) []string {
	reply, err := s.syncAt(ctx, address, demand...)
	if err != nil {
		return nil
	}
	held, err := courier.DecodeHoldings(reply.Holdings)
	if err != nil {
		return nil
	}
	var holders []string
	for _, engine := range held.Engines {
		for _, known := range engine.Models {
			if known.Name == model {
				holders = append(holders, engine.Name)
			}
		}
	}
	return holders
}

var _ = Describe("An instance that does not lead", func() {
	// Many entry instances share the control instances that do not lead. Callers behind
	// them ask for a model that no engine holds: the leader must hear of it from the
	// instance that was asked, and that instance must tell who holds it then.
	It("hands on what is asked for, and what engines hold", func(ctx SpecContext) {
		s := newSite()
		s.engines.add("e1", "a")
		s.put(ctx, s.seeds[0], 1)
		s.announce(ctx, "e1")
		var leader string
		Eventually(ctx, func() bool {
			reply, ok := s.sync(ctx)
			leader = reply.Leader
			return ok
		}).Should(BeTrue())
		follower := s.seeds[0]
		if follower == leader {
			follower = s.seeds[1]
		}
		Eventually(ctx, func() []string { return s.holders(ctx, follower, "a") }).Should(ConsistOf("e1"))
		wanted := courier.Demand{Service: "pool", Model: "b", Requests: 1, Waiting: 1, Reading: time.Millisecond}
		Eventually(ctx, func() []string { return s.holders(ctx, follower, "b", wanted) }).Should(ConsistOf("e1"))
	}, SpecTimeout(specTimeout))

	// Each of 291 entry instances asks several times a second, and is told of 300 others:
	// 20 KB a second for a list that hardly ever changes.
	It("tells who is alive only to an asker that does not know it", func(ctx SpecContext) {
		s := newSite()
		s.put(ctx, s.seeds[0], 1)
		var members *courier.Members
		Eventually(ctx, func() int {
			members = s.membersAt(ctx, s.seeds[0], 0)
			return len(members.Controls)
		}).Should(Equal(len(s.seeds)))
		Expect(members.Entries).To(ConsistOf("entry"))
		Expect(members.Revision).NotTo(BeZero())
		Expect(s.membersAt(ctx, s.seeds[0], members.Revision)).To(BeNil())
		Eventually(ctx, func() *courier.Members { return s.membersAt(ctx, s.seeds[1], members.Revision) }).
			Should(BeNil(), "another control instance knows the same")
	}, SpecTimeout(specTimeout))

	It("counts requests that were told twice before the leader asked, and the last that wait", func() {
		told := backoffice.Merged(
			[]courier.Demand{{Model: "a", Requests: 2, Waiting: 2, Open: 1}, {Model: "b", Requests: 1, Waiting: 1}},
			[]courier.Demand{{Model: "a", Requests: 3, Waiting: 1, Open: 4}},
		)
		Expect(told).To(ConsistOf(
			courier.Demand{Model: "a", Requests: 5, Waiting: 1, Open: 4},
			courier.Demand{Model: "b", Requests: 1},
		))
	})
})
