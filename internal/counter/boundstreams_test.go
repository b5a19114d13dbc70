package counter_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lovagelift/lovagelift/internal/counter"
	"github.com/lovagelift/lovagelift/internal/courier"
	"github.com/lovagelift/lovagelift/internal/resumption"
)

// versionedPool has an engine of v2 that holds the model "m", and one of v1 that holds another one.
func versionedPool() counter.UpstreamPool {
	pool := counter.NewUpstreamPool("here", lease)
	for version, model := range map[string]string{"v1": "other", "v2": "m"} {
		engine := engineRecord("e-"+version, "here", start, model)
		engine.Announcement.SoftwareVersion = version
		engine.Announcement.Load.MaxRunning = 1
		pool.Apply(start, engine)
	}
	return pool
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

var _ = Describe("A stream whose version lacks its model", func() {
	// The route allows 2 s. After a call that brings nothing, the next one follows within 0.4 s.
	DescribeTable("goes on once that is loaded, however long others would wait",
		func(ctx SpecContext, resumedAt int) {
			g := newUnheldGroup(ctx, 2)
			g.control.setLoads(map[int]courier.WantReply{6: {Engine: "e2"}})
			status, version := g.resume(ctx, resumedAt, "s1")
			Expect(status).To(Equal(http.StatusOK))
			Expect(version).To(Equal("v1"))
		},
		Entry("at one instance", SpecTimeout(specTimeout), 0),
		Entry("at the other", SpecTimeout(specTimeout), 1),
	)

	// Its holder is full when it arrives, and leaves while it waits.
	It("goes on once that is loaded, also if it was not missing at first", func(ctx SpecContext) {
		g := newUnheldGroup(ctx, 1)
		release := make(chan struct{})
		full := newFakeUpstream(func(http.ResponseWriter, *http.Request) { <-release })
		DeferCleanup(func() { close(release) })
		g.control.announceVersion("v1", "e4", full.address(), resumedModel)
		g.waitUntilKnown(4)
		g.control.setLoads(map[int]courier.WantReply{6: {Engine: "e2"}})
		for range 8 {
			go func() { _, _, _ = g.post(ctx, 0, named("s1")) }()
		}
		Eventually(ctx, full.count).Should(Equal(8))
		go func() {
			defer GinkgoRecover()
			Eventually(ctx, g.peers[0].proxy.Waiting).Should(Equal(1))
			g.control.announceLeave("e4")
		}()
		status, version := g.resume(ctx, 0, "s1")
		Expect(status).To(Equal(http.StatusOK))
		Expect(version).To(Equal("v1"))
	}, SpecTimeout(specTimeout))

	DescribeTable("is refused at once, with all that wait for the same, if that can't be loaded",
		func(ctx SpecContext, resumedAt int) {
			g := newUnheldGroup(ctx, 2)
			loads := map[int]courier.WantReply{}
			for call := range 20 {
				loads[3+call] = courier.WantReply{Unavailable: true}
			}
			g.control.setLoads(loads)
			began := time.Now()
			var callers sync.WaitGroup
			for range 3 {
				callers.Go(func() {
					defer GinkgoRecover()
					status, _ := g.resume(ctx, resumedAt, "s1")
					Expect(status).To(Equal(http.StatusServiceUnavailable))
				})
			}
			callers.Wait()
			Expect(time.Since(began)).To(BeNumerically("<", 1500*time.Millisecond))
		},
		Entry("at one instance", SpecTimeout(specTimeout), 0),
		Entry("at the other", SpecTimeout(specTimeout), 1),
	)

	DescribeTable("is refused at once when the last engine of its version leaves",
		func(ctx SpecContext, resumedAt int) {
			g := newUnheldGroup(ctx, 2)
			began := time.Now()
			go func() {
				defer GinkgoRecover()
				Eventually(ctx, g.control.loadCallCount).Should(BeNumerically(">", 0))
				g.control.announceLeave("e2")
			}()
			status, _ := g.resume(ctx, resumedAt, "s1")
			Expect(status).To(Equal(http.StatusServiceUnavailable))
			Expect(time.Since(began)).To(BeNumerically("<", 1500*time.Millisecond))
		},
		Entry("at one instance", SpecTimeout(specTimeout), 0),
		Entry("at the other", SpecTimeout(specTimeout), 1),
	)

	DescribeTable("is refused with the reason, and asked to return only if there is time",
		func(resumedAt int, load courier.WantReply, timeout time.Duration, returns bool) {
			g := newUnheldGroup(context.Background(), 2)
			g.control.setLoads(map[int]courier.WantReply{1: load})
			request := httptest.NewRequest(http.MethodPost, "http://spec.test/draft/", nil)
			request.Header = named("s1")
			recorder := httptest.NewRecorder()
			g.peers[resumedAt].proxy.ServeRequest(recorder, request, counter.Call{ID: "s2", Resumes: "s1", Timeout: timeout, Model: resumedModel})
			Expect(recorder.Code).To(Equal(http.StatusServiceUnavailable))
			Expect(recorder.Body.String()).To(Equal("no upstream: model at the stream's software version\n"))
			Expect(recorder.Header().Get("Retry-After") != "").To(Equal(returns))
		},
		Entry("after its wait at one instance", 0, courier.WantReply{}, 400*time.Millisecond, false),
		Entry("after its wait at the other", 1, courier.WantReply{}, 400*time.Millisecond, false),
		Entry("if it can't be loaded at one instance", 0, courier.WantReply{Unavailable: true}, 5*time.Second, true),
		Entry("if it can't be loaded at the other", 1, courier.WantReply{Unavailable: true}, 5*time.Second, true),
	)

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

var _ = It("The metric of resumed streams tells what became of each", func(ctx SpecContext) {
	g := newUnheldGroup(ctx, 1)
	g.callerTimeout = 400 * time.Millisecond
	proxy := g.peers[0].proxy
	results, expected := proxy.CountResumptions(), map[string]int64{}
	resume := func(id, result string) {
		GinkgoHelper()
		g.resume(ctx, 0, id)
		expected[result]++
		Eventually(ctx, results).Should(Equal(expected))
	}
	holder := func(name string, u *upstream) {
		GinkgoHelper()
		g.control.announceVersion("v1", name, u.address(), resumedModel)
		Eventually(ctx, proxy.IncarnationOf(name)).ShouldNot(BeZero())
	}
	leave := func(name string) {
		GinkgoHelper()
		g.control.announceLeave(name)
		Eventually(ctx, proxy.KnowsLeave(name)).Should(BeTrue())
	}
	resume("never-begun", "refused-unknown")
	resume("s1", "refused-no-time")
	g.control.setLoads(map[int]courier.WantReply{g.control.loadCallCount() + 1: {Unavailable: true}})
	resume("s1", "refused-no-holder")
	leave("e2")
	resume("s1", "refused-no-version")
	holder("e4", newFakeUpstream(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(idHeader, r.Header.Get(idHeader))
		w.WriteHeader(http.StatusBadRequest)
	}))
	resume("s1", "other")
	leave("e4")
	holder("e5", newVersionedUpstream("v1").upstream)
	resume("s1", "went-on")
}, SpecTimeout(specTimeout))
