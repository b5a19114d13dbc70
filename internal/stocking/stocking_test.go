package stocking_test

import (
	"fmt"
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lovagelift/lovagelift/internal/stocking"
)

var options = stocking.Options{MaxLoad: 0.45, MinGain: 0.3, MaxMoves: 4, MaxFetches: 2}

// model returns a model of 70 GB. An engine has 200 GB, so it can hold two.
func model(name string, demand float64) stocking.Model {
	return stocking.Model{
		Name: name, Megabytes: 70_000, Demand: demand, Idle: demand == 0,
		LoadTime: 6 * time.Second, MemoryLoadTime: 600 * time.Millisecond, DiskLoadTime: time.Second,
	}
}

func engine(name string, holds ...string) stocking.Engine {
	return stocking.Engine{Name: name, Megabytes: 200_000, UsedMegabytes: 70_000 * float64(len(holds)), Loaded: holds}
}

var _ = Describe("Plan", func() {
	It("orders nothing while no engine is overloaded and no memory is free", func() {
		models := []stocking.Model{model("a", 0.4), model("b", 0.4), model("c", 0.1), model("d", 0.1)}
		Expect(stocking.Plan(models, []stocking.Engine{engine("1", "a", "c"), engine("2", "b", "d")}, options)).To(BeEmpty())
	})

	It("adds a copy of an overloaded model where memory is free", func() {
		models := []stocking.Model{model("a", 0.9), model("b", 0.1)}
		moves := stocking.Plan(models, []stocking.Engine{engine("1", "a"), engine("2", "b")}, options)
		Expect(moves).To(HaveLen(1))
		Expect(moves[0].Engine).To(Equal("2"))
		Expect(moves[0].Model).To(Equal("a"))
		Expect(moves[0].Reason).To(Equal(stocking.Demand))
		Expect(moves[0].FromStore).To(BeTrue())
	})

	// The only engine that holds model w fails, and requests for w wait. A model with far
	// more demand may come first, but only for some seconds: otherwise the requests for w
	// would wait for as long as that demand lasts.
	DescribeTable("restores a model that no engine holds",
		func(demand float64, missing time.Duration, first string) {
			waiting := model("w", 0)
			waiting.Waiting, waiting.MissingFor = 3, missing
			one := options
			one.MaxMoves = 1
			moves := stocking.Plan([]stocking.Model{model("a", demand), waiting}, []stocking.Engine{engine("1", "a"), engine("2")}, one)
			Expect(moves).To(HaveLen(1))
			Expect(moves[0].Model).To(Equal(first))
			if first == "w" {
				Expect(moves[0].Reason).To(Equal(stocking.Unreachable))
			}
		},
		Entry("before a slightly overloaded model", 0.55, time.Duration(0), "w"),
		Entry("after a model with a far higher loss", 2.0, time.Duration(0), "a"),
		Entry("before that model too after 8 s", 2.0, 8*time.Second, "w"),
	)

	// Before the first request no model has demand. Models without a copy then took the memory of the
	// first model on each engine, which lost all copies but two, and its callers were refused for the
	// seconds that new ones took to load.
	It("takes the same share of copies from all models before the first request", func() {
		copies := map[string]int{"busy": 16, "common": 8}
		models := []stocking.Model{model("busy", 0), model("common", 0)}
		var engines []stocking.Engine
		for i := range 16 {
			holds := []string{"busy"}
			if i < 8 {
				holds = append(holds, "common")
			} else {
				holds = append(holds, fmt.Sprint("rare-", i))
				models = append(models, model(holds[1], 0))
			}
			engines = append(engines, engine(fmt.Sprintf("%02d", i), holds...))
		}
		for i := range models {
			models[i].InitialCopies = max(copies[models[i].Name], 1)
		}
		for i := range 6 {
			models = append(models, model(fmt.Sprint("unheld-", i), 0))
		}
		all := options
		all.MaxMoves = 6
		for _, move := range stocking.Plan(models, engines, all) {
			if move.Unload {
				copies[move.Model]--
			}
		}
		Expect(copies).To(Equal(map[string]int{"busy": 12, "common": 6}))
	})

	// A narrow engine takes one request a second. If its copy counted as a full one, callers
	// of a model without another copy would be refused for as long as the engine is narrow.
	It("adds a copy of a model whose only copy is on a narrow engine", func() {
		narrow := engine("1", "a", "idle")
		narrow.Throttled = true
		moves := stocking.Plan([]stocking.Model{model("a", 0.2), model("idle", 0)}, []stocking.Engine{narrow, engine("2")}, options)
		Expect(moves).NotTo(BeEmpty())
		Expect(moves[0].Engine).To(Equal("2"))
		Expect(moves[0].Model).To(Equal("a"))
		Expect(moves[0].Reason).To(Equal(stocking.Unreachable), "the copy on the narrow engine must not count")
		for _, move := range moves {
			Expect(move.Model).NotTo(Equal("idle"), "the model has no demand")
			Expect(move.Engine).NotTo(Equal("1"))
		}
	})

	// The model with the highest demand has six copies. Three others have one copy each,
	// with twice the load that it can carry. In the order of demand the first model would
	// get every load, and callers of the others would be refused for as long as the demand
	// lasts.
	It("adds copies of the models with the highest loss, not of the one with the highest demand", func() {
		models := []stocking.Model{model("big", 3.2), model("b", 1.8), model("c", 1.8), model("d", 1.8)}
		engines := []stocking.Engine{
			engine("1", "big", "b"), engine("2", "big", "c"), engine("3", "big", "d"), engine("4", "big"), engine("5", "big"),
			engine("6", "big"), engine("7"), engine("8"), engine("9"),
		}
		three := options
		three.MaxMoves, three.MaxFetches = 3, 3
		var moved []string
		for _, move := range stocking.Plan(models, engines, three) {
			moved = append(moved, move.Model)
		}
		Expect(moved).To(ConsistOf("b", "c", "d"))
	})

	// If the first copy of a model were unloaded while the second is still loading, callers
	// would find no copy for 5 s.
	It("does not unload the only loaded copy of a model while another is loading", func() {
		coming := engine("2")
		coming.Loading, coming.Unavailable = "b", true
		moves := stocking.Plan([]stocking.Model{model("a", 1.5), model("b", 0.3), model("c", 0.3)},
			[]stocking.Engine{engine("1", "a"), coming, engine("3", "b", "c")}, options)
		Expect(moves).NotTo(ContainElement(HaveField("Unload", true)))
	})

	It("prefers a load from memory to one from disk, and that to one from the store", func() {
		models := []stocking.Model{model("a", 0.9)}
		onDisk, inMemory := engine("2"), engine("3")
		onDisk.OnDisk, inMemory.InMemory = []string{"a"}, []string{"a"}
		moves := stocking.Plan(models, []stocking.Engine{engine("1", "a"), onDisk, inMemory, engine("4")}, options)
		Expect(moves[0].Engine).To(Equal("3"))
		Expect(moves[0].FromStore).To(BeFalse())
	})

	It("fetches from the store only within the limit", func() {
		none := options
		none.MaxFetches = 0
		Expect(stocking.Plan([]stocking.Model{model("a", 2)}, []stocking.Engine{engine("1", "a"), engine("2")}, none)).To(BeEmpty())
	})

	// Demand has shifted from old to new within seconds, and the engines are full. Copies of
	// old are unloaded first, then models without demand, and never the last copy of a model
	// with demand.
	It("unloads models without demand to make room", func() {
		models := []stocking.Model{model("new", 2), model("old", 0), model("quiet", 0.05), model("idle", 0)}
		engines := []stocking.Engine{
			engine("1", "new", "quiet"), engine("2", "old", "idle"), engine("3", "old", "other"),
		}
		moves := stocking.Plan(models, engines, options)
		Expect(moves).NotTo(BeEmpty())
		Expect(moves[0].Unload).To(BeTrue())
		Expect(moves[0].Model).To(Equal("old"))
		last := stocking.Plan(models, []stocking.Engine{engine("1", "new", "quiet"), engine("2", "quiet", "idle")}, options)
		Expect(last[0]).To(HaveField("Model", BeElementOf("quiet", "idle")))
		only := stocking.Plan([]stocking.Model{model("new", 2), model("a", 0.05), model("b", 0.05)},
			[]stocking.Engine{engine("1", "new"), engine("2", "a", "b")}, stocking.Options{MaxLoad: 0.45, MaxMoves: 4})
		Expect(only).To(BeEmpty())
	})

	// Before the first request, the operator has put the model with the highest expected
	// demand on most engines. Its copies must not be unloaded for second copies of others.
	It("keeps the initial copies until there is demand", func() {
		models := []stocking.Model{model("busy", 0), model("a", 0), model("b", 0)}
		engines := []stocking.Engine{engine("1", "busy", "a"), engine("2", "busy", "b"), engine("3", "busy", "busy")}
		Expect(stocking.Plan(models, engines, options)).To(BeEmpty())
	})

	It("orders no move on an engine that is closed, leaving or loading", func() {
		closed, leaving, loading := engine("2"), engine("3"), engine("4", "b")
		closed.Unavailable, leaving.Leaving, loading.Loading = true, true, "b"
		Expect(stocking.Plan([]stocking.Model{model("a", 2), model("b", 0)},
			[]stocking.Engine{engine("1", "a"), closed, leaving, loading}, options)).To(BeEmpty())
	})

	// Most of the demand is for one model, and it keeps shifting to the next, as in the
	// worst case that users see. A load takes 6 s from the store and 1 s from elsewhere. The
	// copies must follow: with the initial ones alone, the model with the highest demand
	// has one engine for a demand of two.
	It("follows demand that moves on", func() {
		c := newCluster(12, 15)
		worst := 0.0
		for second := 0.0; second < 60; second += 0.25 {
			first := int(second/12) % 5
			c.demand(fmt.Sprint("m", first), 2)
			c.demand(fmt.Sprint("m", (first+1)%5), 0.8)
			c.step(250 * time.Millisecond)
			if int(second)%12 >= 8 {
				worst = max(worst, c.loadPerCopy(fmt.Sprint("m", first)))
			}
			c.checkMemory()
		}
		Expect(worst).To(BeNumerically("<", 0.7), "load per copy of the model with the highest demand, from 8 s after each shift on")
		Expect(c.heldModels()).To(BeNumerically(">=", 13), "of 15 models")
	})
})

// cluster simulates engines that carry out moves.
type cluster struct {
	models  []stocking.Model
	engines []stocking.Engine
	// busyFor is the time that each engine needs to finish its move.
	busyFor map[string]time.Duration
	// fetches is the number of loads from the weight store that may start now.
	fetches float64
}

// newCluster returns a cluster with model m0 on every engine and each other model on at
// most one.
func newCluster(engines, models int) *cluster {
	c := &cluster{busyFor: map[string]time.Duration{}}
	for i := range models {
		c.models = append(c.models, model(fmt.Sprint("m", i), 0))
	}
	for i := range engines {
		holds := []string{"m0"}
		if i+1 < models {
			holds = append(holds, fmt.Sprint("m", i+1))
		}
		c.engines = append(c.engines, engine(fmt.Sprint("e", i), holds...))
	}
	return c
}

// demand sets the demand for a model in the next step.
func (c *cluster) demand(name string, demand float64) {
	for i := range c.models {
		if c.models[i].Name == name {
			c.models[i].Demand, c.models[i].Idle = demand, false
		}
	}
}

// step finishes moves after the elapsed time, then plans and starts new ones.
func (c *cluster) step(elapsed time.Duration) {
	c.fetches = min(c.fetches+1.6*elapsed.Seconds(), 2)
	for i := range c.engines {
		c.finish(&c.engines[i], elapsed)
	}
	set := options
	set.MaxFetches = int(c.fetches)
	for _, move := range stocking.Plan(c.models, slices.Clone(c.engines), set) {
		c.start(move)
	}
	for i := range c.models {
		c.models[i].Demand, c.models[i].Idle = 0, true
	}
}

func (c *cluster) finish(e *stocking.Engine, elapsed time.Duration) {
	c.busyFor[e.Name] -= elapsed
	e.Unavailable = c.busyFor[e.Name] > 0
	if !e.Unavailable && e.Loading != "" {
		e.Loaded = append(e.Loaded, e.Loading)
		e.OnDisk = append(e.OnDisk, e.Loading)
		e.Loading = ""
	}
}

func (c *cluster) start(move stocking.Move) {
	for i := range c.engines {
		e := &c.engines[i]
		if e.Name != move.Engine {
			continue
		}
		if move.Unload {
			e.Loaded = slices.DeleteFunc(slices.Clone(e.Loaded), func(name string) bool { return name == move.Model })
			e.UsedMegabytes -= 70_000
			c.busyFor[e.Name] = 500 * time.Millisecond
			continue
		}
		e.Loading = move.Model
		e.UsedMegabytes += 70_000
		c.busyFor[e.Name] = time.Second
		if move.FromStore {
			c.fetches--
			c.busyFor[e.Name] = 6 * time.Second
		}
	}
}

// loadPerCopy returns the load of each copy of a model with a demand of 2, shared evenly.
func (c *cluster) loadPerCopy(name string) float64 {
	copies := 0.0
	for _, e := range c.engines {
		if slices.Contains(e.Loaded, name) {
			copies++
		}
	}
	return 2 / copies
}

func (c *cluster) checkMemory() {
	GinkgoHelper()
	for _, e := range c.engines {
		Expect(e.UsedMegabytes).To(BeNumerically("<=", e.Megabytes))
	}
}

// heldModels returns the number of models that at least one engine holds.
func (c *cluster) heldModels() int {
	held := map[string]bool{}
	for _, e := range c.engines {
		for _, name := range e.Loaded {
			held[name] = true
		}
	}
	return len(held)
}
