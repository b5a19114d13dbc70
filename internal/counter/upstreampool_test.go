package counter_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lovagelift/lovagelift/internal/counter"
	"github.com/lovagelift/lovagelift/internal/courier"
	"github.com/lovagelift/lovagelift/internal/roster"
	"github.com/lovagelift/lovagelift/internal/upstreamapi"
)

var start = time.Date(2026, 12, 2, 8, 0, 0, 0, time.UTC)

const lease = 3 * time.Second

func engineOf(name, domain string, heard time.Time, models ...string) roster.Upstream {
	u := roster.Upstream{Heard: heard, Announcement: upstreamapi.Announcement{
		Name: name, Address: name + ".test:1", FailureDomain: domain, Services: []string{"pool"},
		Load: upstreamapi.Load{MaxRunning: 64},
	}}
	for _, model := range models {
		u.Announcement.Resident = append(u.Announcement.Resident, upstreamapi.Resident{Model: model})
	}
	return u
}

var _ = Describe("the choice of an upstream", func() {
	var fleet counter.UpstreamPool

	BeforeEach(func() {
		fleet = counter.NewUpstreamPool("here", lease)
	})

	It("goes to the engine that was sent least of late, the own failure domain first", func() {
		fleet.Apply(start, engineOf("far", "there", start, "m"), engineOf("near", "here", start, "m"))
		var order []string
		for i := range 4 {
			name, _ := fleet.Send(start.Add(time.Duration(i)*20*time.Millisecond), "pool", "m", "", 1000)
			order = append(order, name)
		}
		Expect(order).To(Equal([]string{"near", "far", "near", "far"}))
	})

	DescribeTable("says what is lacking",
		func(model, adapter, missing string) {
			fleet.Apply(start, engineOf("e", "here", start, "m"))
			_, lack := fleet.Send(start, "pool", model, adapter, 100)
			Expect(lack).To(Equal(missing))
		},
		Entry("the model", "other", "", "model"),
		Entry("the adapter", "m", "a1", "adapter"),
		Entry("nothing", "m", "", ""),
	)

	// All control instances are lost, so nobody is heard of any more. The upstreams
	// are there all the same: an instance that forgot them would refuse everybody.
	It("keeps upstreams while nobody is heard of, and drops the one that others outlive", func() {
		fleet.Apply(start, engineOf("a", "here", start, "m"), engineOf("b", "here", start, "m"))
		late := start.Add(time.Minute)
		name, _ := fleet.Send(late, "pool", "m", "", 100)
		Expect(name).NotTo(BeEmpty())
		for second := range 10 {
			at := late.Add(time.Duration(second) * time.Second)
			fleet.Apply(at, engineOf("b", "here", at, "m"))
		}
		after := late.Add(10 * time.Second)
		for range 3 {
			name, _ = fleet.Send(after, "pool", "m", "", 100)
			Expect(name).To(Equal("b"))
		}
	})

	// Control instances come back and hear of upstreams one after the other. Those
	// that they have not heard of yet must not count as lost.
	It("waits for all upstreams after the control instances were away", func() {
		fleet.Apply(start, engineOf("a", "here", start, "m"), engineOf("b", "here", start, "n"))
		back := start.Add(time.Minute)
		fleet.Apply(back, engineOf("a", "here", back, "m"))
		name, _ := fleet.Send(back, "pool", "n", "", 100)
		Expect(name).To(Equal("b"))
	})

	It("gives nothing to an upstream that leaves", func() {
		gone := engineOf("a", "here", start, "m")
		gone.Leaving = true
		fleet.Apply(start, gone)
		_, lack := fleet.Send(start, "pool", "m", "", 100)
		Expect(lack).To(Equal("service"))
	})

	// An upstream has crashed and was started anew at its address, under another name.
	// The one that is gone is still within its lease; what is sent to it, the new one
	// refuses, and each refusal takes from the budget of retries.
	It("gives nothing to an upstream whose address another has now", func() {
		later := start.Add(time.Second)
		fleet.Apply(start, engineOf("old", "here", start, "m"))
		successor := engineOf("new", "here", later, "n")
		successor.Announcement.Address = "old.test:1"
		fleet.Apply(later, successor)
		_, lack := fleet.Send(later, "pool", "m", "", 100)
		Expect(lack).To(Equal("model"))
		name, _ := fleet.Send(later, "pool", "n", "", 100)
		Expect(name).To(Equal("new"))
	})

	// A request is on its way to an upstream when news come that it leaves, from an
	// instance that had never heard of it and knows no address. What the request
	// reads of the upstream must not change under it.
	It("never changes where an upstream is", func() {
		fleet.Apply(start, engineOf("a", "here", start, "m"))
		fleet.Apply(start, roster.Upstream{
			Heard: start, Leaving: true, Announcement: upstreamapi.Announcement{Name: "a"},
		})
		Expect(fleet.Address("a")).To(Equal("a.test:1"))
		_, lack := fleet.Send(start, "pool", "m", "", 100)
		Expect(lack).To(Equal("service"))
	})

	It("avoids an upstream that failed, unless nobody else is there", func() {
		fleet.Apply(start, engineOf("a", "here", start, "m"), engineOf("b", "there", start, "m"))
		fleet.Fail(start, "a")
		name, _ := fleet.Send(start, "pool", "m", "", 100)
		Expect(name).To(Equal("b"))
		fleet.Fail(start, "b")
		name, _ = fleet.Send(start, "pool", "m", "", 100)
		Expect(name).NotTo(BeEmpty())
	})

	// One upstream is there and has just refused the request. Sent again at once, it
	// would be refused again; a moment later there may be room.
	It("lets a request that its only upstream failed wait for a moment", func() {
		fleet.Apply(start, engineOf("a", "here", start, "m"))
		fleet.Fail(start, "a")
		_, lack := fleet.Send(start, "pool", "m", "", 100, "a")
		Expect(lack).To(Equal("room"))
		name, _ := fleet.Send(start.Add(time.Second), "pool", "m", "", 100, "a")
		Expect(name).To(Equal("a"))
	})

	// An engine reports 40 of 64 requests. What is sent after the report is not in it
	// for half a second, and all that would go there meanwhile.
	It("fills no engine beyond its slots", func() {
		fleet.Apply(start, engineOf("a", "here", start, "m"))
		fleet.ApplyHoldings(start, courier.Holdings{Engines: []courier.Holding{
			{Name: "a", Running: 40, Models: []courier.HeldModel{{Name: "m"}}},
		}})
		sent, lack := 0, ""
		for sent < 64 && lack == "" {
			if _, lack = fleet.Send(start, "pool", "m", "", 1); lack == "" {
				sent++
			}
		}
		Expect(lack).To(Equal("room"))
		Expect(sent).To(BeNumerically("~", 25, 3), "24 places were free, and some requests have ended since the report")
	})
})

var _ = Describe("An engine that starts again under its name", func() {
	again := func(heard time.Time, models ...string) roster.Upstream {
		u := engineOf("e", "here", heard, models...)
		u.Announcement.Incarnation = 2
		return u
	}
	holds := func(incarnation uint64, models ...string) courier.Holdings {
		held := courier.Holding{Name: "e", Incarnation: incarnation, Running: 24}
		for _, model := range models {
			held.Models = append(held.Models, courier.HeldModel{Name: model})
		}
		return courier.Holdings{Engines: []courier.Holding{held}}
	}
	var fleet counter.UpstreamPool

	BeforeEach(func() {
		fleet = counter.NewUpstreamPool("here", lease)
		first := engineOf("e", "here", start, "m")
		first.Announcement.Incarnation = 1
		fleet.Apply(start, first)
	})

	// The engine crashes and starts empty. What the leader told of the one before comes
	// after its announcement: a request sent by that would be refused, and tried again
	// on the budget that all share.
	It("holds nothing of what the one before held, in either order of the news", func() {
		fleet.ApplyHoldings(start, holds(1, "m"))
		fleet.Apply(start.Add(time.Second), again(start.Add(time.Second)))
		_, missing := fleet.Send(start.Add(time.Second), "pool", "m", "", 100)
		Expect(missing).To(Equal("model"))
		fleet.ApplyHoldings(start.Add(time.Second), holds(1, "m"))
		_, missing = fleet.Send(start.Add(time.Second), "pool", "m", "", 100)
		Expect(missing).To(Equal("model"))
		fleet.ApplyHoldings(start.Add(time.Second), holds(2, "n"))
		name, _ := fleet.Send(start.Add(time.Second), "pool", "n", "", 100)
		Expect(name).To(Equal("e"))
	})

	It("is not known by news of the one before that come late", func() {
		fleet.Apply(start.Add(time.Second), again(start.Add(time.Second), "n"))
		late := engineOf("e", "here", start.Add(2*time.Second), "m")
		late.Announcement.Incarnation = 1
		late.Leaving = true
		fleet.Apply(start.Add(2*time.Second), late)
		name, _ := fleet.Send(start.Add(2*time.Second), "pool", "n", "", 100)
		Expect(name).To(Equal("e"))
	})

	It("is not avoided for what the one before failed", func() {
		other := engineOf("other", "there", start, "m")
		fleet.Apply(start, other)
		fleet.Fail(start, "e")
		name, _ := fleet.Send(start, "pool", "m", "", 100)
		Expect(name).To(Equal("other"))
		fleet.Apply(start, again(start, "m"))
		name, _ = fleet.Send(start, "pool", "m", "", 100)
		Expect(name).To(Equal("e"), "the one in the own failure domain")
	})
})

// Another program announces an upstream of a service that no route knows, at the
// address of a sound engine. Requests must still go there.
var _ = Describe("An announcement of a service that no route knows", func() {
	It("takes no address from an upstream", func() {
		fleet := counter.NewUpstreamPool("here", lease)
		fleet.SetRouted("pool")
		fleet.Apply(start, engineOf("e", "here", start, "m"))
		foreign := engineOf("foreign", "here", start.Add(time.Second))
		foreign.Announcement.Address = "e.test:1"
		foreign.Announcement.Services = []string{"nowhere"}
		fleet.Apply(start.Add(time.Second), foreign)
		name, _ := fleet.Send(start.Add(time.Second), "pool", "m", "", 100)
		Expect(name).To(Equal("e"))
	})
})
