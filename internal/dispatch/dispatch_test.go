package dispatch_test

import (
	"strconv"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lovagelift/lovagelift/internal/admission"
	"github.com/lovagelift/lovagelift/internal/dispatch"
	"github.com/lovagelift/lovagelift/internal/upstreamapi"
)

// viewOf returns a View of an idle engine with room for places requests, which
// holds model "m".
func viewOf(name string, sequence uint64, places int) dispatch.View {
	return dispatch.View{
		Name: name, Address: name + ":1", FailureDomain: "kgn-a", Incarnation: 1, Sequence: sequence,
		Kind:     upstreamapi.KindEngine,
		Resident: []upstreamapi.Resident{{Model: "m", Adapters: []string{"a-" + name}}},
		Load:     upstreamapi.Load{MaxRunning: places, PrefillTokensPerSecond: 1000, TokenInterval: 20 * time.Millisecond},
		LoadAt:   start.Add(time.Duration(sequence) * time.Second), LeaseUntil: start.Add(time.Hour),
	}
}

var _ = Describe("Dispatcher", func() {
	var (
		d       *dispatch.Dispatcher
		request *dispatch.Request
	)

	BeforeEach(func() {
		d = dispatch.New(dispatch.Options{FailureDomain: "kgn-a", RemoteDelay: time.Millisecond, Seed: 1})
		request = &dispatch.Request{Target: dispatch.Target{Model: "m"}, Goal: goal, Priority: 1, PromptTokens: 100}
	})

	choose := func(now time.Time) (string, dispatch.Reason) {
		decision := d.Choose(now, request)
		return decision.Chosen.Name, decision.Reason
	}
	fly := func(now time.Time) dispatch.Flight {
		decision := d.Choose(now, request)
		ExpectWithOffset(1, decision.OK()).To(BeTrue())
		return d.Sent(now, request, &decision)
	}

	It("takes the one that is predicted to answer first, and names the others", func() {
		slow := viewOf("slow", 1, 8)
		slow.Load.WaitingPromptTokens = 300
		d.Update(slow)
		d.Update(viewOf("quick", 1, 8))
		decision := d.Choose(start, request)
		Expect(decision.Chosen.Name).To(Equal("quick"))
		Expect(decision.Chosen.FirstToken).To(Equal(100 * time.Millisecond))
		Expect(decision.Reason).To(Equal(dispatch.ReasonLeastCost))
		Expect(decision.RunnersUp()).To(HaveLen(1))
		Expect(decision.RunnersUp()[0].FirstToken).To(Equal(400 * time.Millisecond))
	})

	It("finds adapters, versions and plain services", func() {
		view := viewOf("e", 1, 8)
		view.Resident[0].Version = "v2"
		d.Update(view)
		d.Update(dispatch.View{Name: "seats", Services: []string{"seat-check"}, Kind: upstreamapi.KindService, LeaseUntil: start.Add(time.Hour)})
		for target, name := range map[dispatch.Target]string{
			{Model: "m", Adapter: "a-e"}:                "e",
			{Adapter: "a-e"}:                            "e",
			{Model: "m", Version: "v2"}:                 "e",
			{Model: "m", Version: "v1"}:                 "",
			{Model: "m", Adapter: "a-e", Version: "v2"}: "e",
			{Model: "m", Adapter: "b"}:                  "",
			{Service: "seat-check"}:                     "seats",
		} {
			request.Target = target
			chosen, _ := choose(start)
			Expect(chosen).To(Equal(name), target.String())
		}
	})

	It("adds what it sent to the lagged report, until a report includes it", func() {
		d.Update(viewOf("a", 1, 8))
		d.Update(viewOf("b", 1, 8))
		now := start.Add(1500 * time.Millisecond)
		first, _ := choose(now)
		fly(now)
		second := d.Choose(now, request)
		Expect(second.Chosen.Name).NotTo(Equal(first))
		Expect(second.RunnersUp()[0].FirstToken).To(Equal(200 * time.Millisecond))

		next := viewOf(first, 2, 8)
		next.Load.Running = 1 // its prompt is prefilled by now
		d.Update(next)
		decision := d.Choose(now, request)
		Expect(decision.Chosen.FirstToken).To(Equal(100 * time.Millisecond))
	})

	It("gives nothing more to an upstream that is leaving, whatever comes late", func() {
		// The engine says that it stops. An announcement that it had sent before
		// arrives after that, from another instance. A request sent to it now would
		// be cut off when it stops.
		d.Update(viewOf("a", 1, 8))
		d.Leave("a", 1)
		Expect(d.Update(viewOf("a", 2, 8))).To(BeFalse())
		_, reason := choose(start)
		Expect(reason).To(Equal(dispatch.ReasonNoneFit))
	})

	It("gives nothing more to an upstream whose lease has run out", func() {
		d.Update(viewOf("a", 1, 8))
		_, reason := choose(start.Add(time.Hour))
		Expect(reason).To(Equal(dispatch.ReasonNoneFit))
		d.Sweep(start.Add(2 * time.Hour))
		_, reason = choose(start)
		Expect(reason).To(Equal(dispatch.ReasonNoCandidate))
	})

	It("ignores a view that is older than the one it has", func() {
		d.Update(viewOf("a", 5, 8))
		Expect(d.Update(viewOf("a", 4, 8))).To(BeFalse())
		newer := viewOf("a", 1, 8)
		newer.Incarnation = 2
		newer.Resident = nil
		Expect(d.Update(newer)).To(BeTrue())
		_, reason := choose(start)
		Expect(reason).To(Equal(dispatch.ReasonNoCandidate))
	})

	It("counts nothing of a request that ends after its engine has restarted", func() {
		// The engine restarts while a request is open. The end of the request comes
		// afterwards: taken off the new incarnation, it would let the instance send
		// one more than the limit, again and again.
		d.Update(viewOf("a", 1, 8))
		flight := fly(start)
		newer := viewOf("a", 1, 8)
		newer.Incarnation = 2
		d.Update(newer)
		open, _ := d.InFlight("a")
		Expect(open).To(Equal(0))
		d.Failed(start, &flight, dispatch.FailureBroken)
		open, _ = d.InFlight("a")
		Expect(open).To(Equal(0))
	})

	It("says that there is no room when all limits are reached", func() {
		now := start.Add(2 * time.Second)
		d.Update(viewOf("a", 1, 2))
		fly(now)
		fly(now)
		_, reason := choose(now)
		Expect(reason).To(Equal(dispatch.ReasonNoRoom))
		request.Priority = 0
		_, reason = choose(now)
		Expect(reason).To(Equal(dispatch.ReasonOnlyCandidate))
	})

	It("goes one over its share of an upstream only on a fresh report of free places", func() {
		d = dispatch.New(dispatch.Options{Instances: 7, Seed: 1})
		view := viewOf("a", 1, 16)
		view.Load.Running = 8
		d.Update(view)
		now := view.LoadAt.Add(100 * time.Millisecond)
		for range 3 {
			fly(now)
		}
		_, reason := choose(now)
		Expect(reason).To(Equal(dispatch.ReasonNoRoom))
		open, limit := d.InFlight("a")
		Expect([]int{open, limit}).To(Equal([]int{3, 3}))

		view.Sequence, view.LoadAt = 2, now
		d.Update(view)
		_, reason = choose(now.Add(time.Second))
		Expect(reason).To(Equal(dispatch.ReasonNoRoom))
	})

	It("goes by its own requests when a report is old", func() {
		// The report of a is from a busy time, seconds ago. All instances that
		// still believed it would send everything to b.
		busy := viewOf("a", 1, 64)
		busy.Load.Running, busy.Load.TokenInterval = 8, 23*time.Millisecond
		d.Update(busy)
		d.Update(viewOf("b", 1, 64))
		now := busy.LoadAt
		for range 4 {
			decision := d.Choose(now, request)
			Expect(decision.Chosen.Name).To(Equal("b"))
			flight := d.Sent(now, request, &decision)
			d.FirstByte(now.Add(100*time.Millisecond), &flight) // as predicted
		}
		name, _ := choose(now.Add(5 * time.Second))
		Expect(name).To(Equal("a"))
	})

	It("keeps the limit of an upstream that is slow by itself", func() {
		// A plain service always takes 200 ms, of a goal of 540 ms. That is its own
		// time and no sign of too many requests: held to a fifth of the goal, its
		// limit would shrink to one and its callers would be refused.
		d.Update(dispatch.View{
			Name: "seats", Incarnation: 1, Services: []string{"seat-check"}, Kind: upstreamapi.KindService,
			LeaseUntil: start.Add(time.Hour),
		})
		request.Target = dispatch.Target{Service: "seat-check"}
		now := start
		for range 20 {
			var flights []dispatch.Flight
			for range 10 {
				flights = append(flights, fly(now))
			}
			now = now.Add(200 * time.Millisecond)
			for i := range flights {
				d.FirstByte(now, &flights[i])
				d.Finished(now, &flights[i])
			}
		}
		_, limit := d.InFlight("seats")
		Expect(limit).To(BeNumerically(">", 25))
	})

	It("goes over no more limits than are idle", func() {
		d = dispatch.New(dispatch.Options{Instances: 7, Seed: 1})
		d.Update(viewOf("a", 1, 16))
		d.Update(viewOf("b", 1, 16))
		now := start.Add(10 * time.Second)
		open := 0
		for decision := d.Choose(now, request); decision.OK(); decision = d.Choose(now, request) {
			d.Sent(now, request, &decision)
			open++
		}
		// Two limits of 3 are 6, of which 0.8 are 4.8.
		Expect(open).To(Equal(5))
	})

	It("goes one over a limit while its others stand idle, unless it was cut just now", func() {
		// All requests of this instance are for the model of one engine, by chance.
		// Its share of that engine is full and its shares of the others are empty:
		// refusing would waste places.
		d = dispatch.New(dispatch.Options{Instances: 7, Seed: 1})
		other := viewOf("b", 1, 16)
		other.Resident[0].Model = "other"
		d.Update(other)
		d.Update(viewOf("a", 1, 16))
		now := start.Add(10 * time.Second)
		var flights []dispatch.Flight
		for range 3 {
			flights = append(flights, fly(now))
		}
		_, reason := choose(now)
		Expect(reason).To(Equal(dispatch.ReasonNoRoom))
		d.Finished(now, &flights[0])
		flights[0] = fly(now)

		d.FirstByte(now.Add(time.Second), &flights[1]) // too late: the limit is cut to 2.7
		d.Finished(now.Add(time.Second), &flights[1])
		_, reason = choose(now.Add(time.Second))
		Expect(reason).To(Equal(dispatch.ReasonNoRoom))
		_, reason = choose(now.Add(4 * time.Second))
		Expect(reason).To(Equal(dispatch.ReasonOnlyCandidate))
	})

	It("does not choose again what has failed the request", func() {
		d.Update(viewOf("a", 1, 8))
		d.Update(viewOf("b", 1, 8))
		request.Tried = []string{"a"}
		for range 10 {
			name, reason := choose(start)
			Expect(name).To(Equal("b"))
			Expect(reason).To(Equal(dispatch.ReasonOnlyCandidate))
		}
	})

	Describe("ejection", func() {
		fail := func(now time.Time, name string, times int) bool {
			ejected := false
			for range times {
				decision := d.Choose(now, request)
				for decision.Chosen.Name != name {
					decision = d.Choose(now, request)
				}
				flight := d.Sent(now, request, &decision)
				ejected = d.Failed(now, &flight, dispatch.FailureBroken)
			}
			return ejected
		}

		BeforeEach(func() {
			for i := range 4 {
				d.Update(viewOf("e"+strconv.Itoa(i), 1, 64))
			}
		})

		It("takes out one that fails five times in a row, and lets it return slowly", func() {
			// One engine accepts connections and breaks them. Its callers see errors
			// until it is out; when it returns, only few requests find out whether it
			// still breaks them.
			Expect(fail(start, "e0", 4)).To(BeFalse())
			Expect(fail(start, "e0", 1)).To(BeTrue())
			share := func(now time.Time) int {
				count := 0
				for range 2000 {
					if name, _ := choose(now); name == "e0" {
						count++
					}
				}
				return count
			}
			Expect(share(start.Add(time.Second))).To(Equal(0))
			early, late := share(start.Add(3*time.Second)), share(start.Add(30*time.Second))
			Expect(early).To(BeNumerically(">", 0))
			Expect(early).To(BeNumerically("<", late/3))
		})

		It("never takes out more than a third, nor the last one", func() {
			// The network of this instance breaks, so that all engines seem to fail.
			// Ejecting them all would turn a short fault into a long one.
			Expect(fail(start, "e0", 5)).To(BeTrue())
			Expect(fail(start, "e1", 5)).To(BeFalse())
			request.Target.Adapter = "a-e0"
			only, _ := choose(start)
			Expect(only).To(Equal("e0"))
			request.Target.Adapter = ""
			for _, name := range []string{"e1", "e2", "e3"} {
				d.Remove(name)
			}
			name, _ := choose(start)
			Expect(name).To(Equal("e0"))
		})
	})

	Describe("prefix cache", func() {
		var prompt []byte

		BeforeEach(func() {
			prompt = make([]byte, 8*512)
			for i := range 6 {
				d.Update(viewOf("e"+strconv.Itoa(i), 1, 64))
			}
			request.PromptTokens = 8 * dispatch.BlockTokens
			request.Goal.FirstToken = 10 * time.Second
			request.Blocks = dispatch.BlockHashes(nil, request.Target, prompt, 512)
		})

		It("prefers the one that has run the prefix", func() {
			flight := fly(start)
			d.FirstByte(start.Add(time.Second), &flight)
			d.Finished(start.Add(2*time.Second), &flight)
			first := d.Choose(start.Add(2*time.Second), request)
			Expect(first.Reason).To(Equal(dispatch.ReasonPrefixCached))
			Expect(first.Chosen.CachedTokens).To(BeNumerically(">", 7*dispatch.BlockTokens))
		})

		It("counts on a cache less after a gap in its events", func() {
			// An event got lost. It may have said that the prefix was dropped: the
			// prefix still counts, but for less. The answer is right either way.
			var events []upstreamapi.CacheEvent
			for _, block := range request.Blocks {
				events = append(events, upstreamapi.CacheEvent{Kind: upstreamapi.CacheStored, Prefix: dispatch.BlockName(block)})
			}
			batch := upstreamapi.CacheEvents{Name: "e3", Incarnation: 1, First: 1, Events: events}
			Expect(d.Cached(start, batch)).To(BeTrue())
			sure := d.Choose(start, request)
			Expect(sure.Chosen.Name).To(Equal("e3"))
			Expect(d.Cached(start, batch)).To(BeFalse())
			batch.First += 100
			d.Cached(start, batch)
			doubtful := d.Choose(start, request)
			Expect(doubtful.Chosen.CachedTokens).To(BeNumerically(">", 0))
			Expect(doubtful.Chosen.CachedTokens).To(BeNumerically("<", sure.Chosen.CachedTokens/2))
			batch.First, batch.Events = batch.Next(), []upstreamapi.CacheEvent{{Kind: upstreamapi.CacheCleared}}
			d.Cached(start, batch)
			none := d.Choose(start, request)
			Expect(none.Chosen.CachedTokens).To(Equal(0))
		})

		It("differs by adapter", func() {
			other := dispatch.BlockHashes(nil, dispatch.Target{Model: "m", Adapter: "x"}, prompt, 512)
			Expect(other).To(HaveLen(8))
			Expect(other[7]).NotTo(Equal(request.Blocks[7]))
		})
	})
})

var _ = Describe("Gate", func() {
	It("sends, queues, refuses, and sends what waits when a place is free", func() {
		d := dispatch.New(dispatch.Options{})
		g := dispatch.NewGate(d, admission.New(admission.Options{}))
		d.Update(viewOf("a", 1, 1))
		arrive := func(id uint64, priority uint8, patience time.Duration) dispatch.Answer {
			return g.Arrive(start, &dispatch.Arrival{
				ID: id, At: start, Service: "s" + strconv.Itoa(int(priority)),
				Request: dispatch.Request{
					Target: dispatch.Target{Model: "m"}, Goal: dispatch.Goal{FirstToken: patience}, Priority: priority,
				},
			})
		}
		first := arrive(1, 2, 10*time.Second)
		Expect(first.Start.Arrival).NotTo(BeNil())
		Expect(arrive(2, 2, 30*time.Second).Queued).To(BeTrue())
		Expect(arrive(3, 2, time.Millisecond).Refusal.Cause).To(Equal(admission.CauseTooLate))
		Expect(arrive(4, 1, 30*time.Second).Queued).To(BeTrue())
		Expect(g.Freed(start, "a", nil)).To(BeEmpty())

		d.Finished(start.Add(time.Second), &first.Start.Flight)
		started := g.Freed(start.Add(time.Second), "a", nil)
		Expect(started).To(HaveLen(1))
		Expect(started[0].Arrival.ID).To(Equal(uint64(4)))
		Expect(g.Expired(start.Add(time.Minute), nil)).To(HaveLen(1))
		Expect(arrive(5, 2, 0).Reason).To(Equal(dispatch.ReasonNoRoom))
	})

	It("neither queues nor waits behind what no free upstream can run", func() {
		// The only engine is busy, others wait for it, and a request comes that it
		// has failed before: it is told so, instead of waiting for nothing. With a
		// second engine it waits for that one, and lets the others pass.
		d := dispatch.New(dispatch.Options{})
		g := dispatch.NewGate(d, admission.New(admission.Options{}))
		d.Update(viewOf("a", 1, 1))
		arrive := func(id uint64, tried ...string) dispatch.Answer {
			return g.Arrive(start, &dispatch.Arrival{ID: id, At: start, Request: dispatch.Request{
				Target: dispatch.Target{Model: "m"}, Goal: dispatch.Goal{FirstToken: time.Minute}, Priority: 1, Tried: tried,
			}})
		}
		first := arrive(1)
		Expect(arrive(2).Queued).To(BeTrue())
		Expect(arrive(3, "a").Reason).To(Equal(dispatch.ReasonNoneFit))
		d.Update(viewOf("b", 1, 1))
		Expect(g.Freed(start, "b", nil)).To(HaveLen(1))
		Expect(arrive(4, "a").Queued).To(BeTrue())
		Expect(arrive(5).Queued).To(BeTrue())
		d.Finished(start, &first.Start.Flight)
		started := g.Freed(start, "a", nil)
		Expect(started).To(HaveLen(1))
		Expect(started[0].Arrival.ID).To(Equal(uint64(5)))
	})

	It("says at once when nothing can run the request", func() {
		g := dispatch.NewGate(dispatch.New(dispatch.Options{}), admission.New(admission.Options{}))
		answer := g.Arrive(start, &dispatch.Arrival{Request: dispatch.Request{Target: dispatch.Target{Model: "m"}}})
		Expect(answer.Reason).To(Equal(dispatch.ReasonNoCandidate))
		Expect(answer.Queued).To(BeFalse())
	})
})
