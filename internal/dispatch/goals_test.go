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
	instances    = 7
	engines      = 12
	models       = 20
	prefixTokens = 6 * dispatch.BlockTokens
	networkDelay = 1500 * time.Microsecond
	warmUp       = 10 * time.Second
	measured     = 40 * time.Second
	// capacity is about what the engines end in a second with full batches, in
	// jobs of the mix below.
	capacity = 64.0
)

var (
	goal  = dispatch.Goal{FirstToken: 540 * time.Millisecond, TokenInterval: 75 * time.Millisecond}
	start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
)

// reports is how load reports reach the instances.
type reports struct {
	name   string
	every  time.Duration
	lag    time.Duration
	missed float64
}

var (
	fresh  = reports{name: "fresh", every: 50 * time.Millisecond}
	lagged = reports{name: "lagged 1 s", every: time.Second, lag: time.Second}
	gapped = reports{name: "gapped", every: time.Second, lag: time.Second, missed: 0.5}
)

// trial is one run of the model.
type trial struct {
	policy string
	load   float64
	burst  bool
	reports
	seed uint64
	// samples is the number of candidates compared.
	samples int
}

// result counts the jobs that met their goals, of all and of the urgent.
type result struct {
	jobs, met         int
	urgent, urgentMet int
	refused, late     int
}

func (r result) share() float64 { return float64(r.met) / float64(max(r.jobs, 1)) }

func (r result) urgentShare() float64 { return float64(r.urgentMet) / float64(max(r.urgent, 1)) }

// perSecond is the goodput of one engine.
func (r result) perSecond() float64 { return float64(r.met) / measured.Seconds() / engines }

func newEngines() []*engine {
	var list []*engine
	for i := range engines {
		e := &engine{name: fmt.Sprintf("writing-%02d", i)}
		for n := range models {
			// The popular models stand at more engines.
			if n == 0 || n < 4 && (i+n)%2 == 0 || (i+n)%4 == 0 {
				e.models = append(e.models, n)
			}
		}
		list = append(list, e)
	}
	return list
}

func (t trial) policies(m *model) []policy {
	var list []policy
	for i := range instances {
		options := dispatch.Options{Instances: instances, Samples: t.samples}
		switch t.policy {
		case "ours":
			list = append(list, newOurs(m, t.seed+uint64(i)+1, options))
		case "ours, choice only":
			o := newOurs(m, t.seed+uint64(i)+1, options)
			o.ungated = true
			list = append(list, o)
		default:
			list = append(list, newPlain(m, t.policy))
		}
	}
	return list
}

func (t trial) run() result {
	var r result
	m := &model{random: rand.New(rand.NewPCG(t.seed, 1)), engines: newEngines()}
	all := t.policies(m)
	m.first = func(now time.Time, j *job) { all[j.instance].first(now, j) }
	m.done = func(now time.Time, j *job) { all[j.instance].done(now, j) }
	var jobs []*job
	t.scheduleReports(m, all)
	var tick func(now time.Time)
	tick = func(now time.Time) {
		for _, p := range all {
			p.tick(now)
		}
		m.after(now, 10*time.Millisecond, tick)
	}
	tick(start)
	// The arrivals have a source of their own, so that all policies get the same.
	arrivals := rand.New(rand.NewPCG(t.seed, 2))
	var next func(now time.Time)
	next = func(now time.Time) {
		j := t.newJob(arrivals, now)
		if since := now.Sub(start); since >= warmUp && since < warmUp+measured {
			jobs = append(jobs, j)
		}
		all[j.instance].arrive(now, j)
		m.after(now, t.gap(arrivals), next)
	}
	m.after(start, 0, next)
	m.run(start.Add(warmUp + measured + 15*time.Second))
	for _, j := range jobs {
		r.count(j)
	}
	return r
}

func (r *result) count(j *job) {
	met := j.met()
	r.jobs++
	switch {
	case met:
		r.met++
	case j.engine == nil:
		r.refused++
	default:
		r.late++
	}
	if j.urgent {
		r.urgent++
		if met {
			r.urgentMet++
		}
	}
}

func (t trial) scheduleReports(m *model, all []policy) {
	for n, e := range m.engines {
		for _, p := range all {
			p.report(start, e, e.load(), start)
		}
		var report func(now time.Time)
		report = func(now time.Time) {
			load := e.load()
			for _, p := range all {
				if m.random.Float64() >= t.missed {
					m.after(now, t.lag, func(later time.Time) { p.report(later, e, load, now) })
				}
			}
			m.after(now, t.every, report)
		}
		m.after(start, t.every*time.Duration(n+1)/engines, report)
	}
}

// burstShare of all requests go to one model in a burst, which otherwise has
// about a twelfth: that is its tenfold.
const burstShare = 0.8

// gap returns the time to the next arrival.
func (t trial) gap(random *rand.Rand) time.Duration {
	return time.Duration(random.ExpFloat64() / (capacity * t.load) * float64(time.Second))
}

func (t trial) newJob(random *rand.Rand, now time.Time) *job {
	j := &job{at: now, deadline: now.Add(10 * time.Second), instance: random.IntN(instances)}
	j.model = int(float64(models) * random.Float64() * random.Float64())
	inBurst := t.burst && now.Sub(start)%(20*time.Second) >= 15*time.Second
	if inBurst && random.Float64() < burstShare {
		j.model = 5
	}
	if random.Float64() < 0.25 {
		j.urgent = true
		j.prompt = 100 + random.IntN(100)
		j.tokens = 8 + random.IntN(16)
		return j
	}
	j.prompt = prefixTokens + 100 + random.IntN(800)
	j.tokens = 30 + random.IntN(90)
	j.prefix = 1 + random.IntN(12) + 100*j.model
	return j
}

// A caller at three times the load that the engines carry sees a refusal at
// once, or an answer in time. Were every request sent, they would wait before
// the engines until none is in time: the baselines below show it. The reports
// come a second late, so that this holds on stale figures.
func TestGoodputStaysFlatUnderOverload(t *testing.T) {
	run := func(policy string, load float64) result {
		return trial{policy: policy, load: load, reports: lagged, seed: 3}.run()
	}
	full, over := run("ours", 1), run("ours", 3)
	if over.met < full.met*95/100 {
		t.Errorf("met %d of %d at 3x, %d of %d at 1x", over.met, over.jobs, full.met, full.jobs)
	}
	if over.late > over.jobs/10 {
		t.Errorf("%d of %d were late instead of refused", over.late, over.jobs)
	}
	if share := over.urgentShare(); share < 0.85 {
		t.Errorf("only %.2f of the urgent met their goal", share)
	}
	for _, policy := range []string{"round robin", "least reported"} {
		if base := run(policy, 3); base.met >= over.met {
			t.Errorf("%s met %d at 3x, ours %d", policy, base.met, over.met)
		}
	}
}

// All instances get the same reports, a second late. An engine that seems idle
// gets the requests of all of them if each takes the least loaded one, and their
// callers wait there while other engines stand idle.
func TestInstancesDoNotHerdOnStaleReports(t *testing.T) {
	run := func(policy string) result {
		return trial{policy: policy, load: 0.5, reports: lagged, seed: 5}.run()
	}
	herding, ours := run("least reported"), run("ours")
	if ours.share() < 0.95 {
		t.Errorf("ours met %.3f at half load", ours.share())
	}
	if herding.share() > ours.share()-0.1 {
		t.Errorf("the model shows no herd: %.3f against %.3f", herding.share(), ours.share())
	}
}

// TestGoalsTable prints the table of docs/DISPATCH.md:
//
//	LOVAGELIFT_TABLE=1 go test -run TestGoalsTable -v ./internal/dispatch
func TestGoalsTable(t *testing.T) {
	if os.Getenv("LOVAGELIFT_TABLE") == "" {
		t.Skip("set LOVAGELIFT_TABLE=1 to print the table")
	}
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 1, ' ', tabwriter.Debug)
	defer func() { _ = w.Flush() }()
	for _, burst := range []bool{false, true} {
		for _, rep := range []reports{fresh, lagged, gapped} {
			fmt.Fprintf(w, "\n%s, burst %v\t0.5x\t0.8x\t1x\t1.5x\t2x\t3x\turgent 0.8x\turgent 3x\t\n", rep.name, burst)
			for _, p := range []string{"round robin", "least outstanding", "least reported", "ours, choice only", "ours"} {
				fmt.Fprintf(w, "%s", p)
				var urgent []float64
				for _, load := range []float64{0.5, 0.8, 1, 1.5, 2, 3} {
					r := trial{policy: p, load: load, burst: burst, reports: rep, seed: 7}.run()
					fmt.Fprintf(w, "\t%.2f (%.1f)", r.share(), r.perSecond())
					urgent = append(urgent, r.urgentShare())
				}
				fmt.Fprintf(w, "\t%.2f\t%.2f\t\n", urgent[1], urgent[5])
			}
		}
	}
}
