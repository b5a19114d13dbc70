package counter_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lovagelift/lovagelift/internal/counter"
	"github.com/lovagelift/lovagelift/internal/courier"
)

// simulateOverload simulates 12 s in which an engine has 20 free slots for 100 requests per second
// for a model, each of which occupies a slot for one second. The given adapters are requested
// rarely. It returns the longest time for which each of them was not served.
func simulateOverload(queue counter.Queue, pool counter.UpstreamPool, priority uint8, adapters ...string) map[string]time.Duration {
	const objective = 800 * time.Millisecond
	type pendingRequest struct {
		adapter string
		until   time.Time
		granted func() bool
		dequeue func()
	}
	longest, last := map[string]time.Duration{}, map[string]time.Time{}
	var waiting []pendingRequest
	var ends []time.Time
	enqueue := func(now time.Time, adapter string, priority uint8) {
		w := queue.EnqueueAs(now, "m", adapter, priority, objective)
		if queue.Rejects(now, w) {
			queue.Dequeue(w)
			return
		}
		waiting = append(waiting, pendingRequest{
			adapter, now.Add(3 * objective / 2), func() bool { return counter.Granted(w) }, func() { queue.Dequeue(w) },
		})
	}
	for millis := range 12_000 {
		now := start.Add(time.Duration(millis) * time.Millisecond)
		for len(ends) > 0 && !ends[0].After(now) {
			pool.Release("e")
			ends = ends[1:]
		}
		if millis%20 == 0 {
			pool.PeerActive(now, "e", 44, 1)
		}
		if millis%10 == 0 {
			enqueue(now, "", 0)
		}
		for i, adapter := range adapters {
			if millis%500 == 20*i+1 {
				enqueue(now, adapter, priority)
			}
		}
		queue.Dispatch(now)
		remaining := waiting[:0]
		for _, r := range waiting {
			switch {
			case r.granted():
				ends = append(ends, now.Add(time.Second))
				last[r.adapter] = now
			case now.After(r.until):
				r.dequeue()
			default:
				remaining = append(remaining, r)
			}
		}
		waiting = remaining
		for _, adapter := range adapters {
			since := last[adapter]
			if since.IsZero() {
				since = start
			}
			longest[adapter] = max(longest[adapter], now.Sub(since))
		}
	}
	return longest
}

var _ = Describe("A request of an adapter that is asked for now and then", func() {
	var pool counter.UpstreamPool
	var queue counter.Queue
	var adapters []string

	BeforeEach(func() {
		adapters = nil
		for i := range 8 {
			adapters = append(adapters, fmt.Sprint("a", i))
		}
		pool = counter.NewUpstreamPool("here", lease)
		pool.Apply(start, engineRecord("e", "here", start, "m"))
		pool.ApplyEngineStates(start, courier.EngineStates{Engines: []courier.EngineState{{
			Name: "e", Models: []courier.LoadedModel{{Name: "m", Adapters: adapters}},
		}}})
		queue = counter.NewQueue(pool, 1)
	})

	// The load of a model is five times the capacity of its engine. Requests for rarely used
	// adapters would always be overtaken by more urgent ones, or rejected because too many are
	// waiting.
	DescribeTable("is served within 5 s in an overload that lasts",
		func(priority uint8) {
			for adapter, longest := range simulateOverload(queue, pool, priority, adapters...) {
				Expect(longest).To(BeNumerically("<=", 5*time.Second), adapter)
			}
		},
		Entry("as urgent as the rest", uint8(0)),
		Entry("less urgent than the rest", uint8(1)),
	)

	// The owner of another model learns at once when one of its requests ends, and sends the next
	// one. To all other instances the engine always appears full.
	It("is served within 5 s at an engine that the requests of another model keep full", func() {
		served := time.Duration(0)
		for millis := 0; millis < 8000 && served == 0; millis += 100 {
			now := start.Add(time.Duration(millis) * time.Millisecond)
			pool.PeerActive(now, "e", 64, 1)
			w := queue.EnqueueAs(now, "m", "a1", 0, 800*time.Millisecond)
			queue.Dispatch(now)
			if counter.Granted(w) {
				served = now.Sub(start)
			} else {
				queue.Dequeue(w)
			}
		}
		Expect(served).To(BeNumerically("~", 4*time.Second, time.Second))
	})

	It("is not sent to an engine that is far over capacity", func() {
		for millis := 0; millis < 8000; millis += 100 {
			now := start.Add(time.Duration(millis) * time.Millisecond)
			pool.PeerActive(now, "e", 80, 1)
			w := queue.EnqueueAs(now, "m", "a1", 0, 800*time.Millisecond)
			queue.Dispatch(now)
			Expect(counter.Granted(w)).To(BeFalse())
			queue.Dequeue(w)
		}
	})
})
