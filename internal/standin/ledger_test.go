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

// randomOrder returns an order of random kind for few models of few versions.
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

// A leader orders the engine about over a network that loses orders and answers,
// and delivers orders late. What the engine reports never contradicts the
// account, the account always covers it, and no order asks for more memory than
// there is. If the stand-in and the ledger read the interface differently, one
// of the three fails.
func TestOrdersByTheLedgerNeverOvercommit(t *testing.T) {
	for _, fencing := range []upstreamapi.Fencing{upstreamapi.FencingChecked, upstreamapi.FencingIgnored} {
		for seed := range uint64(30) {
			t.Run(fmt.Sprintf("%s, seed %d", fencing, seed), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) { orderAbout(t, fencing, seed) })
			})
		}
	}
}

func orderAbout(t *testing.T, fencing upstreamapi.Fencing, seed uint64) {
	RegisterTestingT(t)
	random := rand.New(rand.NewPCG(seed, 1))
	clock := standin.NewManualClock(start)
	engine := standin.NewEngine(standin.EngineOptions{
		Incarnation: incarnation, Fencing: fencing, Clock: clock, LoadDelay: 2 * time.Second, UnloadDelay: time.Second,
		Accelerators: []upstreamapi.Accelerator{{Name: "a0", MemoryBytes: 100}},
	})
	defer func() { _ = engine.Close(context.Background()) }()
	account := ledger.Ledger{}.WithReport(engine.Announcement())
	leader, late := uint64(1), []upstreamapi.Order{}
	revisions := map[uint64]upstreamapi.Inventory{}

	for number := range uint64(200) {
		switch random.IntN(6) {
		case 0, 1:
			order := randomOrder(random, number+1, leader, incarnation, clock.Now())
			if next, err := account.WithOrder(order); err == nil {
				account, late = next, append(late, order)
			}
		case 2, 3:
			if len(late) > 0 {
				answer := give(engine, late[random.IntN(len(late))])
				if random.IntN(2) == 0 {
					account = account.WithAnswer(answer)
				}
			}
		case 4:
			clock.Advance(time.Duration(random.IntN(3)) * time.Second)
		case 5:
			leader += uint64(random.IntN(2))
			account = account.WithLeader(leader).WithReport(engine.Announcement())
		}
		synctest.Wait()
		held := engine.Announcement().Inventory()
		held.Clock = time.Time{}
		if before, known := revisions[held.Revision]; known {
			Expect(held).To(Equal(before), "step %d: two inventories of one revision", number)
		}
		revisions[held.Revision] = held
		seen, _ := account.Account("a0")
		Expect(account.Contradictions()).To(BeEmpty(), "step %d", number)
		Expect(used(engine)).To(BeNumerically("<=", seen.Worst()), "step %d", number)
		Expect(engine.Overcommits()).To(BeZero(), "step %d", number)
	}
}
