package placement_test

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"testing/fstest"

	"github.com/lovagelift/lovagelift/internal/declaration"
	"github.com/lovagelift/lovagelift/internal/demand"
	"github.com/lovagelift/lovagelift/internal/placement"
)

// size is a size of a deployment.
type size struct {
	models, engines, accelerators int
}

// sizes are a tenth, a third and the whole of the size in two years.
var sizes = []size{{170, 110, 230}, {567, 367, 767}, {1700, 1100, 2300}}

// deployment returns a deployment of that size with a seeded demand.
func deployment(s size) *world {
	random := rand.New(rand.NewPCG(7, uint64(s.models)))
	var text strings.Builder
	text.WriteString("[[preset]]\nname = \"ordinary\"\nfirst = true\nreserve-percent = 10\ntolerate-engines = 1\ntolerate-failure-domains = 1\nweight-of-moves = 1\n")
	for i := range s.models {
		fmt.Fprintf(&text, "[[model]]\nname = \"m%04d\"\nkv-space = \"4 GiB\"\nlayouts = [{ accelerators = 1, memory = \"%d GiB\" }]\nversions = [{ name = \"1\", weights = \"w/%d\" }]\nversion = \"1\"\n",
			i, 2+random.IntN(36), i)
		for j := range 3 {
			fmt.Fprintf(&text, "[[adapter]]\nname = \"m%04d-%d\"\nmodel = \"m%04d\"\nmemory = \"160 MiB\"\nweights = \"w/%d-%d\"\nservices = [\"s\"]\n", i, j, i, i, j)
		}
	}
	text.WriteString("[[service]]\nname = \"s\"\nkind = \"model-backed\"\nmodels = [")
	for i := range s.models {
		fmt.Fprintf(&text, "\"m%04d\", ", i)
	}
	text.WriteString("]\n")
	set, err := declaration.Read(fstest.MapFS{"all.toml": {Data: []byte(text.String())}}, "bench")
	if err != nil {
		panic(err)
	}
	var engines []*engine
	more := s.accelerators - 2*s.engines
	for i := range s.engines {
		names := []string{"a0", "a1", "a2"}
		if i >= more {
			names = names[:2]
		}
		engines = append(engines, newEngine(fmt.Sprintf("e%04d", i), fmt.Sprintf("d%d", i%10), 80<<30, names...))
	}
	w := newWorld(set, engines...)
	for i := range s.models {
		w.in.Demand = append(w.in.Demand, load(fmt.Sprintf("m%04d", i), 24*random.ExpFloat64()*float64(s.accelerators)/float64(s.models)/3))
	}
	return w
}

// BenchmarkPlanEmpty plans a deployment of which nothing is loaded.
func BenchmarkPlanEmpty(b *testing.B) {
	for _, s := range sizes {
		b.Run(fmt.Sprintf("models=%d", s.models), func(b *testing.B) {
			w := deployment(s)
			w.now = w.now.Add(1)
			w.observe()
			b.ReportAllocs()
			for b.Loop() {
				if plan := w.planner.Plan(w.now, w.in); len(plan.Moves) == 0 {
					b.Fatal(plan.Problems)
				}
			}
		})
	}
}

// BenchmarkPlanChange plans a deployment that rests, after one change.
func BenchmarkPlanChange(b *testing.B) {
	for _, s := range sizes {
		w := deployment(s)
		for range 60 {
			w.step()
		}
		if w.wrong != nil {
			b.Fatal(w.wrong)
		}
		w.in.Previous = placement.State{}
		w.observe()
		b.Run(fmt.Sprintf("nothing/models=%d", s.models), func(b *testing.B) { plans(b, w) })
		w.engines[0].alive = false
		w.observe()
		b.Run(fmt.Sprintf("engine-lost/models=%d", s.models), func(b *testing.B) { plans(b, w) })
		w.engines[0].alive = true
		w.observe()
		w.in.Demand[3] = demand.Estimate{Target: w.in.Demand[3].Target, Fast: 200, Middle: 200, Slow: 200}
		b.Run(fmt.Sprintf("demand/models=%d", s.models), func(b *testing.B) { plans(b, w) })
	}
}

func plans(b *testing.B, w *world) {
	b.ReportAllocs()
	moves, waiting := 0, 0
	for b.Loop() {
		plan := w.planner.Plan(w.now, w.in)
		moves, waiting = len(plan.Moves), len(plan.Waiting)
	}
	b.ReportMetric(float64(moves), "moves")
	b.ReportMetric(float64(waiting), "waiting")
}

// BenchmarkNewEngine reads one engine again, after its announcement has changed.
func BenchmarkNewEngine(b *testing.B) {
	w := deployment(sizes[0])
	for range 60 {
		w.step()
	}
	e := w.engines[0]
	a, l := e.announcement(), w.ledgers[e.name]
	b.ReportAllocs()
	for b.Loop() {
		placement.NewEngine(a, l, placement.Serving)
	}
}
