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

// seedCount is the number of seeds per kind of engine, besides regressionSeeds.
const seedCount = 100

// regressionSeeds are seeds that revealed bugs. They must not be changed.
var regressionSeeds = []uint64{1518, 595}

const stepCount = 400

// simulation consists of an engine, its ledger, and a network between them that
// loses, delays, duplicates and reorders messages.
//
// With even seeds, an artifact has the same size in each order, as declared models
// have. With odd seeds, its size varies from order to order.
type simulation struct {
	fixedSizes bool
	sizes      map[string]int64
	random     *rand.Rand
	engine     *fakeEngine
	ledger     ledger.Ledger
	fencing    uint64
	number     uint64
	orders     []upstreamapi.Order
	answers    []upstreamapi.OrderResponse
	reports    []upstreamapi.Announcement
}

func newSimulation(seed uint64, e *fakeEngine) *simulation {
	s := &simulation{random: rand.New(rand.NewPCG(seed, 0)), engine: e, fencing: 1}
	s.fixedSizes, s.sizes = seed%2 == 0, map[string]int64{}
	s.ledger = s.ledger.WithReport(e.announce())
	return s
}

// randomOrder returns a random order of the current leader.
func (s *simulation) randomOrder() upstreamapi.Order {
	s.number++
	kinds := []upstreamapi.OrderKind{
		upstreamapi.OrderLoadModel, upstreamapi.OrderLoadModel, upstreamapi.OrderUnloadModel, upstreamapi.OrderLoadAdapter,
		upstreamapi.OrderUnloadAdapter, upstreamapi.OrderChangeVersion, upstreamapi.OrderChangeRole,
	}
	order := upstreamapi.Order{
		ID: fmt.Sprintf("o%d", s.number), Number: s.number, Fencing: s.fencing, Incarnation: s.ledger.Incarnation(),
		Kind: kinds[s.random.IntN(len(kinds))], Accelerators: []string{"a0"}, MemoryBytes: 1 + s.random.Int64N(60),
		NotAfter: s.engine.clock.Add(time.Duration(s.random.IntN(20)) * time.Second),
	}
	versions := []string{"v1", "v2"}
	from := s.random.IntN(2)
	switch order.Kind {
	case upstreamapi.OrderChangeRole:
		order.Role, order.MemoryBytes = upstreamapi.RoleDecode, s.random.Int64N(40)
		return order
	case upstreamapi.OrderLoadAdapter, upstreamapi.OrderUnloadAdapter:
		order.Adapter = []string{"clerk", "desk"}[s.random.IntN(2)]
	case upstreamapi.OrderChangeVersion:
		order.FromVersion = versions[1-from]
	default:
	}
	order.Model, order.Version = []string{"letters", "pings", "fares"}[s.random.IntN(3)], versions[from]
	key := order.Model + order.Version + order.Adapter
	if size, known := s.sizes[key]; known && s.fixedSizes {
		order.MemoryBytes = size
	}
	s.sizes[key] = order.MemoryBytes
	return order
}

func (s *simulation) step() {
	switch s.random.IntN(12) {
	case 0, 1:
		if next, err := s.ledger.WithOrder(s.randomOrder()); err == nil {
			s.ledger = next
			s.sendCopies(next.Open()[len(next.Open())-1])
		}
	case 2:
		if open := s.ledger.Open(); len(open) > 0 {
			id := open[s.random.IntN(len(open))].ID
			if next, err := s.ledger.WithResent(id, s.fencing); err == nil {
				s.ledger = next
				s.sendCopies(next.Open()[slices.IndexFunc(next.Open(), func(o upstreamapi.Order) bool { return o.ID == id })])
			}
			s.ledger = s.ledger.WithAnswerLost(id)
		}
	case 3, 4, 5:
		if len(s.orders) > 0 {
			// In half of the cases the copy stays in transit and arrives again.
			i := s.random.IntN(len(s.orders))
			s.answers = append(s.answers, s.engine.receive(s.orders[i]))
			if s.random.IntN(2) == 0 {
				s.orders = slices.Delete(s.orders, i, i+1)
			}
		}
	case 6, 7:
		if len(s.engine.underWay) > 0 {
			s.engine.finishOrder(s.random.IntN(len(s.engine.underWay)))
		}
	case 8:
		if len(s.answers) > 0 {
			i := s.random.IntN(len(s.answers))
			s.ledger = s.ledger.WithAnswer(s.answers[i])
			s.answers = slices.Delete(s.answers, i, i+1)
		}
	case 9:
		s.reports = append(s.reports, s.engine.announce())
		s.ledger = s.ledger.WithReport(s.reports[s.random.IntN(len(s.reports))])
	case 10:
		s.engine.clock = s.engine.clock.Add(time.Duration(s.random.IntN(5)) * time.Second)
	case 11:
		s.rareEvent()
	}
}

// sendCopies sends up to two copies of an order, or none.
func (s *simulation) sendCopies(order upstreamapi.Order) {
	for range s.random.IntN(3) {
		s.orders = append(s.orders, order)
	}
}

// rareEvent restarts the engine, changes the leader, or restores the ledger from its
// stored form.
func (s *simulation) rareEvent() {
	switch s.random.IntN(4) {
	case 0:
		s.engine.restart()
	case 1, 2:
		s.fencing++
		s.ledger = s.ledger.WithLeader(s.fencing)
	default:
		data, err := json.Marshal(s.ledger)
		Expect(err).NotTo(HaveOccurred())
		s.ledger = ledger.Ledger{}
		Expect(json.Unmarshal(data, &s.ledger)).To(Succeed())
	}
}

// checkInvariants fails if the engine is overcommitted, the account does not cover
// the memory in use, or the reports of a correct engine are recorded as
// contradictions.
func (s *simulation) checkInvariants(step int) {
	account, known := s.ledger.Account("a0")
	Expect(known).To(BeTrue())
	if s.engine.usedBytes() > acceleratorBytes {
		Fail(fmt.Sprintf("step %d: %d bytes are taken, account %+v", step, s.engine.usedBytes(), account))
	}
	if account.WorstCase() > account.Memory || min(account.Resident, account.Reserved, account.Possible) < 0 {
		Fail(fmt.Sprintf("step %d: account %+v", step, account))
	}
	if s.engine.incarnation == s.ledger.Incarnation() && s.engine.usedBytes() > account.WorstCase() {
		Fail(fmt.Sprintf("step %d: %d bytes are taken, account %+v", step, s.engine.usedBytes(), account))
	}
	if found := s.ledger.Contradictions(); len(found) > 0 {
		Fail(fmt.Sprintf("step %d: %v", step, found))
	}
}

// settle resends all open orders over a reliable network until they are closed.
func (s *simulation) settle() {
	s.ledger = s.ledger.WithReport(s.engine.announce())
	for len(s.engine.underWay) > 0 {
		s.engine.finishOrder(0)
	}
	for _, order := range s.ledger.Open() {
		next, err := s.ledger.WithResent(order.ID, s.fencing)
		if errors.Is(err, ledger.ErrUnknownOrder) {
			continue // The answer to another order closed it.
		}
		Expect(err).NotTo(HaveOccurred())
		s.ledger = next
		order.Fencing = s.fencing
		s.ledger = s.ledger.WithAnswer(s.engine.receive(order))
		for len(s.engine.underWay) > 0 {
			s.engine.finishOrder(0)
		}
		s.ledger = s.ledger.WithAnswer(s.engine.answer(order.ID))
	}
}

var _ = Describe("A ledger in a bad network", func() {
	// Leaders send orders to an engine that doesn't check its memory. Orders and
	// answers are lost, duplicated, delayed and reordered, leaders change and the
	// engine restarts. An overcommitted engine would crash under its callers'
	// requests. The engine must never be overcommitted, and once the network is
	// reliable again the account must match the engine.
	DescribeTable("never overcommits, and settles",
		func(fencing upstreamapi.Fencing, expiry bool) {
			for seed := range uint64(seedCount + len(regressionSeeds)) {
				if seed >= seedCount {
					seed = regressionSeeds[seed-seedCount]
				}
				By(fmt.Sprintf("seed %d", seed))
				s := newSimulation(seed, newEngine(fencing, expiry))
				for i := range stepCount {
					s.step()
					s.checkInvariants(i)
				}
				s.settle()
				s.checkInvariants(stepCount)
				account, _ := s.ledger.Account("a0")
				Expect(s.ledger.Open()).To(BeEmpty())
				Expect(account.Reserved + account.Possible).To(BeZero())
				if s.fixedSizes {
					Expect(account.WorstCase()).To(Equal(s.engine.usedBytes()))
				}
			}
		},
		Entry("that checks fencing numbers and honours expiry", upstreamapi.FencingChecked, true),
		Entry("that checks fencing numbers", upstreamapi.FencingChecked, false),
		Entry("that honours expiry", upstreamapi.FencingIgnored, true),
		Entry("that does neither", upstreamapi.FencingIgnored, false),
	)
})
