package placement_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lovagelift/lovagelift/internal/declaration"
	"github.com/lovagelift/lovagelift/internal/demand"
	"github.com/lovagelift/lovagelift/internal/placement"
	"github.com/lovagelift/lovagelift/internal/upstreamapi"
)

const (
	// frugal asks for one copy of each model.
	frugal = "reserve-percent = 0\nweight-of-moves = 1\ntolerate-engines = 0\ntolerate-failure-domains = 0"
	// tolerant asks for two, on two engines.
	tolerant = "reserve-percent = 0\nweight-of-moves = 1\ntolerate-engines = 1\ntolerate-failure-domains = 0"
)

// at is a load that differs with the time scale.
func at(model string, fast, middle, slow float64) demand.Estimate {
	return demand.Estimate{Target: demand.Target{Model: model}, Fast: fast, Middle: middle, Slow: slow}
}

var _ = Describe("a copy that makes room", func() {
	sizes := map[string]int{"a": 10, "b": 10, "c": 10}

	It("goes for a model that nobody can reach, and the load follows", func() {
		w := bench(small(frugal, sizes), of("e1", "d1", 10).holds("a", 10), of("e2", "d2", 10).holds("a", 10), of("e3", "d3", 10).holds("c", 10))
		Expect(w.planned()).To(ConsistOf("unload-model e1 a", "load-model e1 b waits for memory"))
		settle(w, 100)
		Expect(w.wrong).NotTo(HaveOccurred())
		Expect(w.missing()).To(BeZero())
	})

	// An unload of one copy was recorded, and its answer was lost: the copy may be
	// gone by now, or go at any time. If the other copy made room as well, callers
	// of the model would find none.
	It("stays while an open order may remove the other one", func() {
		w := bench(small(frugal, sizes), of("e1", "d1", 10).holds("a", 10), of("e2", "d2", 10).holds("a", 10), of("e3", "d3", 10).holds("b", 10))
		w.open("e1", unloadOf("a"), true)
		Expect(w.planned()).NotTo(ContainElement("unload-model e2 a"))
	})

	// The other copy's engine is changing its version. By the time this copy has
	// gone, that change may have failed half-way.
	It("stays while the other one changes its version", func() {
		w := bench(small(frugal, sizes), of("e1", "d1", 19).holds("a", 9), of("e2", "d2", 10).holds("a", 10), of("e3", "d3", 10).holds("b", 10))
		w.open("e1", upstreamapi.Order{
			Kind: upstreamapi.OrderChangeVersion, Model: "a", Version: "2", FromVersion: "1", Accelerators: []string{"a0"}, MemoryBytes: 10 * gib,
		}, false)
		Expect(w.planned()).NotTo(ContainElement("unload-model e2 a"))
	})

	// The other engine reports what cannot be. Whatever it says that it holds
	// proves nothing.
	It("stays if the other one's engine contradicts its ledger", func() {
		w := bench(small(frugal, sizes), of("e1", "d1", 11).holds("a", 10), of("e2", "d2", 10).holds("a", 10), of("e3", "d3", 10).holds("b", 10))
		w.contradict("e1")
		Expect(w.planned()).To(BeEmpty())
		Expect(w.plan.Unreachable).To(ConsistOf(demand.Target{Model: "c"}))
	})

	It("stays if an adapter stands beside no other", func() {
		set := withAdapters(small(frugal, sizes), "a", "x")
		w := bench(set, of("e1", "d1", 10).holds("a", 9), of("e2", "d2", 10).holds("a", 9, "x"), of("e3", "d3", 10).holds("b", 10))
		Expect(w.planned()).To(ConsistOf("unload-model e1 a", "load-model e1 c waits for memory"))
		w.engine("e1").alive = false
		Expect(w.planned()).To(BeEmpty())
	})

	It("is one of a model that nobody declares, before any other", func() {
		w := bench(small(frugal, sizes), of("e1", "d1", 10).holds("a", 10), of("e2", "d2", 10).holds("a", 10),
			of("e3", "d3", 10).holds("b", 10), of("e4", "d4", 10).holds("former", 10))
		Expect(w.planned()).To(ConsistOf("unload-model e4 former", "load-model e4 c waits for memory"))
	})

	It("does not go twice for one need: the plan waits for what is being unloaded", func() {
		w := bench(small(frugal, sizes), of("e1", "d1", 10).holds("a", 10), of("e2", "d2", 10).holds("a", 10),
			of("e3", "d3", 10).holds("b", 10), of("e4", "d4", 10).holds("b", 10))
		w.open("e1", unloadOf("a"), false)
		Expect(w.planned()).To(ConsistOf("load-model e1 c waits for memory"))
	})

	// The answer to the unload was lost and the engine ignores fencing numbers, so
	// nothing may ever prove that it is over.
	It("is another one if the answer to the first unload was lost", func() {
		w := bench(small(frugal, sizes), of("e1", "d1", 10).holds("a", 10), of("e2", "d2", 10).holds("a", 10),
			of("e3", "d3", 10).holds("b", 10), of("e4", "d4", 10).holds("b", 10))
		w.open("e1", unloadOf("a"), true)
		Expect(w.planned()).To(ConsistOf("unload-model e3 b", "load-model e3 c waits for memory"))
	})

	It("is none that the preset's losses need, for demand", func() {
		w := bench(small(tolerant, map[string]int{"a": 10}), of("e1", "d1", 10).holds("a", 10), of("e2", "d2", 10).holds("a", 10),
			of("e3", "d3", 2).holds("m", 2))
		w.in.Demand = []demand.Estimate{load("m", 100)}
		Expect(w.planned()).To(BeEmpty())
	})
})

var _ = Describe("the site of a copy", func() {
	It("is in another failure domain, although a nearer engine is emptier", func() {
		w := bench(small(tolerant, map[string]int{"a": 4, "b": 4}), of("e1", "d1", 20).holds("a", 4), of("e2", "d1", 20), of("e3", "d2", 20).holds("b", 4))
		w.in.Demand = []demand.Estimate{load("b", 10)}
		Expect(w.planned()).To(ContainElement("load-model e3 a"))
	})

	It("is in another failure domain although there are copies enough", func() {
		set := small("reserve-percent = 0\ntolerate-engines = 1\ntolerate-failure-domains = 1", map[string]int{"a": 4})
		w := bench(set, of("e1", "d1", 10).holds("a", 4), of("e2", "d1", 10).holds("a", 4), of("e3", "d2", 10))
		Expect(w.planned()).To(ContainElement("load-model e3 a"))
	})

	It("is the engine with the least load", func() {
		w := bench(small(tolerant, map[string]int{"a": 4, "b": 4, "c": 4}),
			of("e1", "d1", 8).holds("a", 4).holds("c", 4), of("e2", "d2", 11).holds("b", 4), of("e3", "d3", 20).holds("c", 4), of("e4", "d4", 8).holds("b", 4))
		w.in.Demand = []demand.Estimate{load("b", 16)}
		Expect(w.planned()).To(ContainElement("load-model e3 a"))
		Expect(w.plan.Moves[0].Alternatives).NotTo(BeEmpty())
	})

	It("keeps the memory of copies planned before it", func() {
		w := bench(small(frugal, map[string]int{"a": 6, "b": 6, "c": 6}), of("e1", "d1", 13), of("e2", "d2", 7))
		settle(w, 100)
		Expect(w.wrong).NotTo(HaveOccurred())
		Expect(w.missing()).To(BeZero())
	})
})

var _ = Describe("a need", func() {
	// A load was recorded and its answer was lost. Nobody knows whether it will
	// ever be there, and callers of the model wait for it.
	It("of a model that nobody can reach does not wait for a load whose answer was lost", func() {
		w := bench(small(frugal, map[string]int{"a": 10}), of("e1", "d1", 10), of("e2", "d2", 10))
		w.open("e1", loadOf("a", 10), true)
		Expect(w.planned()).To(ConsistOf("load-model e2 a"))
		Expect(w.plan.Unreachable).To(ConsistOf(demand.Target{Model: "a"}))
	})

	// An engine fails the load each time, because its copy of the weights is bad.
	// Asked again every second, it would keep the model out of reach for good.
	It("goes to another engine than the one that failed", func() {
		set := withAdapters(small(tolerant, map[string]int{"a": 10}), "a", "x")
		w := bench(set, of("e1", "d1", 20), of("e2", "d2", 11), of("e3", "d3", 11).holds("a", 10))
		w.in.Avoid = []placement.Avoided{{Engine: "e1", Model: "a"}, {Engine: "e3", Model: "a", Adapter: "x"}}
		Expect(w.planned()).To(ConsistOf("load-model e2 a"))
	})

	It("waits for a load that is under way", func() {
		w := bench(small(frugal, map[string]int{"a": 10}), of("e1", "d1", 10), of("e2", "d2", 10))
		w.open("e1", loadOf("a", 10), false)
		Expect(w.planned()).To(BeEmpty())
	})

	It("of losses leaves the reserve alone, and says so with the arithmetic", func() {
		set := small("reserve-percent = 50\ntolerate-engines = 1", map[string]int{"a": 8, "b": 8})
		w := bench(set, of("e1", "d1", 20).holds("a", 8), of("e2", "d2", 20).holds("b", 8))
		Expect(w.planned()).To(BeEmpty())
		Expect(w.plan.Problems).To(ContainElement(And(
			HaveField("Model", "a"), HaveField("Reason", placement.ReasonLosses),
			HaveField("Text", ContainSubstring("23.00GiB of it in reserve")))))
	})

	It("of the model with the fewest copies goes first", func() {
		set := small("reserve-percent = 0\ntolerate-engines = 2", map[string]int{"a": 4, "b": 6})
		w := bench(set, of("e1", "d1", 10).holds("a", 4).holds("b", 6), of("e2", "d2", 6).holds("b", 6), of("e3", "d3", 6))
		Expect(w.planned()).To(ConsistOf("load-model e3 a"))
	})

	It("of the most urgent service goes first", func() {
		w := bench(small(frugal, map[string]int{"a": 8, "b": 4}, "b"), of("e1", "d1", 20))
		w.in.WeightStore = placement.WeightStore{Concurrent: 1}
		Expect(w.planned()).To(Equal([]string{"load-model e1 b", "load-model e1 a waits for weight-store"}))
	})

	It("waits while as many loads are under way as the weight store allows", func() {
		w := bench(small(frugal, map[string]int{"a": 4, "b": 4}), of("e1", "d1", 10))
		w.open("e1", loadOf("a", 4), false)
		w.in.WeightStore = placement.WeightStore{Concurrent: 1}
		Expect(w.planned()).To(Equal([]string{"load-model e1 b waits for weight-store"}))
	})

	// An engine announces its stop. What it holds goes with it, and it receives no
	// new work from then on.
	It("arises from an engine that leaves", func() {
		w := bench(small(frugal, map[string]int{"a": 4}), of("e1", "d1", 10).holds("a", 4), of("e2", "d2", 10))
		w.observe()
		w.in.Engines[0] = w.in.Engines[0].WithStanding(placement.Leaving)
		w.plan = w.planner.Plan(w.now, w.in)
		Expect(texts(w.plan.Moves)).To(ConsistOf("load-model e2 a"))
	})

	It("of an adapter grows with its part of the demand", func() {
		set := withAdapters(small("reserve-percent = 0\ncopies = 3\ntolerate-engines = 0", map[string]int{"a": 4}), "a", "x", "y")
		w := bench(set, of("e1", "d1", 10).holds("a", 4, "x", "y"), of("e2", "d2", 10).holds("a", 4, "x", "y"),
			of("e3", "d3", 10).holds("a", 4), of("e4", "d4", 10).holds("a", 4))
		w.in.Demand = []demand.Estimate{{Target: demand.Target{Model: "a", Adapter: "x"}, Fast: 5, Middle: 5, Slow: 5}}
		Expect(w.planned()).To(ConsistOf("load-adapter e3 a/x", "load-adapter e4 a/x", Or(Equal("load-adapter e3 a/y"), Equal("load-adapter e4 a/y"))))
	})

	It("moves nothing before anything is declared", func() {
		w := newWorld(small(frugal, nil), of("e1", "d1", 10).holds("a", 4))
		w.in.Declarations, w.in.Preset = declaration.Set{}, declaration.Preset{}
		Expect(w.planned()).To(BeEmpty())
	})
})

var _ = Describe("the demand", func() {
	sizes := map[string]int{"a": 10, "b": 10}
	engines := func() []*engine {
		return []*engine{of("e1", "d1", 10).holds("a", 10), of("e2", "d2", 10).holds("a", 10), of("e3", "d3", 10).holds("b", 10)}
	}

	It("takes a copy that is not needed", func() {
		w := bench(small(frugal, sizes), engines()...)
		w.in.Demand = []demand.Estimate{load("a", 2), load("b", 24)}
		Expect(w.planned()).To(ConsistOf("unload-model e1 a", "load-model e1 b waits for memory"))
	})

	// The demand of a is low for some minutes in an hour that needs its copies. To
	// take one now would be to bring it back soon.
	It("leaves a copy that the half hour needs", func() {
		w := bench(small(frugal, sizes), engines()...)
		w.in.Demand = []demand.Estimate{at("a", 8, 8, 40), load("b", 24)}
		Expect(w.planned()).To(BeEmpty())
	})

	It("leaves a copy if moves weigh more than the gain", func() {
		w := bench(small(frugal, sizes), engines()...)
		w.in.Preset.WeightOfMoves = 1000
		w.in.Demand = []demand.Estimate{load("a", 2), load("b", 24)}
		Expect(w.planned()).To(BeEmpty())
	})

	// A burst lasts for ten seconds, less than a load. Where moves weigh something, it
	// must have lasted first; where they weigh nothing, it need not.
	DescribeTable("must have lasted the longer the more moves weigh", func(weight float64, seconds int) {
		w := bench(small(frugal, sizes), append(engines(), of("e4", "d4", 10))...)
		w.in.Preset.WeightOfMoves = weight
		w.steps(60)
		w.in.Demand = []demand.Estimate{load("b", 21)}
		w.steps(seconds)
		Expect(w.all).To(BeZero())
		w.step()
		Expect(w.all).To(Equal(1))
	},
		Entry("at 0", 0.0, 0),
		Entry("at 0.5", 0.5, 10),
		Entry("at 1", 1.0, 20),
		Entry("at 8", 8.0, 60))

	It("states gain, cost and weight of each move", func() {
		w := bench(small(frugal, sizes), append(engines(), of("e4", "d4", 10))...)
		w.in.Demand = []demand.Estimate{load("b", 24)}
		Expect(w.planned()).To(ConsistOf("load-model e4 b"))
		move := w.plan.Moves[0]
		// 24 requests at once, of which one engine of 16 slots meets the goals of
		// 12.8; for 600 s.
		Expect(move.Gain).To(BeNumerically("~", (24-12.8)*600, 1))
		Expect(move.Cost).To(BeNumerically("~", 30*16, 1))
		Expect(move.Weight).To(Equal(1.0))
		Expect(w.plan.Served).To(BeNumerically("~", 12.8, 0.01))
		Expect(w.plan.Offered).To(BeNumerically("~", 24, 0.01))
	})
})

var _ = Describe("the reserve", func() {
	It("is refilled from copies that nothing asks for, and from no others", func() {
		set := small("reserve-percent = 35\ntolerate-engines = 0\nweight-of-moves = 1", map[string]int{"a": 8, "b": 8})
		w := bench(set, of("e1", "d1", 10).holds("a", 8), of("e2", "d2", 10).holds("b", 8), of("e3", "d3", 10).holds("a", 8))
		Expect(w.planned()).To(ConsistOf("unload-model e1 a"))
		settle(w, 100)
		Expect(w.unloads).To(Equal(1))
		Expect(w.missing()).To(BeZero())
	})
})

var _ = Describe("Fits", func() {
	DescribeTable("finds no fault with the deployments of today", func(name string) {
		set, engines := example(name)
		w := newWorld(set, engines...)
		w.observe()
		for _, preset := range set.Presets() {
			list := w.planner.Fits(set, preset, w.in.Engines)
			Expect(list.All()).To(BeEmpty())
		}
	},
		Entry("Kingston", "kingston"),
		Entry("Lagos", "lagos"))

	// 24 GiB of models would fit into 30 GiB by the sum, and do not on engines of
	// 15 GiB each, whatever they hold now.
	It("refuses models that fit by the sum and on no engine, with the arithmetic", func() {
		set := small(frugal, map[string]int{"a": 8, "b": 8, "c": 8})
		w := bench(set, of("e1", "d1", 15).holds("a", 8), of("e2", "d2", 15))
		w.observe()
		list := w.planner.Fits(set, w.in.Preset, w.in.Engines)
		Expect(list.All()).To(ConsistOf(HaveField("Problem",
			`"c" has 0 copies in 0 failure domains, 1 in 1 are asked for, and no engine has room for another: 8.00GiB needed, 20.00GiB free in all, at most 7.00GiB on one accelerator`)))
	})

	It("refuses adapters that have no room beside any copy", func() {
		set := withAdapters(small(frugal, map[string]int{"a": 8}), "a", "x", "y")
		w := bench(set, of("e1", "d1", 9))
		w.observe()
		list := w.planner.Fits(set, w.in.Preset, w.in.Engines)
		Expect(list.All()).To(ConsistOf(HaveField("Problem",
			`the adapters of "a" take 2.00GiB beside a copy, and at most 1.00GiB are free there`)))
	})
})
