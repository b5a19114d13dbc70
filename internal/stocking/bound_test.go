package stocking_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lovagelift/lovagelift/internal/stocking"
)

// engineAt returns an engine of a software version.
func engineAt(version, name string, holds ...string) stocking.Engine {
	e := engine(name, holds...)
	e.SoftwareVersion = version
	return e
}

// boundModel returns a model for which requests wait at version v1.
func boundModel(demand float64, waiting int, missing time.Duration) stocking.Model {
	m := model("a", demand)
	m.Idle = false
	m.Bound = []stocking.BoundWaiting{{SoftwareVersion: "v1", Waiting: waiting, MissingFor: missing}}
	return m
}

var _ = Describe("Requests that resume streams of a version", func() {
	one := options
	one.MaxMoves = 1

	It("get the model at their version, though another version holds it", func() {
		moves := stocking.Plan([]stocking.Model{boundModel(0.1, 1, 0)},
			[]stocking.Engine{engineAt("v2", "1", "a"), engineAt("v2", "2"), engineAt("v1", "3")}, options)
		Expect(moves).To(Equal([]stocking.Move{{Engine: "3", Model: "a", FromStore: true, Reason: stocking.Bound}}))
	})

	It("get room at their version as those of a model that no engine holds", func() {
		moves := stocking.Plan([]stocking.Model{boundModel(0.1, 1, 0), model("b", 0.1), model("c", 0)},
			[]stocking.Engine{engineAt("v2", "1", "a", "b"), engineAt("v2", "2", "c"), engineAt("v1", "3", "b", "c")}, one)
		Expect(moves).To(Equal([]stocking.Move{{Engine: "3", Model: "c", Unload: true, MakesRoomFor: "a", Reason: stocking.Bound}}))
	})

	DescribeTable("share one load",
		func(change func(e *stocking.Engine)) {
			coming := engineAt("v1", "2")
			change(&coming)
			Expect(stocking.Plan([]stocking.Model{boundModel(0.1, 40, time.Minute)},
				[]stocking.Engine{engineAt("v2", "1", "a"), coming, engineAt("v1", "3")}, options)).
				NotTo(ContainElement(HaveField("Reason", stocking.Bound)))
		},
		Entry("that is under way", func(e *stocking.Engine) { e.Loading, e.Unavailable = "a", true }),
		Entry("whose order has no answer yet, or whose room is being made", func(e *stocking.Engine) { e.Expected, e.Unavailable = "a", true }),
	)

	DescribeTable("are worth what their callers are",
		func(demand float64, missing time.Duration, reason stocking.Reason) {
			moves := stocking.Plan([]stocking.Model{boundModel(4, 2, missing), model("b", demand)},
				[]stocking.Engine{
					engineAt("v2", "1", "a"), engineAt("v2", "2", "a"), engineAt("v2", "3", "a"), engineAt("v2", "4", "a"), engineAt("v2", "5", "a"),
					engineAt("v2", "6", "a"), engineAt("v2", "7", "a"), engineAt("v2", "8", "a"), engineAt("v2", "9", "a"), engineAt("v1", "w", "b"), engineAt("v1", "x"),
				}, one)
			Expect(moves).To(HaveLen(1))
			Expect(moves[0].Reason).To(Equal(reason))
		},
		Entry("before a slightly overloaded model", 0.5, time.Duration(0), stocking.Bound),
		Entry("after a model with a far higher loss", 2.0, time.Duration(0), stocking.Demand),
		Entry("before that model too after 8 s", 2.0, 8*time.Second, stocking.Bound),
	)

	// Free memory and loads are kept for a model that needs a copy, but here no engine can ever get one.
	It("don't stop the plan of others if no engine of their version is there", func() {
		moves := stocking.Plan([]stocking.Model{boundModel(0.1, 9, time.Minute), model("b", 0)},
			[]stocking.Engine{engineAt("v2", "1", "a"), engineAt("v2", "2")}, options)
		Expect(moves).NotTo(BeEmpty())
	})

	DescribeTable("find the last copy of their version, which is kept",
		func(needed stocking.Model, unloaded ...any) {
			held, other := model("a", 0.1), model("b", 0.1)
			held.KeptFor, other.KeptFor = time.Second, time.Second
			var got []string
			for _, move := range stocking.Plan([]stocking.Model{held, other, needed},
				[]stocking.Engine{engineAt("v1", "1", "a", "b"), engineAt("v2", "2", "a", "b"), engineAt("v2", "3", "d", "other")}, one) {
				got = append(got, move.Engine+" "+move.Model)
			}
			Expect(got).To(HaveExactElements(unloaded...))
		},
		Entry("from copies for demand", model("d", 2)),
		Entry("but not from a model that no engine holds", model("w", 0.1), "1 a"),
	)

	// What changes while requests wait is no reason to refuse them.
	DescribeTable("learn the time until an engine can hold the model",
		func(want time.Duration, possible bool, change func(e *stocking.Engine)) {
			kept := model("k", 0.1)
			kept.KeptFor = 20 * time.Second
			e := engineAt("v1", "1", "k", "other")
			change(&e)
			after, ok := stocking.EarliestCopy("a", "v1", []stocking.Model{model("a", 0.1), kept}, []stocking.Engine{engineAt("v2", "2", "a"), e})
			Expect(after).To(Equal(want))
			Expect(ok).To(Equal(possible))
		},
		Entry("none of the version", time.Duration(0), false, func(e *stocking.Engine) { e.SoftwareVersion = "v3" }),
		Entry("it leaves", time.Duration(0), false, func(e *stocking.Engine) { e.Leaving = true }),
		Entry("it is too small", time.Duration(0), false, func(e *stocking.Engine) { e.Megabytes, e.Unavailable = 60_000, true }),
		Entry("nothing can be unloaded", time.Duration(0), false, func(e *stocking.Engine) { e.Loaded = []string{"other", "another"} }),
		Entry("another model is kept there", 26*time.Second, true, func(*stocking.Engine) {}),
		Entry("it has room", 6*time.Second, true, func(e *stocking.Engine) { e.UsedMegabytes = 70_000 }),
		Entry("it has the weights on disk", time.Second, true, func(e *stocking.Engine) { e.UsedMegabytes, e.OnDisk = 70_000, []string{"a"} }),
		Entry("it is busy", 6*time.Second, true, func(e *stocking.Engine) { e.Unavailable = true }),
		Entry("it is loading the model", time.Duration(0), true, func(e *stocking.Engine) { e.Loading, e.Unavailable = "a", true }),
	)
})
