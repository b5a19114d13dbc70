package roster_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lovagelift/lovagelift/internal/roster"
)

var _ = Describe("an instance whose clock stepped back across a restart", func() {
	// An instance drains, stops, and restarts with a clock that is days behind, so that its
	// incarnation is lower than the former one. The others must list it as alive once the lease of
	// the former process has expired, not minutes later. Records of the former process, which was
	// draining, that they still pass on must not replace it.
	It("is known again once the lease of the former one has passed, and stays so", func() {
		former := roster.New(roster.Options{Self: "a", Incarnation: 9, Lease: lease})
		b, c := newRoster("b"), newRoster("c")
		var bFromA, cFromB, cFromA roster.PullState
		former.Heartbeat(at(0), roster.InstanceBeat{Draining: true})
		b.Merge(at(0), &bFromA, former.Since(at(0), bFromA.Cursor(false)))
		c.Merge(at(0), &cFromB, b.Since(at(0), cFromB.Cursor(false)))

		current := roster.New(roster.Options{Self: "a", Incarnation: 5, Lease: lease})
		current.Heartbeat(at(1), roster.InstanceBeat{})
		b.Merge(at(1), &bFromA, current.Since(at(1), bFromA.Cursor(false)))
		Expect(b.Instances(at(1))).To(ConsistOf(HaveField("Draining", true)), "the lease of the former process has not expired")
		for _, second := range []float64{4, 5, 6} {
			current.Heartbeat(at(second), roster.InstanceBeat{})
			b.Discover(at(second), *current.SelfRecord(at(second)))
			b.Merge(at(second), &bFromA, current.Since(at(second), bFromA.Cursor(false)))
			c.Merge(at(second), &cFromA, current.Since(at(second), cFromA.Cursor(false)))
			Expect(b.Instances(at(second))).To(ConsistOf(HaveField("Draining", false)))
			Expect(c.Instances(at(second))).To(ConsistOf(HaveField("Draining", false)))
		}
		// d only knows the former process, and passes its record on.
		d := newRoster("d")
		var dFromFormer, cFromD roster.PullState
		d.Merge(at(0), &dFromFormer, former.Since(at(0), dFromFormer.Cursor(false)))
		c.Merge(at(6), &cFromD, d.Since(at(6), cFromD.Cursor(false)))
		Expect(c.Instances(at(6))).To(ConsistOf(HaveField("Draining", false)))
	})
})
