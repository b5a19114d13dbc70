package placement_test

import (
	"fmt"
	"math/rand/v2"
	"slices"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lovagelift/lovagelift/internal/declaration"
	"github.com/lovagelift/lovagelift/internal/demand"
	"github.com/lovagelift/lovagelift/internal/placement"
)

// runUntilIdle runs the cluster until it has made no moves for a minute, for n
// steps at most, and returns how many moves were made.
func runUntilIdle(c *cluster, n int) int {
	before, quiet := c.moves, 0
	for range n {
		moves := c.moves
		c.step()
		if quiet++; c.moves != moves {
			quiet = 0
		}
		if quiet == 60 {
			return c.moves - before
		}
	}
	Fail(fmt.Sprintf("still moving after %d steps: %v", n, c.plan.Moves))
	return 0
}

var _ = Describe("Planner", func() {
	DescribeTable("loads all models of a deployment and then makes no more moves", func(name string) {
		set, engines := exampleDeployment(name)
		c := newCluster(set, engines...)
		runUntilIdle(c, 200)
		Expect(c.violation).NotTo(HaveOccurred())
		Expect(c.unreachableCount()).To(BeZero())
		Expect(c.plan.Problems).To(BeEmpty())
		moves := c.moves
		c.steps(300)
		Expect(c.moves).To(Equal(moves))
	},
		Entry("Kingston", "kingston"),
		Entry("Lagos", "lagos"))

	// An engine is lost with everything it holds. Each of its models has
	// another copy, so callers notice nothing. After the repair, a second
	// engine is lost.
	DescribeTable("leaves every model reachable after the loss of any one engine, and of another once repaired", func(name string) {
		set, engines := exampleDeployment(name)
		for lost := range engines {
			_, fresh := exampleDeployment(name)
			c := newCluster(set, fresh...)
			runUntilIdle(c, 200)
			c.loseEngines(func(e *fakeEngine) bool { return e == fresh[lost] })
			Expect(c.unreachableCount()).To(BeZero(), "%s lost", fresh[lost].name)
			runUntilIdle(c, 200)
			second := (lost + 1) % len(fresh)
			c.loseEngines(func(e *fakeEngine) bool { return e == fresh[second] })
			Expect(c.unreachableCount()).To(BeZero(), "%s and then %s lost", fresh[lost].name, fresh[second].name)
			runUntilIdle(c, 200)
			Expect(c.violation).NotTo(HaveOccurred())
		}
	},
		Entry("Kingston", "kingston"),
		Entry("Lagos", "lagos"))

	// A failure domain is lost, a third of the engines at once. Copies are
	// spread over failure domains, so every model has one left.
	DescribeTable("leaves every model reachable after the loss of any failure domain", func(name string) {
		set, _ := exampleDeployment(name)
		for _, domain := range set.FailureDomains() {
			_, engines := exampleDeployment(name)
			c := newCluster(set, engines...)
			runUntilIdle(c, 200)
			c.loseEngines(func(e *fakeEngine) bool { return e.domain == domain.Name })
			Expect(c.unreachableCount()).To(BeZero(), "%s lost", domain.Name)
			runUntilIdle(c, 300)
			Expect(c.violation).NotTo(HaveOccurred())
			Expect(c.unreachableCount()).To(BeZero())
		}
	},
		Entry("Kingston", "kingston"),
		Entry("Lagos", "lagos"))

	// The network drops a few announcements of an engine. The engine still
	// holds its models, so loading them elsewhere would be useless.
	It("moves nothing for an engine that is lost for less than the stabilization window", func() {
		set, engines := exampleDeployment("kingston")
		c := newCluster(set, engines...)
		runUntilIdle(c, 200)
		moves := c.moves
		engines[3].alive = false
		c.steps(10)
		engines[3].alive = true
		c.steps(60)
		Expect(c.moves).To(Equal(moves))
	})

	It("adds copies for a demand that lasts, and rests while it stays", func() {
		set, engines := exampleDeployment("lagos")
		c := newCluster(set, engines...)
		runUntilIdle(c, 200)
		c.input.Demand = []demand.Estimate{steadyLoad("hotel-desk", 60)}
		before := c.copies("hotel-desk")
		runUntilIdle(c, 300)
		Expect(c.violation).NotTo(HaveOccurred())
		Expect(c.copies("hotel-desk")).To(BeNumerically(">", before))
		Expect(c.plan.Served).To(BeNumerically(">", 0.95*c.plan.Offered))
	})

	It("makes fewer moves for demand at a higher weight of moves", func() {
		moves := func(weight float64) int {
			set, engines := exampleDeployment("lagos")
			c := newCluster(set, engines...)
			runUntilIdle(c, 200)
			c.input.Preset.WeightOfMoves = weight
			c.input.Demand = []demand.Estimate{steadyLoad("hotel-desk", 28), steadyLoad("intent", 27)}
			return runUntilIdle(c, 300)
		}
		Expect(moves(0.1)).To(BeNumerically(">", 0))
		Expect(moves(1000)).To(BeZero())
	})

	It("changes a preset with few moves, and back with none", func() {
		set, engines := exampleDeployment("kingston")
		c := newCluster(set, engines...)
		runUntilIdle(c, 200)
		peak, _ := set.Preset("peak")
		c.input.Preset = peak
		runUntilIdle(c, 300)
		// The peak preset requires 3+3+3+4+2 copies of five models, of which 2
		// each are present.
		Expect(c.loads).To(Equal(30 + 5))
		Expect(c.unloads).To(BeZero())
		moves := c.moves
		c.input.Preset = set.InitialPreset()
		runUntilIdle(c, 300)
		Expect(c.moves).To(Equal(moves))
		Expect(c.violation).NotTo(HaveOccurred())
	})

	It("changes all copies to a new version without an interruption", func() {
		set, engines := exampleDeployment("kingston")
		c := newCluster(set, engines...)
		runUntilIdle(c, 200)
		c.input.Declarations = withNewVersion(set, "excusal-medium")
		runUntilIdle(c, 600)
		Expect(c.violation).NotTo(HaveOccurred())
		Expect(c.unreachableCount()).To(BeZero())
		for _, e := range engines {
			Expect(e.models).NotTo(HaveKey("excusal-medium@2026-10"))
		}
		Expect(c.copies("excusal-medium")).To(BeNumerically(">=", 2))
	})

	It("starts no more loads than the weight store allows, those nobody can reach first", func() {
		set, engines := exampleDeployment("kingston")
		c := newCluster(set, engines...)
		c.input.WeightStore = placement.WeightStore{LoadsPerSecond: 1.6, MaxConcurrentLoads: 9}
		seconds, loads := 0.0, 0.0
		for range 200 {
			c.step()
			seconds++
			urgent := slices.ContainsFunc(c.plan.Deferred, func(m placement.Move) bool {
				return m.Reason == placement.ReasonUnreachable && m.WaitsFor == placement.WaitWeightStore
			})
			for _, m := range c.plan.Moves {
				loads++
				if urgent {
					Expect(m.Reason).To(Equal(placement.ReasonUnreachable))
				}
			}
			Expect(loads).To(BeNumerically("<=", 1.6*seconds+2.6))
		}
		Expect(c.unreachableCount()).To(BeZero())
	})

	// Engines and whole failure domains are lost at any time, orders and
	// answers get lost, and leaders and presets change in between. Only faults
	// may make models unreachable, never moves, and every model must become
	// reachable again once there are engines to hold it. With nine engines,
	// memory is so short that most new copies need an eviction.
	DescribeTable("keeps its invariants under random faults", func(seed uint64, count int) {
		set, engines := exampleDeployment([]string{"kingston", "lagos"}[seed%2])
		engines = engines[:count]
		c := newCluster(set, engines...)
		c.random = rand.New(rand.NewPCG(seed, 1))
		c.input.WeightStore = placement.WeightStore{LoadsPerSecond: 1.6, MaxConcurrentLoads: 9}
		for range 300 {
			injectRandomFault(c, set)
			c.step()
			Expect(c.violation).NotTo(HaveOccurred())
		}
		c.orderLossRate, c.answerLossRate = 0, 0
		for _, e := range engines {
			if !e.alive {
				e.restart()
			}
		}
		runUntilIdle(c, 900)
		GinkgoWriter.Println("moves", c.moves, "loads", c.loads, "unloads", c.unloads)
		Expect(c.violation).NotTo(HaveOccurred())
		Expect(c.unreachableCount()).To(BeZero())
	},
		Entry(nil, uint64(1), 15), Entry(nil, uint64(2), 15), Entry(nil, uint64(3), 15), Entry(nil, uint64(4), 15),
		Entry(nil, uint64(5), 9), Entry(nil, uint64(6), 9), Entry(nil, uint64(7), 9), Entry(nil, uint64(8), 9),
		Entry(nil, uint64(9), 6), Entry(nil, uint64(10), 6), Entry(nil, uint64(11), 6), Entry(nil, uint64(12), 6))
})

// injectRandomFault injects a random fault or change of the input, or nothing
// in most steps.
func injectRandomFault(c *cluster, set declaration.Set) {
	e := c.engines[c.random.IntN(len(c.engines))]
	switch c.random.IntN(120) {
	case 0:
		c.loseEngines(func(other *fakeEngine) bool { return other == e })
	case 1, 2, 3:
		if !e.alive {
			e.restart()
		}
	case 4:
		c.engineLost = true
		e.restart()
	case 5:
		c.loseEngines(func(other *fakeEngine) bool { return other.domain == e.domain })
	case 6, 7:
		c.orderLossRate, c.answerLossRate = 0.3*c.random.Float64(), 0.5*c.random.Float64()
	case 8, 9:
		names := set.PresetNames()
		c.input.Preset, _ = set.Preset(names[c.random.IntN(len(names))])
	case 10, 11, 12:
		models := set.Models()
		c.input.Demand = []demand.Estimate{steadyLoad(models[c.random.IntN(len(models))].Name, 100*c.random.Float64())}
	case 13:
		// A new leader starts without a State, and the answers to the orders of
		// its predecessor never arrive.
		c.fencing++
		c.input.Previous = placement.State{}
		for name, l := range c.ledgers {
			c.ledgers[name] = l.WithLeader(c.fencing)
		}
	default:
	}
}
