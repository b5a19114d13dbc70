package manifest_test

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lovagelift/lovagelift/internal/manifest"
	"github.com/lovagelift/lovagelift/internal/upstreamapi"
)

var startTime = time.Date(2026, 12, 2, 12, 0, 0, 0, time.UTC)

// announcement returns the announcement of an engine with one accelerator of 100
// bytes.
func announcement(name string, incarnation uint64) upstreamapi.Announcement {
	return upstreamapi.Announcement{
		Name: name, Incarnation: incarnation, Revision: 1, Kind: upstreamapi.KindEngine, Address: "127.0.0.1:9000",
		FailureDomain: "kgn-a", Fencing: upstreamapi.FencingChecked,
		Capabilities: []upstreamapi.Capability{upstreamapi.CapabilityOrders, upstreamapi.CapabilityOrderExpiry},
		Accelerators: []upstreamapi.Accelerator{{Name: "a0", MemoryBytes: 100}},
		Load:         upstreamapi.Load{Clock: startTime},
	}
}

func loadOrder(number, term, incarnation uint64, model string, bytes int64) upstreamapi.Order {
	return upstreamapi.Order{
		ID: fmt.Sprintf("order-%d", number), Number: number, Fencing: term, Incarnation: incarnation,
		NotAfter: startTime.Add(10 * time.Second), Kind: upstreamapi.OrderLoadModel, Model: model, Version: "1",
		Accelerators: []string{"a0"}, MemoryBytes: bytes,
	}
}

func recordOrder(engine string, order upstreamapi.Order) manifest.Record {
	return manifest.Record{Engine: engine, Order: order, Reason: "unreachable", At: startTime}
}

// newManifestWithEngine returns a manifest at term 1 with the engine "e1".
func newManifestWithEngine() *manifest.Manifest {
	m := manifest.New()
	m.Apply(manifest.NewLeader{Term: 1})
	m.Apply(manifest.Reports{Announcements: []upstreamapi.Announcement{announcement("e1", 1)}})
	return m
}

func snapshotText(m *manifest.Manifest) string {
	data, err := m.Snapshot()
	Expect(err).NotTo(HaveOccurred())
	return string(data)
}

func orderState(m *manifest.Manifest, engine, id string) manifest.State {
	e, _ := m.View().Engine(engine)
	for _, entry := range e.Orders {
		if entry.ID == id {
			return entry.State
		}
	}
	return ""
}

var _ = Describe("Manifest", func() {
	It("rejects an order that may overcommit, counting an order whose answer was lost", func() {
		m := newManifestWithEngine()
		Expect(m.Apply(recordOrder("e1", loadOrder(1, 1, 1, "letters", 60))).Accepted).To(BeTrue())
		Expect(m.Apply(manifest.AnswerLost{Engine: "e1", ID: "order-1"}).Accepted).To(BeTrue())
		rejected := m.Apply(recordOrder("e1", loadOrder(2, 1, 1, "fares", 60)))
		Expect(rejected.Accepted).To(BeFalse())
		Expect(rejected.Reason).To(ContainSubstring("60 possible leave 40, 60 are needed"))
	})

	It("accepts a repeated record of an order and rejects a different order with the same ID", func() {
		m := newManifestWithEngine()
		command := recordOrder("e1", loadOrder(1, 1, 1, "letters", 60))
		m.Apply(command)
		before := snapshotText(m)
		Expect(m.Apply(command).Accepted).To(BeTrue())
		Expect(m.Apply(recordOrder("e1", loadOrder(1, 1, 1, "letters", 50))).Accepted).To(BeFalse())
		Expect(snapshotText(m)).To(Equal(before))
	})

	// A replaced leader's proposal to record an order is committed late, after the new
	// leader's NewLeader. The new leader would not recognize the order as its own.
	It("rejects an order of an earlier leader, and marks its recorded ones as doubtful", func() {
		m := newManifestWithEngine()
		m.Apply(recordOrder("e1", loadOrder(1, 1, 1, "letters", 30)))
		m.Apply(manifest.NewLeader{Term: 2})
		Expect(orderState(m, "e1", "order-1")).To(Equal(manifest.StateDoubtful))
		Expect(m.Apply(recordOrder("e1", loadOrder(2, 1, 1, "fares", 30))).Accepted).To(BeFalse())
		Expect(m.Apply(recordOrder("e1", loadOrder(2, 3, 1, "fares", 30))).Accepted).To(BeFalse(), "before that leader's Lead")
		Expect(m.Apply(manifest.Withdraw{Engine: "e1", ID: "order-1", Term: 1}).Accepted).To(BeFalse())
		Expect(m.Apply(manifest.Resend{Engine: "e1", ID: "order-1", Term: 1}).Accepted).To(BeFalse())
	})

	// Package roster combines an engine's inventory with the clock of a later load
	// report. The order started between the two. With that clock it would count as
	// expired and not running, and its memory would be allocated twice.
	It("does not accept a clock later than the inventory as proof of expiry", func() {
		m := newManifestWithEngine()
		m.Apply(recordOrder("e1", loadOrder(1, 1, 1, "letters", 60)))
		merged := announcement("e1", 1)
		merged.Load.Clock = startTime.Add(time.Minute)
		m.Apply(manifest.Reports{Announcements: []upstreamapi.Announcement{merged}})
		Expect(orderState(m, "e1", "order-1")).To(Equal(manifest.StateRecorded))
		Expect(m.Apply(recordOrder("e1", loadOrder(2, 1, 1, "fares", 60))).Accepted).To(BeFalse())
	})

	It("accepts the clock in the engine's own answer as proof of expiry", func() {
		m := newManifestWithEngine()
		m.Apply(recordOrder("e1", loadOrder(1, 1, 1, "letters", 60)))
		a := announcement("e1", 1)
		answer := upstreamapi.OrderResponse{
			ID: "order-1", State: upstreamapi.OrderUnknown, Clock: startTime.Add(time.Minute), Incarnation: 1, Revision: 1,
			Accelerators: a.Accelerators,
		}
		e, _ := m.View().Engine("e1")
		Expect(e.ChangedByAnswer(answer)).To(BeTrue())
		m.Apply(manifest.Answer{Engine: "e1", Answer: answer})
		Expect(orderState(m, "e1", "order-1")).To(Equal(manifest.StateClosedWithoutAnswer))
	})

	// The answer about one order proves that another one, which has failed, is over. Its
	// own answer comes after that. Without its outcome, the load would be tried again at once.
	It("records a final answer to an order that was proved to be over before", func() {
		m := newManifestWithEngine()
		m.Apply(recordOrder("e1", loadOrder(1, 1, 1, "letters", 30)))
		m.Apply(recordOrder("e1", loadOrder(2, 1, 1, "fares", 30)))
		answer := upstreamapi.OrderResponse{
			ID: "order-1", State: upstreamapi.OrderDone, Clock: startTime.Add(time.Minute), Incarnation: 1, Revision: 3,
			Accelerators: announcement("e1", 1).Accelerators,
			Resident:     []upstreamapi.Resident{{Model: "letters", Version: "1", Accelerators: []string{"a0"}, MemoryBytes: 30}},
		}
		m.Apply(manifest.Answer{Engine: "e1", Answer: answer})
		Expect(orderState(m, "e1", "order-1")).To(Equal(manifest.StateDone))
		Expect(orderState(m, "e1", "order-2")).To(Equal(manifest.StateClosedWithoutAnswer))
		answer.ID, answer.State, answer.Reason = "order-2", upstreamapi.OrderFailed, "no weights"
		e, _ := m.View().Engine("e1")
		Expect(e.ChangedByAnswer(answer)).To(BeTrue())
		m.Apply(manifest.Answer{Engine: "e1", Answer: answer})
		Expect(orderState(m, "e1", "order-2")).To(Equal(manifest.StateRefused))
		e, _ = m.View().Engine("e1")
		Expect(e.ChangedByAnswer(answer)).To(BeFalse())
	})

	It("keeps an engine while an order to it is open, and reuses no order number", func() {
		m := newManifestWithEngine()
		m.Apply(recordOrder("e1", loadOrder(7, 1, 1, "letters", 60)))
		Expect(m.Apply(manifest.RemoveEngine{Engine: "e1"}).Accepted).To(BeFalse())
		Expect(m.Apply(manifest.Withdraw{Engine: "e1", ID: "order-7", Term: 1}).Accepted).To(BeTrue())
		Expect(m.Apply(manifest.RemoveEngine{Engine: "e1"}).Accepted).To(BeTrue())
		Expect(m.View().Engines).To(BeEmpty())
		m.Apply(manifest.Reports{Announcements: []upstreamapi.Announcement{announcement("e1", 1)}})
		Expect(m.Apply(recordOrder("e1", loadOrder(7, 1, 1, "letters", 60))).Accepted).To(BeFalse())
	})

	It("limits the number of orders and the size of texts", func() {
		m := newManifestWithEngine()
		for number := range uint64(200) {
			order := loadOrder(number+1, 1, 1, "letters", 1)
			Expect(m.Apply(recordOrder("e1", order)).Accepted).To(BeTrue())
			m.Apply(manifest.Withdraw{Engine: "e1", ID: order.ID, Term: 1})
		}
		e, _ := m.View().Engine("e1")
		Expect(len(e.Orders)).To(BeNumerically("<=", 17))
		longReason := recordOrder("e1", loadOrder(201, 1, 1, "letters", 1))
		longReason.Reason = strings.Repeat("w", manifest.MaxReasonBytes+1)
		Expect(m.Apply(longReason).Accepted).To(BeFalse())
		for number := range uint64(manifest.MaxOpenOrders) {
			Expect(m.Apply(recordOrder("e1", loadOrder(300+number, 1, 1, fmt.Sprint("m", number), 1))).Accepted).To(BeTrue())
		}
		Expect(m.Apply(recordOrder("e1", loadOrder(400, 1, 1, "last", 1))).Accepted).To(BeFalse())
	})

	// Random commands, some of them repeated, are encoded, decoded and applied to two
	// replicas, one of which is restored from a snapshot before each command. Their
	// states must be equal, and no accelerator may be overcommitted.
	It("is the same after each command on a replica that was restored", func() {
		for seed := range uint64(20) {
			random := rand.New(rand.NewPCG(seed, 7))
			m, restored := newManifestWithEngine(), newManifestWithEngine()
			for step := range uint64(150) {
				data, err := manifest.Encode(randomCommand(random, step+1))
				Expect(err).NotTo(HaveOccurred())
				command, err := manifest.Decode(data)
				Expect(err).NotTo(HaveOccurred())
				result := m.Apply(command)
				restored, err = manifest.Restore([]byte(snapshotText(restored)))
				Expect(err).NotTo(HaveOccurred())
				Expect(restored.Apply(command)).To(Equal(result), "seed %d step %d", seed, step)
				Expect(snapshotText(restored)).To(Equal(snapshotText(m)), "seed %d step %d", seed, step)
				for _, e := range m.View().Engines {
					account, _ := e.Ledger.Account("a0")
					Expect(account.WorstCase()).To(BeNumerically("<=", account.Memory), "seed %d step %d", seed, step)
				}
			}
		}
	})

	It("does not decode unknown commands", func() {
		for _, data := range []string{`{}`, `{"colour":{}}`, `{"lead":{"term":1,"colour":"red"}}`, `[]`} {
			_, err := manifest.Decode([]byte(data))
			Expect(err).To(HaveOccurred(), data)
		}
	})
})

func randomCommand(random *rand.Rand, number uint64) manifest.Command {
	engine := fmt.Sprint("e", 1+random.IntN(2))
	id := fmt.Sprintf("order-%d", 1+random.Uint64N(number))
	term := 1 + number/40
	switch random.IntN(8) {
	case 0:
		return manifest.NewLeader{Term: term}
	case 1:
		a := announcement(engine, 1+number/100)
		a.Revision = 1 + random.Uint64N(number)
		return manifest.Reports{Announcements: []upstreamapi.Announcement{a}}
	case 2, 3:
		model := []string{"letters", "fares", "pings"}[random.IntN(3)]
		return recordOrder(engine, loadOrder(number, term, 1+number/100, model, 1+random.Int64N(60)))
	case 4:
		return manifest.Resend{Engine: engine, ID: id, Term: term}
	case 5:
		return manifest.AnswerLost{Engine: engine, ID: id}
	case 6:
		states := []upstreamapi.OrderState{upstreamapi.OrderRunning, upstreamapi.OrderFailed, upstreamapi.OrderUnknown}
		a := announcement(engine, 1+number/100)
		return manifest.Answer{Engine: engine, Answer: upstreamapi.OrderResponse{
			ID: id, State: states[random.IntN(3)], Incarnation: a.Incarnation, Revision: number, Clock: startTime,
			Accelerators: a.Accelerators,
		}}
	default:
		return manifest.Withdraw{Engine: engine, ID: id, Term: term}
	}
}
