package counter_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lovagelift/lovagelift/internal/counter"
	"github.com/lovagelift/lovagelift/internal/courier"
)

var _ = Describe("A request that finds no room", func() {
	const objective = 400 * time.Millisecond
	var pool counter.UpstreamPool
	var queue counter.Queue

	BeforeEach(func() {
		pool = counter.NewUpstreamPool("here", lease)
		pool.Apply(start, engineRecord("e", "here", start, "m"))
		queue = counter.NewQueue(pool, 6)
	})

	// For several seconds, the load of a model is three times the capacity of its only engine. An
	// unlimited queue makes every response late and still refuses two of three requests, each after
	// a wait of 600 ms. So requests are refused on arrival.
	It("is refused at once under a load that lasts, and what is let in is on time", func() {
		type pendingRequest struct {
			at      time.Time
			granted func() bool
		}
		refused, late, served := 0, 0, 0
		var waiting []pendingRequest
		var ends []time.Time
		for millis := range 4000 {
			now := start.Add(time.Duration(millis) * time.Millisecond)
			if millis%20 == 0 {
				// Peers constantly occupy 44 of the 64 slots.
				pool.PeerActive(now, "e", 44, 1)
				w := queue.Enqueue(now, "m", objective)
				if queue.Rejects(now, w) {
					refused++
					queue.Dequeue(w)
				} else {
					waiting = append(waiting, pendingRequest{now, func() bool { return counter.Granted(w) }})
				}
			}
			for len(ends) > 0 && !ends[0].After(now) {
				pool.Release("e")
				ends = ends[1:]
			}
			queue.Dispatch(now)
			remaining := waiting[:0]
			for _, r := range waiting {
				if !r.granted() {
					remaining = append(remaining, r)
					continue
				}
				served++
				ends = append(ends, now.Add(time.Second))
				if now.Sub(r.at) > objective {
					late++
				}
			}
			waiting = remaining
		}
		Expect(served).To(BeNumerically(">", 60), "of 200 requests; 20 slots are free for 4 s")
		Expect(refused).To(BeNumerically(">", 80))
		Expect(late).To(BeNumerically("<", served/4))
	})

	It("waits if no request is before it, because engines regain capacity in small steps", func() {
		pool.PeerActive(start, "e", 64, 1)
		Expect(queue.Rejects(start, queue.Enqueue(start, "m", objective))).To(BeFalse())
	})

	// No engine has loaded the model, and a load takes seconds: after a wait of 600 ms the caller
	// would get the same answer. If a load completes in time, the request waits for it.
	It("is refused at once if no engine will hold its model in time", func() {
		w := queue.Enqueue(start, "gone", objective)
		Expect(queue.Rejects(start, w)).To(BeTrue())
		pool.ApplyEngineStates(start, courier.EngineStates{Engines: []courier.EngineState{{
			Name: "e", Models: []courier.LoadedModel{{Name: "m"}}, NextModel: "gone", NextModelIn: 2 * time.Second,
		}}})
		Expect(queue.Rejects(start, w)).To(BeTrue())
		Expect(queue.Rejects(start.Add(1900*time.Millisecond), queue.Enqueue(start.Add(1900*time.Millisecond), "gone", objective))).
			To(BeFalse())
	})
})

var _ = Describe("A report of an engine", func() {
	// Messages between instances are lost, and some requests take longer than average, so that the
	// engine appears to have capacity. The report, half a second old, contains its actual load at
	// that time.
	It("corrects what instances told each other, once", func() {
		pool := counter.NewUpstreamPool("here", lease)
		pool.Apply(start, engineRecord("e", "here", start, "m"))
		pool.PeerActive(start, "e", 20, 1)
		now := start.Add(500 * time.Millisecond)
		report := courier.EngineStates{Engines: []courier.EngineState{{
			Name: "e", Age: 400 * time.Millisecond, Running: 30, Models: []courier.LoadedModel{{Name: "m"}},
		}}}
		before := pool.Load(now, "e")
		pool.ApplyEngineStates(now, report)
		corrected := pool.Load(now, "e")
		Expect(corrected).To(BeNumerically(">", before+5))
		Expect(corrected).To(BeNumerically("<", 30))
		pool.ApplyEngineStates(now.Add(time.Millisecond), report)
		Expect(pool.Load(now, "e")).To(BeNumerically("~", corrected, 0.1), "the same report with the next reply")
	})
})
