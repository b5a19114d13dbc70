package counter_test

import (
	"math"
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lovagelift/lovagelift/internal/counter"
	"github.com/lovagelift/lovagelift/internal/courier"
)

var _ = Describe("The load of an engine", func() {
	// Six instances send to one engine, whose requests take about a second. Reports are
	// half a second old: counted with all that was sent since, an engine that is three
	// quarters full looks full, and callers are refused beside free places.
	It("is known to an instance that hears of the others' requests", func() {
		const instances, perSecond = 6, 12.0
		fleet := counter.NewUpstreamPool("here", lease)
		fleet.Apply(start, engineOf("e", "here", start, "m"))
		random := rand.New(rand.NewPCG(3, 3))
		open := make([]int, instances)
		ends := map[time.Time]int{}
		off, looks := 0.0, 0
		now := start
		for range 20_000 {
			now = now.Add(time.Millisecond)
			if sender, ended := ends[now]; ended {
				open[sender]--
				if sender == 0 {
					fleet.Release("e")
				}
			}
			if random.Float64() < perSecond/1000 {
				sender := random.IntN(instances)
				open[sender]++
				if sender == 0 {
					_, missing := fleet.Send(now, "pool", "m", "", 10)
					Expect(missing).To(BeEmpty())
				} else {
					fleet.PeerActive(now, "e", open[sender], sender)
				}
				end := now.Add(time.Duration(700+random.IntN(1200)) * time.Millisecond)
				for _, taken := ends[end]; taken; _, taken = ends[end] {
					end = end.Add(time.Millisecond)
				}
				ends[end] = sender
			}
			total := 0
			for _, count := range open {
				total += count
			}
			if now.Sub(start) > 3*time.Second {
				off += math.Abs(fleet.Load(now, "e") - float64(total))
				looks++
			}
		}
		Expect(off/float64(looks)).To(BeNumerically("<", 2.5), "requests, of about 16")
	})

	// An order to an engine got no answer, and what was told of the engine was as old as can
	// be told. Its load was no number from then on: nothing found it full, and nothing that
	// starved was sent there.
	It("stays a number whatever age a report is told to have", func() {
		fleet := counter.NewUpstreamPool("here", lease)
		fleet.Apply(start, engineOf("e", "here", start, "m"))
		fleet.PeerActive(start, "e", 4, 1)
		for _, age := range []time.Duration{math.MaxInt64, math.MinInt64, 0} {
			fleet.ApplyHoldings(start, courier.Holdings{Engines: []courier.Holding{{
				Name: "e", Age: age, Running: 20, Models: []courier.HeldModel{{Name: "m"}},
			}}})
			Expect(fleet.Load(start, "e")).To(And(BeNumerically(">=", 4), BeNumerically("<=", 4+20)), age.String())
		}
		fleet.PeerActive(start.Add(time.Second), "e", 64, 1)
		_, missing := fleet.Send(start.Add(time.Second), "pool", "m", "", 10)
		Expect(missing).To(Equal("room"))
	})

	It("is that of the newest report for an instance that has heard nothing yet", func() {
		fleet := counter.NewUpstreamPool("here", lease)
		fleet.Apply(start, engineOf("e", "here", start, "m"))
		fleet.ApplyHoldings(start, courier.Holdings{Engines: []courier.Holding{{
			Name: "e", Running: 64, Queued: 6, Models: []courier.HeldModel{{Name: "m"}},
		}}})
		_, missing := fleet.Send(start, "pool", "m", "", 10)
		Expect(missing).To(Equal("room"))
		name, _ := fleet.Send(start.Add(time.Second), "pool", "m", "", 10)
		Expect(name).To(Equal("e"))
	})
})

// A caller asks why its request was refused. Who reads the log must see which limit the
// engines that hold the model had reached: places, prompts to read, or failures.
var _ = Describe("The survey of a refusal", func() {
	It("tells which limit each engine has reached", func() {
		fleet := counter.NewUpstreamPool("here", lease)
		for _, name := range []string{"full", "reading", "failed", "other"} {
			model := "m"
			if name == "other" {
				model = "n"
			}
			fleet.Apply(start, engineOf(name, "here", start, model))
		}
		fleet.PeerActive(start, "full", 64, 1)
		fleet.PeerSent(start, "reading", 50_000, 1)
		fleet.Fail(start, "failed")
		holders, slots, pace, avoided := fleet.Survey(start, "pool", "m", "failed")
		Expect([]int{holders, slots, pace, avoided}).To(Equal([]int{3, 1, 1, 1}))
	})
})
