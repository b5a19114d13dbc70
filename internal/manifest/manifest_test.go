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

var start = time.Date(2026, 12, 2, 12, 0, 0, 0, time.UTC)

// announcement is that of an engine with one accelerator of 100 bytes.
func announcement(name string, incarnation uint64) upstreamapi.Announcement {
	return upstreamapi.Announcement{
		Name: name, Incarnation: incarnation, Revision: 1, Kind: upstreamapi.KindEngine, Address: "127.0.0.1:9000",
		FailureDomain: "kgn-a", Fencing: upstreamapi.FencingChecked,
		Capabilities: []upstreamapi.Capability{upstreamapi.CapabilityOrders, upstreamapi.CapabilityOrderExpiry},
		Accelerators: []upstreamapi.Accelerator{{Name: "a0", MemoryBytes: 100}},
		Load:         upstreamapi.Load{Clock: start},
	}
}

func load(number, term, incarnation uint64, model string, bytes int64) upstreamapi.Order {
	return upstreamapi.Order{
		ID: fmt.Sprintf("order-%d", number), Number: number, Fencing: term, Incarnation: incarnation,
		NotAfter: start.Add(10 * time.Second), Kind: upstreamapi.OrderLoadModel, Model: model, Version: "1",
		Accelerators: []string{"a0"}, MemoryBytes: bytes,
	}
}

func record(engine string, order upstreamapi.Order) manifest.Record {
	return manifest.Record{Engine: engine, Order: order, Why: "unreachable", At: start}
}

// led returns a manifest under term 1 with one engine.
func led() *manifest.Manifest {
	m := manifest.New()
	m.Apply(manifest.Lead{Term: 1})
	m.Apply(manifest.Reports{Announcements: []upstreamapi.Announcement{announcement("e1", 1)}})
	return m
}

func bytesOf(m *manifest.Manifest) string {
	data, err := m.Snapshot()
	Expect(err).NotTo(HaveOccurred())
	return string(data)
}

func state(m *manifest.Manifest, engine, id string) manifest.State {
	e, _ := m.View().Engine(engine)
	for _, entry := range e.Orders {
		if entry.ID == id {
			return entry.State
		}
	}
	return ""
}

var _ = Describe("Manifest", func() {
	It("refuses an order that may overcommit, also beside one whose answer was lost", func() {
		m := led()
		Expect(m.Apply(record("e1", load(1, 1, 1, "letters", 60))).Accepted).To(BeTrue())
		Expect(m.Apply(manifest.Lost{Engine: "e1", ID: "order-1"}).Accepted).To(BeTrue())
		refused := m.Apply(record("e1", load(2, 1, 1, "fares", 60)))
		Expect(refused.Accepted).To(BeFalse())
		Expect(refused.Reason).To(ContainSubstring("60 possible leave 40, 60 are needed"))
	})

	It("takes an order that is recorded again for the same, and another one under its id not", func() {
		m := led()
		command := record("e1", load(1, 1, 1, "letters", 60))
		m.Apply(command)
		before := bytesOf(m)
		Expect(m.Apply(command).Accepted).To(BeTrue())
		Expect(m.Apply(record("e1", load(1, 1, 1, "letters", 50))).Accepted).To(BeFalse())
		Expect(bytesOf(m)).To(Equal(before))
	})

	// A leader that was replaced has an order proposed whose commit is late. The
	// new leader has led already: it would not know the order for its own.
	It("refuses the record of an earlier leader, and counts what it recorded before as doubtful", func() {
		m := led()
		m.Apply(record("e1", load(1, 1, 1, "letters", 30)))
		m.Apply(manifest.Lead{Term: 2})
		Expect(state(m, "e1", "order-1")).To(Equal(manifest.StateDoubtful))
		Expect(m.Apply(record("e1", load(2, 1, 1, "fares", 30))).Accepted).To(BeFalse())
		Expect(m.Apply(record("e1", load(2, 3, 1, "fares", 30))).Accepted).To(BeFalse(), "before that leader's Lead")
		Expect(m.Apply(manifest.Withdraw{Engine: "e1", ID: "order-1", Term: 1}).Accepted).To(BeFalse())
		Expect(m.Apply(manifest.Resend{Engine: "e1", ID: "order-1", Term: 1}).Accepted).To(BeFalse())
	})

	// The roster joins what the engine said that it holds with the clock of a later
	// load report. The order began between the two. By that clock it would have
	// expired without being under way, and its memory be given out twice.
	It("takes no proof of expiry from a clock that is later than the inventory", func() {
		m := led()
		m.Apply(record("e1", load(1, 1, 1, "letters", 60)))
		joined := announcement("e1", 1)
		joined.Load.Clock = start.Add(time.Minute)
		m.Apply(manifest.Reports{Announcements: []upstreamapi.Announcement{joined}})
		Expect(state(m, "e1", "order-1")).To(Equal(manifest.StateRecorded))
		Expect(m.Apply(record("e1", load(2, 1, 1, "fares", 60))).Accepted).To(BeFalse())
	})

	It("takes the engine's own answer with its clock for a proof of expiry", func() {
		m := led()
		m.Apply(record("e1", load(1, 1, 1, "letters", 60)))
		a := announcement("e1", 1)
		answer := upstreamapi.OrderAnswer{
			ID: "order-1", State: upstreamapi.OrderUnknown, Clock: start.Add(time.Minute), Incarnation: 1, Revision: 1,
			Accelerators: a.Accelerators,
		}
		e, _ := m.View().Engine("e1")
		Expect(e.LearnsFrom(answer)).To(BeTrue())
		m.Apply(manifest.Answer{Engine: "e1", Answer: answer})
		Expect(state(m, "e1", "order-1")).To(Equal(manifest.StateOver))
	})

	It("forgets no engine to which an order may yet take effect, and uses no number twice", func() {
		m := led()
		m.Apply(record("e1", load(7, 1, 1, "letters", 60)))
		Expect(m.Apply(manifest.Forget{Engine: "e1"}).Accepted).To(BeFalse())
		Expect(m.Apply(manifest.Withdraw{Engine: "e1", ID: "order-7", Term: 1}).Accepted).To(BeTrue())
		Expect(m.Apply(manifest.Forget{Engine: "e1"}).Accepted).To(BeTrue())
		Expect(m.View().Engines).To(BeEmpty())
		m.Apply(manifest.Reports{Announcements: []upstreamapi.Announcement{announcement("e1", 1)}})
		Expect(m.Apply(record("e1", load(7, 1, 1, "letters", 60))).Accepted).To(BeFalse())
	})

	It("is bounded in orders and texts", func() {
		m := led()
		for number := range uint64(200) {
			order := load(number+1, 1, 1, "letters", 1)
			Expect(m.Apply(record("e1", order)).Accepted).To(BeTrue())
			m.Apply(manifest.Withdraw{Engine: "e1", ID: order.ID, Term: 1})
		}
		e, _ := m.View().Engine("e1")
		Expect(len(e.Orders)).To(BeNumerically("<=", 17))
		long := record("e1", load(201, 1, 1, "letters", 1))
		long.Why = strings.Repeat("w", manifest.MaxWhyBytes+1)
		Expect(m.Apply(long).Accepted).To(BeFalse())
		for number := range uint64(manifest.MaxOpen) {
			Expect(m.Apply(record("e1", load(300+number, 1, 1, fmt.Sprint("m", number), 1))).Accepted).To(BeTrue())
		}
		Expect(m.Apply(record("e1", load(400, 1, 1, "last", 1))).Accepted).To(BeFalse())
	})

	// One replica applies commands as they come, another is restored from a
	// snapshot before each, and the commands reach both through their encoding.
	// Some come twice. Both hold the same, and no accelerator is overcommitted.
	It("is the same after each command on a replica that was restored", func() {
		for seed := range uint64(20) {
			random := rand.New(rand.NewPCG(seed, 7))
			m, other := led(), led()
			for step := range uint64(150) {
				data, err := manifest.Encode(randomCommand(random, step+1))
				Expect(err).NotTo(HaveOccurred())
				command, err := manifest.Decode(data)
				Expect(err).NotTo(HaveOccurred())
				first := m.Apply(command)
				other, err = manifest.Restore([]byte(bytesOf(other)))
				Expect(err).NotTo(HaveOccurred())
				Expect(other.Apply(command)).To(Equal(first), "seed %d step %d", seed, step)
				Expect(bytesOf(other)).To(Equal(bytesOf(m)), "seed %d step %d", seed, step)
				for _, e := range m.View().Engines {
					account, _ := e.Ledger.Account("a0")
					Expect(account.Worst()).To(BeNumerically("<=", account.Memory), "seed %d step %d", seed, step)
				}
			}
		}
	})

	It("reads no command that it does not know", func() {
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
		return manifest.Lead{Term: term}
	case 1:
		a := announcement(engine, 1+number/100)
		a.Revision = 1 + random.Uint64N(number)
		return manifest.Reports{Announcements: []upstreamapi.Announcement{a}}
	case 2, 3:
		model := []string{"letters", "fares", "pings"}[random.IntN(3)]
		return record(engine, load(number, term, 1+number/100, model, 1+random.Int64N(60)))
	case 4:
		return manifest.Resend{Engine: engine, ID: id, Term: term}
	case 5:
		return manifest.Lost{Engine: engine, ID: id}
	case 6:
		states := []upstreamapi.OrderState{upstreamapi.OrderRunning, upstreamapi.OrderFailed, upstreamapi.OrderUnknown}
		a := announcement(engine, 1+number/100)
		return manifest.Answer{Engine: engine, Answer: upstreamapi.OrderAnswer{
			ID: id, State: states[random.IntN(3)], Incarnation: a.Incarnation, Revision: number, Clock: start,
			Accelerators: a.Accelerators,
		}}
	default:
		return manifest.Withdraw{Engine: engine, ID: id, Term: term}
	}
}
