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

// smallDeclarations returns declarations of models with the given sizes in GiB,
// one preset, and the services s0 and s1 with priority 0 and 1. Models belong
// to s1, and those in urgent also to s0.
func smallDeclarations(preset string, sizes map[string]int, urgent ...string) declaration.Set {
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
	// Every service needs a model. The test clusters hold m on engines of its
	// own.
	model("m", 2)
	set, err := declaration.Read(fstest.MapFS{"all.toml": {Data: []byte(text.String())}}, "test")
	if err != nil {
		panic(err)
	}
	return set
}

// withAdapters returns the declarations with adapters of 1 GiB for a model.
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

// newTestCluster returns a cluster of the given engines and of three more that
// hold m.
func newTestCluster(set declaration.Set, engines ...*fakeEngine) *cluster {
	for _, name := range []string{"own-1", "own-2", "own-3"} {
		engines = append(engines, newFakeEngine(name, "d-"+name, 2*gib, "a0").withModel("m", 2))
	}
	return newCluster(set, engines...)
}

// smallEngine returns an engine with one accelerator of size GiB.
func smallEngine(name, domain string, size int64) *fakeEngine {
	return newFakeEngine(name, domain, size*gib, "a0")
}

// withModel puts a model of size GiB in memory, with adapters of 1 GiB.
func (e *fakeEngine) withModel(model string, size int64, adapters ...string) *fakeEngine {
	resident := &residentModel{model, "1", []string{"a0"}, size * gib, map[string]int64{}}
	for _, a := range adapters {
		resident.adapters[a] = gib
	}
	e.models[model+"@1"] = resident
	return e
}

// recordOpenOrder records an order in the engine's ledger without sending it.
func (c *cluster) recordOpenOrder(name string, order upstreamapi.Order, answerLost bool) {
	e := c.engine(name)
	l := c.ledgers[name].WithReport(e.announcement())
	c.lastOrderNumber++
	order.ID, order.Number, order.Fencing, order.Incarnation = fmt.Sprintf("x%d", c.lastOrderNumber), c.lastOrderNumber, c.fencing, e.incarnation
	l, err := l.WithOrder(order)
	if err != nil {
		panic(err)
	}
	if answerLost {
		l = l.WithAnswerLost(order.ID)
	}
	c.ledgers[name] = l
}

// plannedMoves returns the moves of one plan, including the deferred ones, in
// the form "load-model e1 a".
func (c *cluster) plannedMoves() []string {
	c.observe()
	c.plan = c.planner.Plan(c.now, c.input)
	return append(moveTexts(c.plan.Moves), moveTexts(c.plan.Deferred)...)
}

func moveTexts(moves []placement.Move) []string {
	list := []string{}
	for _, m := range moves {
		text := fmt.Sprintf("%s %s %s", m.Order.Kind, m.Engine, m.Order.Model)
		if m.Order.Adapter != "" {
			text += "/" + m.Order.Adapter
		}
		if m.WaitsFor != "" {
			text += " waits for " + string(m.WaitsFor)
		}
		list = append(list, text)
	}
	return list
}

func unloadOrder(model string) upstreamapi.Order {
	return upstreamapi.Order{Kind: upstreamapi.OrderUnloadModel, Model: model, Version: "1"}
}

func loadOrder(model string, size int64) upstreamapi.Order {
	return upstreamapi.Order{
		Kind: upstreamapi.OrderLoadModel, Model: model, Version: "1", Accelerators: []string{"a0"}, MemoryBytes: size * gib,
	}
}

// makeContradictory makes the engine report something that contradicts its
// ledger.
func (c *cluster) makeContradictory(name string) {
	e := c.engine(name)
	l := c.ledgers[name].WithReport(e.announcement())
	e.revision++
	e.models["stranger@1"] = &residentModel{"stranger", "1", []string{"a0"}, gib, map[string]int64{}}
	c.ledgers[name] = l.WithReport(e.announcement())
	if len(c.ledgers[name].Contradictions()) == 0 {
		panic("no contradiction")
	}
}
