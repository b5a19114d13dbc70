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

// storms is how many seeds each kind of engine goes through.
const storms = 25

// Orders and answers get lost or come late, records fail or are not seen to be
// made, leaders change, the right lapses and comes back, engines restart or are not
// heard of, reports are old and joined with later clocks, and declarations change,
// all at random. No engine is ever asked for more memory than it has, and no report
// contradicts an account. Once the storm is over, every declared model is loaded
// and no order is left open.
func TestStorms(t *testing.T) {
	for seed := range uint64(storms) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			onStage(t, func(s *stage) { storm(s, seed) })
		})
	}
}

// weather is a storm of faults.
type weather struct {
	*stage
	seed    uint64
	random  *rand.Rand
	leaders []*foreman.Foreman
	term    uint64
	// incarnation is the greatest of any engine.
	incarnation uint64
	drawsMu     sync.Mutex
	draws       map[string]int
	// unseen is set while a record is carried out whose proposer does not see it.
	unseen atomic.Bool
}

// drawn returns a number below n that depends on the seed, the key and how often
// the key was drawn for, and not on which goroutine came first.
func (w *weather) drawn(key string, n int) int {
	w.drawsMu.Lock()
	defer w.drawsMu.Unlock()
	w.draws[key]++
	sum := fnv.New64a()
	fmt.Fprint(sum, key, " ", w.draws[key])
	return rand.New(rand.NewPCG(w.seed, sum.Sum64())).IntN(n)
}

// fateOf is that of a copy of an order. Sometimes, the right lapses as it leaves.
func (w *weather) fateOf(order upstreamapi.Order) fate {
	if w.drawn("right "+order.ID, 12) == 0 {
		w.change(0)
	}
	return []fate{arrives, arrives, isLost, losesAnswer, comesLate, unsent}[w.drawn(order.ID, 6)]
}

// refuses leaves some commands out, and has the fate of some records unseen.
func (w *weather) refuses(c manifest.Command) error {
	data, err := manifest.Encode(c)
	if err != nil {
		return err
	}
	switch drawn := w.drawn(string(data), 20); {
	case drawn == 0:
		return errors.New("no quorum")
	case drawn < 3:
		if record, ok := c.(manifest.Record); ok && !w.unseen.Load() {
			w.unseen.Store(true)
			_, _ = right{w.stage, record.Order.Fencing}.Propose(context.Background(), record)
			w.unseen.Store(false)
			return errors.New("the fate of the command is open")
		}
	}
	return nil
}

func storm(s *stage, seed uint64) {
	random := rand.New(rand.NewPCG(seed, 31))
	w := &weather{
		stage: s, seed: seed, random: random, term: 1, incarnation: 1, leaders: []*foreman.Foreman{s.leader(1)},
		draws: map[string]int{},
	}
	for _, name := range []string{"e1", "e2", "e3"} {
		s.start(name, 1)
	}
	s.net.fate, s.before, s.lags = w.fateOf, w.refuses, map[string]upstreamapi.Announcement{}
	for range 60 {
		w.step()
		s.run(time.Duration(1+random.IntN(8))*250*time.Millisecond, w.leaders...)
	}
	w.calm()
	s.run(150*time.Second, w.leaders...)
	for _, m := range s.declared.Models() {
		Expect(s.holds("e1", m.Name) || s.holds("e2", m.Name) || s.holds("e3", m.Name)).To(BeTrue(), m.Name)
	}
	for name := range s.engines {
		e, _ := s.Manifest().Engine(name)
		Expect(e.Ledger.Contradictions()).To(BeEmpty(), name)
		Expect(e.Ledger.Open()).To(BeEmpty(), name)
	}
}

// step causes one fault, or ends one.
func (w *weather) step() {
	name := fmt.Sprint("e", 1+w.random.IntN(3))
	switch w.random.IntN(11) {
	case 0:
		w.incarnation++
		w.start(name, w.incarnation)
	case 1:
		w.gone[name] = !w.gone[name]
	case 2:
		w.term++
		w.leaders = append(w.leaders[max(0, len(w.leaders)-2):], w.leader(w.term))
		w.change(w.term)
	case 3:
		w.change(0)
	case 4:
		w.change(w.term)
	case 5, 6:
		w.net.deliverLate(name)
		synctest.Wait()
		w.check()
	case 7, 8:
		// The roster joins what the engine said now with the clocks of later.
		w.lags[name] = w.engines[name].Announcement()
	case 9:
		delete(w.lags, name)
	default:
		sizes := map[string]int{}
		for _, model := range []string{"a", "b", "c", "d", "f"} {
			if w.random.IntN(2) == 0 {
				sizes[model] = 2 + w.random.IntN(3)
			}
		}
		if len(sizes) > 0 {
			w.declare(sizes)
		}
	}
}

// calm ends all faults. Orders that are late still arrive.
func (w *weather) calm() {
	for name := range w.gone {
		w.gone[name] = false
	}
	w.net.fate, w.before, w.lags = nil, nil, nil
	if len(w.declared.Models()) == 0 {
		w.declare(map[string]int{"a": 4})
	}
	w.change(w.term)
	for _, name := range []string{"e1", "e2", "e3"} {
		w.net.deliverLate(name)
	}
}
