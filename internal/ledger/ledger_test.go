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

// nextNumber is the number of the last order that loadOrder returned.
var nextNumber uint64

// loadOrder returns an order to load a model, with the next number. It expires at
// ten seconds after startTime.
func loadOrder(id string, fencing uint64, name string, bytes int64) upstreamapi.Order {
	nextNumber++
	return upstreamapi.Order{
		ID: id, Number: nextNumber, Fencing: fencing, Incarnation: 1, Kind: upstreamapi.OrderLoadModel,
		Model: name, Accelerators: []string{"a0"}, MemoryBytes: bytes, NotAfter: startTime.Add(10 * time.Second),
	}
}

func unloadOrder(id string, fencing uint64, name string) upstreamapi.Order {
	order := loadOrder(id, fencing, name, 0)
	order.Kind, order.Accelerators = upstreamapi.OrderUnloadModel, nil
	return order
}

func recordAll(l ledger.Ledger, orders ...upstreamapi.Order) ledger.Ledger {
	for _, order := range orders {
		next, err := l.WithOrder(order)
		ExpectWithOffset(1, err).NotTo(HaveOccurred())
		l = next
	}
	return l
}

func accountOf(l ledger.Ledger) ledger.Account {
	a, known := l.Account("a0")
	ExpectWithOffset(1, known).To(BeTrue())
	return a
}

// execute delivers the order, completes all running orders and returns the answer.
func execute(e *fakeEngine, order upstreamapi.Order) upstreamapi.OrderResponse {
	e.receive(order)
	for len(e.underWay) > 0 {
		e.finishOrder(0)
	}
	return e.answer(order.ID)
}

// contradictionPaths returns the JSON paths of the contradictions.
func contradictionPaths(l ledger.Ledger) []string {
	var all []string
	for _, f := range l.Contradictions() {
		all = append(all, f.Place.File)
	}
	return all
}

var _ = Describe("Ledger", func() {
	var (
		e *fakeEngine
		l ledger.Ledger
	)

	// setUp creates an engine that has loaded the model "letters" of 40 bytes.
	setUp := func(fencing upstreamapi.Fencing, expiry bool) {
		nextNumber = 0
		e = newEngine(fencing, expiry)
		l = ledger.Ledger{}.WithReport(e.announce())
		order := loadOrder("o0", 1, "letters", 40)
		l = recordAll(l, order).WithAnswer(execute(e, order))
		Expect(accountOf(l)).To(Equal(ledger.Account{Memory: acceleratorBytes, Resident: 40}))
		Expect(l.Open()).To(BeEmpty())
	}

	BeforeEach(func() { setUp(upstreamapi.FencingChecked, true) })

	It("records nothing for an engine that has not reported", func() {
		_, err := ledger.Ledger{}.WithOrder(loadOrder("o1", 1, "pings", 1))
		Expect(err).To(MatchError(ledger.ErrIncarnation))
	})

	It("reserves memory for an order and rejects one that may overcommit, with an itemized error", func() {
		l = recordAll(l, loadOrder("o1", 1, "pings", 50))
		Expect(accountOf(l)).To(Equal(ledger.Account{Memory: acceleratorBytes, Resident: 40, Reserved: 50}))
		refused, err := l.WithOrder(loadOrder("o2", 1, "fares", 11))
		Expect(err).To(MatchError("ledger: a0 has 100 bytes: 40 resident, 50 reserved and 0 possible leave 10, 11 are needed"))
		Expect(refused).To(Equal(l))
	})

	It("frees no memory for an unload before the engine reports it", func() {
		order := unloadOrder("o1", 1, "letters")
		l = recordAll(l, order)
		Expect(accountOf(l).WorstCase()).To(BeEquivalentTo(40))
		e.receive(order)
		l = l.WithReport(e.announce())
		Expect(l.Holds("letters", "")).To(BeFalse())
		Expect(accountOf(l).WorstCase()).To(BeEquivalentTo(40), "it is being unloaded")
		e.finishOrder(0)
		l = l.WithAnswer(e.answer("o1"))
		Expect(accountOf(l).WorstCase()).To(BeZero())
	})

	// Two leaders sent orders to load the same model on different pairs of
	// accelerators. It is loaded on at most one of the pairs, and it is unknown on
	// which.
	It("counts a model on each accelerator that may hold it", func() {
		report := e.announce()
		report.Incarnation, report.Resident = 2, nil
		report.Accelerators = []upstreamapi.Accelerator{
			{Name: "a0", MemoryBytes: 100}, {Name: "a1", MemoryBytes: 100}, {Name: "a2", MemoryBytes: 100},
		}
		first, second := loadOrder("o1", 1, "pings", 50), loadOrder("o2", 2, "pings", 60)
		first.Incarnation, second.Incarnation = 2, 2
		first.Accelerators, second.Accelerators = []string{"a0", "a1"}, []string{"a1", "a2"}
		l = recordAll(l.WithReport(report), first, second)
		worstCase := func(name string) int64 {
			a, known := l.Account(name)
			Expect(known).To(BeTrue())
			return a.WorstCase()
		}
		Expect([]int64{worstCase("a0"), worstCase("a1"), worstCase("a2")}).To(Equal([]int64{50, 60, 60}))

		report.Revision++
		report.Resident = []upstreamapi.Resident{{Model: "pings", Accelerators: []string{"a0", "a2"}, MemoryBytes: 50}}
		Expect(contradictionPaths(l.WithReport(report))).To(ConsistOf("$.resident[0]"), "no order loads it on a0 and a2")
		report.Resident[0].Accelerators = []string{"a0", "a1"}
		l = l.WithReport(report)
		Expect(l.Contradictions()).To(BeEmpty())
		Expect([]int64{worstCase("a0"), worstCase("a1"), worstCase("a2")}).To(Equal([]int64{50, 60, 60}))
	})

	// A model is loaded and its unload started before any report shows it. The answer
	// to the load closes that order while the unload has not yet freed the memory.
	It("counts a model that is being unloaded before any report has shown it", func() {
		order, laterUnload := loadOrder("o1", 1, "pings", 50), unloadOrder("o2", 1, "pings")
		l = recordAll(l, order, laterUnload)
		execute(e, order)
		e.receive(laterUnload)
		l = l.WithAnswer(e.answer("o1"))
		Expect(accountOf(l)).To(Equal(ledger.Account{Memory: acceleratorBytes, Resident: 90}))
		e.finishOrder(0)
		Expect(accountOf(l.WithReport(e.announce())).WorstCase()).To(BeEquivalentTo(40))
	})

	It("counts both versions, both roles and adapters", func() {
		order := loadOrder("o1", 1, "letters", 30)
		order.Kind, order.Version = upstreamapi.OrderChangeVersion, "v2"
		adapter := loadOrder("o2", 1, "letters", 5)
		adapter.Kind, adapter.Adapter = upstreamapi.OrderLoadAdapter, "clerk"
		role := loadOrder("o3", 1, "", 20)
		role.Kind, role.Role, role.Accelerators = upstreamapi.OrderChangeRole, upstreamapi.RoleDecode, nil
		l = recordAll(l, order, adapter, role)
		Expect(accountOf(l)).To(Equal(ledger.Account{Memory: acceleratorBytes, Resident: 40, Reserved: 55}))
		smaller := role
		smaller.ID, smaller.Number, smaller.MemoryBytes = "o4", 100, 15
		Expect(accountOf(recordAll(l, smaller)).WorstCase()).To(Equal(accountOf(l).WorstCase()))
	})

	// A fault occurs at some step of an order to load 50 bytes. A second load of 50
	// bytes must be rejected as long as the first may have taken effect or may still
	// do so, and accepted once there is proof that it won't. An overcommitted engine
	// would crash under its callers' requests.
	type faultCase struct {
		// fault executes the order up to the fault.
		fault func(order upstreamapi.Order)
		// freeIfGuarded means that the second load is accepted if the engine checks
		// fencing numbers and honours expiry, freeIfUnguarded that it is accepted if
		// the engine does neither.
		freeIfGuarded, freeIfUnguarded bool
	}
	// supersede executes an order of a new leader, which has a higher fencing number.
	supersede := func() {
		next := loadOrder("o9", 2, "tiny", 1)
		l = recordAll(l.WithLeader(2), next)
		l = l.WithAnswer(execute(e, next)).WithReport(e.announce())
	}
	DescribeTable("counts an order at its worst until there is proof",
		func(c faultCase) {
			for _, guarded := range []bool{true, false} {
				free := c.freeIfUnguarded
				setUp(upstreamapi.FencingIgnored, false)
				if guarded {
					free = c.freeIfGuarded
					setUp(upstreamapi.FencingChecked, true)
				}
				order := loadOrder("o1", 1, "pings", 50)
				c.fault(order)
				Expect(l.Contradictions()).To(BeEmpty())
				second := loadOrder("o10", 3, "fares", 50)
				second.Incarnation = l.Incarnation()
				_, err := l.WithOrder(second)
				if free {
					Expect(err).NotTo(HaveOccurred(), "guarded: %v", guarded)
					continue
				}
				var memoryError *ledger.InsufficientMemoryError
				Expect(errors.As(err, &memoryError)).To(BeTrue(), "guarded: %v, error %v", guarded, err)
			}
		},
		Entry("lost before it was recorded", faultCase{func(upstreamapi.Order) {}, true, true}),
		Entry("recorded, and the leader lost before sending", faultCase{func(o upstreamapi.Order) {
			l = recordAll(l, o).WithLeader(2)
		}, false, false}),
		Entry("recorded, and withdrawn by the leader that did not send it", faultCase{func(o upstreamapi.Order) {
			next, err := recordAll(l, o).WithWithdrawn("o1", 1)
			Expect(err).NotTo(HaveOccurred())
			l = next
		}, true, true}),
		Entry("sent and lost, and its time passed at the engine", faultCase{func(o upstreamapi.Order) {
			l = recordAll(l, o).WithAnswerLost("o1")
			e.clock = startTime.Add(11 * time.Second)
			l = l.WithReport(e.announce())
		}, true, false}),
		Entry("sent and late, and a later order of the next leader acknowledged", faultCase{func(o upstreamapi.Order) {
			l = recordAll(l, o)
			supersede()
		}, true, false}),
		Entry("late, and it arrives after the later order", faultCase{func(o upstreamapi.Order) {
			l = recordAll(l, o)
			supersede()
			lateAnswer := execute(e, o)
			Expect(lateAnswer.State == upstreamapi.OrderDone).To(Equal(e.fencingMode == upstreamapi.FencingIgnored))
			l = l.WithReport(e.announce())
		}, true, false}),
		Entry("resent by the next leader, and a copy is late", faultCase{func(o upstreamapi.Order) {
			l = recordAll(l, o)
			next, err := l.WithResent("o1", 2)
			Expect(err).NotTo(HaveOccurred())
			l = next
			e.receive(loadOrder("o9", 2, "tiny", 1))
			e.finishOrder(0)
			l = recordAll(l, loadOrder("o9", 2, "tiny", 1)).WithReport(e.announce())
		}, false, false}),
		Entry("running when it expires", faultCase{func(o upstreamapi.Order) {
			l = recordAll(l, o)
			e.receive(o)
			e.clock = startTime.Add(11 * time.Second)
			l = l.WithReport(e.announce())
		}, false, false}),
		Entry("applied, and its answer lost", faultCase{func(o upstreamapi.Order) {
			l = recordAll(l, o)
			execute(e, o)
			l = l.WithAnswerLost("o1")
		}, false, false}),
		Entry("refused, and the answer is late", faultCase{func(o upstreamapi.Order) {
			l = recordAll(l, o)
			e.states["o1"] = upstreamapi.OrderRefusedNoMemory
			l = l.WithAnswerLost("o1").WithAnswer(e.answer("o1"))
		}, true, true}),
		Entry("unknown to the engine at a status query", faultCase{func(o upstreamapi.Order) {
			l = recordAll(l, o).WithAnswerLost("o1").WithAnswer(e.answer("o1"))
		}, false, false}),
		Entry("executed, and unloaded by a later order that is answered first", faultCase{func(o upstreamapi.Order) {
			l = recordAll(l, o)
			loadAnswer := execute(e, o)
			laterUnload := unloadOrder("o2", 1, "pings")
			l = recordAll(l, laterUnload).WithAnswer(execute(e, laterUnload))
			l = l.WithAnswer(loadAnswer)
		}, true, true}),
		Entry("unloaded by a later order while a copy of the load is in transit", faultCase{func(o upstreamapi.Order) {
			l = recordAll(l, o)
			laterUnload := unloadOrder("o2", 1, "pings")
			l = recordAll(l, laterUnload).WithAnswer(execute(e, laterUnload)).WithReport(e.announce())
		}, false, false}),
		Entry("sent, and the engine gone without a word", faultCase{func(o upstreamapi.Order) {
			l = recordAll(l, o).WithAnswerLost("o1")
		}, false, false}),
		Entry("sent, and the engine restarted", faultCase{func(o upstreamapi.Order) {
			l = recordAll(l, o)
			e.restart()
			l = l.WithReport(e.announce())
			Expect(e.receive(o).State).To(Equal(upstreamapi.OrderRefusedIncarnation))
		}, true, true}),
		Entry("executed before a restart, with reports arriving out of order", faultCase{func(o upstreamapi.Order) {
			l = recordAll(l, o)
			execute(e, o)
			oldReport := e.announce()
			e.restart()
			l = l.WithReport(e.announce()).WithReport(oldReport).WithAnswer(upstreamapi.OrderResponse{
				ID: "o1", State: upstreamapi.OrderDone, Incarnation: oldReport.Incarnation, Revision: oldReport.Revision,
				Accelerators: oldReport.Accelerators, Resident: oldReport.Resident,
			})
		}, true, true}),
	)

	It("separates reserved from possible memory", func() {
		l = recordAll(l, loadOrder("o1", 1, "pings", 10), loadOrder("o2", 1, "fares", 5))
		Expect(accountOf(l.WithAnswerLost("o1"))).To(Equal(ledger.Account{Memory: acceleratorBytes, Resident: 40, Reserved: 5, Possible: 10}))
		Expect(accountOf(l.WithLeader(2))).To(Equal(ledger.Account{Memory: acceleratorBytes, Resident: 40, Possible: 15}))
		e.receive(l.Open()[0])
		Expect(accountOf(l.WithAnswerLost("o1").WithAnswer(e.answer("o1"))).Possible).To(BeZero(), "it is acknowledged")
	})

	It("records orders of the latest leader alone, with rising numbers", func() {
		l = recordAll(l, loadOrder("o1", 2, "pings", 1))
		staleOrder := loadOrder("o2", 1, "fares", 1)
		_, err := l.WithOrder(staleOrder)
		Expect(err).To(MatchError(ledger.ErrStale))
		staleOrder.Fencing, staleOrder.Number = 2, 1
		_, err = l.WithOrder(staleOrder)
		Expect(err).To(MatchError(ledger.ErrStale))
		_, err = l.WithOrder(loadOrder("o1", 2, "fares", 1))
		Expect(err).To(MatchError(ContainSubstring("open already")))
		_, err = l.WithResent("o1", 1)
		Expect(err).To(MatchError(ledger.ErrStale))
		_, err = l.WithResent("o7", 2)
		Expect(err).To(MatchError(ledger.ErrUnknownOrder))
		_, err = l.WithWithdrawn("o1", 1)
		Expect(err).To(MatchError(ledger.ErrStale))
		_, err = l.WithLeader(3).WithWithdrawn("o1", 2)
		Expect(err).To(MatchError(ledger.ErrStale), "the next leader may have sent it")
		unknown := loadOrder("o3", 2, "fares", 1)
		unknown.Accelerators = []string{"a9"}
		_, err = l.WithOrder(unknown)
		Expect(err).To(MatchError(ContainSubstring("no accelerator a9")))
	})

	It("reads back what it wrote, and refuses what is overcommitted", func() {
		l = recordAll(l, loadOrder("o1", 1, "pings", 50)).WithAnswerLost("o1")
		data, err := json.Marshal(l)
		Expect(err).NotTo(HaveOccurred())
		var decoded ledger.Ledger
		Expect(json.Unmarshal(data, &decoded)).To(Succeed())
		Expect(decoded).To(Equal(l))
		Expect(json.Unmarshal([]byte(`{"incarnation":1,"accelerators":[{"name":"a0","bytes":1}],"role-bytes":2}`), &decoded)).
			To(MatchError(ContainSubstring("a0 has 1 bytes")))
		Expect(decoded).To(Equal(l))
	})

	// The account rules out the reported state: something else loads models on the
	// engine, or the engine violates its guarantees. Orders stop to this engine only.
	DescribeTable("records the contradictions in a report and no further orders",
		func(modify func(a *upstreamapi.Announcement), expectedPath string) {
			l = recordAll(l, loadOrder("o1", 1, "pings", 10))
			before := accountOf(l)
			a := e.announce()
			a.Revision++
			modify(&a)
			l = l.WithReport(a)
			Expect(contradictionPaths(l)).To(ContainElement(expectedPath))
			Expect(accountOf(l)).To(Equal(before))
			_, err := l.WithOrder(loadOrder("o2", 1, "fares", 1))
			Expect(err).To(MatchError(ledger.ErrContradicted))
			l = l.WithAnswer(execute(e, l.Open()[0]))
			e.clock = startTime.Add(11 * time.Second)
			l = l.WithReport(e.announce())
			Expect(l.Open()).To(HaveLen(1), "its reports prove nothing now")
			e.restart()
			Expect(l.WithReport(e.announce()).Contradictions()).To(BeEmpty())
		},
		Entry("a model that was not ordered", func(a *upstreamapi.Announcement) {
			a.Resident = append(a.Resident, upstreamapi.Resident{Model: "foreign", Accelerators: []string{"a0"}, MemoryBytes: 1})
		}, "$.resident[1]"),
		Entry("an adapter that was not ordered", func(a *upstreamapi.Announcement) {
			a.Resident[0].Adapters = []string{"foreign"}
		}, "$.resident[0]"),
		Entry("a model larger than ordered", func(a *upstreamapi.Announcement) { a.Resident[0].MemoryBytes = 41 },
			"$.resident[0].memory-bytes"),
		Entry("a model that disappeared", func(a *upstreamapi.Announcement) { a.Resident = nil }, "$.resident"),
		Entry("more memory in use than the worst case", func(a *upstreamapi.Announcement) {
			used := int64(51)
			a.Accelerators[0].UsedBytes = &used
		}, "$.accelerators[0].used-bytes"),
		Entry("a smaller accelerator", func(a *upstreamapi.Announcement) { a.Accelerators[0].MemoryBytes = 99 }, "$.accelerators"),
		Entry("an order that was not recorded", func(a *upstreamapi.Announcement) {
			a.UnderWay = []upstreamapi.OrderUnderWay{{ID: "foreign"}}
		}, "$.under-way[0]"),
		Entry("a role that was not ordered", func(a *upstreamapi.Announcement) { a.RoleMemoryBytes = 1 }, "$.role-memory-bytes"),
		Entry("a clock that ran backwards", func(a *upstreamapi.Announcement) { a.Load.Clock = startTime.Add(-1) }, "$.load.clock"),
		Entry("changed guarantees", func(a *upstreamapi.Announcement) { a.Fencing = upstreamapi.FencingIgnored }, "$.fencing"),
	)

	It("accepts a contradicting report on an operator's request if it is consistent with the open orders", func() {
		l = recordAll(l, loadOrder("o1", 1, "pings", 10))
		e.models["foreign@"] = &fakeModel{name: "foreign", bytes: 45}
		e.revision++
		l = l.WithReport(e.announce())
		Expect(l.Contradictions()).NotTo(BeEmpty())
		accepted, err := l.WithConfirmedReport(e.announce())
		Expect(err).NotTo(HaveOccurred())
		Expect(accountOf(accepted)).To(Equal(ledger.Account{Memory: acceleratorBytes, Resident: 85, Reserved: 10}))

		e.models["foreign@"].bytes = 51
		refused, err := l.WithConfirmedReport(e.announce())
		Expect(err).To(MatchError(ledger.ErrContradicted))
		Expect(refused).To(Equal(l))
		oldReport := e.announce()
		oldReport.Incarnation, oldReport.Revision = 0, 0
		_, err = l.WithConfirmedReport(oldReport)
		Expect(err).To(MatchError(ledger.ErrIncarnation))
	})

	It("does not overflow at absurd sizes", func() {
		a := e.announce()
		a.Incarnation++
		a.Accelerators[0].UsedBytes = nil
		a.Resident = []upstreamapi.Resident{
			{Model: "one", Accelerators: []string{"a0"}, MemoryBytes: math.MaxInt64},
			{Model: "two", Accelerators: []string{"a0"}, MemoryBytes: math.MaxInt64},
		}
		l = l.WithReport(a)
		Expect(contradictionPaths(l)).To(ContainElement("$.accelerators[0]"))
		Expect(accountOf(l).WorstCase()).To(BeZero())
		setUp(upstreamapi.FencingChecked, true)
		l = recordAll(l, loadOrder("o1", 1, "pings", 10))
		_, err := l.WithOrder(loadOrder("o2", 1, "fares", math.MaxInt64))
		var memoryError *ledger.InsufficientMemoryError
		Expect(errors.As(err, &memoryError)).To(BeTrue())
	})
})
