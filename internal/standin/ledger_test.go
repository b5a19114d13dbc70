package standin_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/lovagelift/lovagelift/internal/ledger"
	"github.com/lovagelift/lovagelift/internal/standin"
	"github.com/lovagelift/lovagelift/internal/upstreamapi"
)

// randomOrder returns an order of a random kind for one of a few models and
// versions.
func randomOrder(random *rand.Rand, number, fencing, incarnation uint64, now time.Time) upstreamapi.Order {
	kinds := []upstreamapi.OrderKind{
		upstreamapi.OrderLoadModel, upstreamapi.OrderLoadModel, upstreamapi.OrderUnloadModel, upstreamapi.OrderLoadAdapter,
		upstreamapi.OrderUnloadAdapter, upstreamapi.OrderChangeVersion, upstreamapi.OrderChangeRole,
	}
	from := random.IntN(2)
	versions := []string{"v1", "v2"}
	order := upstreamapi.Order{
		ID: fmt.Sprintf("o%d", number), Number: number, Fencing: fencing, Incarnation: incarnation,
		NotAfter: now.Add(time.Duration(random.IntN(5)) * time.Second), Kind: kinds[random.IntN(len(kinds))],
		Model: []string{"letters", "pings", "fares"}[random.IntN(3)], Version: versions[from],
		Accelerators: []string{"a0"}, MemoryBytes: 1 + random.Int64N(50),
	}
	switch order.Kind {
	case upstreamapi.OrderChangeVersion:
		order.FromVersion = versions[1-from]
	case upstreamapi.OrderChangeRole:
		order.Model, order.Version, order.Accelerators, order.Role = "", "", nil, upstreamapi.RoleDecode
	case upstreamapi.OrderLoadAdapter, upstreamapi.OrderUnloadAdapter:
		order.Adapter = "clerk"
	default:
	}
	return order
}

// A leader sends random orders over a network that loses orders and responses
// and delivers orders late. The engine's reports must never contradict the
// ledger, the ledger must never count less memory than the engine uses, and no
// order may need more memory than is free. At least one of these fails if the
// engine and the ledger interpret the API differently.
func TestOrdersByTheLedgerNeverOvercommit(t *testing.T) {
	for _, fencing := range []upstreamapi.Fencing{upstreamapi.FencingChecked, upstreamapi.FencingIgnored} {
		for seed := range uint64(30) {
			t.Run(fmt.Sprintf("%s, seed %d", fencing, seed), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) { runRandomOrders(t, fencing, seed) })
			})
		}
	}
}

func runRandomOrders(t *testing.T, fencing upstreamapi.Fencing, seed uint64) {
	RegisterTestingT(t)
	random := rand.New(rand.NewPCG(seed, 1))
	clock := standin.NewManualClock(start)
	engine := standin.NewEngine(standin.EngineOptions{
		Incarnation: incarnation, Fencing: fencing, Clock: clock, LoadDelay: 2 * time.Second, UnloadDelay: time.Second,
		Accelerators: []upstreamapi.Accelerator{{Name: "a0", MemoryBytes: 100}},
	})
	defer func() { _ = engine.Close(context.Background()) }()
	account := ledger.Ledger{}.WithReport(engine.Announcement())
	leaderFencing, sentOrders := uint64(1), []upstreamapi.Order{}
	revisions := map[uint64]upstreamapi.Inventory{}

	for number := range uint64(200) {
		switch random.IntN(6) {
		case 0, 1:
			order := randomOrder(random, number+1, leaderFencing, incarnation, clock.Now())
			if next, err := account.WithOrder(order); err == nil {
				account, sentOrders = next, append(sentOrders, order)
			}
		case 2, 3:
			if len(sentOrders) > 0 {
				response := sendOrder(engine, sentOrders[random.IntN(len(sentOrders))])
				if random.IntN(2) == 0 {
					account = account.WithAnswer(response)
				}
			}
		case 4:
			clock.Advance(time.Duration(random.IntN(3)) * time.Second)
		case 5:
			leaderFencing += uint64(random.IntN(2))
			account = account.WithLeader(leaderFencing).WithReport(engine.Announcement())
		}
		synctest.Wait()
		inventory := engine.Announcement().Inventory()
		inventory.Clock = time.Time{}
		if before, known := revisions[inventory.Revision]; known {
			Expect(inventory).To(Equal(before), "step %d: inventory changed without a new revision", number)
		}
		revisions[inventory.Revision] = inventory
		memoryAccount, _ := account.Account("a0")
		Expect(account.Contradictions()).To(BeEmpty(), "step %d", number)
		Expect(usedBytes(engine)).To(BeNumerically("<=", memoryAccount.WorstCase()), "step %d", number)
		Expect(engine.Overcommits()).To(BeZero(), "step %d", number)
	}
}
