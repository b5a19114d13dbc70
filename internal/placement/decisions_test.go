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
	// noRedundancy requires one copy of each model.
	noRedundancy = "reserve-percent = 0\nweight-of-moves = 1\ntolerate-engines = 0\ntolerate-failure-domains = 0"
	// tolerateOneEngine requires two copies of each model, on two engines.
	tolerateOneEngine = "reserve-percent = 0\nweight-of-moves = 1\ntolerate-engines = 1\ntolerate-failure-domains = 0"
)

// loadAtScales returns an estimate with a different load at each time scale.
func loadAtScales(model string, fast, middle, slow float64) demand.Estimate {
	return demand.Estimate{Target: demand.Target{Model: model}, Fast: fast, Middle: middle, Slow: slow}
}

var _ = Describe("a copy that makes room", func() {
	sizes := map[string]int{"a": 10, "b": 10, "c": 10}

	It("is unloaded for a model that nobody can reach, and the load follows", func() {
		c := newTestCluster(smallDeclarations(noRedundancy, sizes), smallEngine("e1", "d1", 10).withModel("a", 10), smallEngine("e2", "d2", 10).withModel("a", 10), smallEngine("e3", "d3", 10).withModel("c", 10))
		Expect(c.plannedMoves()).To(ConsistOf("unload-model e1 a", "load-model e1 b waits for memory"))
		runUntilIdle(c, 100)
		Expect(c.violation).NotTo(HaveOccurred())
		Expect(c.unreachableCount()).To(BeZero())
	})

	// The answer to an unload of one copy was lost, so that copy may be
	// unloaded at any time. If the other copy were evicted too, the model could
	// become unreachable.
	It("stays while an open order may remove the other one", func() {
		c := newTestCluster(smallDeclarations(noRedundancy, sizes), smallEngine("e1", "d1", 10).withModel("a", 10), smallEngine("e2", "d2", 10).withModel("a", 10), smallEngine("e3", "d3", 10).withModel("b", 10))
		c.recordOpenOrder("e1", unloadOrder("a"), true)
		Expect(c.plannedMoves()).NotTo(ContainElement("unload-model e2 a"))
	})

	// The engine of the other copy is changing the version, which may fail
	// halfway.
	It("stays while the other one changes its version", func() {
		c := newTestCluster(smallDeclarations(noRedundancy, sizes), smallEngine("e1", "d1", 19).withModel("a", 9), smallEngine("e2", "d2", 10).withModel("a", 10), smallEngine("e3", "d3", 10).withModel("b", 10))
		c.recordOpenOrder("e1", upstreamapi.Order{
			Kind: upstreamapi.OrderChangeVersion, Model: "a", Version: "2", FromVersion: "1", Accelerators: []string{"a0"}, MemoryBytes: 10 * gib,
		}, false)
		Expect(c.plannedMoves()).NotTo(ContainElement("unload-model e2 a"))
	})

	// The reports of the other engine contradict its ledger, so it cannot be
	// relied on to hold its copy.
	It("stays if the other one's engine contradicts its ledger", func() {
		c := newTestCluster(smallDeclarations(noRedundancy, sizes), smallEngine("e1", "d1", 11).withModel("a", 10), smallEngine("e2", "d2", 10).withModel("a", 10), smallEngine("e3", "d3", 10).withModel("b", 10))
		c.makeContradictory("e1")
		Expect(c.plannedMoves()).To(BeEmpty())
		Expect(c.plan.Unreachable).To(ConsistOf(demand.Target{Model: "c"}))
	})

	It("stays if no other copy has its adapter", func() {
		set := withAdapters(smallDeclarations(noRedundancy, sizes), "a", "x")
		c := newTestCluster(set, smallEngine("e1", "d1", 10).withModel("a", 9), smallEngine("e2", "d2", 10).withModel("a", 9, "x"), smallEngine("e3", "d3", 10).withModel("b", 10))
		Expect(c.plannedMoves()).To(ConsistOf("unload-model e1 a", "load-model e1 c waits for memory"))
		c.engine("e1").alive = false
		Expect(c.plannedMoves()).To(BeEmpty())
	})

	It("is preferably one of an undeclared model", func() {
		c := newTestCluster(smallDeclarations(noRedundancy, sizes), smallEngine("e1", "d1", 10).withModel("a", 10), smallEngine("e2", "d2", 10).withModel("a", 10),
			smallEngine("e3", "d3", 10).withModel("b", 10), smallEngine("e4", "d4", 10).withModel("former", 10))
		Expect(c.plannedMoves()).To(ConsistOf("unload-model e4 former", "load-model e4 c waits for memory"))
	})

	It("is not unloaded while an open unload already makes room", func() {
		c := newTestCluster(smallDeclarations(noRedundancy, sizes), smallEngine("e1", "d1", 10).withModel("a", 10), smallEngine("e2", "d2", 10).withModel("a", 10),
			smallEngine("e3", "d3", 10).withModel("b", 10), smallEngine("e4", "d4", 10).withModel("b", 10))
		c.recordOpenOrder("e1", unloadOrder("a"), false)
		Expect(c.plannedMoves()).To(ConsistOf("load-model e1 c waits for memory"))
	})

	// The answer to the unload was lost, and an engine that ignores fencing
	// numbers may never prove that the order is over.
	It("is another one if the answer to the first unload was lost", func() {
		c := newTestCluster(smallDeclarations(noRedundancy, sizes), smallEngine("e1", "d1", 10).withModel("a", 10), smallEngine("e2", "d2", 10).withModel("a", 10),
			smallEngine("e3", "d3", 10).withModel("b", 10), smallEngine("e4", "d4", 10).withModel("b", 10))
		c.recordOpenOrder("e1", unloadOrder("a"), true)
		Expect(c.plannedMoves()).To(ConsistOf("unload-model e3 b", "load-model e3 c waits for memory"))
	})

	It("is not one that redundancy requires, if the need is demand", func() {
		c := newTestCluster(smallDeclarations(tolerateOneEngine, map[string]int{"a": 10}), smallEngine("e1", "d1", 10).withModel("a", 10), smallEngine("e2", "d2", 10).withModel("a", 10),
			smallEngine("e3", "d3", 2).withModel("m", 2))
		c.input.Demand = []demand.Estimate{steadyLoad("m", 100)}
		Expect(c.plannedMoves()).To(BeEmpty())
	})
})

var _ = Describe("the engine of a new copy", func() {
	It("is in another failure domain, even if an engine in the same one has less load", func() {
		c := newTestCluster(smallDeclarations(tolerateOneEngine, map[string]int{"a": 4, "b": 4}), smallEngine("e1", "d1", 20).withModel("a", 4), smallEngine("e2", "d1", 20), smallEngine("e3", "d2", 20).withModel("b", 4))
		c.input.Demand = []demand.Estimate{steadyLoad("b", 10)}
		Expect(c.plannedMoves()).To(ContainElement("load-model e3 a"))
	})

	It("is in another failure domain, even if there are enough copies", func() {
		set := smallDeclarations("reserve-percent = 0\ntolerate-engines = 1\ntolerate-failure-domains = 1", map[string]int{"a": 4})
		c := newTestCluster(set, smallEngine("e1", "d1", 10).withModel("a", 4), smallEngine("e2", "d1", 10).withModel("a", 4), smallEngine("e3", "d2", 10))
		Expect(c.plannedMoves()).To(ContainElement("load-model e3 a"))
	})

	It("is the one with the least load", func() {
		c := newTestCluster(smallDeclarations(tolerateOneEngine, map[string]int{"a": 4, "b": 4, "c": 4}),
			smallEngine("e1", "d1", 8).withModel("a", 4).withModel("c", 4), smallEngine("e2", "d2", 11).withModel("b", 4), smallEngine("e3", "d3", 20).withModel("c", 4), smallEngine("e4", "d4", 8).withModel("b", 4))
		c.input.Demand = []demand.Estimate{steadyLoad("b", 16)}
		Expect(c.plannedMoves()).To(ContainElement("load-model e3 a"))
		Expect(c.plan.Moves[0].Alternatives).NotTo(BeEmpty())
	})

	It("does not use the memory of copies planned before", func() {
		c := newTestCluster(smallDeclarations(noRedundancy, map[string]int{"a": 6, "b": 6, "c": 6}), smallEngine("e1", "d1", 13), smallEngine("e2", "d2", 7))
		runUntilIdle(c, 100)
		Expect(c.violation).NotTo(HaveOccurred())
		Expect(c.unreachableCount()).To(BeZero())
	})
})

var _ = Describe("a need", func() {
	// The answer to a load was lost. Nobody knows whether the copy will be
	// loaded, and callers of the model wait for it.
	It("of a model that nobody can reach does not wait for a load whose answer was lost", func() {
		c := newTestCluster(smallDeclarations(noRedundancy, map[string]int{"a": 10}), smallEngine("e1", "d1", 10), smallEngine("e2", "d2", 10))
		c.recordOpenOrder("e1", loadOrder("a", 10), true)
		Expect(c.plannedMoves()).To(ConsistOf("load-model e2 a"))
		Expect(c.plan.Unreachable).To(ConsistOf(demand.Target{Model: "a"}))
	})

	// An engine fails every load of the model because its copy of the weights
	// is damaged. If the load were ordered there again every second, the model
	// would stay unreachable.
	It("is met by another engine than the one that failed", func() {
		set := withAdapters(smallDeclarations(tolerateOneEngine, map[string]int{"a": 10}), "a", "x")
		c := newTestCluster(set, smallEngine("e1", "d1", 20), smallEngine("e2", "d2", 11), smallEngine("e3", "d3", 11).withModel("a", 10))
		c.input.AvoidedLoads = []placement.AvoidedLoad{{Engine: "e1", Model: "a"}, {Engine: "e3", Model: "a", Adapter: "x"}}
		Expect(c.plannedMoves()).To(ConsistOf("load-model e2 a"))
	})

	It("waits for a load in progress", func() {
		c := newTestCluster(smallDeclarations(noRedundancy, map[string]int{"a": 10}), smallEngine("e1", "d1", 10), smallEngine("e2", "d2", 10))
		c.recordOpenOrder("e1", loadOrder("a", 10), false)
		Expect(c.plannedMoves()).To(BeEmpty())
	})

	It("of redundancy does not use the reserve, and its problem states the memory figures", func() {
		set := smallDeclarations("reserve-percent = 50\ntolerate-engines = 1", map[string]int{"a": 8, "b": 8})
		c := newTestCluster(set, smallEngine("e1", "d1", 20).withModel("a", 8), smallEngine("e2", "d2", 20).withModel("b", 8))
		Expect(c.plannedMoves()).To(BeEmpty())
		Expect(c.plan.Problems).To(ContainElement(And(
			HaveField("Model", "a"), HaveField("Reason", placement.ReasonRedundancy),
			HaveField("Description", ContainSubstring("23.00GiB of it in reserve")))))
	})

	It("of the model with the fewest copies is met first", func() {
		set := smallDeclarations("reserve-percent = 0\ntolerate-engines = 2", map[string]int{"a": 4, "b": 6})
		c := newTestCluster(set, smallEngine("e1", "d1", 10).withModel("a", 4).withModel("b", 6), smallEngine("e2", "d2", 6).withModel("b", 6), smallEngine("e3", "d3", 6))
		Expect(c.plannedMoves()).To(ConsistOf("load-model e3 a"))
	})

	It("of the most urgent service is met first", func() {
		c := newTestCluster(smallDeclarations(noRedundancy, map[string]int{"a": 8, "b": 4}, "b"), smallEngine("e1", "d1", 20))
		c.input.WeightStore = placement.WeightStore{MaxConcurrentLoads: 1}
		Expect(c.plannedMoves()).To(Equal([]string{"load-model e1 b", "load-model e1 a waits for weight-store"}))
	})

	It("waits while the weight store allows no more concurrent loads", func() {
		c := newTestCluster(smallDeclarations(noRedundancy, map[string]int{"a": 4, "b": 4}), smallEngine("e1", "d1", 10))
		c.recordOpenOrder("e1", loadOrder("a", 4), false)
		c.input.WeightStore = placement.WeightStore{MaxConcurrentLoads: 1}
		Expect(c.plannedMoves()).To(Equal([]string{"load-model e1 b waits for weight-store"}))
	})

	// An engine announces its shutdown. Its copies will be gone, and it
	// receives no new work.
	It("arises from an engine that is stopping", func() {
		c := newTestCluster(smallDeclarations(noRedundancy, map[string]int{"a": 4}), smallEngine("e1", "d1", 10).withModel("a", 4), smallEngine("e2", "d2", 10))
		c.observe()
		c.input.Engines[0] = c.input.Engines[0].WithStatus(placement.Stopping)
		c.plan = c.planner.Plan(c.now, c.input)
		Expect(moveTexts(c.plan.Moves)).To(ConsistOf("load-model e2 a"))
	})

	It("of an adapter grows with its share of the demand", func() {
		set := withAdapters(smallDeclarations("reserve-percent = 0\ncopies = 3\ntolerate-engines = 0", map[string]int{"a": 4}), "a", "x", "y")
		c := newTestCluster(set, smallEngine("e1", "d1", 10).withModel("a", 4, "x", "y"), smallEngine("e2", "d2", 10).withModel("a", 4, "x", "y"),
			smallEngine("e3", "d3", 10).withModel("a", 4), smallEngine("e4", "d4", 10).withModel("a", 4))
		c.input.Demand = []demand.Estimate{{Target: demand.Target{Model: "a", Adapter: "x"}, Fast: 5, Middle: 5, Slow: 5}}
		Expect(c.plannedMoves()).To(ConsistOf("load-adapter e3 a/x", "load-adapter e4 a/x", Or(Equal("load-adapter e3 a/y"), Equal("load-adapter e4 a/y"))))
	})

	It("causes no moves before anything is declared", func() {
		c := newCluster(smallDeclarations(noRedundancy, nil), smallEngine("e1", "d1", 10).withModel("a", 4))
		c.input.Declarations, c.input.Preset = declaration.Set{}, declaration.Preset{}
		Expect(c.plannedMoves()).To(BeEmpty())
	})
})

var _ = Describe("demand", func() {
	sizes := map[string]int{"a": 10, "b": 10}
	engines := func() []*fakeEngine {
		return []*fakeEngine{smallEngine("e1", "d1", 10).withModel("a", 10), smallEngine("e2", "d2", 10).withModel("a", 10), smallEngine("e3", "d3", 10).withModel("b", 10)}
	}

	It("evicts a copy that is not needed", func() {
		c := newTestCluster(smallDeclarations(noRedundancy, sizes), engines()...)
		c.input.Demand = []demand.Estimate{steadyLoad("a", 2), steadyLoad("b", 24)}
		Expect(c.plannedMoves()).To(ConsistOf("unload-model e1 a", "load-model e1 b waits for memory"))
	})

	// The demand of a is low for some minutes, but the average over half an
	// hour needs its copies. A copy evicted now would soon have to be loaded
	// again.
	It("keeps a copy that the load of the last half hour needs", func() {
		c := newTestCluster(smallDeclarations(noRedundancy, sizes), engines()...)
		c.input.Demand = []demand.Estimate{loadAtScales("a", 8, 8, 40), steadyLoad("b", 24)}
		Expect(c.plannedMoves()).To(BeEmpty())
	})

	It("keeps a copy if the weighted cost exceeds the gain", func() {
		c := newTestCluster(smallDeclarations(noRedundancy, sizes), engines()...)
		c.input.Preset.WeightOfMoves = 1000
		c.input.Demand = []demand.Estimate{steadyLoad("a", 2), steadyLoad("b", 24)}
		Expect(c.plannedMoves()).To(BeEmpty())
	})

	// A burst lasts about ten seconds, less than a load. Where moves have a
	// weight, demand must persist before it causes a move.
	DescribeTable("must persist longer at a higher weight of moves", func(weight float64, seconds int) {
		c := newTestCluster(smallDeclarations(noRedundancy, sizes), append(engines(), smallEngine("e4", "d4", 10))...)
		c.input.Preset.WeightOfMoves = weight
		c.steps(60)
		c.input.Demand = []demand.Estimate{steadyLoad("b", 21)}
		c.steps(seconds)
		Expect(c.moves).To(BeZero())
		c.step()
		Expect(c.moves).To(Equal(1))
	},
		Entry("at 0", 0.0, 0),
		Entry("at 0.5", 0.5, 10),
		Entry("at 1", 1.0, 20),
		Entry("at 8", 8.0, 60))

	It("states gain, cost and weight of each move", func() {
		c := newTestCluster(smallDeclarations(noRedundancy, sizes), append(engines(), smallEngine("e4", "d4", 10))...)
		c.input.Demand = []demand.Estimate{steadyLoad("b", 24)}
		Expect(c.plannedMoves()).To(ConsistOf("load-model e4 b"))
		move := c.plan.Moves[0]
		// Of 24 concurrent requests, one engine of 16 slots serves 12.8 within
		// the goals. The gain is the rest for 600 s.
		Expect(move.Gain).To(BeNumerically("~", (24-12.8)*600, 1))
		Expect(move.Cost).To(BeNumerically("~", 30*16, 1))
		Expect(move.Weight).To(Equal(1.0))
		Expect(c.plan.Served).To(BeNumerically("~", 12.8, 0.01))
		Expect(c.plan.Offered).To(BeNumerically("~", 24, 0.01))
	})
})

var _ = Describe("the reserve", func() {
	It("is refilled only from copies that no tier requires", func() {
		set := smallDeclarations("reserve-percent = 35\ntolerate-engines = 0\nweight-of-moves = 1", map[string]int{"a": 8, "b": 8})
		c := newTestCluster(set, smallEngine("e1", "d1", 10).withModel("a", 8), smallEngine("e2", "d2", 10).withModel("b", 8), smallEngine("e3", "d3", 10).withModel("a", 8))
		Expect(c.plannedMoves()).To(ConsistOf("unload-model e1 a"))
		runUntilIdle(c, 100)
		Expect(c.unloads).To(Equal(1))
		Expect(c.unreachableCount()).To(BeZero())
	})
})

var _ = Describe("Fits", func() {
	DescribeTable("finds no problems in the example deployments", func(name string) {
		set, engines := exampleDeployment(name)
		c := newCluster(set, engines...)
		c.observe()
		for _, preset := range set.Presets() {
			list := c.planner.Fits(set, preset, c.input.Engines)
			Expect(list.All()).To(BeEmpty())
		}
	},
		Entry("Kingston", "kingston"),
		Entry("Lagos", "lagos"))

	// 24 GiB of models fit into a total of 30 GiB, but not on engines of 15 GiB
	// each, whatever these hold now.
	It("refuses models that fit in total but not on the engines, with the memory figures", func() {
		set := smallDeclarations(noRedundancy, map[string]int{"a": 8, "b": 8, "c": 8})
		c := newTestCluster(set, smallEngine("e1", "d1", 15).withModel("a", 8), smallEngine("e2", "d2", 15))
		c.observe()
		list := c.planner.Fits(set, c.input.Preset, c.input.Engines)
		Expect(list.All()).To(ConsistOf(HaveField("Problem",
			`"c" has 0 copies in 0 failure domains, 1 in 1 are asked for, and no engine has room for another: 8.00GiB needed, 20.00GiB free in all, at most 7.00GiB on one accelerator`)))
	})

	It("refuses adapters without enough memory beside any copy", func() {
		set := withAdapters(smallDeclarations(noRedundancy, map[string]int{"a": 8}), "a", "x", "y")
		c := newTestCluster(set, smallEngine("e1", "d1", 9))
		c.observe()
		list := c.planner.Fits(set, c.input.Preset, c.input.Engines)
		Expect(list.All()).To(ConsistOf(HaveField("Problem",
			`the adapters of "a" take 2.00GiB beside a copy, and at most 1.00GiB are free there`)))
	})
})
