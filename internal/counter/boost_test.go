package counter_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lovagelift/lovagelift/internal/counter"
	"github.com/lovagelift/lovagelift/internal/courier"
)

// overload plays 12 s in which an engine has 20 places for 100 requests a second of a model,
// each of which takes one for a second, and returns the longest time for which requests of
// each of some adapters that are asked for now and then were not served.
func overload(line counter.Queue, fleet counter.UpstreamPool, priority uint8, adapters ...string) map[string]time.Duration {
	const objective = 800 * time.Millisecond
	type asked struct {
		adapter string
		until   time.Time
		granted func() bool
		leave   func()
	}
	longest, last := map[string]time.Duration{}, map[string]time.Time{}
	var waiting []asked
	var ends []time.Time
	ask := func(now time.Time, adapter string, priority uint8) {
		w := line.EnqueueAs(now, "m", adapter, priority, objective)
		if line.Rejects(now, w) {
			line.Dequeue(w)
			return
		}
		waiting = append(waiting, asked{
			adapter, now.Add(3 * objective / 2), func() bool { return counter.Granted(w) }, func() { line.Dequeue(w) },
		})
	}
	for millis := range 12_000 {
		now := start.Add(time.Duration(millis) * time.Millisecond)
		for len(ends) > 0 && !ends[0].After(now) {
			fleet.Release("e")
			ends = ends[1:]
		}
		if millis%20 == 0 {
			fleet.PeerActive(now, "e", 44, 1)
		}
		if millis%10 == 0 {
			ask(now, "", 0)
		}
		for i, adapter := range adapters {
			if millis%500 == 20*i+1 {
				ask(now, adapter, priority)
			}
		}
		line.Dispatch(now)
		still := waiting[:0]
		for _, a := range waiting {
			switch {
			case a.granted():
				ends = append(ends, now.Add(time.Second))
				last[a.adapter] = now
			case now.After(a.until):
				a.leave()
			default:
				still = append(still, a)
			}
		}
		waiting = still
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
	var fleet counter.UpstreamPool
	var line counter.Queue
	var adapters []string

	BeforeEach(func() {
		adapters = nil
		for i := range 8 {
			adapters = append(adapters, fmt.Sprint("a", i))
		}
		fleet = counter.NewUpstreamPool("here", lease)
		fleet.Apply(start, engineOf("e", "here", start, "m"))
		fleet.ApplyHoldings(start, courier.Holdings{Engines: []courier.Holding{{
			Name: "e", Models: []courier.HeldModel{{Name: "m", Adapters: adapters}},
		}}})
		line = counter.NewQueue(fleet, 1)
	})

	// Five times as many callers ask for a model as its engine can serve. Those of adapters
	// that are seldom asked for lost each time to more urgent ones, or were rejected as too
	// many waited.
	DescribeTable("is served within 5 s in an overload that lasts",
		func(priority uint8) {
			for adapter, longest := range overload(line, fleet, priority, adapters...) {
				Expect(longest).To(BeNumerically("<=", 5*time.Second), adapter)
			}
		},
		Entry("as urgent as the rest", uint8(0)),
		Entry("less urgent than the rest", uint8(1)),
	)

	// The instance that places the requests of another model hears at once when one of them
	// ends, and sends the next: to all others the engine looks full at every moment.
	It("is served within 5 s at an engine that the requests of another model keep full", func() {
		served := time.Duration(0)
		for millis := 0; millis < 8000 && served == 0; millis += 100 {
			now := start.Add(time.Duration(millis) * time.Millisecond)
			fleet.PeerActive(now, "e", 64, 1)
			w := line.EnqueueAs(now, "m", "a1", 0, 800*time.Millisecond)
			line.Dispatch(now)
			if counter.Granted(w) {
				served = now.Sub(start)
			} else {
				line.Dequeue(w)
			}
		}
		Expect(served).To(BeNumerically("~", 4*time.Second, time.Second))
	})

	It("is not sent to an engine that has more than it can run by far", func() {
		for millis := 0; millis < 8000; millis += 100 {
			now := start.Add(time.Duration(millis) * time.Millisecond)
			fleet.PeerActive(now, "e", 80, 1)
			w := line.EnqueueAs(now, "m", "a1", 0, 800*time.Millisecond)
			line.Dispatch(now)
			Expect(counter.Granted(w)).To(BeFalse())
			line.Dequeue(w)
		}
	})
})
