package ledger_test

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/cockroachdb/errors"

	"github.com/lovagelift/lovagelift/internal/ledger"
	"github.com/lovagelift/lovagelift/internal/upstreamapi"
)

// seeds are run for each kind of engine. One that has shown a fault is kept in
// kept as well, unchanged.
const seeds = 100

// kept are seeds that have shown a fault.
var kept = []uint64{1518, 595}

const steps = 400

// world is an engine, the account of it, and a network between the two that
// loses, delays, doubles and reorders everything.
//
// In every other world a thing has the same size in each order, as declared
// models have; in the rest its size changes from order to order.
type world struct {
	sized   bool
	sizes   map[string]int64
	random  *rand.Rand
	engine  *engine
	ledger  ledger.Ledger
	fencing uint64
	number  uint64
	orders  []upstreamapi.Order
	answers []upstreamapi.OrderAnswer
	reports []upstreamapi.Announcement
}

func newWorld(seed uint64, e *engine) *world {
	w := &world{random: rand.New(rand.NewPCG(seed, 0)), engine: e, fencing: 1}
	w.sized, w.sizes = seed%2 == 0, map[string]int64{}
	w.ledger = w.ledger.WithReport(e.report())
	return w
}

// order returns a random order of the present leader.
func (w *world) order() upstreamapi.Order {
	w.number++
	kinds := []upstreamapi.OrderKind{
		upstreamapi.OrderLoadModel, upstreamapi.OrderLoadModel, upstreamapi.OrderUnloadModel, upstreamapi.OrderLoadAdapter,
		upstreamapi.OrderUnloadAdapter, upstreamapi.OrderChangeVersion, upstreamapi.OrderChangeRole,
	}
	order := upstreamapi.Order{
		ID: fmt.Sprintf("o%d", w.number), Number: w.number, Fencing: w.fencing, Incarnation: w.ledger.Incarnation(),
		Kind: kinds[w.random.IntN(len(kinds))], Accelerators: []string{"a0"}, MemoryBytes: 1 + w.random.Int64N(60),
		NotAfter: w.engine.clock.Add(time.Duration(w.random.IntN(20)) * time.Second),
	}
	versions := []string{"v1", "v2"}
	from := w.random.IntN(2)
	switch order.Kind {
	case upstreamapi.OrderChangeRole:
		order.Role, order.MemoryBytes = upstreamapi.RoleDecode, w.random.Int64N(40)
		return order
	case upstreamapi.OrderLoadAdapter, upstreamapi.OrderUnloadAdapter:
		order.Adapter = []string{"clerk", "desk"}[w.random.IntN(2)]
	case upstreamapi.OrderChangeVersion:
		order.FromVersion = versions[1-from]
	default:
	}
	order.Model, order.Version = []string{"letters", "pings", "fares"}[w.random.IntN(3)], versions[from]
	key := order.Model + order.Version + order.Adapter
	if size, known := w.sizes[key]; known && w.sized {
		order.MemoryBytes = size
	}
	w.sizes[key] = order.MemoryBytes
	return order
}

func (w *world) step() {
	switch w.random.IntN(12) {
	case 0, 1:
		if next, err := w.ledger.WithOrder(w.order()); err == nil {
			w.ledger = next
			w.send(next.Open()[len(next.Open())-1])
		}
	case 2:
		if open := w.ledger.Open(); len(open) > 0 {
			id := open[w.random.IntN(len(open))].ID
			if next, err := w.ledger.WithResent(id, w.fencing); err == nil {
				w.ledger = next
				w.send(next.Open()[slices.IndexFunc(next.Open(), func(o upstreamapi.Order) bool { return o.ID == id })])
			}
			w.ledger = w.ledger.WithLost(id)
		}
	case 3, 4, 5:
		if len(w.orders) > 0 {
			// The copy stays on its way as often as not, and arrives again.
			i := w.random.IntN(len(w.orders))
			w.answers = append(w.answers, w.engine.take(w.orders[i]))
			if w.random.IntN(2) == 0 {
				w.orders = slices.Delete(w.orders, i, i+1)
			}
		}
	case 6, 7:
		if len(w.engine.underWay) > 0 {
			w.engine.finish(w.random.IntN(len(w.engine.underWay)))
		}
	case 8:
		if len(w.answers) > 0 {
			i := w.random.IntN(len(w.answers))
			w.ledger = w.ledger.WithAnswer(w.answers[i])
			w.answers = slices.Delete(w.answers, i, i+1)
		}
	case 9:
		w.reports = append(w.reports, w.engine.report())
		w.ledger = w.ledger.WithReport(w.reports[w.random.IntN(len(w.reports))])
	case 10:
		w.engine.clock = w.engine.clock.Add(time.Duration(w.random.IntN(5)) * time.Second)
	case 11:
		w.rare()
	}
}

// send puts no copy of an order on its way, or up to two.
func (w *world) send(order upstreamapi.Order) {
	for range w.random.IntN(3) {
		w.orders = append(w.orders, order)
	}
}

func (w *world) rare() {
	switch w.random.IntN(4) {
	case 0:
		w.engine.restart()
	case 1, 2:
		w.fencing++
		w.ledger = w.ledger.WithLeader(w.fencing)
	default:
		data, err := json.Marshal(w.ledger)
		Expect(err).NotTo(HaveOccurred())
		w.ledger = ledger.Ledger{}
		Expect(json.Unmarshal(data, &w.ledger)).To(Succeed())
	}
}

// check fails if the engine is overcommitted, the account does not cover what is
// in memory, or an honest engine is taken to contradict it.
func (w *world) check(step int) {
	account, known := w.ledger.Account("a0")
	Expect(known).To(BeTrue())
	if w.engine.used() > capacity {
		Fail(fmt.Sprintf("step %d: %d bytes are taken, account %+v", step, w.engine.used(), account))
	}
	if account.Worst() > account.Memory || min(account.Resident, account.Reserved, account.Possible) < 0 {
		Fail(fmt.Sprintf("step %d: account %+v", step, account))
	}
	if w.engine.incarnation == w.ledger.Incarnation() && w.engine.used() > account.Worst() {
		Fail(fmt.Sprintf("step %d: %d bytes are taken, account %+v", step, w.engine.used(), account))
	}
	if found := w.ledger.Contradictions(); len(found) > 0 {
		Fail(fmt.Sprintf("step %d: %v", step, found))
	}
}

// settle lets everything through that is still to be known.
func (w *world) settle() {
	w.ledger = w.ledger.WithReport(w.engine.report())
	for len(w.engine.underWay) > 0 {
		w.engine.finish(0)
	}
	for _, order := range w.ledger.Open() {
		next, err := w.ledger.WithResent(order.ID, w.fencing)
		if errors.Is(err, ledger.ErrUnknownOrder) {
			continue // The answer to another has proved it over.
		}
		Expect(err).NotTo(HaveOccurred())
		w.ledger = next
		order.Fencing = w.fencing
		w.ledger = w.ledger.WithAnswer(w.engine.take(order))
		for len(w.engine.underWay) > 0 {
			w.engine.finish(0)
		}
		w.ledger = w.ledger.WithAnswer(w.engine.answer(order.ID))
	}
}

var _ = Describe("A ledger in a bad network", func() {
	// Leaders order a naive engine about while orders and answers are lost,
	// doubled, late and out of order, leaders change and the engine restarts. A
	// caller of an overcommitted engine would see it die. Whatever happens, the
	// engine is not overcommitted, and once the network is good again the account
	// and the engine agree.
	DescribeTable("never overcommits, and settles",
		func(fencing upstreamapi.Fencing, expiry bool) {
			for seed := range uint64(seeds + len(kept)) {
				if seed >= seeds {
					seed = kept[seed-seeds]
				}
				By(fmt.Sprintf("seed %d", seed))
				w := newWorld(seed, newEngine(fencing, expiry))
				for i := range steps {
					w.step()
					w.check(i)
				}
				w.settle()
				w.check(steps)
				account, _ := w.ledger.Account("a0")
				Expect(w.ledger.Open()).To(BeEmpty())
				Expect(account.Reserved + account.Possible).To(BeZero())
				if w.sized {
					Expect(account.Worst()).To(Equal(w.engine.used()))
				}
			}
		},
		Entry("that checks fencing numbers and honours expiry", upstreamapi.FencingChecked, true),
		Entry("that checks fencing numbers", upstreamapi.FencingChecked, false),
		Entry("that honours expiry", upstreamapi.FencingIgnored, true),
		Entry("that does neither", upstreamapi.FencingIgnored, false),
	)
})
