package foreman_test

import (
	"context"
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	. "github.com/onsi/gomega"

	"github.com/lovagelift/lovagelift/internal/foreman"
	"github.com/lovagelift/lovagelift/internal/manifest"
	"github.com/lovagelift/lovagelift/internal/upstreamapi"
)

// randomSeeds is the number of seeds tested with each kind of engine.
const randomSeeds = 25

// TestStorms injects random faults: orders and answers are lost or delayed, records fail or are
// committed unnoticed, leaders change, the order right lapses and returns, engines restart or lose
// their announcement lease, stale reports are combined with newer clocks, and declarations change.
// No engine may ever be ordered to use more memory than it has, and no report may contradict the
// ledger. After the faults end, every declared model must be loaded and no order may remain open.
func TestStorms(t *testing.T) {
	for seed := range uint64(randomSeeds) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			forEachEngineKind(t, func(c *testCluster) { runRandomFaults(c, seed) })
		})
	}
}

// faultInjector injects random faults into a testCluster.
type faultInjector struct {
	*testCluster
	seed    uint64
	random  *rand.Rand
	leaders []*foreman.Controller
	term    uint64
	// lastIncarnation is the greatest incarnation of any engine.
	lastIncarnation uint64
	drawCountsMu    sync.Mutex
	drawCounts      map[string]int
	// hidingCommit is set while a record is committed whose proposer will get an error.
	hidingCommit atomic.Bool
}

// draw returns a number below n. It depends only on the seed, the key and the number of earlier
// draws for the key, not on the scheduling of goroutines.
func (f *faultInjector) draw(key string, n int) int {
	f.drawCountsMu.Lock()
	defer f.drawCountsMu.Unlock()
	f.drawCounts[key]++
	sum := fnv.New64a()
	fmt.Fprint(sum, key, " ", f.drawCounts[key])
	return rand.New(rand.NewPCG(f.seed, sum.Sum64())).IntN(n)
}

// faultFor selects the fault for one transmission of an order. Sometimes the order right lapses as
// the order is sent.
func (f *faultInjector) faultFor(order upstreamapi.Order) fault {
	if f.draw("right "+order.ID, 12) == 0 {
		f.grantRight(0)
	}
	return []fault{noFault, noFault, orderLost, answerLost, orderDelayed, notConnected}[f.draw(order.ID, 6)]
}

// rejectProposal rejects some commands, and hides the commit of some records from their proposers.
func (f *faultInjector) rejectProposal(command manifest.Command) error {
	data, err := manifest.Encode(command)
	if err != nil {
		return err
	}
	switch n := f.draw(string(data), 20); {
	case n == 0:
		return errors.New("no quorum")
	case n < 3:
		if record, ok := command.(manifest.Record); ok && !f.hidingCommit.Load() {
			f.hidingCommit.Store(true)
			_, _ = replica{f.testCluster, record.Order.Fencing}.Propose(context.Background(), record)
			f.hidingCommit.Store(false)
			return errors.New("outcome of the command unknown")
		}
	}
	return nil
}

func runRandomFaults(c *testCluster, seed uint64) {
	random := rand.New(rand.NewPCG(seed, 31))
	f := &faultInjector{
		testCluster: c, seed: seed, random: random, term: 1, lastIncarnation: 1, leaders: []*foreman.Controller{c.newController(1)},
		drawCounts: map[string]int{},
	}
	for _, name := range []string{"e1", "e2", "e3"} {
		c.startEngine(name, 1)
	}
	c.net.faultFor, c.beforePropose, c.staleReports = f.faultFor, f.rejectProposal, map[string]upstreamapi.Announcement{}
	for range 60 {
		f.toggleFault()
		c.run(time.Duration(1+random.IntN(8))*250*time.Millisecond, f.leaders...)
	}
	f.clearFaults()
	c.run(150*time.Second, f.leaders...)
	for _, m := range c.declared.Models() {
		Expect(c.hasModel("e1", m.Name) || c.hasModel("e2", m.Name) || c.hasModel("e3", m.Name)).To(BeTrue(), m.Name)
	}
	for name := range c.engines {
		e, _ := c.Manifest().Engine(name)
		Expect(e.Ledger.Contradictions()).To(BeEmpty(), name)
		Expect(e.Ledger.Open()).To(BeEmpty(), name)
	}
}

// toggleFault starts or ends one fault.
func (f *faultInjector) toggleFault() {
	name := fmt.Sprint("e", 1+f.random.IntN(3))
	switch f.random.IntN(11) {
	case 0:
		f.lastIncarnation++
		f.startEngine(name, f.lastIncarnation)
	case 1:
		f.missing[name] = !f.missing[name]
	case 2:
		f.term++
		f.leaders = append(f.leaders[max(0, len(f.leaders)-2):], f.newController(f.term))
		f.grantRight(f.term)
	case 3:
		f.grantRight(0)
	case 4:
		f.grantRight(f.term)
	case 5, 6:
		f.net.deliverDelayed(name)
		synctest.Wait()
		f.checkInvariants()
	case 7, 8:
		// The roster combines this report with later clocks.
		f.staleReports[name] = f.engines[name].Announcement()
	case 9:
		delete(f.staleReports, name)
	default:
		sizes := map[string]int{}
		for _, model := range []string{"a", "b", "c", "d", "f"} {
			if f.random.IntN(2) == 0 {
				sizes[model] = 2 + f.random.IntN(3)
			}
		}
		if len(sizes) > 0 {
			f.declare(sizes)
		}
	}
}

// clearFaults ends all faults and delivers the delayed orders.
func (f *faultInjector) clearFaults() {
	for name := range f.missing {
		f.missing[name] = false
	}
	f.net.faultFor, f.beforePropose, f.staleReports = nil, nil, nil
	if len(f.declared.Models()) == 0 {
		f.declare(map[string]int{"a": 4})
	}
	f.grantRight(f.term)
	for _, name := range []string{"e1", "e2", "e3"} {
		f.net.deliverDelayed(name)
	}
}
