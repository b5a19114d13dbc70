package counter_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lovagelift/lovagelift/internal/counter"
	"github.com/lovagelift/lovagelift/internal/courier"
	"github.com/lovagelift/lovagelift/internal/quarantine"
	"github.com/lovagelift/lovagelift/internal/roster"
	"github.com/lovagelift/lovagelift/internal/upstreamapi"
)

var start = time.Date(2026, 12, 2, 8, 0, 0, 0, time.UTC)

const lease = 3 * time.Second

func engineRecord(name, domain string, heard time.Time, models ...string) roster.Upstream {
	u := roster.Upstream{LastContact: heard, Announcement: upstreamapi.Announcement{
		Name: name, Address: name + ".test:1", FailureDomain: domain, Services: []string{"pool"},
		Load: upstreamapi.Load{MaxRunning: 64},
	}}
	for _, model := range models {
		u.Announcement.Resident = append(u.Announcement.Resident, upstreamapi.Resident{Model: model})
	}
	return u
}

var _ = Describe("the choice of an upstream", func() {
	var pool counter.UpstreamPool

	BeforeEach(func() {
		pool = counter.NewUpstreamPool("here", lease)
	})

	It("selects the engine with the lowest load, and the own failure domain first", func() {
		pool.Apply(start, engineRecord("far", "there", start, "m"), engineRecord("near", "here", start, "m"))
		var order []string
		for i := range 4 {
			name, _ := pool.Send(start.Add(time.Duration(i)*20*time.Millisecond), "pool", "m", "", 1000)
			order = append(order, name)
		}
		Expect(order).To(Equal([]string{"near", "far", "near", "far"}))
	})

	DescribeTable("returns the missing resource",
		func(model, adapter, missing string) {
			pool.Apply(start, engineRecord("e", "here", start, "m"))
			_, lacking := pool.Send(start, "pool", model, adapter, 100)
			Expect(lacking).To(Equal(missing))
		},
		Entry("the model", "other", "", "model"),
		Entry("the adapter", "m", "a1", "adapter"),
		Entry("nothing", "m", "", ""),
	)

	// All control instances are down, so that no upstream is heard from, although the upstreams are
	// running. An instance that expired them would refuse all callers.
	It("keeps upstreams while none is heard from, and drops one whose lease alone expires", func() {
		pool.Apply(start, engineRecord("a", "here", start, "m"), engineRecord("b", "here", start, "m"))
		late := start.Add(time.Minute)
		name, _ := pool.Send(late, "pool", "m", "", 100)
		Expect(name).NotTo(BeEmpty())
		for second := range 10 {
			at := late.Add(time.Duration(second) * time.Second)
			pool.Apply(at, engineRecord("b", "here", at, "m"))
		}
		after := late.Add(10 * time.Second)
		for range 3 {
			name, _ = pool.Send(after, "pool", "m", "", 100)
			Expect(name).To(Equal("b"))
		}
	})

	// Control instances come back and hear from the upstreams one after the other. Upstreams they
	// have not heard from yet must not count as lost.
	It("waits for all upstreams after the control instances were away", func() {
		pool.Apply(start, engineRecord("a", "here", start, "m"), engineRecord("b", "here", start, "n"))
		back := start.Add(time.Minute)
		pool.Apply(back, engineRecord("a", "here", back, "m"))
		name, _ := pool.Send(back, "pool", "n", "", 100)
		Expect(name).To(Equal("b"))
	})

	It("excludes a leaving upstream", func() {
		leaving := engineRecord("a", "here", start, "m")
		leaving.Leaving = true
		pool.Apply(start, leaving)
		_, lacking := pool.Send(start, "pool", "m", "", 100)
		Expect(lacking).To(Equal("service"))
	})

	// An upstream has crashed and was restarted at its address under another name. The lease of the
	// old one has not expired yet. The new one would refuse requests sent to the old one, and each
	// refusal uses up retry budget.
	// Guards against requests in quarantine that were only present when an upstream ended as it had
	// stated.
	It("takes no upstream that has stated its leave for a crashed one", func() {
		pool.Apply(start, engineRecord("e", "here", start, "m"))
		endpoint := quarantine.Endpoint{Lifetime: quarantine.Lifetime{Upstream: "e"}, Address: "e.test:1"}
		Expect(pool.Status(endpoint)).To(Equal(quarantine.StatusUnknown))
		pool.StateLeave("e")
		Expect(pool.Status(endpoint)).To(Equal(quarantine.StatusLeaving))
	})

	It("gives nothing to an upstream whose address another has now", func() {
		later := start.Add(time.Second)
		pool.Apply(start, engineRecord("old", "here", start, "m"))
		successor := engineRecord("new", "here", later, "n")
		successor.Announcement.Address = "old.test:1"
		pool.Apply(later, successor)
		_, lacking := pool.Send(later, "pool", "m", "", 100)
		Expect(lacking).To(Equal("model"))
		name, _ := pool.Send(later, "pool", "n", "", 100)
		Expect(name).To(Equal("new"))
	})

	// A request is in flight to an upstream when its leave is reported by an instance that
	// never knew its address. The fields that the request reads must not change.
	It("never changes the address of an upstream", func() {
		pool.Apply(start, engineRecord("a", "here", start, "m"))
		pool.Apply(start, roster.Upstream{
			LastContact: start, Leaving: true, Announcement: upstreamapi.Announcement{Name: "a"},
		})
		Expect(pool.Address("a")).To(Equal("a.test:1"))
		_, lacking := pool.Send(start, "pool", "m", "", 100)
		Expect(lacking).To(Equal("service"))
	})

	It("avoids a failed upstream, unless there is no other", func() {
		pool.Apply(start, engineRecord("a", "here", start, "m"), engineRecord("b", "there", start, "m"))
		pool.Fail(start, "a")
		name, _ := pool.Send(start, "pool", "m", "", 100)
		Expect(name).To(Equal("b"))
		pool.Fail(start, "b")
		name, _ = pool.Send(start, "pool", "m", "", 100)
		Expect(name).NotTo(BeEmpty())
	})

	// The only upstream has just failed the request. An immediate retry would fail again, while a
	// later one may find capacity.
	It("makes a request wait if its only upstream has failed it", func() {
		pool.Apply(start, engineRecord("a", "here", start, "m"))
		pool.Fail(start, "a")
		_, lacking := pool.Send(start, "pool", "m", "", 100, "a")
		Expect(lacking).To(Equal("room"))
		name, _ := pool.Send(start.Add(time.Second), "pool", "m", "", 100, "a")
		Expect(name).To(Equal("a"))
	})

	// An engine reports 40 of 64 requests. Requests sent after the report are missing from it for
	// half a second.
	It("fills no engine beyond its slots", func() {
		pool.Apply(start, engineRecord("a", "here", start, "m"))
		pool.ApplyEngineStates(start, courier.EngineStates{Engines: []courier.EngineState{
			{Name: "a", Running: 40, Models: []courier.LoadedModel{{Name: "m"}}},
		}})
		sent, lacking := 0, ""
		for sent < 64 && lacking == "" {
			if _, lacking = pool.Send(start, "pool", "m", "", 1); lacking == "" {
				sent++
			}
		}
		Expect(lacking).To(Equal("room"))
		Expect(sent).To(BeNumerically("~", 25, 3), "24 slots were free, and some requests have ended since the report")
	})
})

var _ = Describe("An engine that starts again under its name", func() {
	restarted := func(heard time.Time, models ...string) roster.Upstream {
		u := engineRecord("e", "here", heard, models...)
		u.Announcement.Incarnation = 2
		return u
	}
	engineStatesOf := func(incarnation uint64, models ...string) courier.EngineStates {
		held := courier.EngineState{Name: "e", Incarnation: incarnation, Running: 24}
		for _, model := range models {
			held.Models = append(held.Models, courier.LoadedModel{Name: model})
		}
		return courier.EngineStates{Engines: []courier.EngineState{held}}
	}
	var pool counter.UpstreamPool

	BeforeEach(func() {
		pool = counter.NewUpstreamPool("here", lease)
		first := engineRecord("e", "here", start, "m")
		first.Announcement.Incarnation = 1
		pool.Apply(start, first)
	})

	// The engine crashes and restarts without models. The leader's state of the old process arrives
	// after the new announcement. A request sent on the basis of it would be refused and retried at
	// the expense of the shared retry budget.
	It("holds nothing of what the one before held, in either order of the news", func() {
		pool.ApplyEngineStates(start, engineStatesOf(1, "m"))
		pool.Apply(start.Add(time.Second), restarted(start.Add(time.Second)))
		_, missing := pool.Send(start.Add(time.Second), "pool", "m", "", 100)
		Expect(missing).To(Equal("model"))
		pool.ApplyEngineStates(start.Add(time.Second), engineStatesOf(1, "m"))
		_, missing = pool.Send(start.Add(time.Second), "pool", "m", "", 100)
		Expect(missing).To(Equal("model"))
		pool.ApplyEngineStates(start.Add(time.Second), engineStatesOf(2, "n"))
		name, _ := pool.Send(start.Add(time.Second), "pool", "n", "", 100)
		Expect(name).To(Equal("e"))
	})

	It("is not known by news of the one before that come late", func() {
		pool.Apply(start.Add(time.Second), restarted(start.Add(time.Second), "n"))
		late := engineRecord("e", "here", start.Add(2*time.Second), "m")
		late.Announcement.Incarnation = 1
		late.Leaving = true
		pool.Apply(start.Add(2*time.Second), late)
		name, _ := pool.Send(start.Add(2*time.Second), "pool", "n", "", 100)
		Expect(name).To(Equal("e"))
	})

	It("is not avoided for what the one before failed", func() {
		other := engineRecord("other", "there", start, "m")
		pool.Apply(start, other)
		pool.Fail(start, "e")
		name, _ := pool.Send(start, "pool", "m", "", 100)
		Expect(name).To(Equal("other"))
		pool.Apply(start, restarted(start, "m"))
		name, _ = pool.Send(start, "pool", "m", "", 100)
		Expect(name).To(Equal("e"), "the one in the own failure domain")
	})
})

// A foreign program announces an upstream of a service that no route uses, at the address of a
// working engine. Requests must still go to that engine.
var _ = Describe("An announcement of a service that no route knows", func() {
	It("takes no address from an upstream", func() {
		pool := counter.NewUpstreamPool("here", lease)
		pool.SetRouted("pool")
		pool.Apply(start, engineRecord("e", "here", start, "m"))
		foreign := engineRecord("foreign", "here", start.Add(time.Second))
		foreign.Announcement.Address = "e.test:1"
		foreign.Announcement.Services = []string{"nowhere"}
		pool.Apply(start.Add(time.Second), foreign)
		name, _ := pool.Send(start.Add(time.Second), "pool", "m", "", 100)
		Expect(name).To(Equal("e"))
	})
})
