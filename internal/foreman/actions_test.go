package foreman_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lovagelift/lovagelift/internal/foreman"
	"github.com/lovagelift/lovagelift/internal/manifest"
	"github.com/lovagelift/lovagelift/internal/roster"
	"github.com/lovagelift/lovagelift/internal/upstreamapi"
)

var _ = Describe("Unloads whose answer was lost", func() {
	now := time.Date(2026, 12, 2, 12, 0, 0, 0, time.UTC)
	holder := func(name string) upstreamapi.Announcement {
		return upstreamapi.Announcement{
			Name: name, Incarnation: 1, Revision: 1, Kind: upstreamapi.KindEngine,
			Accelerators: []upstreamapi.Accelerator{{Name: "a0", MemoryBytes: 100}},
			Resident:     []upstreamapi.Resident{{Model: "letters", Version: "1", Accelerators: []string{"a0"}, MemoryBytes: 10}},
		}
	}

	// Two engines hold a model, one of them is ordered to unload it, and the order is lost. Then
	// the other engine is lost as well. Sending the order again would remove the last copy, so it
	// must wait until another engine holds the model.
	It("are not sent again while that would remove the last copy", func() {
		m := manifest.New()
		m.Apply(manifest.NewLeader{Term: 1})
		m.Apply(manifest.Reports{Announcements: []upstreamapi.Announcement{holder("e1"), holder("e2")}})
		Expect(m.Apply(manifest.Record{Engine: "e1", Order: upstreamapi.Order{
			ID: "out", Number: 1, Fencing: 1, Incarnation: 1, Kind: upstreamapi.OrderUnloadModel, Model: "letters", Version: "1",
		}}).Accepted).To(BeTrue())
		m.Apply(manifest.AnswerLost{Engine: "e1", ID: "out"})
		c := &testCluster{}
		c.declare(map[string]int{"letters": 6})
		bothLive := map[string]roster.Upstream{"e1": {Announcement: holder("e1")}, "e2": {Announcement: holder("e2")}}
		oneLive := map[string]roster.Upstream{"e1": {Announcement: holder("e1")}}
		Expect(foreman.ImmediateResends(now, m.View(), bothLive, c.declared)).To(Equal([]string{"out"}))
		Expect(foreman.ImmediateResends(now, m.View(), oneLive, c.declared)).To(BeEmpty())
		c.declare(map[string]int{"fares": 6})
		Expect(foreman.ImmediateResends(now, m.View(), oneLive, c.declared)).To(Equal([]string{"out"}), "the model is no longer declared")

		contradicting := holder("e1")
		contradicting.Revision = 2
		contradicting.Resident = append(contradicting.Resident, upstreamapi.Resident{Model: "stray", Accelerators: []string{"a0"}, MemoryBytes: 1})
		m.Apply(manifest.Reports{Announcements: []upstreamapi.Announcement{contradicting}})
		Expect(foreman.ImmediateResends(now, m.View(), bothLive, c.declared)).To(BeEmpty(), "the engine's report contradicts the ledger")
	})
})

var _ = DescribeTable("The pause after a plan", func(cost, pause time.Duration) {
	Expect(foreman.PlanPauseAfter(cost)).To(Equal(pause))
},
	Entry("that took no time", time.Duration(0), time.Second),
	Entry("that took 100 ms", 100*time.Millisecond, 3*time.Second),
	Entry("that took a second", time.Second, 5*time.Second),
)

var _ = Describe("Preview", func() {
	It("lists the moves of declarations that are not active, and the requirements that cannot be met", func() {
		engine := upstreamapi.Announcement{
			Name: "e1", Incarnation: 1, Revision: 1, Kind: upstreamapi.KindEngine, FailureDomain: "kgn-a",
			Capabilities: []upstreamapi.Capability{upstreamapi.CapabilityOrders},
			Accelerators: []upstreamapi.Accelerator{{Name: "a0", MemoryBytes: 10 * gib}},
		}
		m := manifest.New()
		m.Apply(manifest.NewLeader{Term: 1})
		m.Apply(manifest.Reports{Announcements: []upstreamapi.Announcement{engine}})
		c := &testCluster{}
		c.declare(map[string]int{"letters": 6, "fares": 6})
		for name, state := range map[string]manifest.View{"recorded": m.View(), "not recorded": {}} {
			moves, problems := foreman.Preview(testTime, state, []roster.Upstream{{Announcement: engine}}, c.declared, c.declared.InitialPreset(), 1)
			Expect(moves).To(HaveLen(1), name)
			Expect(moves[0].Engine).To(Equal("e1"))
			Expect(problems).To(ContainElement(HaveField("Description", ContainSubstring("6.00GiB needed"))), name)
		}
	})
})

var testTime = time.Date(2026, 12, 2, 12, 0, 0, 0, time.UTC)
