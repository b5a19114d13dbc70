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

// viewOf returns the View of an idle engine that runs up to maxRunning requests at once and
// serves model "m".
func viewOf(name string, sequence uint64, maxRunning int) dispatch.View {
	return dispatch.View{
		Name: name, Address: name + ":1", FailureDomain: "kgn-a", Incarnation: 1, Sequence: sequence,
		Kind:     upstreamapi.KindEngine,
		Resident: []upstreamapi.Resident{{Model: "m", Adapters: []string{"a-" + name}}},
		Load:     upstreamapi.Load{MaxRunning: maxRunning, PrefillTokensPerSecond: 1000, TokenInterval: 20 * time.Millisecond},
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
	send := func(now time.Time) dispatch.Attempt {
		decision := d.Choose(now, request)
		ExpectWithOffset(1, decision.OK()).To(BeTrue())
		return d.Sent(now, request, &decision)
	}

	It("chooses the upstream with the shortest predicted time to the first token, and lists the others", func() {
		slow := viewOf("slow", 1, 8)
		slow.Load.WaitingPromptTokens = 300
		d.Update(slow)
		d.Update(viewOf("fast", 1, 8))
		decision := d.Choose(start, request)
		Expect(decision.Chosen.Name).To(Equal("fast"))
		Expect(decision.Chosen.FirstToken).To(Equal(100 * time.Millisecond))
		Expect(decision.Reason).To(Equal(dispatch.ReasonLeastCost))
		Expect(decision.RunnersUp()).To(HaveLen(1))
		Expect(decision.RunnersUp()[0].FirstToken).To(Equal(400 * time.Millisecond))
	})

	It("chooses by adapter, by version and by plain service", func() {
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
		send(now)
		second := d.Choose(now, request)
		Expect(second.Chosen.Name).NotTo(Equal(first))
		Expect(second.RunnersUp()[0].FirstToken).To(Equal(200 * time.Millisecond))

		next := viewOf(first, 2, 8)
		next.Load.Running = 1 // the prefill has finished
		d.Update(next)
		decision := d.Choose(now, request)
		Expect(decision.Chosen.FirstToken).To(Equal(100 * time.Millisecond))
	})

	It("gives nothing more to an upstream that is leaving, whatever comes late", func() {
		// The engine announces its shutdown. An announcement from before arrives later, through
		// another instance. A request sent to the engine now would be aborted by the shutdown.
		d.Update(viewOf("a", 1, 8))
		d.SetLeaving("a", 1)
		Expect(d.Update(viewOf("a", 2, 8))).To(BeFalse())
		_, reason := choose(start)
		Expect(reason).To(Equal(dispatch.ReasonNoneFit))
	})

	It("sends no requests to an upstream with an expired lease", func() {
		d.Update(viewOf("a", 1, 8))
		_, reason := choose(start.Add(time.Hour))
		Expect(reason).To(Equal(dispatch.ReasonNoneFit))
		d.RemoveExpired(start.Add(2 * time.Hour))
		_, reason = choose(start)
		Expect(reason).To(Equal(dispatch.ReasonNoCandidate))
	})

	It("ignores a view that is older than the current one", func() {
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
		// An engine restarts while a request is open, and the request ends afterwards. If
		// that reduced the count of the new incarnation, the instance could exceed the limit
		// by one more request with each restart.
		d.Update(viewOf("a", 1, 8))
		attempt := send(start)
		newer := viewOf("a", 1, 8)
		newer.Incarnation = 2
		d.Update(newer)
		open, _ := d.InFlight("a")
		Expect(open).To(Equal(0))
		d.Failed(start, &attempt, dispatch.FailureError)
		open, _ = d.InFlight("a")
		Expect(open).To(Equal(0))
	})

	It("returns ReasonNoRoom if all limits are reached", func() {
		now := start.Add(2 * time.Second)
		d.Update(viewOf("a", 1, 2))
		send(now)
		send(now)
		_, reason := choose(now)
		Expect(reason).To(Equal(dispatch.ReasonNoRoom))
		request.Priority = 0
		_, reason = choose(now)
		Expect(reason).To(Equal(dispatch.ReasonOnlyCandidate))
	})

	It("exceeds its share of an upstream by one only on a fresh report of free slots", func() {
		d = dispatch.New(dispatch.Options{Instances: 7, Seed: 1})
		view := viewOf("a", 1, 16)
		view.Load.Running = 8
		d.Update(view)
		now := view.LoadAt.Add(100 * time.Millisecond)
		for range 3 {
			send(now)
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

	It("relies on its own open requests if a report is old", func() {
		// The report of a is seconds old and shows it busy. If all instances still relied on
		// it, they would send every request to b.
		busy := viewOf("a", 1, 64)
		busy.Load.Running, busy.Load.TokenInterval = 8, 23*time.Millisecond
		d.Update(busy)
		d.Update(viewOf("b", 1, 64))
		now := busy.LoadAt
		for range 4 {
			decision := d.Choose(now, request)
			Expect(decision.Chosen.Name).To(Equal("b"))
			attempt := d.Sent(now, request, &decision)
			d.FirstByte(now.Add(100*time.Millisecond), &attempt) // the predicted time
		}
		name, _ := choose(now.Add(5 * time.Second))
		Expect(name).To(Equal("a"))
	})

	It("keeps the limit of an upstream that is slow even when idle", func() {
		// A plain service always takes 200 ms, with a goal of 540 ms. This is its idle time
		// and no sign of overload. With a budget of a fifth of the goal, its limit would
		// shrink to one and requests would be refused.
		d.Update(dispatch.View{
			Name: "seats", Incarnation: 1, Services: []string{"seat-check"}, Kind: upstreamapi.KindService,
			LeaseUntil: start.Add(time.Hour),
		})
		request.Target = dispatch.Target{Service: "seat-check"}
		now := start
		for range 20 {
			var attempts []dispatch.Attempt
			for range 10 {
				attempts = append(attempts, send(now))
			}
			now = now.Add(200 * time.Millisecond)
			for i := range attempts {
				d.FirstByte(now, &attempts[i])
				d.Finished(now, &attempts[i])
			}
		}
		_, limit := d.InFlight("seats")
		Expect(limit).To(BeNumerically(">", 25))
	})

	It("exceeds a limit only while less than 80 % of the sum of its limits is in use", func() {
		d = dispatch.New(dispatch.Options{Instances: 7, Seed: 1})
		d.Update(viewOf("a", 1, 16))
		d.Update(viewOf("b", 1, 16))
		now := start.Add(10 * time.Second)
		open := 0
		for decision := d.Choose(now, request); decision.OK(); decision = d.Choose(now, request) {
			d.Sent(now, request, &decision)
			open++
		}
		// 80 % of two limits of 3 is 4.8.
		Expect(open).To(Equal(5))
	})

	It("exceeds a limit by one while other limits are unused, unless it was just reduced", func() {
		// By chance, all requests of this instance are for the model of one engine. Its share
		// of that engine is full and its shares of the others are empty: a refusal would leave
		// slots unused.
		d = dispatch.New(dispatch.Options{Instances: 7, Seed: 1})
		other := viewOf("b", 1, 16)
		other.Resident[0].Model = "other"
		d.Update(other)
		d.Update(viewOf("a", 1, 16))
		now := start.Add(10 * time.Second)
		var attempts []dispatch.Attempt
		for range 3 {
			attempts = append(attempts, send(now))
		}
		_, reason := choose(now)
		Expect(reason).To(Equal(dispatch.ReasonNoRoom))
		d.Finished(now, &attempts[0])
		attempts[0] = send(now)

		d.FirstByte(now.Add(time.Second), &attempts[1]) // over budget: reduces the limit to 2.7
		d.Finished(now.Add(time.Second), &attempts[1])
		_, reason = choose(now.Add(time.Second))
		Expect(reason).To(Equal(dispatch.ReasonNoRoom))
		_, reason = choose(now.Add(4 * time.Second))
		Expect(reason).To(Equal(dispatch.ReasonOnlyCandidate))
	})

	It("does not choose an upstream that has already failed the request", func() {
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
				attempt := d.Sent(now, request, &decision)
				ejected = d.Failed(now, &attempt, dispatch.FailureError)
			}
			return ejected
		}

		BeforeEach(func() {
			for i := range 4 {
				d.Update(viewOf("e"+strconv.Itoa(i), 1, 64))
			}
		})

		It("takes out one that fails five times in a row, and lets it return slowly", func() {
			// An engine accepts connections and then closes them. Requests fail until it is
			// ejected. After the ejection, only few requests probe whether it still fails.
			Expect(fail(start, "e0", 4)).To(BeFalse())
			Expect(fail(start, "e0", 1)).To(BeTrue())
			timesChosen := func(now time.Time) int {
				count := 0
				for range 2000 {
					if name, _ := choose(now); name == "e0" {
						count++
					}
				}
				return count
			}
			Expect(timesChosen(start.Add(time.Second))).To(Equal(0))
			early, late := timesChosen(start.Add(3*time.Second)), timesChosen(start.Add(30*time.Second))
			Expect(early).To(BeNumerically(">", 0))
			Expect(early).To(BeNumerically("<", late/3))
		})

		It("never takes out more than a third, nor the last one", func() {
			// This instance's network fails, so that all engines seem to fail. Ejecting all of
			// them would prolong a short outage.
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

		It("prefers the upstream that has already run the prefix", func() {
			attempt := send(start)
			d.FirstByte(start.Add(time.Second), &attempt)
			d.Finished(start.Add(2*time.Second), &attempt)
			first := d.Choose(start.Add(2*time.Second), request)
			Expect(first.Reason).To(Equal(dispatch.ReasonPrefixCached))
			Expect(first.Chosen.CachedTokens).To(BeNumerically(">", 7*dispatch.BlockTokens))
		})

		It("expects fewer cached tokens after a gap in the cache events", func() {
			// An event was lost. It may have evicted the prefix, so the prefix counts for less
			// from then on. A wrong estimate doesn't change the answer.
			var events []upstreamapi.CacheEvent
			for _, block := range request.Blocks {
				events = append(events, upstreamapi.CacheEvent{Kind: upstreamapi.CacheStored, Prefix: dispatch.BlockName(block)})
			}
			batch := upstreamapi.CacheEvents{Name: "e3", Incarnation: 1, First: 1, Events: events}
			Expect(d.ApplyCacheEvents(start, batch)).To(BeTrue())
			beforeGap := d.Choose(start, request)
			Expect(beforeGap.Chosen.Name).To(Equal("e3"))
			Expect(d.ApplyCacheEvents(start, batch)).To(BeFalse())
			batch.First += 100
			d.ApplyCacheEvents(start, batch)
			afterGap := d.Choose(start, request)
			Expect(afterGap.Chosen.CachedTokens).To(BeNumerically(">", 0))
			Expect(afterGap.Chosen.CachedTokens).To(BeNumerically("<", beforeGap.Chosen.CachedTokens/2))
			batch.First, batch.Events = batch.Next(), []upstreamapi.CacheEvent{{Kind: upstreamapi.CacheCleared}}
			d.ApplyCacheEvents(start, batch)
			afterClear := d.Choose(start, request)
			Expect(afterClear.Chosen.CachedTokens).To(Equal(0))
		})

		It("has different block hashes for each adapter", func() {
			other := dispatch.BlockHashes(nil, dispatch.Target{Model: "m", Adapter: "x"}, prompt, 512)
			Expect(other).To(HaveLen(8))
			Expect(other[7]).NotTo(Equal(request.Blocks[7]))
		})
	})
})

var _ = Describe("Gate", func() {
	It("sends, queues and refuses requests, and sends a waiting one when a slot is free", func() {
		d := dispatch.New(dispatch.Options{})
		g := dispatch.NewGate(d, admission.NewQueue(admission.Options{}))
		d.Update(viewOf("a", 1, 1))
		arrive := func(id uint64, priority uint8, firstTokenGoal time.Duration) dispatch.ArriveResult {
			return g.Arrive(start, &dispatch.Arrival{
				ID: id, At: start, Service: "s" + strconv.Itoa(int(priority)),
				Request: dispatch.Request{
					Target: dispatch.Target{Model: "m"}, Goal: dispatch.Goal{FirstToken: firstTokenGoal}, Priority: priority,
				},
			})
		}
		first := arrive(1, 2, 10*time.Second)
		Expect(first.Start.Arrival).NotTo(BeNil())
		Expect(arrive(2, 2, 30*time.Second).Queued).To(BeTrue())
		Expect(arrive(3, 2, time.Millisecond).Refusal.Cause).To(Equal(admission.CauseTooLate))
		Expect(arrive(4, 1, 30*time.Second).Queued).To(BeTrue())
		Expect(g.StartWaiting(start, "a", nil)).To(BeEmpty())

		d.Finished(start.Add(time.Second), &first.Start.Attempt)
		started := g.StartWaiting(start.Add(time.Second), "a", nil)
		Expect(started).To(HaveLen(1))
		Expect(started[0].Arrival.ID).To(Equal(uint64(4)))
		Expect(g.RemoveExpired(start.Add(time.Minute), nil)).To(HaveLen(1))
		Expect(arrive(5, 2, 0).Reason).To(Equal(dispatch.ReasonNoRoom))
	})

	It("neither queues a request without a possible upstream nor lets it block those behind it", func() {
		// The only engine is busy, and a request that it has already failed arrives while
		// others wait. It is rejected immediately instead of waiting in vain. With a second
		// engine, it waits for that one without blocking the others.
		d := dispatch.New(dispatch.Options{})
		g := dispatch.NewGate(d, admission.NewQueue(admission.Options{}))
		d.Update(viewOf("a", 1, 1))
		arrive := func(id uint64, tried ...string) dispatch.ArriveResult {
			return g.Arrive(start, &dispatch.Arrival{ID: id, At: start, Request: dispatch.Request{
				Target: dispatch.Target{Model: "m"}, Goal: dispatch.Goal{FirstToken: time.Minute}, Priority: 1, Tried: tried,
			}})
		}
		first := arrive(1)
		Expect(arrive(2).Queued).To(BeTrue())
		Expect(arrive(3, "a").Reason).To(Equal(dispatch.ReasonNoneFit))
		d.Update(viewOf("b", 1, 1))
		Expect(g.StartWaiting(start, "b", nil)).To(HaveLen(1))
		Expect(arrive(4, "a").Queued).To(BeTrue())
		Expect(arrive(5).Queued).To(BeTrue())
		d.Finished(start, &first.Start.Attempt)
		started := g.StartWaiting(start, "a", nil)
		Expect(started).To(HaveLen(1))
		Expect(started[0].Arrival.ID).To(Equal(uint64(5)))
	})

	It("says at once when nothing can run the request", func() {
		g := dispatch.NewGate(dispatch.New(dispatch.Options{}), admission.NewQueue(admission.Options{}))
		result := g.Arrive(start, &dispatch.Arrival{Request: dispatch.Request{Target: dispatch.Target{Model: "m"}}})
		Expect(result.Reason).To(Equal(dispatch.ReasonNoCandidate))
		Expect(result.Queued).To(BeFalse())
	})
})
