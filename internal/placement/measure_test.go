package placement_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"os"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lovagelift/lovagelift/internal/declaration"
	"github.com/lovagelift/lovagelift/internal/demand"
	"github.com/lovagelift/lovagelift/internal/placement"
)

// tracePhases are the phases of a trace in order.
var tracePhases = []struct {
	name    string
	seconds int
}{
	{"steady", 1800}, {"bursts", 1800}, {"tenfold shift", 3600}, {"engine lost", 900}, {"domain lost", 900}, {"peak preset", 1200},
}

// demandTrace generates the demand of each model per second, in concurrent
// requests. It depends only on the seed.
type demandTrace struct {
	names        []string
	baseLoads    []float64
	shiftFactors []float64
	random       *rand.Rand
	// burstSecondsLeft is how long the current burst of each model still lasts.
	burstSecondsLeft []int
}

// newTrace returns a trace with the given mean of the total load, in concurrent
// requests. The base loads of the models differ by about two orders of
// magnitude.
func newTrace(set declaration.Set, seed uint64, meanTotal float64) *demandTrace {
	t := &demandTrace{random: rand.New(rand.NewPCG(seed, 2))}
	sum := 0.0
	for _, m := range set.Models() {
		t.names = append(t.names, m.Name)
		base := math.Exp(1.2 * t.random.NormFloat64())
		t.baseLoads = append(t.baseLoads, base)
		// Within the hour of the shift, half of the models grow up to tenfold
		// and half shrink.
		t.shiftFactors = append(t.shiftFactors, math.Pow(10, 2*t.random.Float64()-1))
		sum += base
	}
	for i := range t.baseLoads {
		t.baseLoads[i] *= meanTotal / sum
	}
	t.burstSecondsLeft = make([]int, len(t.baseLoads))
	return t
}

// loadsAt returns the load of each model in one second of a phase.
func (t *demandTrace) loadsAt(phase string, second, phaseSeconds int) []float64 {
	loads := make([]float64, len(t.baseLoads))
	sum, baseSum := 0.0, 0.0
	for i, base := range t.baseLoads {
		loads[i] = base
		baseSum += base
		switch phase {
		case "steady", "bursts":
		case "tenfold shift":
			loads[i] *= math.Pow(t.shiftFactors[i], float64(second)/float64(phaseSeconds))
		default:
			loads[i] *= t.shiftFactors[i]
		}
		sum += loads[i]
	}
	for i := range loads {
		// The total stays the same, only the shares of the models shift.
		loads[i] *= baseSum / sum
		if t.burstSecondsLeft[i] > 0 {
			t.burstSecondsLeft[i]--
			loads[i] *= 6
		} else if phase == "bursts" && t.random.Float64() < 1.0/900 {
			t.burstSecondsLeft[i] = 20 + t.random.IntN(100)
		}
	}
	return loads
}

// policyResult is the outcome of one policy, by phase or in total.
type policyResult struct {
	served, offered            map[string]float64
	loads, unloads, otherMoves int
	unreachable                int
}

// runPolicy runs a policy through the trace. The served load is computed in the
// same way for all policies: by the planner's load model, from the true demand
// and from what engines hold.
func runPolicy(name string, seed uint64, options placement.Options, weight float64, estimates func([]demand.Estimate) []demand.Estimate) policyResult {
	set, engines := exampleDeployment(name)
	for _, e := range engines {
		e.loadSteps = int(placement.DefaultLoadTime.Seconds())
	}
	c := newCluster(set, engines...)
	c.planner = placement.New(options)
	c.input.WeightStore = placement.WeightStore{LoadsPerSecond: 1.6, MaxConcurrentLoads: map[string]int{"kingston": 9, "lagos": 2}[name]}
	referencePlanner := placement.New(placement.Options{})
	// Load all models before the demand begins.
	c.input.Preset.WeightOfMoves = weight
	for range 3600 {
		c.step()
		if c.unreachableCount() == 0 && len(c.plan.Moves)+len(c.plan.Deferred) == 0 && !c.hasOpenOrders() {
			break
		}
	}
	c.steps(60)
	c.moves, c.loads, c.unloads = 0, 0, 0
	t := newTrace(set, seed, 100)
	estimator := demand.New(c.now)
	r := policyResult{served: map[string]float64{}, offered: map[string]float64{}}
	sequence := uint64(0)
	for _, phase := range tracePhases {
		if phase.name == "peak preset" {
			c.input.Preset, _ = set.Preset("peak")
			c.input.Preset.WeightOfMoves = weight
		}
		for second := range phase.seconds {
			injectPhaseFault(c, phase.name, second)
			loads := t.loadsAt(phase.name, second, phase.seconds)
			sequence++
			report := demand.Report{Instance: "a", Incarnation: 1, Sequence: sequence}
			var trueDemand []demand.Estimate
			for i, load := range loads {
				arrived := poisson(t.random, load/2)
				report.Counts = append(report.Counts, demand.Count{
					Target: demand.Target{Model: t.names[i]}, Offered: arrived, Ended: arrived, HoldTime: time.Duration(arrived) * 2 * time.Second,
				})
				trueDemand = append(trueDemand, loadAtScales(t.names[i], load, load, load))
			}
			estimator.Add(c.now, report)
			c.input.Demand = estimates(estimator.Estimates(c.now))
			c.step()
			c.observe()
			outcome := referencePlanner.Plan(c.now, placement.Input{Declarations: set, Preset: c.input.Preset, Engines: c.input.Engines, Demand: trueDemand})
			r.served[phase.name] += outcome.Served
			r.offered[phase.name] += outcome.Offered
			r.unreachable += len(outcome.Unreachable)
		}
	}
	if c.violation != nil {
		panic(c.violation)
	}
	r.loads, r.unloads, r.otherMoves = c.loads, c.unloads, c.moves-c.loads-c.unloads
	return r
}

// injectPhaseFault loses an engine or a failure domain one minute into its
// phase, for five minutes.
func injectPhaseFault(c *cluster, phase string, second int) {
	lost := func(e *fakeEngine) bool {
		return phase == "engine lost" && e == c.engines[0] || phase == "domain lost" && e.domain == c.engines[0].domain
	}
	switch second {
	case 60:
		c.loseEngines(lost)
	case 360:
		for _, e := range c.engines {
			if lost(e) {
				e.restart()
			}
		}
	}
}

func poisson(random *rand.Rand, mean float64) int64 {
	limit, product := math.Exp(-mean), random.Float64()
	n := int64(0)
	for product > limit {
		product *= random.Float64()
		n++
	}
	return n
}

// TestMeasure prints the tables of docs/PLACEMENT.md.
func TestMeasure(t *testing.T) {
	if os.Getenv("LOVAGELIFT_TABLE") == "" {
		t.Skip("set LOVAGELIFT_TABLE=1 to measure")
	}
	unchanged := func(e []demand.Estimate) []demand.Estimate { return e }
	noDemand := func([]demand.Estimate) []demand.Estimate { return nil }
	policies := []struct {
		name      string
		options   placement.Options
		weight    float64
		estimates func([]demand.Estimate) []demand.Estimate
	}{
		{"static: floors and losses", placement.Options{}, 0, noDemand},
		{"greedy by the last 10 s", placement.Options{StabilizationWindow: 1}, 0, fastOnly},
		{"ours, weight 0.1", placement.Options{}, 0.1, unchanged},
		{"ours, weight 0.5", placement.Options{}, 0.5, unchanged},
		{"ours, weight 2", placement.Options{}, 2, unchanged},
		{"ours, weight 4", placement.Options{}, 4, unchanged},
		{"ours, weight 8", placement.Options{}, 8, unchanged},
	}
	for _, name := range []string{"kingston", "lagos"} {
		for _, p := range policies {
			var sum policyResult
			sum.served, sum.offered = map[string]float64{}, map[string]float64{}
			for _, seed := range []uint64{11, 12} {
				r := runPolicy(name, seed, p.options, p.weight, p.estimates)
				for phase := range r.offered {
					sum.served[phase] += r.served[phase]
					sum.offered[phase] += r.offered[phase]
				}
				sum.loads, sum.unloads, sum.otherMoves = sum.loads+r.loads, sum.unloads+r.unloads, sum.otherMoves+r.otherMoves
				sum.unreachable += r.unreachable
			}
			row := fmt.Sprintf("| %s | %s |", name, p.name)
			served, offered := 0.0, 0.0
			for _, phase := range tracePhases {
				row += fmt.Sprintf(" %.3f |", sum.served[phase.name]/sum.offered[phase.name])
				served, offered = served+sum.served[phase.name], offered+sum.offered[phase.name]
			}
			fmt.Printf("%s %.3f | %d | %d | %d | %d |\n", row, served/offered, sum.loads, sum.unloads, sum.otherMoves, sum.unreachable)
		}
	}
}

var _ = Describe("alternating demand", func() {
	// Two models are busy in turn for 90 s each, and there is memory for one
	// more copy. A planner that follows the demand of the last ten seconds
	// would load and unload the same two copies again and again.
	It("does not load and unload the same copies repeatedly", func() {
		moves := func(options placement.Options, weight float64, estimates func([]demand.Estimate) []demand.Estimate) int {
			c := newTestCluster(smallDeclarations(noRedundancy, map[string]int{"a": 10, "b": 10}),
				smallEngine("e1", "d1", 10).withModel("a", 10), smallEngine("e2", "d2", 10).withModel("b", 10), smallEngine("e3", "d3", 10))
			c.planner = placement.New(options)
			c.input.Preset.WeightOfMoves = weight
			estimator := demand.New(c.now)
			for second := range 1800 {
				offered := []int64{20, 0}
				if second/90%2 == 1 {
					offered = []int64{0, 20}
				}
				report := demand.Report{Instance: "a", Incarnation: 1, Sequence: uint64(second + 1)}
				for i, name := range []string{"a", "b"} {
					report.Counts = append(report.Counts, demand.Count{
						Target: demand.Target{Model: name}, Offered: offered[i], Ended: offered[i], HoldTime: time.Duration(offered[i]) * time.Second,
					})
				}
				estimator.Add(c.now, report)
				c.input.Demand = estimates(estimator.Estimates(c.now))
				c.step()
			}
			Expect(c.violation).NotTo(HaveOccurred())
			return c.loads + c.unloads
		}
		withDefaults := moves(placement.Options{}, 1, func(e []demand.Estimate) []demand.Estimate { return e })
		greedy := moves(placement.Options{StabilizationWindow: 1}, 0, fastOnly)
		GinkgoWriter.Println("moves in half an hour: default options", withDefaults, "greedy", greedy)
		Expect(greedy).To(BeNumerically(">=", 30))
		Expect(withDefaults).To(BeNumerically("<=", 3))
	})
})

// fastOnly replaces the estimates of all time scales by that of the last ten
// seconds.
func fastOnly(e []demand.Estimate) []demand.Estimate {
	for i := range e {
		e[i].Middle, e[i].Slow = e[i].Fast, e[i].Fast
	}
	return e
}
