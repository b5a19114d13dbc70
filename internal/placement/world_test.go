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

// world is a leader with its engines, all of it values: each step plans, records
// the orders in the ledgers, sends them and lets the engines work for a second.
type world struct {
	now     time.Time
	planner placement.Planner
	// policy replaces the planner's, if it is not nil.
	policy  func(now time.Time, in placement.Input) placement.Plan
	in      placement.Input
	plan    placement.Plan
	engines []*engine
	ledgers map[string]ledger.Ledger
	number  uint64
	fencing uint64
	// loseOrder and loseAnswer are how probable it is that one is lost.
	loseOrder, loseAnswer float64
	random                *rand.Rand
	// loads and unloads count the moves of models, and all the moves of all kinds.
	loads, unloads, all int
	// reachable is what could be reached after the last step.
	reachable map[string]bool
	// faulted says that an engine was lost since the last step.
	faulted bool
	// wrong is the first breach of a promise.
	wrong error
}

func newWorld(set declaration.Set, engines ...*engine) *world {
	return &world{
		now: time.Unix(1000, 0), planner: placement.New(placement.Options{}), engines: engines,
		in:      placement.Input{Declarations: set, Preset: set.FirstPreset()},
		ledgers: map[string]ledger.Ledger{}, fencing: 1, random: rand.New(rand.NewPCG(1, 1)),
		reachable: map[string]bool{},
	}
}

// step is one second.
func (w *world) step() {
	w.now = w.now.Add(time.Second)
	w.observe()
	plan := w.planner.Plan
	if w.policy != nil {
		plan = w.policy
	}
	w.plan = plan(w.now, w.in)
	w.in.Previous = w.plan.Next
	for _, move := range w.plan.Moves {
		w.order(move)
	}
	w.ask()
	for _, e := range w.engines {
		if e.alive {
			e.step()
		}
	}
	w.check()
}

func (w *world) steps(n int) {
	for range n {
		w.step()
	}
}

// observe takes the announcements.
func (w *world) observe() {
	w.in.Engines = nil
	for _, e := range w.engines {
		a := e.announcement()
		standing := placement.Lost
		if e.alive {
			w.ledgers[e.name] = w.ledgers[e.name].WithReport(a)
			standing = placement.Serving
		}
		w.in.Engines = append(w.in.Engines, placement.NewEngine(a, w.ledgers[e.name], standing))
	}
}

// order records a move's order and sends it.
func (w *world) order(move placement.Move) {
	e := w.engine(move.Engine)
	w.number++
	order := move.Order
	order.ID, order.Number = fmt.Sprintf("o%d", w.number), w.number
	order.Fencing, order.Incarnation = w.fencing, w.ledgers[e.name].Incarnation()
	next, err := w.ledgers[e.name].WithOrder(order)
	if err != nil {
		w.fail(errors.Wrapf(err, "%s: %+v", e.name, move))
		return
	}
	w.ledgers[e.name] = next
	w.all++
	switch order.Kind {
	case upstreamapi.OrderLoadModel, upstreamapi.OrderChangeVersion:
		w.loads++
	case upstreamapi.OrderUnloadModel:
		w.unloads++
	default:
	}
	w.send(e, order)
}

// send may lose the order, and may lose its answer.
func (w *world) send(e *engine, order upstreamapi.Order) {
	if !e.alive || w.random.Float64() < w.loseOrder {
		w.ledgers[e.name] = w.ledgers[e.name].WithLost(order.ID)
		return
	}
	e.take(order)
	if w.random.Float64() < w.loseAnswer {
		w.ledgers[e.name] = w.ledgers[e.name].WithLost(order.ID)
		return
	}
	w.ledgers[e.name] = w.ledgers[e.name].WithAnswer(e.answer(order.ID))
}

// ask asks after all open orders, and sends those again that never arrived.
func (w *world) ask() {
	for _, e := range w.engines {
		if !e.alive {
			continue
		}
		for _, order := range w.ledgers[e.name].Open() {
			if w.random.Float64() < w.loseAnswer {
				continue
			}
			answer := e.answer(order.ID)
			if answer.State == upstreamapi.OrderUnknown {
				w.send(e, order)
				continue
			}
			w.ledgers[e.name] = w.ledgers[e.name].WithAnswer(answer)
		}
	}
}

// check keeps the first breach of what must always hold.
func (w *world) check() {
	for _, e := range w.engines {
		for _, a := range e.accelerators {
			if used := e.used(a.Name); used > a.MemoryBytes {
				w.fail(errors.Newf("%s: %d of %d bytes used", e.name, used, a.MemoryBytes))
			}
		}
		if found := w.ledgers[e.name].Contradictions(); len(found) > 0 {
			w.fail(errors.Newf("%s: %s", e.name, found[0]))
		}
	}
	reachable := w.reachableNow()
	for name, before := range w.reachable {
		if before && !reachable[name] && !w.faulted {
			w.fail(errors.Newf("%s: %q is out of reach because of a move", w.now, name))
		}
	}
	w.reachable, w.faulted = reachable, false
}

func (w *world) reachableNow() map[string]bool {
	reachable := map[string]bool{}
	for _, e := range w.engines {
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

// missing returns how many declared models and adapters cannot be reached.
func (w *world) missing() int {
	missing := 0
	reachable := w.reachableNow()
	for _, m := range w.in.Declarations.Models() {
		if !reachable[m.Name] {
			missing++
		}
	}
	for _, a := range w.in.Declarations.Adapters() {
		if !reachable[a.Name] {
			missing++
		}
	}
	return missing
}

// busy tells whether an order is open.
func (w *world) busy() bool {
	for _, l := range w.ledgers {
		if len(l.Open()) > 0 {
			return true
		}
	}
	return false
}

// copies returns how many serving engines hold the model.
func (w *world) copies(model string) int {
	copies := 0
	for _, e := range w.engines {
		for _, m := range e.models {
			if e.alive && m.model == model {
				copies++
			}
		}
	}
	return copies
}

func (w *world) fail(err error) {
	if w.wrong == nil {
		w.wrong = err
	}
}

func (w *world) engine(name string) *engine {
	for _, e := range w.engines {
		if e.name == name {
			return e
		}
	}
	panic("no engine " + name)
}

// lose takes engines away with all they hold.
func (w *world) lose(lost func(e *engine) bool) {
	for _, e := range w.engines {
		if lost(e) {
			e.alive = false
			w.faulted = true
		}
	}
}

// ask for a load of a model at all time scales.
func load(model string, requests float64) demand.Estimate {
	return demand.Estimate{Target: demand.Target{Model: model}, Fast: requests, Middle: requests, Slow: requests}
}

// example returns the declarations of one of the two deployments, and engines of
// the declared sizes.
func example(name string) (declaration.Set, []*engine) {
	set, err := declaration.Read(os.DirFS("../../examples/declarations/"+name), name)
	if err != nil {
		panic(err)
	}
	domains := set.FailureDomains()
	var engines []*engine
	for _, class := range set.AcceleratorClasses() {
		for i := range class.Count {
			engines = append(engines, newEngine(fmt.Sprintf("%s-%02d", class.Name, i), domains[i%len(domains)].Name, int64(class.Memory), "a0"))
		}
	}
	return set, engines
}

// newVersion returns the declarations with another version of the model in
// force.
func newVersion(set declaration.Set, model string) declaration.Set {
	text := string(set.Canonical())
	at := strings.Index(text, `"name":"`+model+`","layouts"`)
	if at < 0 {
		panic("no model " + model + " in " + text)
	}
	changed, err := declaration.Decode([]byte(text[:at] + strings.ReplaceAll(text[at:], "2026-10", "2026-11")))
	if err != nil {
		panic(err)
	}
	return changed
}
