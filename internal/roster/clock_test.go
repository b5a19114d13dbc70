package roster_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lovagelift/lovagelift/internal/roster"
)

var _ = Describe("an instance whose clock stepped back across a restart", func() {
	// An instance drains, ends, and is started again with a clock that is days
	// behind, so that its incarnation is below the former one. The others must
	// name it to callers again once the former one's lease has passed, and not
	// minutes later; and what they still hand on of the former one, which drained,
	// must not replace it.
	It("is known again once the lease of the former one has passed, and stays so", func() {
		former := roster.New(roster.Options{Self: "a", Incarnation: 9, Lease: lease})
		b, c := newRoster("b"), newRoster("c")
		var fromA, fromB, aAtC roster.Source
		former.Beat(at(0), roster.InstanceBeat{Draining: true})
		b.Merge(at(0), &fromA, former.Since(at(0), fromA.Cursor(false)))
		c.Merge(at(0), &fromB, b.Since(at(0), fromB.Cursor(false)))

		present := roster.New(roster.Options{Self: "a", Incarnation: 5, Lease: lease})
		present.Beat(at(1), roster.InstanceBeat{})
		b.Merge(at(1), &fromA, present.Since(at(1), fromA.Cursor(false)))
		Expect(b.Instances(at(1))).To(ConsistOf(HaveField("Draining", true)), "too early to tell which one lives")
		for _, second := range []float64{4, 5, 6} {
			present.Beat(at(second), roster.InstanceBeat{})
			b.Introduce(at(second), *present.Introduction(at(second)))
			b.Merge(at(second), &fromA, present.Since(at(second), fromA.Cursor(false)))
			c.Merge(at(second), &aAtC, present.Since(at(second), aAtC.Cursor(false)))
			Expect(b.Instances(at(second))).To(ConsistOf(HaveField("Draining", false)))
			Expect(c.Instances(at(second))).To(ConsistOf(HaveField("Draining", false)))
		}
		// d has nothing newer than the former one, and hands that on.
		d := newRoster("d")
		var fromFormer, fromD roster.Source
		d.Merge(at(0), &fromFormer, former.Since(at(0), fromFormer.Cursor(false)))
		c.Merge(at(6), &fromD, d.Since(at(6), fromD.Cursor(false)))
		Expect(c.Instances(at(6))).To(ConsistOf(HaveField("Draining", false)))
	})
})
