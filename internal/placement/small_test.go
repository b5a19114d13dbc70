package placement_test

import (
	"fmt"
	"strings"
	"testing/fstest"

	"github.com/lovagelift/lovagelift/internal/declaration"
	"github.com/lovagelift/lovagelift/internal/placement"
	"github.com/lovagelift/lovagelift/internal/upstreamapi"
)

const gib = int64(1) << 30

// small returns declarations of models of so many GiB, of one preset, and of the
// services s0 and s1, of priority 0 and 1. Each model is of s1 unless urgent
// names it.
func small(preset string, sizes map[string]int, urgent ...string) declaration.Set {
	var text strings.Builder
	fmt.Fprintf(&text, "[[preset]]\nname = \"ordinary\"\nfirst = true\n%s\n", preset)
	fmt.Fprintf(&text, "[[service]]\nname = \"s0\"\nkind = \"model-backed\"\nmodels = [\"m\", ")
	for _, name := range urgent {
		fmt.Fprintf(&text, "%q, ", name)
	}
	fmt.Fprintf(&text, "]\ngoal = { priority = 0 }\n[[service]]\nname = \"s1\"\nkind = \"model-backed\"\nmodels = [\"m\", ")
	for name := range sizes {
		fmt.Fprintf(&text, "%q, ", name)
	}
	text.WriteString("]\ngoal = { priority = 1 }\n")
	model := func(name string, size int) {
		fmt.Fprintf(&text, "[[model]]\nname = %q\nkv-space = \"1 GiB\"\nlayouts = [{ accelerators = 1, memory = \"%d GiB\" }]\nversions = [{ name = \"1\", weights = %q }, { name = \"2\", weights = \"%s-2\" }]\nversion = \"1\"\n",
			name, size-1, name, name)
	}
	for name, size := range sizes {
		model(name, size)
	}
	// Services need a model; m is small and stands on engines of its own.
	model("m", 2)
	set, err := declaration.Read(fstest.MapFS{"all.toml": {Data: []byte(text.String())}}, "test")
	if err != nil {
		panic(err)
	}
	return set
}

// withAdapters returns the declarations with adapters of 1 GiB beside a model.
func withAdapters(set declaration.Set, model string, names ...string) declaration.Set {
	var list []string
	for _, name := range names {
		list = append(list, fmt.Sprintf(`{"name":%q,"model":%q,"memory-bytes":%d,"weights":%q,"services":["s1"]}`, name, model, gib, name))
	}
	text := strings.Replace(string(set.Canonical()), `"adapters":[]`, `"adapters":[`+strings.Join(list, ",")+`]`, 1)
	text = strings.Replace(text, `"adapters":null`, `"adapters":[`+strings.Join(list, ",")+`]`, 1)
	changed, err := declaration.Decode([]byte(text))
	if err != nil {
		panic(err)
	}
	return changed
}

// bench is a world whose engines hold what a test says, beside engines for m.
func bench(set declaration.Set, engines ...*engine) *world {
	for _, name := range []string{"own-1", "own-2", "own-3"} {
		engines = append(engines, newEngine(name, "d-"+name, 2*gib, "a0").holds("m", 2))
	}
	return newWorld(set, engines...)
}

// of returns an engine with so many GiB.
func of(name, domain string, size int64) *engine {
	return newEngine(name, domain, size*gib, "a0")
}

// holds puts a model of so many GiB in memory, with adapters of 1 GiB.
func (e *engine) holds(model string, size int64, adapters ...string) *engine {
	h := &held{model, "1", []string{"a0"}, size * gib, map[string]int64{}}
	for _, a := range adapters {
		h.adapters[a] = gib
	}
	e.models[model+"@1"] = h
	return e
}

// open records an order at the engine's ledger that is never sent.
func (w *world) open(name string, order upstreamapi.Order, lost bool) {
	e := w.engine(name)
	l := w.ledgers[name].WithReport(e.announcement())
	w.number++
	order.ID, order.Number, order.Fencing, order.Incarnation = fmt.Sprintf("x%d", w.number), w.number, w.fencing, e.incarnation
	l, err := l.WithOrder(order)
	if err != nil {
		panic(err)
	}
	if lost {
		l = l.WithLost(order.ID)
	}
	w.ledgers[name] = l
}

// planned returns the moves of one plan, those that wait included, as
// "load-model e1 a" and so on.
func (w *world) planned() []string {
	w.observe()
	w.plan = w.planner.Plan(w.now, w.in)
	return append(texts(w.plan.Moves), texts(w.plan.Waiting)...)
}

func texts(moves []placement.Move) []string {
	list := []string{}
	for _, m := range moves {
		text := fmt.Sprintf("%s %s %s", m.Order.Kind, m.Engine, m.Order.Model)
		if m.Order.Adapter != "" {
			text += "/" + m.Order.Adapter
		}
		if m.Waits != "" {
			text += " waits for " + string(m.Waits)
		}
		list = append(list, text)
	}
	return list
}

func unloadOf(model string) upstreamapi.Order {
	return upstreamapi.Order{Kind: upstreamapi.OrderUnloadModel, Model: model, Version: "1"}
}

func loadOf(model string, size int64) upstreamapi.Order {
	return upstreamapi.Order{
		Kind: upstreamapi.OrderLoadModel, Model: model, Version: "1", Accelerators: []string{"a0"}, MemoryBytes: size * gib,
	}
}

// contradict makes the ledger of an engine doubt its reports.
func (w *world) contradict(name string) {
	e := w.engine(name)
	l := w.ledgers[name].WithReport(e.announcement())
	e.revision++
	e.models["stranger@1"] = &held{"stranger", "1", []string{"a0"}, gib, map[string]int64{}}
	w.ledgers[name] = l.WithReport(e.announcement())
	if len(w.ledgers[name].Contradictions()) == 0 {
		panic("no contradiction")
	}
}
