package counter_test

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lovagelift/lovagelift/internal/counter"
	"github.com/lovagelift/lovagelift/internal/courier"
	"github.com/lovagelift/lovagelift/internal/permit"
	"github.com/lovagelift/lovagelift/internal/resumption"
	"github.com/lovagelift/lovagelift/internal/roster"
)

// versionedPool has an engine of v2 that holds the model "m", and one of v1 that holds another one.
func versionedPool() counter.UpstreamPool {
	pool := counter.NewUpstreamPool("here", lease)
	for version, model := range map[string]string{"v1": "other", "v2": "m"} {
		pool.Apply(start, versionedRecord(version, start, model))
	}
	return pool
}

// versionedRecord is the record of the engine of a version in a versionedPool.
func versionedRecord(version string, heard time.Time, models ...string) roster.Upstream {
	engine := engineRecord("e-"+version, "here", heard, models...)
	engine.Announcement.SoftwareVersion = version
	engine.Announcement.Load.MaxRunning = 1
	return engine
}

// A holder of another version does not serve them, so the plan must know the version.
var _ = It("Streams whose version lacks the model are reported as waiting at that version", func() {
	queue := counter.NewQueue(versionedPool(), 1)
	Expect(counter.Granted(queue.Enqueue(start, "m", time.Second))).To(BeTrue())
	queue.Enqueue(start, "m", time.Second)
	waiting := queue.EnqueueBound(start, "m", "v1")
	queue.EnqueueBound(start, "m", "v1")
	queue.EnqueueBound(start, "m", "v2")
	Expect(queue.Demand(start)).To(Equal(map[string]courier.Demand{
		"":   {Service: "pool", Model: "m", Waiting: 2},
		"v1": {Service: "pool", Model: "m", Software: resumption.BoundTo("v1"), Waiting: 2},
	}))
	queue.Dequeue(waiting)
	Expect(queue.Demand(start)["v1"].Waiting).To(Equal(1))
})

var _ = It("Streams whose last holder has just refused for lack of the model are reported so too", func() {
	pool := versionedPool()
	queue := counter.NewQueue(pool, 1)
	queue.Enqueue(start, "m", time.Second)
	queue.EnqueueBound(start, "m", "v2")
	Expect(queue.Demand(start)).NotTo(HaveKey("v2"))
	pool.Misdirect(start, "e-v2", "m")
	Expect(queue.Demand(start)).To(HaveKeyWithValue("v2", HaveField("Waiting", 1)))
})

// Others wait for 1.2 s at most.
var _ = It("The owner of a model keeps the permit request of a stream that waits at another instance for a load", func() {
	pool, instances := versionedPool(), instanceAddresses(2)
	owner := counter.NewInstance(pool, instances[0], instances)
	request := askMessage(1, "m")
	request.Software = resumption.BoundTo("v1")
	Expect(owner.Receive(start, instances[1], request)).To(ConsistOf(HaveField("Message", permit.Queued{ID: 1})))
	loaded := start.Add(8 * time.Second)
	Expect(owner.ExpirePermits(loaded)).To(BeEmpty())
	pool.Apply(loaded, versionedRecord("v1", loaded, "other", "m"))
	Expect(owner.Dispatch(loaded)).To(ContainElement(HaveField("Message", HaveField("Upstream", "e-v1"))))
})

var _ = DescribeTable("What a stream lacks that has waited in vain at another instance",
	func(version string, change func(pool counter.UpstreamPool), missing string) {
		pool := versionedPool()
		queue := counter.NewQueue(pool, 1)
		Expect(counter.Granted(queue.Enqueue(start, "m", time.Second))).To(BeTrue())
		w := queue.EnqueueBound(start, "m", version)
		change(pool)
		Expect(queue.MissingAfterWait(start, w)).To(Equal(missing))
	},
	Entry("without a holder of its version", "v1", func(counter.UpstreamPool) {}, "model"),
	Entry("beside a holder of its version that is full", "v2", func(counter.UpstreamPool) {}, "room"),
	Entry("after the last engine of its version left", "v1", func(pool counter.UpstreamPool) { pool.StateLeave("e-v1") }, "software version"),
)

// newUnheldGroup returns instances at which a stream "s1" of v1 has begun. Then the holder of its model left: only
// "e3" of v2 has the model, and "e2" of v1 could load it.
func newUnheldGroup(ctx context.Context, instances int) *resumptionGroup {
	GinkgoHelper()
	g := &resumptionGroup{peerGroup: &peerGroup{clock: &manualClock{now: time.Now()}, control: newFakeControl()}, callerTimeout: 5 * time.Second}
	for range instances {
		// The load calls of an instance wait for its clock.
		g.peers = append(g.peers, startPeerWithClock(g.control, time.Now))
		g.serveCallers(g.peers[len(g.peers)-1])
	}
	g.control.addExactEntries(g.addresses()...)
	g.announceUpstreams("v1")
	Expect(g.begin(ctx, 0, "s1")).To(Equal("v1"))
	g.control.announceVersion("v1", "e2", newVersionedUpstream("v1").address(), "other")
	g.control.announceVersion("v2", "e3", newVersionedUpstream("v2").address(), resumedModel)
	g.waitUntilKnown(3)
	g.control.announceLeave("e1")
	for _, p := range g.peers {
		Eventually(p.proxy.KnowsLeave("e1"), specTimeout).Should(BeTrue())
	}
	return g
}

// resumeAll resumes the stream several times at once, and expects the same result of each in the metric.
func (g *resumptionGroup) resumeAll(at int, result string, timeout time.Duration) []*httptest.ResponseRecorder {
	GinkgoHelper()
	results := g.peers[at].proxy.CountResumptions()
	recorders := make([]*httptest.ResponseRecorder, 3)
	var callers sync.WaitGroup
	for n := range recorders {
		recorders[n] = httptest.NewRecorder()
		callers.Go(func() {
			request := httptest.NewRequest(http.MethodPost, "http://spec.test/draft/", nil)
			request.Header = named("s1")
			request.Header.Set(idHeader, fmt.Sprint("r", n))
			g.peers[at].proxy.ServeRequest(recorders[n], request, counter.Call{ID: fmt.Sprint("r", n), Resumes: "s1", Timeout: timeout, Model: resumedModel})
		})
	}
	callers.Wait()
	Expect(results()).To(Equal(map[string]int64{result: 3}))
	return recorders
}

// once calls change when a condition holds.
func once(ctx context.Context, value func() int, atLeast int, change func()) {
	go func() {
		defer GinkgoRecover()
		Eventually(ctx, value).Should(BeNumerically(">=", atLeast))
		change()
	}()
}

var _ = Describe("A stream whose version lacks its model", func() {
	for place, name := range []string{"at the owner of its model", "at another instance"} {
		instance := func(g *resumptionGroup) int {
			owner, other := g.ownerAndOther()
			return []int{owner, other}[place]
		}

		// The route allows 2 s. After a call that brings nothing, the next one follows within 0.4 s.
		It("goes on once that is loaded, however long others would wait, "+name, func(ctx SpecContext) {
			g := newUnheldGroup(ctx, 2)
			g.control.setLoads(map[int]courier.WantReply{6: {Engine: "e2"}})
			for _, answer := range g.resumeAll(instance(g), "went-on", time.Minute) {
				Expect(versionIn(answer.Body.String())).To(Equal("v1"))
			}
			Expect(g.control.statedLoadWait()).To(BeNumerically("~", 2*time.Second, time.Second), "the leader refuses what comes later")
		}, SpecTimeout(specTimeout))

		DescribeTable("is refused with the reason, and asked to return only if that may help, "+name,
			func(ctx SpecContext, hopeless func(c *fakeControl), timeout time.Duration, result, reason string, returns bool) {
				g := newUnheldGroup(ctx, 2)
				once(ctx, g.control.loadCallCount, 2, func() { hopeless(g.control) })
				began := time.Now()
				for _, answer := range g.resumeAll(instance(g), result, timeout) {
					Expect(answer.Code).To(Equal(http.StatusServiceUnavailable))
					Expect(answer.Body.String()).To(Equal("no upstream: " + reason + "\n"))
					Expect(answer.Header().Get("Retry-After") != "").To(Equal(returns))
				}
				Expect(time.Since(began)).To(BeNumerically("<", 1500*time.Millisecond))
			},
			Entry("at once if the leader can't load that", SpecTimeout(specTimeout), (*fakeControl).setUnavailable, time.Minute,
				"refused-no-holder", "model at the stream's software version", true),
			Entry("at once when the last engine of the version leaves", SpecTimeout(specTimeout), func(c *fakeControl) { c.announceLeave("e2") },
				time.Minute, "refused-no-version", "software version", true),
			Entry("after its wait", SpecTimeout(specTimeout), func(*fakeControl) {}, 400*time.Millisecond,
				"refused-no-time", "model at the stream's software version", false),
		)
	}

	// Its holder is full when it arrives, and leaves while it waits.
	It("goes on once that is loaded, also if it was not missing at first", func(ctx SpecContext) {
		g := newUnheldGroup(ctx, 1)
		release := make(chan struct{})
		full := newFakeUpstream(func(http.ResponseWriter, *http.Request) { <-release })
		DeferCleanup(func() { close(release) })
		g.control.announceVersion("v1", "e4", full.address(), resumedModel)
		g.waitUntilKnown(4)
		g.control.setLoads(map[int]courier.WantReply{5: {Engine: "e2"}})
		for range 8 {
			go func() { _, _, _ = g.post(ctx, 0, named("s1")) }()
		}
		Eventually(ctx, full.count).Should(Equal(8))
		once(ctx, g.peers[0].proxy.Waiting, 1, func() { g.control.announceLeave("e4") })
		status, version := g.resume(ctx, 0, "s1")
		Expect(status).To(Equal(http.StatusOK))
		Expect(version).To(Equal("v1"))
	}, SpecTimeout(specTimeout))

	// The leader can't tell such waits from those of all others, and they would last until their callers leave.
	It("is refused like others while all engines are of its version", func() {
		pool := counter.NewUpstreamPool("here", lease)
		engine := engineRecord("e1", "here", start, "other")
		engine.Announcement.SoftwareVersion = "v1"
		pool.Apply(start, engine)
		queue := counter.NewQueue(pool, 1)
		retryAfter, rejected := queue.Rejection(start, queue.EnqueueBound(start, "m", "v1"))
		Expect(rejected).To(BeTrue())
		Expect(retryAfter).To(BeNumerically(">", 0))
		Expect(queue.Demand(start)).NotTo(HaveKey("v1"))
	})

	It("is not told that no engine can load that when its own time ends", func() {
		queue := counter.NewQueue(versionedPool(), 1)
		_, rejected := queue.Rejection(start.Add(10*time.Second), queue.EnqueueBound(start, "m", "v1"))
		Expect(rejected).To(BeFalse())
	})

	// Its caller leaves 10 s after its arrival.
	DescribeTable("waits for a load that leaves time to run",
		func(loading string, loadTime time.Duration, waits bool) {
			pool := versionedPool()
			pool.ApplyEngineStates(start, courier.EngineStates{Engines: []courier.EngineState{{
				Name: "e-v1", NextModel: loading, NextModelIn: loadTime,
			}}})
			queue := counter.NewQueue(pool, 1)
			retryAfter, rejected := queue.Rejection(start, queue.EnqueueBound(start, "m", "v1"))
			Expect(rejected).To(Equal(!waits))
			Expect(retryAfter).To(BeZero(), "a later attempt comes too late as well")
		},
		Entry("that nobody has begun", "", time.Duration(0), true),
		Entry("of which others would not await the end", "m", 7*time.Second, true),
		Entry("but not for one that ends with its caller's time", "m", 10*time.Second, false),
	)
})

var _ = It("The metric of resumed streams tells of those that are unknown, or whose upstream answers otherwise", func(ctx SpecContext) {
	g := newUnheldGroup(ctx, 1)
	results := g.peers[0].proxy.CountResumptions()
	g.resume(ctx, 0, "never-begun")
	Eventually(ctx, results).Should(Equal(map[string]int64{"refused-unknown": 1}))
	g.control.announceVersion("v1", "e4", newFakeUpstream(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(idHeader, r.Header.Get(idHeader))
		w.WriteHeader(http.StatusBadRequest)
	}).address(), resumedModel)
	g.waitUntilKnown(4)
	g.resume(ctx, 0, "s1")
	Eventually(ctx, results).Should(Equal(map[string]int64{"refused-unknown": 1, "other": 1}))
}, SpecTimeout(specTimeout))

// Such streams take nothing of what the others wait for.
var _ = Describe("A request for the model of streams that wait for its load at their version", func() {
	const streams = 20
	var pool counter.UpstreamPool
	var queue counter.Queue
	mayWait := func(w counter.Waiter) {
		GinkgoHelper()
		Expect(counter.Granted(w)).To(BeFalse())
		Expect(queue.Rejects(start, w)).To(BeFalse())
	}

	BeforeEach(func() {
		pool = versionedPool()
		queue = counter.NewQueue(pool, 1)
		for range streams {
			queue.EnqueueBoundShared(start, "m", "v1", "large")
		}
	})

	It("may wait for capacity as if they were not there", func() {
		pool.PeerActive(start, "e-v2", 2, 1)
		mayWait(queue.Enqueue(start, "m", 0))
	})

	It("may wait at a rate limit as if they were not there", func() {
		pool.HoldBack(start, "e-v2", 1, start.Add(time.Second))
		mayWait(queue.Enqueue(start, "m", 0))
	})

	It("may wait behind others if it is the only one that is starved", func() {
		queue = counter.NewQueue(pool, 1)
		queue.EnqueueBound(start.Add(-4*time.Second), "m", "v1")
		pool.PeerActive(start, "e-v2", 2, 1)
		for range streams {
			queue.EnqueueAs(start, "m", "adapter", 0, time.Second)
		}
		mayWait(queue.Enqueue(start, "m", time.Second))
	})

	It("goes before later ones of another workspace as if they were not there", func() {
		pool.PeerActive(start, "e-v2", 2, 1)
		first := queue.EnqueueShared(start.Add(time.Millisecond), "m", "large", true)
		second := queue.EnqueueShared(start.Add(2*time.Millisecond), "m", "small", true)
		pool.PeerActive(start.Add(3*time.Millisecond), "e-v2", 0, 1)
		queue.Dispatch(start.Add(20 * time.Millisecond))
		Expect(counter.Granted(first)).To(BeTrue())
		Expect(counter.Granted(second)).To(BeFalse())
	})
})
