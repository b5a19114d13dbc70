package ledger_test

import (
	"encoding/json"
	"math"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/cockroachdb/errors"

	"github.com/lovagelift/lovagelift/internal/ledger"
	"github.com/lovagelift/lovagelift/internal/upstreamapi"
)

var nextNumber uint64

// load returns an order to load a model, with the next number. It expires after
// ten seconds on the engine's clock.
func load(id string, fencing uint64, name string, bytes int64) upstreamapi.Order {
	nextNumber++
	return upstreamapi.Order{
		ID: id, Number: nextNumber, Fencing: fencing, Incarnation: 1, Kind: upstreamapi.OrderLoadModel,
		Model: name, Accelerators: []string{"a0"}, MemoryBytes: bytes, NotAfter: start.Add(10 * time.Second),
	}
}

func unload(id string, fencing uint64, name string) upstreamapi.Order {
	order := load(id, fencing, name, 0)
	order.Kind, order.Accelerators = upstreamapi.OrderUnloadModel, nil
	return order
}

func recorded(l ledger.Ledger, orders ...upstreamapi.Order) ledger.Ledger {
	for _, order := range orders {
		next, err := l.WithOrder(order)
		ExpectWithOffset(1, err).NotTo(HaveOccurred())
		l = next
	}
	return l
}

func account(l ledger.Ledger) ledger.Account {
	a, known := l.Account("a0")
	ExpectWithOffset(1, known).To(BeTrue())
	return a
}

func carriedOut(e *engine, order upstreamapi.Order) upstreamapi.OrderAnswer {
	e.take(order)
	for len(e.underWay) > 0 {
		e.finish(0)
	}
	return e.answer(order.ID)
}

// paths returns the places of the contradictions.
func paths(l ledger.Ledger) []string {
	var all []string
	for _, f := range l.Contradictions() {
		all = append(all, f.Place.File)
	}
	return all
}

var _ = Describe("Ledger", func() {
	var (
		e *engine
		l ledger.Ledger
	)

	// kind sets up an engine that has loaded "letters" of 40 bytes.
	kind := func(fencing upstreamapi.Fencing, expiry bool) {
		nextNumber = 0
		e = newEngine(fencing, expiry)
		l = ledger.Ledger{}.WithReport(e.report())
		order := load("o0", 1, "letters", 40)
		l = recorded(l, order).WithAnswer(carriedOut(e, order))
		Expect(account(l)).To(Equal(ledger.Account{Memory: capacity, Resident: 40}))
		Expect(l.Open()).To(BeEmpty())
	}

	BeforeEach(func() { kind(upstreamapi.FencingChecked, true) })

	It("records nothing for an engine that has not reported", func() {
		_, err := ledger.Ledger{}.WithOrder(load("o1", 1, "pings", 1))
		Expect(err).To(MatchError(ledger.ErrIncarnation))
	})

	It("reserves what is ordered, and refuses what may overcommit with the arithmetic", func() {
		l = recorded(l, load("o1", 1, "pings", 50))
		Expect(account(l)).To(Equal(ledger.Account{Memory: capacity, Resident: 40, Reserved: 50}))
		refused, err := l.WithOrder(load("o2", 1, "fares", 11))
		Expect(err).To(MatchError("ledger: a0 has 100 bytes: 40 resident, 50 reserved and 0 possible leave 10, 11 are needed"))
		Expect(refused).To(Equal(l))
	})

	It("gives nothing back for an unload before the engine shows it", func() {
		order := unload("o1", 1, "letters")
		l = recorded(l, order)
		Expect(account(l).Worst()).To(BeEquivalentTo(40))
		e.take(order)
		l = l.WithReport(e.report())
		Expect(l.Holds("letters", "")).To(BeFalse())
		Expect(account(l).Worst()).To(BeEquivalentTo(40), "it is leaving")
		e.finish(0)
		l = l.WithAnswer(e.answer("o1"))
		Expect(account(l).Worst()).To(BeZero())
	})

	// Two leaders ordered the same model to different accelerators. It stands on
	// one of the two at most, and nobody knows on which.
	It("counts a model on each accelerator where it may stand", func() {
		report := e.report()
		report.Incarnation, report.Resident = 2, nil
		report.Accelerators = []upstreamapi.Accelerator{
			{Name: "a0", MemoryBytes: 100}, {Name: "a1", MemoryBytes: 100}, {Name: "a2", MemoryBytes: 100},
		}
		first, second := load("o1", 1, "pings", 50), load("o2", 2, "pings", 60)
		first.Incarnation, second.Incarnation = 2, 2
		first.Accelerators, second.Accelerators = []string{"a0", "a1"}, []string{"a1", "a2"}
		l = recorded(l.WithReport(report), first, second)
		worst := func(name string) int64 {
			a, known := l.Account(name)
			Expect(known).To(BeTrue())
			return a.Worst()
		}
		Expect([]int64{worst("a0"), worst("a1"), worst("a2")}).To(Equal([]int64{50, 60, 60}))

		report.Revision++
		report.Resident = []upstreamapi.Resident{{Model: "pings", Accelerators: []string{"a0", "a2"}, MemoryBytes: 50}}
		Expect(paths(l.WithReport(report))).To(ConsistOf("$.resident[0]"), "no order puts it there")
		report.Resident[0].Accelerators = []string{"a0", "a1"}
		l = l.WithReport(report)
		Expect(l.Contradictions()).To(BeEmpty())
		Expect([]int64{worst("a0"), worst("a1"), worst("a2")}).To(Equal([]int64{50, 60, 60}))
	})

	// No report came between the load and the unload of a model. The answer to the
	// load closes it while the unload still holds its memory.
	It("counts a model that is on its way out before any report showed it", func() {
		order, later := load("o1", 1, "pings", 50), unload("o2", 1, "pings")
		l = recorded(l, order, later)
		carriedOut(e, order)
		e.take(later)
		l = l.WithAnswer(e.answer("o1"))
		Expect(account(l)).To(Equal(ledger.Account{Memory: capacity, Resident: 90}))
		e.finish(0)
		Expect(account(l.WithReport(e.report())).Worst()).To(BeEquivalentTo(40))
	})

	It("counts both versions, both roles and adapters", func() {
		order := load("o1", 1, "letters", 30)
		order.Kind, order.Version = upstreamapi.OrderChangeVersion, "v2"
		adapter := load("o2", 1, "letters", 5)
		adapter.Kind, adapter.Adapter = upstreamapi.OrderLoadAdapter, "clerk"
		role := load("o3", 1, "", 20)
		role.Kind, role.Role, role.Accelerators = upstreamapi.OrderChangeRole, upstreamapi.RoleDecode, nil
		l = recorded(l, order, adapter, role)
		Expect(account(l)).To(Equal(ledger.Account{Memory: capacity, Resident: 40, Reserved: 55}))
		lesser := role
		lesser.ID, lesser.Number, lesser.MemoryBytes = "o4", 100, 15
		Expect(account(recorded(l, lesser)).Worst()).To(Equal(account(l).Worst()))
	})

	// A fault at each step of an order to load 50 bytes. A second load of 50 must
	// be refused for as long as the first may be there or may come, and taken
	// once it is proved that it will not. A caller of an engine that is
	// overcommitted sees it die.
	type cell struct {
		// fault takes the order to its step, and the fault happens there.
		fault func(order upstreamapi.Order)
		// checks and ignores are whether the memory is free afterwards, at engines
		// that check fencing numbers and honour expiry, and at those that do neither.
		checks, ignores bool
	}
	outrank := func() {
		next := load("o9", 2, "tiny", 1)
		l = recorded(l.WithLeader(2), next)
		l = l.WithAnswer(carriedOut(e, next)).WithReport(e.report())
	}
	DescribeTable("counts an order at its worst until there is proof",
		func(c cell) {
			for _, checks := range []bool{true, false} {
				free := c.ignores
				kind(upstreamapi.FencingIgnored, false)
				if checks {
					free = c.checks
					kind(upstreamapi.FencingChecked, true)
				}
				order := load("o1", 1, "pings", 50)
				c.fault(order)
				Expect(l.Contradictions()).To(BeEmpty())
				second := load("o10", 3, "fares", 50)
				second.Incarnation = l.Incarnation()
				_, err := l.WithOrder(second)
				if free {
					Expect(err).NotTo(HaveOccurred(), "checks: %v", checks)
					continue
				}
				var room *ledger.RoomError
				Expect(errors.As(err, &room)).To(BeTrue(), "checks: %v, error %v", checks, err)
			}
		},
		Entry("lost before it was recorded", cell{func(upstreamapi.Order) {}, true, true}),
		Entry("recorded, and the leader lost before sending", cell{func(o upstreamapi.Order) {
			l = recorded(l, o).WithLeader(2)
		}, false, false}),
		Entry("recorded, and withdrawn by the leader that did not send it", cell{func(o upstreamapi.Order) {
			next, err := recorded(l, o).WithWithdrawn("o1", 1)
			Expect(err).NotTo(HaveOccurred())
			l = next
		}, true, true}),
		Entry("sent and lost, and its time passed at the engine", cell{func(o upstreamapi.Order) {
			l = recorded(l, o).WithLost("o1")
			e.clock = start.Add(11 * time.Second)
			l = l.WithReport(e.report())
		}, true, false}),
		Entry("sent and late, and a later order of the next leader acknowledged", cell{func(o upstreamapi.Order) {
			l = recorded(l, o)
			outrank()
		}, true, false}),
		Entry("late, and it arrives after the later order", cell{func(o upstreamapi.Order) {
			l = recorded(l, o)
			outrank()
			late := carriedOut(e, o)
			Expect(late.State == upstreamapi.OrderDone).To(Equal(e.fencing == upstreamapi.FencingIgnored))
			l = l.WithReport(e.report())
		}, true, false}),
		Entry("resent by the next leader, and a copy is late", cell{func(o upstreamapi.Order) {
			l = recorded(l, o)
			next, err := l.WithResent("o1", 2)
			Expect(err).NotTo(HaveOccurred())
			l = next
			e.take(load("o9", 2, "tiny", 1))
			e.finish(0)
			l = recorded(l, load("o9", 2, "tiny", 1)).WithReport(e.report())
		}, false, false}),
		Entry("under way when its time passes", cell{func(o upstreamapi.Order) {
			l = recorded(l, o)
			e.take(o)
			e.clock = start.Add(11 * time.Second)
			l = l.WithReport(e.report())
		}, false, false}),
		Entry("applied, and its answer lost", cell{func(o upstreamapi.Order) {
			l = recorded(l, o)
			carriedOut(e, o)
			l = l.WithLost("o1")
		}, false, false}),
		Entry("refused, and the answer is late", cell{func(o upstreamapi.Order) {
			l = recorded(l, o)
			e.states["o1"] = upstreamapi.OrderRefusedNoMemory
			l = l.WithLost("o1").WithAnswer(e.answer("o1"))
		}, true, true}),
		Entry("unknown to the engine when it is asked after", cell{func(o upstreamapi.Order) {
			l = recorded(l, o).WithLost("o1").WithAnswer(e.answer("o1"))
		}, false, false}),
		Entry("unloaded by a later order, whose answer overtakes that to the load", cell{func(o upstreamapi.Order) {
			l = recorded(l, o)
			early := carriedOut(e, o)
			later := unload("o2", 1, "pings")
			l = recorded(l, later).WithAnswer(carriedOut(e, later))
			l = l.WithAnswer(early)
		}, true, true}),
		Entry("unloaded by a later order while a copy of the load is late", cell{func(o upstreamapi.Order) {
			l = recorded(l, o)
			later := unload("o2", 1, "pings")
			l = recorded(l, later).WithAnswer(carriedOut(e, later)).WithReport(e.report())
		}, false, false}),
		Entry("sent, and the engine gone without a word", cell{func(o upstreamapi.Order) {
			l = recorded(l, o).WithLost("o1")
		}, false, false}),
		Entry("sent, and the engine restarted", cell{func(o upstreamapi.Order) {
			l = recorded(l, o)
			e.restart()
			l = l.WithReport(e.report())
			Expect(e.take(o).State).To(Equal(upstreamapi.OrderRefusedIncarnation))
		}, true, true}),
		Entry("overtaken by the report from before a restart", cell{func(o upstreamapi.Order) {
			l = recorded(l, o)
			carriedOut(e, o)
			old := e.report()
			e.restart()
			l = l.WithReport(e.report()).WithReport(old).WithAnswer(upstreamapi.OrderAnswer{
				ID: "o1", State: upstreamapi.OrderDone, Incarnation: old.Incarnation, Revision: old.Revision,
				Accelerators: old.Accelerators, Resident: old.Resident,
			})
		}, true, true}),
	)

	It("tells what is reserved from what is possible", func() {
		l = recorded(l, load("o1", 1, "pings", 10), load("o2", 1, "fares", 5))
		Expect(account(l.WithLost("o1"))).To(Equal(ledger.Account{Memory: capacity, Resident: 40, Reserved: 5, Possible: 10}))
		Expect(account(l.WithLeader(2))).To(Equal(ledger.Account{Memory: capacity, Resident: 40, Possible: 15}))
		e.take(l.Open()[0])
		Expect(account(l.WithLost("o1").WithAnswer(e.answer("o1"))).Possible).To(BeZero(), "it is acknowledged")
	})

	It("records orders of the latest leader alone, with rising numbers", func() {
		l = recorded(l, load("o1", 2, "pings", 1))
		old := load("o2", 1, "fares", 1)
		_, err := l.WithOrder(old)
		Expect(err).To(MatchError(ledger.ErrStale))
		old.Fencing, old.Number = 2, 1
		_, err = l.WithOrder(old)
		Expect(err).To(MatchError(ledger.ErrStale))
		_, err = l.WithOrder(load("o1", 2, "fares", 1))
		Expect(err).To(MatchError(ContainSubstring("open already")))
		_, err = l.WithResent("o1", 1)
		Expect(err).To(MatchError(ledger.ErrStale))
		_, err = l.WithResent("o7", 2)
		Expect(err).To(MatchError(ledger.ErrUnknownOrder))
		_, err = l.WithWithdrawn("o1", 1)
		Expect(err).To(MatchError(ledger.ErrStale))
		_, err = l.WithLeader(3).WithWithdrawn("o1", 2)
		Expect(err).To(MatchError(ledger.ErrStale), "the next leader may have sent it")
		unknown := load("o3", 2, "fares", 1)
		unknown.Accelerators = []string{"a9"}
		_, err = l.WithOrder(unknown)
		Expect(err).To(MatchError(ContainSubstring("no accelerator a9")))
	})

	It("reads back what it wrote, and refuses what is overcommitted", func() {
		l = recorded(l, load("o1", 1, "pings", 50)).WithLost("o1")
		data, err := json.Marshal(l)
		Expect(err).NotTo(HaveOccurred())
		var read ledger.Ledger
		Expect(json.Unmarshal(data, &read)).To(Succeed())
		Expect(read).To(Equal(l))
		Expect(json.Unmarshal([]byte(`{"incarnation":1,"accelerators":[{"name":"a0","bytes":1}],"role-bytes":2}`), &read)).
			To(MatchError(ContainSubstring("a0 has 1 bytes")))
		Expect(read).To(Equal(l))
	})

	// The report cannot be by the account: something else loads models at the
	// engine, or it does not do as it says. Orders to it stop, and to no other.
	DescribeTable("keeps a report that contradicts it, and records no more orders",
		func(change func(a *upstreamapi.Announcement), expected string) {
			l = recorded(l, load("o1", 1, "pings", 10))
			before := account(l)
			a := e.report()
			a.Revision++
			change(&a)
			l = l.WithReport(a)
			Expect(paths(l)).To(ContainElement(expected))
			Expect(account(l)).To(Equal(before))
			_, err := l.WithOrder(load("o2", 1, "fares", 1))
			Expect(err).To(MatchError(ledger.ErrContradicted))
			l = l.WithAnswer(carriedOut(e, l.Open()[0]))
			e.clock = start.Add(11 * time.Second)
			l = l.WithReport(e.report())
			Expect(l.Open()).To(HaveLen(1), "what it says proves nothing now")
			e.restart()
			Expect(l.WithReport(e.report()).Contradictions()).To(BeEmpty())
		},
		Entry("a model that nobody ordered", func(a *upstreamapi.Announcement) {
			a.Resident = append(a.Resident, upstreamapi.Resident{Model: "foreign", Accelerators: []string{"a0"}, MemoryBytes: 1})
		}, "$.resident[1]"),
		Entry("an adapter that nobody ordered", func(a *upstreamapi.Announcement) {
			a.Resident[0].Adapters = []string{"foreign"}
		}, "$.resident[0]"),
		Entry("a model greater than ordered", func(a *upstreamapi.Announcement) { a.Resident[0].MemoryBytes = 41 },
			"$.resident[0].memory-bytes"),
		Entry("a model that is gone", func(a *upstreamapi.Announcement) { a.Resident = nil }, "$.resident"),
		Entry("more in use than may be", func(a *upstreamapi.Announcement) {
			used := int64(51)
			a.Accelerators[0].UsedBytes = &used
		}, "$.accelerators[0].used-bytes"),
		Entry("a smaller accelerator", func(a *upstreamapi.Announcement) { a.Accelerators[0].MemoryBytes = 99 }, "$.accelerators"),
		Entry("an order that nobody gave", func(a *upstreamapi.Announcement) {
			a.UnderWay = []upstreamapi.OrderUnderWay{{ID: "foreign"}}
		}, "$.under-way[0]"),
		Entry("a role that nobody ordered", func(a *upstreamapi.Announcement) { a.RoleMemoryBytes = 1 }, "$.role-memory-bytes"),
		Entry("a clock that ran backwards", func(a *upstreamapi.Announcement) { a.Load.Clock = start.Add(-1) }, "$.load.clock"),
		Entry("another promise", func(a *upstreamapi.Announcement) { a.Fencing = upstreamapi.FencingIgnored }, "$.fencing"),
	)

	It("takes a contradicting report for the truth when an operator says so, if it fits", func() {
		l = recorded(l, load("o1", 1, "pings", 10))
		e.models["foreign@"] = &model{name: "foreign", bytes: 45}
		e.revision++
		l = l.WithReport(e.report())
		Expect(l.Contradictions()).NotTo(BeEmpty())
		accepted, err := l.WithAccepted(e.report())
		Expect(err).NotTo(HaveOccurred())
		Expect(account(accepted)).To(Equal(ledger.Account{Memory: capacity, Resident: 85, Reserved: 10}))

		e.models["foreign@"].bytes = 51
		refused, err := l.WithAccepted(e.report())
		Expect(err).To(MatchError(ledger.ErrContradicted))
		Expect(refused).To(Equal(l))
		old := e.report()
		old.Incarnation, old.Revision = 0, 0
		_, err = l.WithAccepted(old)
		Expect(err).To(MatchError(ledger.ErrIncarnation))
	})

	It("does not wrap around at absurd sizes", func() {
		a := e.report()
		a.Incarnation++
		a.Accelerators[0].UsedBytes = nil
		a.Resident = []upstreamapi.Resident{
			{Model: "one", Accelerators: []string{"a0"}, MemoryBytes: math.MaxInt64},
			{Model: "two", Accelerators: []string{"a0"}, MemoryBytes: math.MaxInt64},
		}
		l = l.WithReport(a)
		Expect(paths(l)).To(ContainElement("$.accelerators[0]"))
		Expect(account(l).Worst()).To(BeZero())
		kind(upstreamapi.FencingChecked, true)
		l = recorded(l, load("o1", 1, "pings", 10))
		_, err := l.WithOrder(load("o2", 1, "fares", math.MaxInt64))
		var room *ledger.RoomError
		Expect(errors.As(err, &room)).To(BeTrue())
	})
})
