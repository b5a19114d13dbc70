package stocking_test

import (
	"fmt"
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lovagelift/lovagelift/internal/stocking"
)

var options = stocking.Options{Busy: 0.45, Gain: 0.3, Orders: 4, Fetches: 2}

// model takes 70 of the 200 GB of an engine: two fit.
func model(name string, demand float64) stocking.Model {
	return stocking.Model{
		Name: name, Megabytes: 70_000, Demand: demand, Idle: demand == 0,
		Load: 6 * time.Second, WarmLoad: 600 * time.Millisecond, DiskLoad: time.Second,
	}
}

func engine(name string, holds ...string) stocking.Engine {
	return stocking.Engine{Name: name, Megabytes: 200_000, Used: 70_000 * float64(len(holds)), Holds: holds}
}

var _ = Describe("Plan", func() {
	It("moves nothing while no engine has too much to do and no memory is free", func() {
		models := []stocking.Model{model("a", 0.4), model("b", 0.4), model("c", 0.1), model("d", 0.1)}
		Expect(stocking.Plan(models, []stocking.Engine{engine("1", "a", "c"), engine("2", "b", "d")}, options)).To(BeEmpty())
	})

	It("gives a model that is asked for too much another copy where memory is free", func() {
		models := []stocking.Model{model("a", 0.9), model("b", 0.1)}
		moves := stocking.Plan(models, []stocking.Engine{engine("1", "a"), engine("2", "b")}, options)
		Expect(moves).To(HaveLen(1))
		Expect(moves[0].Engine).To(Equal("2"))
		Expect(moves[0].Model).To(Equal("a"))
		Expect(moves[0].Reason).To(Equal(stocking.Demand))
		Expect(moves[0].Fetch).To(BeTrue())
	})

	// The only engine that holds a model is lost, and callers wait. It comes back before
	// a model that can do with what it has, and before any other once it has been missing
	// for some seconds: nobody is put off for good by models that are asked for more.
	DescribeTable("brings back a model that nobody holds",
		func(demand float64, missing time.Duration, first string) {
			waiting := model("w", 0)
			waiting.Waiting, waiting.Missing = 3, missing
			one := options
			one.Orders = 1
			moves := stocking.Plan([]stocking.Model{model("a", demand), waiting}, []stocking.Engine{engine("1", "a"), engine("2")}, one)
			Expect(moves).To(HaveLen(1))
			Expect(moves[0].Model).To(Equal(first))
			if first == "w" {
				Expect(moves[0].Reason).To(Equal(stocking.Unreachable))
			}
		},
		Entry("before one that has a copy with too much to do", 0.55, time.Duration(0), "w"),
		Entry("after one that loses far more", 2.0, time.Duration(0), "a"),
		Entry("before that too after some seconds", 2.0, 8*time.Second, "w"),
	)

	// An engine in need takes a request a second. Its model has no other copy, and callers
	// are turned away for as long as the need lasts.
	It("gives a model another copy whose only one is at an engine that takes few requests", func() {
		narrow := engine("1", "a", "idle")
		narrow.Narrow = true
		moves := stocking.Plan([]stocking.Model{model("a", 0.2), model("idle", 0)}, []stocking.Engine{narrow, engine("2")}, options)
		Expect(moves).NotTo(BeEmpty())
		Expect(moves[0].Engine).To(Equal("2"))
		Expect(moves[0].Model).To(Equal("a"))
		Expect(moves[0].Reason).To(Equal(stocking.Unreachable), "as good as held by none")
		for _, move := range moves {
			Expect(move.Model).NotTo(Equal("idle"), "nobody asks for it")
			Expect(move.Engine).NotTo(Equal("1"))
		}
	})

	// One model is asked for most and has six copies; three others have one each, with
	// twice as much to do as it can carry. In the order of demand, the first takes every
	// load there is, and the callers of the others are refused for as long as that lasts.
	It("gives copies to those that lose most, not to the one that is asked for most", func() {
		models := []stocking.Model{model("big", 3.2), model("b", 1.8), model("c", 1.8), model("d", 1.8)}
		engines := []stocking.Engine{
			engine("1", "big", "b"), engine("2", "big", "c"), engine("3", "big", "d"), engine("4", "big"), engine("5", "big"),
			engine("6", "big"), engine("7"), engine("8"), engine("9"),
		}
		three := options
		three.Orders, three.Fetches = 3, 3
		var given []string
		for _, move := range stocking.Plan(models, engines, three) {
			given = append(given, move.Model)
		}
		Expect(given).To(ConsistOf("b", "c", "d"))
	})

	// The second copy of a model is on its way when its first makes way for another: for
	// 5 s its callers find none.
	It("takes no model its only copy while another is being loaded", func() {
		coming := engine("2")
		coming.Coming, coming.Closed = "b", true
		moves := stocking.Plan([]stocking.Model{model("a", 1.5), model("b", 0.3), model("c", 0.3)},
			[]stocking.Engine{engine("1", "a"), coming, engine("3", "b", "c")}, options)
		Expect(moves).NotTo(ContainElement(HaveField("Unload", true)))
	})

	It("takes a copy in memory before one on disk, and that before the store", func() {
		models := []stocking.Model{model("a", 0.9)}
		onDisk, inMemory := engine("2"), engine("3")
		onDisk.OnDisk, inMemory.InMemory = []string{"a"}, []string{"a"}
		moves := stocking.Plan(models, []stocking.Engine{engine("1", "a"), onDisk, inMemory, engine("4")}, options)
		Expect(moves[0].Engine).To(Equal("3"))
		Expect(moves[0].Fetch).To(BeFalse())
	})

	It("fetches nothing from the store beyond its rate", func() {
		none := options
		none.Fetches = 0
		Expect(stocking.Plan([]stocking.Model{model("a", 2)}, []stocking.Engine{engine("1", "a"), engine("2")}, none)).To(BeEmpty())
	})

	// Demand has moved from old to new within seconds. The engines are full: copies
	// of old make way first, then models that nobody asks for, and never the last
	// copy of one that somebody asks for.
	It("lets what is not asked for make way", func() {
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
			[]stocking.Engine{engine("1", "new"), engine("2", "a", "b")}, stocking.Options{Busy: 0.45, Orders: 4})
		Expect(only).To(BeEmpty())
	})

	// Before the first request, the operator has put the busiest model on most
	// engines. Its copies must not make way for second ones of the others.
	It("keeps what the engines began with until somebody asks", func() {
		models := []stocking.Model{model("busy", 0), model("a", 0), model("b", 0)}
		engines := []stocking.Engine{engine("1", "busy", "a"), engine("2", "busy", "b"), engine("3", "busy", "busy")}
		Expect(stocking.Plan(models, engines, options)).To(BeEmpty())
	})

	It("gives no order to an engine that is busy, leaving or full of what is loading", func() {
		busy, leaving, loading := engine("2"), engine("3"), engine("4", "b")
		busy.Closed, leaving.Leaving, loading.Coming = true, true, "b"
		Expect(stocking.Plan([]stocking.Model{model("a", 2), model("b", 0)},
			[]stocking.Engine{engine("1", "a"), busy, leaving, loading}, options)).To(BeEmpty())
	})

	// Two thirds of the requests are for one model. Every six seconds the demand
	// moves on to the next, as at the users' worst. A load takes 6 s from the store
	// and 1 s from a disk. Copies must follow: with those of the beginning alone
	// the busiest model has 1 engine's worth of places for 2.
	It("follows demand that moves on", func() {
		w := newWorld(12, 15)
		worst := 0.0
		for second := 0.0; second < 60; second += 0.25 {
			first := int(second/12) % 5
			w.demand(fmt.Sprint("m", first), 2)
			w.demand(fmt.Sprint("m", (first+1)%5), 0.8)
			w.step(250 * time.Millisecond)
			if int(second)%12 >= 8 {
				worst = max(worst, w.idlest(fmt.Sprint("m", first)))
			}
			w.checkMemory()
		}
		Expect(worst).To(BeNumerically("<", 0.7), "load of the idlest copy of the busiest model 8 s after each move")
		Expect(w.reachable()).To(BeNumerically(">=", 13), "of 15 models")
	})
})

// world plays engines that carry out moves.
type world struct {
	models  []stocking.Model
	engines []stocking.Engine
	// busy is how long each engine still loads.
	busy    map[string]time.Duration
	fetches float64
}

// newWorld has the busy model on every engine and the others on one each.
func newWorld(engines, models int) *world {
	w := &world{busy: map[string]time.Duration{}}
	for i := range models {
		w.models = append(w.models, model(fmt.Sprint("m", i), 0))
	}
	for i := range engines {
		holds := []string{"m0"}
		if i+1 < models {
			holds = append(holds, fmt.Sprint("m", i+1))
		}
		w.engines = append(w.engines, engine(fmt.Sprint("e", i), holds...))
	}
	return w
}

func (w *world) demand(name string, demand float64) {
	for i := range w.models {
		if w.models[i].Name == name {
			w.models[i].Demand, w.models[i].Idle = demand, false
		}
	}
}

func (w *world) step(passed time.Duration) {
	w.fetches = min(w.fetches+1.6*passed.Seconds(), 2)
	for i := range w.engines {
		w.finish(&w.engines[i], passed)
	}
	set := options
	set.Fetches = int(w.fetches)
	for _, move := range stocking.Plan(w.models, slices.Clone(w.engines), set) {
		w.carryOut(move)
	}
	for i := range w.models {
		w.models[i].Demand, w.models[i].Idle = 0, true
	}
}

func (w *world) finish(e *stocking.Engine, passed time.Duration) {
	w.busy[e.Name] -= passed
	e.Closed = w.busy[e.Name] > 0
	if !e.Closed && e.Coming != "" {
		e.Holds = append(e.Holds, e.Coming)
		e.OnDisk = append(e.OnDisk, e.Coming)
		e.Coming = ""
	}
}

func (w *world) carryOut(move stocking.Move) {
	for i := range w.engines {
		e := &w.engines[i]
		if e.Name != move.Engine {
			continue
		}
		if move.Unload {
			e.Holds = slices.DeleteFunc(slices.Clone(e.Holds), func(name string) bool { return name == move.Model })
			e.Used -= 70_000
			w.busy[e.Name] = 500 * time.Millisecond
			continue
		}
		e.Coming = move.Model
		e.Used += 70_000
		w.busy[e.Name] = time.Second
		if move.Fetch {
			w.fetches--
			w.busy[e.Name] = 6 * time.Second
		}
	}
}

// idlest returns the demand for each copy of a model, as all copies share it.
func (w *world) idlest(name string) float64 {
	copies := 0.0
	for _, e := range w.engines {
		if slices.Contains(e.Holds, name) {
			copies++
		}
	}
	return 2 / copies
}

func (w *world) checkMemory() {
	GinkgoHelper()
	for _, e := range w.engines {
		Expect(e.Used).To(BeNumerically("<=", e.Megabytes))
	}
}

func (w *world) reachable() int {
	held := map[string]bool{}
	for _, e := range w.engines {
		for _, name := range e.Holds {
			held[name] = true
		}
	}
	return len(held)
}
