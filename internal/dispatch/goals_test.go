package dispatch_test

import (
	"fmt"
	"math/rand/v2"
	"os"
	"testing"
	"text/tabwriter"
	"time"

	"github.com/lovagelift/lovagelift/internal/dispatch"
)

const (
	instanceCount = 7
	engineCount   = 12
	modelCount    = 20
	prefixTokens  = 6 * dispatch.BlockTokens
	networkDelay  = 1500 * time.Microsecond
	warmUpTime    = 10 * time.Second
	measuredTime  = 40 * time.Second
	// capacityJobsPerSecond is the approximate throughput of all engines with full batches,
	// for the mix of jobs from newJob.
	capacityJobsPerSecond = 64.0
)

var (
	goal  = dispatch.Goal{FirstToken: 540 * time.Millisecond, TokenInterval: 75 * time.Millisecond}
	start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
)

// reportTiming defines when the instances receive load reports.
type reportTiming struct {
	name   string
	period time.Duration
	delay  time.Duration
	// lossRate is the share of reports that an instance doesn't receive.
	lossRate float64
}

var (
	fresh  = reportTiming{name: "fresh", period: 50 * time.Millisecond}
	lagged = reportTiming{name: "lagged 1 s", period: time.Second, delay: time.Second}
	gapped = reportTiming{name: "gapped", period: time.Second, delay: time.Second, lossRate: 0.5}
)

// simulation is the configuration of one simulation run.
type simulation struct {
	policy string
	// load is the arrival rate relative to capacityJobsPerSecond.
	load  float64
	burst bool
	reportTiming
	seed uint64
	// samples is Options.Samples.
	samples int
}

// goalCounts counts jobs by outcome. met and urgentMet are those that met their goals.
type goalCounts struct {
	jobs, met         int
	urgent, urgentMet int
	refused, late     int
}

func (c goalCounts) metShare() float64 { return float64(c.met) / float64(max(c.jobs, 1)) }

func (c goalCounts) urgentMetShare() float64 { return float64(c.urgentMet) / float64(max(c.urgent, 1)) }

// metPerEngineSecond returns the goodput per engine.
func (c goalCounts) metPerEngineSecond() float64 {
	return float64(c.met) / measuredTime.Seconds() / engineCount
}

func newEngines() []*engine {
	var list []*engine
	for i := range engineCount {
		e := &engine{name: fmt.Sprintf("writing-%02d", i)}
		for n := range modelCount {
			// The popular models are loaded at more engines.
			if n == 0 || n < 4 && (i+n)%2 == 0 || (i+n)%4 == 0 {
				e.models = append(e.models, n)
			}
		}
		list = append(list, e)
	}
	return list
}

func (s simulation) policies(sim *simulator) []policy {
	var list []policy
	for i := range instanceCount {
		options := dispatch.Options{Instances: instanceCount, Samples: s.samples}
		switch s.policy {
		case "ours":
			list = append(list, newGatePolicy(sim, s.seed+uint64(i)+1, options))
		case "ours, choice only":
			p := newGatePolicy(sim, s.seed+uint64(i)+1, options)
			p.withoutGate = true
			list = append(list, p)
		default:
			list = append(list, newBaselinePolicy(sim, s.policy))
		}
	}
	return list
}

func (s simulation) run() goalCounts {
	var counts goalCounts
	sim := &simulator{random: rand.New(rand.NewPCG(s.seed, 1)), engines: newEngines()}
	instances := s.policies(sim)
	sim.onFirstToken = func(now time.Time, j *job) { instances[j.instance].firstToken(now, j) }
	sim.onDone = func(now time.Time, j *job) { instances[j.instance].done(now, j) }
	var jobs []*job
	s.scheduleReports(sim, instances)
	var tick func(now time.Time)
	tick = func(now time.Time) {
		for _, p := range instances {
			p.tick(now)
		}
		sim.after(now, 10*time.Millisecond, tick)
	}
	tick(start)
	// The arrivals have a random source of their own, so that they are the same for all
	// policies.
	arrivals := rand.New(rand.NewPCG(s.seed, 2))
	var next func(now time.Time)
	next = func(now time.Time) {
		j := s.newJob(arrivals, now)
		if since := now.Sub(start); since >= warmUpTime && since < warmUpTime+measuredTime {
			jobs = append(jobs, j)
		}
		instances[j.instance].arrive(now, j)
		sim.after(now, s.interarrival(arrivals), next)
	}
	sim.after(start, 0, next)
	sim.run(start.Add(warmUpTime + measuredTime + 15*time.Second))
	for _, j := range jobs {
		counts.count(j)
	}
	return counts
}

func (c *goalCounts) count(j *job) {
	met := j.met()
	c.jobs++
	switch {
	case met:
		c.met++
	case j.engine == nil:
		c.refused++
	default:
		c.late++
	}
	if j.urgent {
		c.urgent++
		if met {
			c.urgentMet++
		}
	}
}

func (s simulation) scheduleReports(sim *simulator, instances []policy) {
	for n, e := range sim.engines {
		for _, p := range instances {
			p.report(start, e, e.load(), start)
		}
		var report func(now time.Time)
		report = func(now time.Time) {
			load := e.load()
			for _, p := range instances {
				if sim.random.Float64() >= s.lossRate {
					sim.after(now, s.delay, func(later time.Time) { p.report(later, e, load, now) })
				}
			}
			sim.after(now, s.period, report)
		}
		sim.after(start, s.period*time.Duration(n+1)/engineCount, report)
	}
}

// burstShare is the share of requests for one model during a burst, about ten times its
// usual share of about a twelfth.
const burstShare = 0.8

// interarrival returns an exponentially distributed time to the next arrival.
func (s simulation) interarrival(random *rand.Rand) time.Duration {
	return time.Duration(random.ExpFloat64() / (capacityJobsPerSecond * s.load) * float64(time.Second))
}

func (s simulation) newJob(random *rand.Rand, now time.Time) *job {
	j := &job{at: now, deadline: now.Add(10 * time.Second), instance: random.IntN(instanceCount)}
	j.model = int(float64(modelCount) * random.Float64() * random.Float64())
	inBurst := s.burst && now.Sub(start)%(20*time.Second) >= 15*time.Second
	if inBurst && random.Float64() < burstShare {
		j.model = 5
	}
	if random.Float64() < 0.25 {
		j.urgent = true
		j.promptTokens = 100 + random.IntN(100)
		j.answerTokens = 8 + random.IntN(16)
		return j
	}
	j.promptTokens = prefixTokens + 100 + random.IntN(800)
	j.answerTokens = 30 + random.IntN(90)
	j.prefix = 1 + random.IntN(12) + 100*j.model
	return j
}

// TestGoodputStaysFlatUnderOverload guards against congestion collapse. At three times the
// capacity, each request must be refused immediately or answered in time. If all were
// sent, as by the baselines below, they would queue at the engines until none is answered
// in time. The load reports are a second late, because the limits must also work with
// stale reports.
func TestGoodputStaysFlatUnderOverload(t *testing.T) {
	run := func(policy string, load float64) goalCounts {
		return simulation{policy: policy, load: load, reportTiming: lagged, seed: 3}.run()
	}
	atCapacity, overloaded := run("ours", 1), run("ours", 3)
	if overloaded.met < atCapacity.met*95/100 {
		t.Errorf("met the goals of %d of %d jobs at 3x, of %d of %d at 1x", overloaded.met, overloaded.jobs, atCapacity.met, atCapacity.jobs)
	}
	if overloaded.late > overloaded.jobs/10 {
		t.Errorf("%d of %d jobs were late instead of refused", overloaded.late, overloaded.jobs)
	}
	if share := overloaded.urgentMetShare(); share < 0.85 {
		t.Errorf("only %.2f of the urgent jobs met their goals", share)
	}
	for _, policy := range []string{"round robin", "least reported"} {
		if base := run(policy, 3); base.met >= overloaded.met {
			t.Errorf("at 3x, %s met the goals of %d jobs, the Gate of %d", policy, base.met, overloaded.met)
		}
	}
}

// TestInstancesDoNotHerdOnStaleReports guards against a thundering herd. All instances get
// the same reports, a second late. If each chose the least loaded engine, an engine that
// seems idle would receive the requests of all of them, which would queue there while
// other engines are idle.
func TestInstancesDoNotHerdOnStaleReports(t *testing.T) {
	run := func(policy string) goalCounts {
		return simulation{policy: policy, load: 0.5, reportTiming: lagged, seed: 5}.run()
	}
	baseline, gated := run("least reported"), run("ours")
	if gated.metShare() < 0.95 {
		t.Errorf("the Gate met the goals of a share of only %.3f at half load", gated.metShare())
	}
	if baseline.metShare() > gated.metShare()-0.1 {
		t.Errorf("the baseline shows no herding: its share is %.3f, that of the Gate %.3f", baseline.metShare(), gated.metShare())
	}
}

// TestGoalsTable prints the table of docs/DISPATCH.md:
//
//	LOVAGELIFT_TABLE=1 go test -run TestGoalsTable -v ./internal/dispatch
func TestGoalsTable(t *testing.T) {
	if os.Getenv("LOVAGELIFT_TABLE") == "" {
		t.Skip("set LOVAGELIFT_TABLE=1 to print the table")
	}
	table := tabwriter.NewWriter(os.Stdout, 0, 0, 1, ' ', tabwriter.Debug)
	defer func() { _ = table.Flush() }()
	for _, burst := range []bool{false, true} {
		for _, timing := range []reportTiming{fresh, lagged, gapped} {
			fmt.Fprintf(table, "\n%s, burst %v\t0.5x\t0.8x\t1x\t1.5x\t2x\t3x\turgent 0.8x\turgent 3x\t\n", timing.name, burst)
			for _, policy := range []string{"round robin", "least outstanding", "least reported", "ours, choice only", "ours"} {
				fmt.Fprintf(table, "%s", policy)
				var urgent []float64
				for _, load := range []float64{0.5, 0.8, 1, 1.5, 2, 3} {
					counts := simulation{policy: policy, load: load, burst: burst, reportTiming: timing, seed: 7}.run()
					fmt.Fprintf(table, "\t%.2f (%.1f)", counts.metShare(), counts.metPerEngineSecond())
					urgent = append(urgent, counts.urgentMetShare())
				}
				fmt.Fprintf(table, "\t%.2f\t%.2f\t\n", urgent[1], urgent[5])
			}
		}
	}
}
