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

// deploymentSize is the size of a deployment.
type deploymentSize struct {
	models, engines, accelerators int
}

// deploymentSizes are a tenth, a third and all of the size that is expected in
// two years.
var deploymentSizes = []deploymentSize{{170, 110, 230}, {567, 367, 767}, {1700, 1100, 2300}}

// deployment returns a deployment of the size, with a random demand by a fixed
// seed.
func deployment(s deploymentSize) *cluster {
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
	var engines []*fakeEngine
	withThree := s.accelerators - 2*s.engines
	for i := range s.engines {
		accelerators := []string{"a0", "a1", "a2"}
		if i >= withThree {
			accelerators = accelerators[:2]
		}
		engines = append(engines, newFakeEngine(fmt.Sprintf("e%04d", i), fmt.Sprintf("d%d", i%10), 80<<30, accelerators...))
	}
	c := newCluster(set, engines...)
	for i := range s.models {
		c.input.Demand = append(c.input.Demand, steadyLoad(fmt.Sprintf("m%04d", i), 24*random.ExpFloat64()*float64(s.accelerators)/float64(s.models)/3))
	}
	return c
}

// BenchmarkPlanEmpty plans a deployment whose engines are empty.
func BenchmarkPlanEmpty(b *testing.B) {
	for _, s := range deploymentSizes {
		b.Run(fmt.Sprintf("models=%d", s.models), func(b *testing.B) {
			c := deployment(s)
			c.now = c.now.Add(1)
			c.observe()
			b.ReportAllocs()
			for b.Loop() {
				if plan := c.planner.Plan(c.now, c.input); len(plan.Moves) == 0 {
					b.Fatal(plan.Problems)
				}
			}
		})
	}
}

// BenchmarkPlanChange plans a deployment that has settled, without and with one
// change.
func BenchmarkPlanChange(b *testing.B) {
	for _, s := range deploymentSizes {
		c := deployment(s)
		for range 60 {
			c.step()
		}
		if c.violation != nil {
			b.Fatal(c.violation)
		}
		c.input.Previous = placement.State{}
		c.observe()
		b.Run(fmt.Sprintf("nothing/models=%d", s.models), func(b *testing.B) { benchmarkPlan(b, c) })
		c.engines[0].alive = false
		c.observe()
		b.Run(fmt.Sprintf("engine-lost/models=%d", s.models), func(b *testing.B) { benchmarkPlan(b, c) })
		c.engines[0].alive = true
		c.observe()
		c.input.Demand[3] = demand.Estimate{Target: c.input.Demand[3].Target, Fast: 200, Middle: 200, Slow: 200}
		b.Run(fmt.Sprintf("demand/models=%d", s.models), func(b *testing.B) { benchmarkPlan(b, c) })
	}
}

func benchmarkPlan(b *testing.B, c *cluster) {
	b.ReportAllocs()
	moves, waiting := 0, 0
	for b.Loop() {
		plan := c.planner.Plan(c.now, c.input)
		moves, waiting = len(plan.Moves), len(plan.Deferred)
	}
	b.ReportMetric(float64(moves), "moves")
	b.ReportMetric(float64(waiting), "waiting")
}

// BenchmarkNewEngine reads one engine again, as after a change of its
// announcement.
func BenchmarkNewEngine(b *testing.B) {
	c := deployment(deploymentSizes[0])
	for range 60 {
		c.step()
	}
	e := c.engines[0]
	a, l := e.announcement(), c.ledgers[e.name]
	b.ReportAllocs()
	for b.Loop() {
		placement.NewEngine(a, l, placement.Serving)
	}
}
