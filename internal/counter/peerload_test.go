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
	// Six instances send requests of about one second to one engine, whose reports are half a
	// second old. An estimate from the latest report plus all requests sent since shows an engine
	// as full when it is three quarters full, and callers are refused although slots are free.
	It("is known to an instance that hears of the others' requests", func() {
		const instances, perSecond = 6, 12.0
		pool := counter.NewUpstreamPool("here", lease)
		pool.Apply(start, engineRecord("e", "here", start, "m"))
		random := rand.New(rand.NewPCG(3, 3))
		active := make([]int, instances)
		ends := map[time.Time]int{}
		totalError, samples := 0.0, 0
		now := start
		for range 20_000 {
			now = now.Add(time.Millisecond)
			if sender, ended := ends[now]; ended {
				active[sender]--
				if sender == 0 {
					pool.Release("e")
				}
			}
			if random.Float64() < perSecond/1000 {
				sender := random.IntN(instances)
				active[sender]++
				if sender == 0 {
					_, missing := pool.Send(now, "pool", "m", "", 10)
					Expect(missing).To(BeEmpty())
				} else {
					pool.PeerActive(now, "e", active[sender], sender)
				}
				end := now.Add(time.Duration(700+random.IntN(1200)) * time.Millisecond)
				for _, taken := ends[end]; taken; _, taken = ends[end] {
					end = end.Add(time.Millisecond)
				}
				ends[end] = sender
			}
			total := 0
			for _, count := range active {
				total += count
			}
			if now.Sub(start) > 3*time.Second {
				totalError += math.Abs(pool.Load(now, "e") - float64(total))
				samples++
			}
		}
		Expect(totalError/float64(samples)).To(BeNumerically("<", 2.5), "requests, of about 16")
	})

	// An order to an engine gets no answer, and the age of its state is reported as the maximum
	// duration. If the load estimate became NaN, the engine would never appear full, and no boosted
	// request would be sent to it.
	It("stays a number whatever age a report is told to have", func() {
		pool := counter.NewUpstreamPool("here", lease)
		pool.Apply(start, engineRecord("e", "here", start, "m"))
		pool.PeerActive(start, "e", 4, 1)
		for _, age := range []time.Duration{math.MaxInt64, math.MinInt64, 0} {
			pool.ApplyEngineStates(start, courier.EngineStates{Engines: []courier.EngineState{{
				Name: "e", Age: age, Running: 20, Models: []courier.LoadedModel{{Name: "m"}},
			}}})
			Expect(pool.Load(start, "e")).To(And(BeNumerically(">=", 4), BeNumerically("<=", 4+20)), age.String())
		}
		pool.PeerActive(start.Add(time.Second), "e", 64, 1)
		_, missing := pool.Send(start.Add(time.Second), "pool", "m", "", 10)
		Expect(missing).To(Equal("room"))
	})

	It("is that of the latest report at an instance without messages from peers", func() {
		pool := counter.NewUpstreamPool("here", lease)
		pool.Apply(start, engineRecord("e", "here", start, "m"))
		pool.ApplyEngineStates(start, courier.EngineStates{Engines: []courier.EngineState{{
			Name: "e", Running: 64, Queued: 6, Models: []courier.LoadedModel{{Name: "m"}},
		}}})
		_, missing := pool.Send(start, "pool", "m", "", 10)
		Expect(missing).To(Equal("room"))
		name, _ := pool.Send(start.Add(time.Second), "pool", "m", "", 10)
		Expect(name).To(Equal("e"))
	})
})

// The log of a refusal must show which limit the engines with the model had reached: slots, prompt
// backlog or failures.
var _ = Describe("The survey of a refusal", func() {
	It("counts the engines by the limit they have reached", func() {
		pool := counter.NewUpstreamPool("here", lease)
		for _, name := range []string{"full", "backlogged", "failed", "other"} {
			model := "m"
			if name == "other" {
				model = "n"
			}
			pool.Apply(start, engineRecord(name, "here", start, model))
		}
		pool.PeerActive(start, "full", 64, 1)
		pool.PeerSent(start, "backlogged", 50_000, 1)
		pool.Fail(start, "failed")
		holders, full, paced, avoided := pool.Survey(start, "pool", "m", "failed")
		Expect([]int{holders, full, paced, avoided}).To(Equal([]int{3, 1, 1, 1}))
	})
})
