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
	var fleet counter.UpstreamPool
	var line counter.Queue

	BeforeEach(func() {
		fleet = counter.NewUpstreamPool("here", lease)
		fleet.Apply(start, engineOf("e", "here", start, "m"))
		line = counter.NewQueue(fleet, 6)
	})

	// Three times as many callers ask for a model as its one engine can serve, for
	// seconds. A queue that all may join makes every answer late, and still refuses two
	// of three, each after it has waited for 600 ms: so they are refused when they come.
	It("is refused at once under a load that lasts, and what is let in is on time", func() {
		type asked struct {
			at      time.Time
			granted func() bool
		}
		refused, late, served := 0, 0, 0
		var waiting []asked
		var ends []time.Time
		for millis := range 4000 {
			now := start.Add(time.Duration(millis) * time.Millisecond)
			if millis%20 == 0 {
				// Others have 44 of the 64 places all the time.
				fleet.PeerActive(now, "e", 44, 1)
				w := line.Enqueue(now, "m", objective)
				if line.Rejects(now, w) {
					refused++
					line.Dequeue(w)
				} else {
					waiting = append(waiting, asked{now, func() bool { return counter.Granted(w) }})
				}
			}
			for len(ends) > 0 && !ends[0].After(now) {
				fleet.Release("e")
				ends = ends[1:]
			}
			line.Dispatch(now)
			still := waiting[:0]
			for _, a := range waiting {
				if !a.granted() {
					still = append(still, a)
					continue
				}
				served++
				ends = append(ends, now.Add(time.Second))
				if now.Sub(a.at) > objective {
					late++
				}
			}
			waiting = still
		}
		Expect(served).To(BeNumerically(">", 60), "of 200; 20 places for 4 s")
		Expect(refused).To(BeNumerically(">", 80))
		Expect(late).To(BeNumerically("<", served/4))
	})

	It("waits if nobody is before it: engines have room again step by step", func() {
		fleet.PeerActive(start, "e", 64, 1)
		Expect(line.Rejects(start, line.Enqueue(start, "m", objective))).To(BeFalse())
	})

	// No engine holds the model, and a load takes seconds: held for 600 ms, the caller
	// would be told the same, later. If a load ends in time, it waits for that.
	It("is refused at once if no engine will hold its model in time", func() {
		w := line.Enqueue(start, "gone", objective)
		Expect(line.Rejects(start, w)).To(BeTrue())
		fleet.ApplyHoldings(start, courier.Holdings{Engines: []courier.Holding{{
			Name: "e", Models: []courier.HeldModel{{Name: "m"}}, Coming: "gone", ComingIn: 2 * time.Second,
		}}})
		Expect(line.Rejects(start, w)).To(BeTrue())
		Expect(line.Rejects(start.Add(1900*time.Millisecond), line.Enqueue(start.Add(1900*time.Millisecond), "gone", objective))).
			To(BeFalse())
	})
})

var _ = Describe("A report of an engine", func() {
	// Hints are lost, and some requests take longer than most: the instance thinks that
	// the engine has room. The report, half a second old, says what it had then.
	It("corrects what instances told each other, once", func() {
		fleet := counter.NewUpstreamPool("here", lease)
		fleet.Apply(start, engineOf("e", "here", start, "m"))
		fleet.PeerActive(start, "e", 20, 1)
		now := start.Add(500 * time.Millisecond)
		report := courier.Holdings{Engines: []courier.Holding{{
			Name: "e", Age: 400 * time.Millisecond, Running: 30, Models: []courier.HeldModel{{Name: "m"}},
		}}}
		before := fleet.Load(now, "e")
		fleet.ApplyHoldings(now, report)
		corrected := fleet.Load(now, "e")
		Expect(corrected).To(BeNumerically(">", before+5))
		Expect(corrected).To(BeNumerically("<", 30))
		fleet.ApplyHoldings(now.Add(time.Millisecond), report)
		Expect(fleet.Load(now, "e")).To(BeNumerically("~", corrected, 0.1), "the same report with the next answer")
	})
})
