package placement_test

import (
	"fmt"
	"math/rand/v2"
	"os"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/lovagelift/lovagelift/internal/declaration"
	"github.com/lovagelift/lovagelift/internal/demand"
	"github.com/lovagelift/lovagelift/internal/ledger"
	"github.com/lovagelift/lovagelift/internal/placement"
	"github.com/lovagelift/lovagelift/internal/upstreamapi"
)

// cluster simulates a leader and its engines without a network. Each step
// plans, records the orders in the ledgers, sends them and lets the engines
// work for one second.
type cluster struct {
	now     time.Time
	planner placement.Planner
	// planOverride replaces the planner if it is not nil.
	planOverride    func(now time.Time, in placement.Input) placement.Plan
	input           placement.Input
	plan            placement.Plan
	engines         []*fakeEngine
	ledgers         map[string]ledger.Ledger
	lastOrderNumber uint64
	fencing         uint64
	// orderLossRate and answerLossRate are the probabilities that an order or
	// an answer is lost.
	orderLossRate, answerLossRate float64
	random                        *rand.Rand
	// loads and unloads count the loads and unloads of models, and moves all
	// moves.
	loads, unloads, moves int
	// reachable is the models and adapters that were reachable after the last
	// step.
	reachable map[string]bool
	// engineLost means that an engine was lost since the last step.
	engineLost bool
	// violation is the first violation of an invariant.
	violation error
}

func newCluster(set declaration.Set, engines ...*fakeEngine) *cluster {
	return &cluster{
		now: time.Unix(1000, 0), planner: placement.New(placement.Options{}), engines: engines,
		input:   placement.Input{Declarations: set, Preset: set.InitialPreset()},
		ledgers: map[string]ledger.Ledger{}, fencing: 1, random: rand.New(rand.NewPCG(1, 1)),
		reachable: map[string]bool{},
	}
}

// step advances the simulation by one second.
func (c *cluster) step() {
	c.now = c.now.Add(time.Second)
	c.observe()
	plan := c.planner.Plan
	if c.planOverride != nil {
		plan = c.planOverride
	}
	c.plan = plan(c.now, c.input)
	c.input.Previous = c.plan.Next
	for _, move := range c.plan.Moves {
		c.recordAndSend(move)
	}
	c.pollOpenOrders()
	for _, e := range c.engines {
		if e.alive {
			e.step()
		}
	}
	c.checkInvariants()
}

func (c *cluster) steps(n int) {
	for range n {
		c.step()
	}
}

// observe updates the input from the announcements of the engines.
func (c *cluster) observe() {
	c.input.Engines = nil
	for _, e := range c.engines {
		a := e.announcement()
		status := placement.Lost
		if e.alive {
			c.ledgers[e.name] = c.ledgers[e.name].WithReport(a)
			status = placement.Serving
		}
		c.input.Engines = append(c.input.Engines, placement.NewEngine(a, c.ledgers[e.name], status))
	}
}

// recordAndSend records the order of a move in the ledger and sends it.
func (c *cluster) recordAndSend(move placement.Move) {
	e := c.engine(move.Engine)
	c.lastOrderNumber++
	order := move.Order
	order.ID, order.Number = fmt.Sprintf("o%d", c.lastOrderNumber), c.lastOrderNumber
	order.Fencing, order.Incarnation = c.fencing, c.ledgers[e.name].Incarnation()
	next, err := c.ledgers[e.name].WithOrder(order)
	if err != nil {
		c.recordViolation(errors.Wrapf(err, "%s: %+v", e.name, move))
		return
	}
	c.ledgers[e.name] = next
	c.moves++
	switch order.Kind {
	case upstreamapi.OrderLoadModel, upstreamapi.OrderChangeVersion:
		c.loads++
	case upstreamapi.OrderUnloadModel:
		c.unloads++
	default:
	}
	c.send(e, order)
}

// send delivers the order to the engine. The order or its answer may get lost.
func (c *cluster) send(e *fakeEngine, order upstreamapi.Order) {
	if !e.alive || c.random.Float64() < c.orderLossRate {
		c.ledgers[e.name] = c.ledgers[e.name].WithAnswerLost(order.ID)
		return
	}
	e.receive(order)
	if c.random.Float64() < c.answerLossRate {
		c.ledgers[e.name] = c.ledgers[e.name].WithAnswerLost(order.ID)
		return
	}
	c.ledgers[e.name] = c.ledgers[e.name].WithAnswer(e.orderAnswer(order.ID))
}

// pollOpenOrders queries the state of all open orders, and sends those again
// that never arrived.
func (c *cluster) pollOpenOrders() {
	for _, e := range c.engines {
		if !e.alive {
			continue
		}
		for _, order := range c.ledgers[e.name].Open() {
			if c.random.Float64() < c.answerLossRate {
				continue
			}
			answer := e.orderAnswer(order.ID)
			if answer.State == upstreamapi.OrderUnknown {
				c.send(e, order)
				continue
			}
			c.ledgers[e.name] = c.ledgers[e.name].WithAnswer(answer)
		}
	}
}

// checkInvariants records a violation if an accelerator is overcommitted, a
// ledger has a contradiction, or a model or adapter became unreachable without
// a fault.
func (c *cluster) checkInvariants() {
	for _, e := range c.engines {
		for _, a := range e.accelerators {
			if used := e.usedBytes(a.Name); used > a.MemoryBytes {
				c.recordViolation(errors.Newf("%s: %d of %d bytes used", e.name, used, a.MemoryBytes))
			}
		}
		if found := c.ledgers[e.name].Contradictions(); len(found) > 0 {
			c.recordViolation(errors.Newf("%s: %s", e.name, found[0]))
		}
	}
	reachable := c.reachableNow()
	for name, before := range c.reachable {
		if before && !reachable[name] && !c.engineLost {
			c.recordViolation(errors.Newf("%s: %q became unreachable because of a move", c.now, name))
		}
	}
	c.reachable, c.engineLost = reachable, false
}

func (c *cluster) reachableNow() map[string]bool {
	reachable := map[string]bool{}
	for _, e := range c.engines {
		if !e.alive {
			continue
		}
		for _, m := range e.models {
			reachable[m.model] = true
			for a := range m.adapters {
				reachable[a] = true
			}
		}
	}
	return reachable
}

// unreachableCount returns how many declared models and adapters no live engine
// serves.
func (c *cluster) unreachableCount() int {
	count := 0
	reachable := c.reachableNow()
	for _, m := range c.input.Declarations.Models() {
		if !reachable[m.Name] {
			count++
		}
	}
	for _, a := range c.input.Declarations.Adapters() {
		if !reachable[a.Name] {
			count++
		}
	}
	return count
}

// hasOpenOrders reports whether any order is open.
func (c *cluster) hasOpenOrders() bool {
	for _, l := range c.ledgers {
		if len(l.Open()) > 0 {
			return true
		}
	}
	return false
}

// copies returns how many live engines hold the model.
func (c *cluster) copies(model string) int {
	copies := 0
	for _, e := range c.engines {
		for _, m := range e.models {
			if e.alive && m.model == model {
				copies++
			}
		}
	}
	return copies
}

func (c *cluster) recordViolation(err error) {
	if c.violation == nil {
		c.violation = err
	}
}

func (c *cluster) engine(name string) *fakeEngine {
	for _, e := range c.engines {
		if e.name == name {
			return e
		}
	}
	panic("no engine " + name)
}

// loseEngines stops the engines that match, with everything they hold.
func (c *cluster) loseEngines(lost func(e *fakeEngine) bool) {
	for _, e := range c.engines {
		if lost(e) {
			e.alive = false
			c.engineLost = true
		}
	}
}

// steadyLoad returns an estimate with the same load at all time scales.
func steadyLoad(model string, requests float64) demand.Estimate {
	return demand.Estimate{Target: demand.Target{Model: model}, Fast: requests, Middle: requests, Slow: requests}
}

// exampleDeployment returns the declarations of an example deployment, and
// engines of the declared sizes.
func exampleDeployment(name string) (declaration.Set, []*fakeEngine) {
	set, err := declaration.Read(os.DirFS("../../examples/declarations/"+name), name)
	if err != nil {
		panic(err)
	}
	domains := set.FailureDomains()
	var engines []*fakeEngine
	for _, class := range set.AcceleratorClasses() {
		for i := range class.Count {
			engines = append(engines, newFakeEngine(fmt.Sprintf("%s-%02d", class.Name, i), domains[i%len(domains)].Name, int64(class.Memory), "a0"))
		}
	}
	return set, engines
}

// withNewVersion returns the declarations with another version of the model
// declared.
func withNewVersion(set declaration.Set, model string) declaration.Set {
	text := string(set.Canonical())
	start := strings.Index(text, `"name":"`+model+`","layouts"`)
	if start < 0 {
		panic("no model " + model + " in " + text)
	}
	changed, err := declaration.Decode([]byte(text[:start] + strings.ReplaceAll(text[start:], "2026-10", "2026-11")))
	if err != nil {
		panic(err)
	}
	return changed
}
