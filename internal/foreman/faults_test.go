package foreman_test

import (
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	. "github.com/onsi/gomega"

	"github.com/lovagelift/lovagelift/internal/manifest"
	"github.com/lovagelift/lovagelift/internal/upstreamapi"
)

// firstOrderOnly injects a fault into the first transmission, and none into later ones.
func firstOrderOnly(f fault) func(upstreamapi.Order) fault {
	done := false
	return func(upstreamapi.Order) fault {
		if done {
			return noFault
		}
		done = true
		return f
	}
}

// sendCounts returns how often each order was sent, by id.
func (n *network) sendCounts() map[string]int {
	n.mu.Lock()
	defer n.mu.Unlock()
	counts := map[string]int{}
	for _, order := range n.sentOrders {
		counts[order.ID]++
	}
	return counts
}

// orderStates returns the recorded state of each order to the engine.
func (c *testCluster) orderStates(engine string) []manifest.State {
	e, _ := c.Manifest().Engine(engine)
	var states []manifest.State
	for _, record := range e.Orders {
		states = append(states, record.State)
	}
	return states
}

// Without faults, two models are loaded on two engines, each by one order.
func TestModelsAreLoaded(t *testing.T) {
	forEachEngineKind(t, func(c *testCluster) {
		c.startEngine("e1", 1)
		c.startEngine("e2", 1)
		c.declare(map[string]int{"letters": 6, "fares": 6})
		c.run(10*time.Second, c.newController(1))
		Expect(c.hasModel("e1", "letters") || c.hasModel("e2", "letters")).To(BeTrue())
		Expect(c.hasModel("e1", "fares") || c.hasModel("e2", "fares")).To(BeTrue())
		Expect(c.net.sendCounts()).To(HaveLen(2))
		Expect(c.openOrders("e1")).To(BeEmpty())
		Expect(c.log.String()).To(ContainSubstring(`"message":"placement decision"`))
		Expect(c.log.String()).To(ContainSubstring(`"reason":"unreachable"`))
	})
}

// An order cannot be recorded, for example because there is no quorum. The controller must not send
// it, since no other replica would know of it. Once records succeed again, the model is loaded.
func TestNothingIsSentBeforeItIsRecorded(t *testing.T) {
	forEachEngineKind(t, func(c *testCluster) {
		c.startEngine("e1", 1)
		c.declare(map[string]int{"letters": 6})
		c.beforePropose = func(command manifest.Command) error {
			if _, ok := command.(manifest.Record); ok {
				return errors.New("no quorum")
			}
			return nil
		}
		leader := c.newController(1)
		c.run(10*time.Second, leader)
		Expect(c.net.sentOrders).To(BeEmpty())
		c.beforePropose = nil
		c.run(10*time.Second, leader)
		Expect(c.hasModel("e1", "letters")).To(BeTrue())
	})
}

// The order right expires after the record of an order is committed and before the order is sent.
// The old leader must not send it. The next leader finds the order open, queries its state where
// possible, and sends the same order, so one order loads the model.
func TestRightIsCheckedBeforeTheSend(t *testing.T) {
	forEachEngineKind(t, func(c *testCluster) {
		c.startEngine("e1", 1)
		c.declare(map[string]int{"letters": 6})
		c.afterApply = func(command manifest.Command) {
			if _, ok := command.(manifest.Record); ok {
				c.grantRight(0)
			}
		}
		old := c.newController(1)
		c.run(10*time.Second, old)
		Expect(c.net.sentOrders).To(BeEmpty())
		Expect(c.openOrders("e1")).To(HaveLen(1))
		c.afterApply = nil
		c.grantRight(2)
		c.run(10*time.Second, old, c.newController(2))
		Expect(c.hasModel("e1", "letters")).To(BeTrue())
		Expect(c.net.sendCounts()).To(HaveLen(1))
		Expect(c.net.sentOrders[0].Fencing).To(Equal(uint64(2)))
	})
}

// The record of an order is committed, but its proposer gets an error. The leader assumes that the
// order is not recorded and does not send it. It then finds the order open in its own term and
// never sent, withdraws it, and issues another one.
func TestRecordWithUnseenCommitIsWithdrawn(t *testing.T) {
	forEachEngineKind(t, func(c *testCluster) {
		c.startEngine("e1", 1)
		c.declare(map[string]int{"letters": 6})
		leader := c.newController(1)
		committed := false
		c.beforePropose = func(command manifest.Command) error {
			record, ok := command.(manifest.Record)
			if !ok || committed {
				return nil
			}
			committed = true
			_, err := replica{c, 1}.Propose(t.Context(), record)
			Expect(err).NotTo(HaveOccurred())
			return errors.New("outcome of the command unknown")
		}
		c.run(10*time.Second, leader)
		Expect(c.hasModel("e1", "letters")).To(BeTrue())
		Expect(c.net.sendCounts()).To(HaveLen(1))
		Expect(c.openOrders("e1")).To(BeEmpty())
		Expect(c.orderStates("e1")).To(Equal([]manifest.State{manifest.StateWithdrawn, manifest.StateDone}))
	})
}

// An order is sent, the order right lapses before the loss of the answer is recorded, and returns
// in the same term, as after a short partition. The order is still in flight and must not count as
// never sent: its memory would be assigned a second time before it arrives.
func TestRightThatComesBackKeepsWhatWasSent(t *testing.T) {
	forEachEngineKind(t, func(c *testCluster) {
		c.startEngine("e1", 1)
		c.declare(map[string]int{"letters": 6})
		lapsed := false
		c.net.faultFor = func(upstreamapi.Order) fault {
			if !lapsed {
				c.grantRight(0)
			}
			lapsed = true
			return orderDelayed
		}
		leader := c.newController(1)
		c.run(3250*time.Millisecond, leader)
		Expect(c.net.delayed["e1"]).To(HaveLen(1))
		Expect(c.orderStates("e1")).To(HaveExactElements(manifest.StateRecorded))
		c.run(500*time.Millisecond, leader)
		c.grantRight(1)
		c.declare(map[string]int{"fares": 6})
		c.run(5*time.Second, leader)
		Expect(c.orderStates("e1")).To(HaveExactElements(manifest.StateDoubtful))
		c.net.faultFor = nil
		c.net.deliverDelayed("e1")
		c.run(40*time.Second, leader)
		Expect(c.hasModel("e1", "fares")).To(BeTrue())
	})
}

// An order is lost in flight. The leader queries its state where possible, and sends it again under
// the same id. It must not issue a second order for the model.
func TestLostOrderIsSentAgain(t *testing.T) {
	forEachEngineKind(t, func(c *testCluster) {
		c.startEngine("e1", 1)
		c.declare(map[string]int{"letters": 6})
		c.net.faultFor = firstOrderOnly(orderLost)
		c.run(10*time.Second, c.newController(1))
		Expect(c.hasModel("e1", "letters")).To(BeTrue())
		Expect(c.net.sendCounts()).To(HaveLen(1))
		if c.kind.orderStatus {
			Expect(c.net.sentOrders).To(HaveLen(2))
		}
	})
}

// The connection for an order cannot be established. No byte was sent, so the order is withdrawn
// and leaves no uncertainty, even at an engine that offers no guarantees.
func TestUnsentOrderIsTakenBack(t *testing.T) {
	forEachEngineKind(t, func(c *testCluster) {
		c.startEngine("e1", 1)
		c.declare(map[string]int{"letters": 6})
		c.net.faultFor = func(upstreamapi.Order) fault { return notConnected }
		c.run(20*time.Second, c.newController(1))
		Expect(len(c.net.sendCounts())).To(BeNumerically(">", 1))
		Expect(c.openOrders("e1")).To(BeEmpty())
	})
}

// An engine fails every load. The load must not be retried there with every plan; the other engine
// loads the model.
func TestFailedLoadIsRetriedOnAnotherEngine(t *testing.T) {
	forEachEngineKind(t, func(c *testCluster) {
		c.startEngine("e1", 1)
		c.startEngine("e2", 1)
		c.declare(map[string]int{"letters": 6})
		c.net.faultFor = func(upstreamapi.Order) fault {
			if c.net.sentTo[0] == c.net.sentTo[len(c.net.sentTo)-1] {
				return loadFails
			}
			return noFault
		}
		c.run(15*time.Second, c.newController(1))
		Expect(c.net.sendCounts()).To(HaveLen(2))
		Expect(c.net.sentTo[1:]).NotTo(ContainElement(c.net.sentTo[0]))
		Expect(c.hasModel(c.net.sentTo[1], "letters")).To(BeTrue())
		Expect(c.orderStates(c.net.sentTo[0])).To(Equal([]manifest.State{manifest.StateRefused}))
	})
}

// An engine receives a load and its answer is lost. The leader queries the order's state, and must
// not issue a second order for the model.
func TestLostAnswerIsAskedAfter(t *testing.T) {
	forEachEngineKind(t, func(c *testCluster) {
		c.startEngine("e1", 1)
		c.declare(map[string]int{"letters": 6})
		c.net.faultFor = firstOrderOnly(answerLost)
		c.run(10*time.Second, c.newController(1))
		Expect(c.hasModel("e1", "letters")).To(BeTrue())
		Expect(c.net.sendCounts()).To(HaveLen(1))
		Expect(c.openOrders("e1")).To(BeEmpty())
		if c.kind.orderStatus {
			Expect(c.net.sentOrders).To(HaveLen(1))
			Expect(c.net.statusQueries).To(BeNumerically(">", 0))
		}
	})
}

// The declarations change while a load is delayed in flight: another model replaces the first one
// on the only engine. The memory of the first load must not be reassigned before that load is known
// to be finished or removed.
func TestLateOrderAndAnotherModel(t *testing.T) {
	forEachEngineKind(t, func(c *testCluster) {
		c.startEngine("e1", 1)
		c.declare(map[string]int{"letters": 6})
		c.net.faultFor = func(o upstreamapi.Order) fault {
			if o.Model == "letters" && o.Kind == upstreamapi.OrderLoadModel {
				return orderDelayed
			}
			return noFault
		}
		leader := c.newController(1)
		c.run(5*time.Second, leader)
		Expect(c.net.delayed).NotTo(BeEmpty())
		c.declare(map[string]int{"fares": 6})
		c.run(2*time.Second, leader)
		c.net.deliverDelayed("e1")
		c.run(4*time.Second, leader)
		c.net.faultFor = nil
		c.run(40*time.Second, leader)
		Expect(c.hasModel("e1", "fares")).To(BeTrue())
		Expect(c.hasModel("e1", "letters")).To(BeFalse())
		c.net.deliverDelayed("e1")
		c.run(5*time.Second, leader)
	})
}

// The preset changes from one copy per model to two while a load runs whose answer was lost. The
// load continues, the second copies are loaded as well, and nothing is loaded twice. After the
// change back, no copy is unloaded, because memory is not scarce.
func TestPresetChangesInTheMiddle(t *testing.T) {
	forEachEngineKind(t, func(c *testCluster) {
		c.startEngine("e1", 1)
		c.startEngine("e2", 1)
		c.declare(map[string]int{"letters": 4, "fares": 4})
		c.net.faultFor = firstOrderOnly(answerLost)
		leader := c.newController(1)
		c.run(3500*time.Millisecond, leader)
		Expect(c.net.sendCounts()).NotTo(BeEmpty())
		c.preset = "peak"
		c.run(40*time.Second, leader)
		for _, name := range []string{"e1", "e2"} {
			Expect(c.hasModel(name, "letters") && c.hasModel(name, "fares")).To(BeTrue(), name)
			Expect(c.openOrders(name)).To(BeEmpty())
		}
		Expect(c.net.sendCounts()).To(HaveLen(4))
		c.preset = "ordinary"
		c.run(40*time.Second, leader)
		Expect(c.net.sendCounts()).To(HaveLen(4))
	})
}

// An order of the old leader is delayed past the first orders of the new leader. An engine that
// checks fencing numbers refuses it. At an engine that ignores them it takes effect, and its memory
// was accounted for throughout. The new leader continues with the same order and issues no second
// one.
func TestLateOrderOfAnEarlierLeader(t *testing.T) {
	forEachEngineKind(t, func(c *testCluster) {
		c.startEngine("e1", 1)
		c.declare(map[string]int{"letters": 6})
		c.net.faultFor = firstOrderOnly(orderDelayed)
		old := c.newController(1)
		c.run(3500*time.Millisecond, old)
		Expect(c.net.delayed["e1"]).To(HaveLen(1))
		c.grantRight(2)
		leader := c.newController(2)
		c.run(2*time.Second, old, leader)
		c.net.deliverDelayed("e1")
		c.run(10*time.Second, old, leader)
		Expect(c.hasModel("e1", "letters")).To(BeTrue())
		Expect(c.net.sendCounts()).To(HaveLen(1))
		Expect(c.openOrders("e1")).To(BeEmpty())
		e, _ := c.Manifest().Engine("e1")
		Expect(e.Ledger.Contradictions()).To(BeEmpty())
	})
}

// Two loads outlast the time in which they had to begin, and nobody leads when they end. The answer
// about one of them proves that the other one is over as well, which must not lose its outcome.
func TestLoadsThatEndWithoutALeaderAreDone(t *testing.T) {
	forEachEngineKind(t, func(c *testCluster) {
		c.startEngine("e1", 1)
		c.declare(map[string]int{"letters": 4, "fares": 4})
		old := c.newController(1)
		c.run(4*time.Second, old)
		Expect(c.engines["e1"].Announcement().UnderWay).To(HaveLen(2))
		c.grantRight(0)
		c.run(15*time.Second, old)
		c.grantRight(2)
		c.run(5*time.Second, old, c.newController(2))
		Expect(c.orderStates("e1")).To(Equal([]manifest.State{manifest.StateDone, manifest.StateDone}))
		Expect(c.net.sendCounts()).To(HaveLen(2))
	})
}

// An engine restarts during a load and returns empty with a new incarnation. It must refuse a late
// copy of the old order, and a new order loads the model.
func TestEngineRestartsInTheMiddle(t *testing.T) {
	forEachEngineKind(t, func(c *testCluster) {
		c.startEngine("e1", 1)
		c.declare(map[string]int{"letters": 6})
		leader := c.newController(1)
		c.run(4*time.Second, leader)
		Expect(c.net.sentOrders).To(HaveLen(1))
		c.startEngine("e1", 2)
		c.net.delayed["e1"] = []upstreamapi.Order{c.net.sentOrders[0]}
		c.net.deliverDelayed("e1")
		c.run(15*time.Second, leader)
		Expect(c.hasModel("e1", "letters")).To(BeTrue())
		Expect(c.net.sendCounts()).To(HaveLen(2))
		Expect(c.net.sentOrders[1].Incarnation).To(Equal(uint64(2)))
	})
}

// An engine's announcement lease expires during a load. The model is loaded on the other engine,
// and the order to the first one remains open until that engine returns.
func TestEngineIsGoneInTheMiddle(t *testing.T) {
	forEachEngineKind(t, func(c *testCluster) {
		c.startEngine("e1", 1)
		c.startEngine("e2", 1)
		c.declare(map[string]int{"letters": 6})
		c.net.faultFor = firstOrderOnly(orderLost)
		leader := c.newController(1)
		c.run(3500*time.Millisecond, leader)
		first, second := "e1", "e2"
		if len(c.openOrders("e1")) == 0 {
			first, second = "e2", "e1"
		}
		c.missing[first] = true
		c.run(60*time.Second, leader)
		Expect(c.hasModel(second, "letters")).To(BeTrue())
		Expect(c.openOrders(first)).To(HaveLen(1))
		c.missing[first] = false
		c.run(30*time.Second, leader)
		Expect(c.openOrders(first)).To(BeEmpty())
	})
}

// An engine reports a model that was never ordered. The alarm is logged once and orders to that
// engine stop; the next model is loaded on the other engine.
func TestContradictionStopsOrdersToOneEngine(t *testing.T) {
	forEachEngineKind(t, func(c *testCluster) {
		c.startEngine("e1", 1)
		c.startEngine("e2", 1)
		c.declare(map[string]int{"letters": 4})
		leader := c.newController(1)
		c.run(8*time.Second, leader)
		c.net.delayed["e1"] = []upstreamapi.Order{{
			ID: "foreign", Number: 99, Fencing: 1, Incarnation: 1, Kind: upstreamapi.OrderLoadModel, Model: "stray",
			Version: "1", Accelerators: []string{"a0"}, MemoryBytes: gib,
		}}
		c.net.deliverDelayed("e1")
		c.run(4*time.Second, leader)
		e, _ := c.Manifest().Engine("e1")
		Expect(e.Ledger.Contradictions()).NotTo(BeEmpty())
		before := len(c.net.sentOrders)
		c.declare(map[string]int{"letters": 4, "fares": 4})
		c.run(30*time.Second, leader)
		Expect(c.hasModel("e2", "fares")).To(BeTrue())
		Expect(c.net.sentTo[before:]).NotTo(ContainElement("e1"))
		Expect(c.hasModel("e1", "fares")).To(BeFalse())
		Expect(strings.Count(c.log.String(), "alarm: ")).To(Equal(len(e.Ledger.Contradictions())))
	})
}

// The weight store allows two concurrent loads, and five models are required. There must never be
// more than two loads at once, even across a change of leader.
func TestWeightStoreLimitsLoadsAcrossLeaders(t *testing.T) {
	forEachEngineKind(t, func(c *testCluster) {
		c.startEngine("e1", 1)
		c.startEngine("e2", 1)
		c.declare(map[string]int{"a": 2, "b": 2, "c": 2, "d": 2, "f": 2})
		maxLoading := 0
		c.afterApply = func(manifest.Command) {
			loading := 0
			for _, e := range c.engines {
				loading += len(e.Announcement().UnderWay)
			}
			maxLoading = max(maxLoading, loading)
		}
		old := c.newController(1)
		c.run(4*time.Second, old)
		c.grantRight(2)
		c.run(40*time.Second, old, c.newController(2))
		for _, model := range []string{"a", "b", "c", "d", "f"} {
			Expect(c.hasModel("e1", model) || c.hasModel("e2", model)).To(BeTrue(), model)
		}
		Expect(maxLoading).To(Equal(2))
	})
}
