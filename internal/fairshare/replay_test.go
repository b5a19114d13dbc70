package fairshare_test

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lovagelift/lovagelift/internal/fairshare"
)

const (
	objective   = time.Second
	deadline    = 6 * time.Second
	tick        = 4 * time.Millisecond
	warmUp      = 2 * time.Second
	replayTime  = 22 * time.Second
	slots       = 48
	flooder     = 2
	floodFactor = 10.0
	// retryPause is the pause of callers that do not honor Retry-After.
	retryPause = 50 * time.Millisecond
)

// usualLoads are the requests per second of each workspace, a few of them large.
var usualLoads = []float64{60, 40, 30, 10, 9, 8, 7, 6, 5, 5, 4, 4, 3, 3, 2, 2}

// serviceTime makes the slots carry the usual load of all workspaces but the flooder.
func serviceTime() time.Duration {
	others := -usualLoads[flooder]
	for _, load := range usualLoads {
		others += load
	}
	return time.Duration(slots / others * float64(time.Second))
}

// work is what a caller wants done, and attempt one request for it.
type work struct {
	workspace int
	created   time.Time
	started   bool
}

type attempt struct {
	*work
	arrived time.Time
	entry   fairshare.Entry
	start   float64
	rank    int
}

func (a *attempt) late(now time.Time) int {
	if now.After(a.arrived.Add(objective)) {
		return 1
	}
	return 0
}

func (a *attempt) claim() fairshare.Claim {
	return fairshare.Claim{Workspace: fmt.Sprint("w", a.workspace), Weight: usualLoads[a.workspace] / 12, Cost: serviceTime() / slots}
}

// policy orders the waiting requests.
type policy interface {
	order(now time.Time, waiting []*attempt)
	granted(now time.Time, a *attempt)
	// forecast returns the expected wait of a request with a number of others before it, own of them
	// of the same workspace.
	forecast(now time.Time, a *attempt, ahead, own int, rate float64) time.Duration
}

func seconds(s float64) time.Duration { return scale(time.Second, s) }

func scale(d time.Duration, factor float64) time.Duration { return time.Duration(float64(d) * factor) }

// byArrival is first come, first served.
type byArrival struct{ rejects bool }

func (p byArrival) order(now time.Time, waiting []*attempt) {
	slices.SortStableFunc(waiting, func(a, b *attempt) int {
		if p.rejects {
			return cmp.Or(a.late(now)-b.late(now), a.arrived.Compare(b.arrived))
		}
		return a.arrived.Compare(b.arrived)
	})
}
func (byArrival) granted(time.Time, *attempt) {}
func (p byArrival) forecast(_ time.Time, _ *attempt, ahead, _ int, rate float64) time.Duration {
	if !p.rejects {
		return 0
	}
	return seconds(float64(ahead) / rate)
}

// roundRobin grants one request of each workspace in turn.
type roundRobin struct{ turns []int }

func (p roundRobin) order(_ time.Time, waiting []*attempt) {
	slices.SortStableFunc(waiting, func(a, b *attempt) int { return a.arrived.Compare(b.arrived) })
	own := map[int]int{}
	for _, a := range waiting {
		a.rank = own[a.workspace]
		own[a.workspace]++
	}
	slices.SortStableFunc(waiting, func(a, b *attempt) int {
		return cmp.Or(a.rank-b.rank, p.turns[a.workspace]-p.turns[b.workspace])
	})
}

func (p roundRobin) granted(_ time.Time, a *attempt) { p.turns[a.workspace] = slices.Max(p.turns) + 1 }

func (p roundRobin) forecast(_ time.Time, _ *attempt, ahead, _ int, rate float64) time.Duration {
	return seconds(float64(ahead) / rate)
}

// byShare is the part.
type byShare struct {
	scheduler *fairshare.Scheduler
	entered   map[*attempt]bool
}

func (p byShare) order(now time.Time, waiting []*attempt) {
	for _, a := range waiting {
		if !p.entered[a] {
			p.entered[a], a.entry = true, p.scheduler.Enter(now)
		}
	}
	slices.SortStableFunc(waiting, func(a, b *attempt) int {
		return cmp.Or(a.late(now)-b.late(now), a.arrived.Compare(b.arrived))
	})
	p.scheduler.Begin(now)
	for _, a := range waiting {
		a.start = p.scheduler.Start(a.entry, a.claim())
	}
	slices.SortStableFunc(waiting, func(a, b *attempt) int {
		return cmp.Or(a.late(now)-b.late(now), cmp.Compare(a.start, b.start))
	})
}
func (p byShare) granted(now time.Time, a *attempt) { p.scheduler.Charge(now, a.start, a.claim()) }
func (p byShare) forecast(now time.Time, a *attempt, ahead, own int, rate float64) time.Duration {
	return max(seconds(float64(ahead)/rate), seconds(float64(own)/rate/p.scheduler.Use(now, a.claim()).Available))
}

// lostOwner is byShare with a new owner of the model every few seconds, which knows nothing of the
// earlier use.
type lostOwner struct {
	byShare
	since time.Time
}

func (p *lostOwner) order(now time.Time, waiting []*attempt) {
	if now.Sub(p.since) > 3*time.Second {
		p.byShare, p.since = newByShare(), now
	}
	p.byShare.order(now, waiting)
}

// result holds the share of each workspace's work that started in time, and the share of the slots'
// time that was used.
type result struct {
	started []float64
	used    float64
}

// others returns the started part of the work of all workspaces but the flooder.
func (r result) others() float64 {
	total, started := 0.0, 0.0
	for i, load := range usualLoads {
		if i != flooder {
			total += load
			started += load * r.started[i]
		}
	}
	return started / total
}

// smallest returns the started part of the work of the smallest tenth of the workspaces.
func (r result) smallest() float64 {
	return (r.started[len(r.started)-1] + r.started[len(r.started)-2]) / 2
}

func (r result) mean() float64 {
	total := 0.0
	for _, started := range r.started {
		total += started
	}
	return total / float64(len(r.started))
}

// replay plays the load, with a factor for the flooder's, against a policy. The flooder's callers honor
// Retry-After, or retry immediately.
func replay(p policy, factor float64, immediate bool) result {
	random := rand.New(rand.NewPCG(3, 3))
	begin := time.Unix(1000, 0)
	var waiting, arriving []*attempt
	var ends, grants []time.Time
	created, started := make([]int, len(usualLoads)), make([]int, len(usualLoads))
	busy := time.Duration(0)
	later := map[int64][]*work{}
	// retry lets a caller come back: after a third of its time left, as Retry-After tells it, or soon.
	retry := func(now time.Time, w *work) {
		wait := scale(min(w.created.Add(deadline).Sub(now)/3, objective), 0.5+random.Float64()/2)
		if immediate && w.workspace == flooder {
			wait = retryPause
		}
		if back := now.Add(wait); back.Before(w.created.Add(deadline - objective)) {
			step := int64(back.Sub(begin)/tick) + 1
			later[step] = append(later[step], w)
		}
	}
	for now := begin; now.Before(begin.Add(replayTime)); now = now.Add(tick) {
		arriving = arriving[:0]
		step := int64(now.Sub(begin) / tick)
		for _, w := range later[step] {
			arriving = append(arriving, &attempt{work: w, arrived: now})
		}
		delete(later, step)
		for i, load := range usualLoads {
			if i == flooder {
				load *= factor
			}
			for expected := load * tick.Seconds(); random.Float64() < expected; expected-- {
				w := &work{workspace: i, created: now}
				if now.After(begin.Add(warmUp)) && now.Before(begin.Add(replayTime-deadline)) {
					created[i]++
				}
				arriving = append(arriving, &attempt{work: w, arrived: now})
			}
		}
		random.Shuffle(len(arriving), func(i, j int) { arriving[i], arriving[j] = arriving[j], arriving[i] })
		waiting = append(waiting, arriving...)
		ends = slices.DeleteFunc(ends, func(end time.Time) bool { return !end.After(now) })
		grants = slices.DeleteFunc(grants, func(at time.Time) bool { return now.Sub(at) > time.Second })
		p.order(now, waiting)
		for len(ends) < slots && len(waiting) > 0 {
			a := waiting[0]
			waiting = waiting[1:]
			service := scale(serviceTime(), 0.4+1.2*random.Float64())
			ends, grants, busy = append(ends, now.Add(service)), append(grants, now), busy+service
			p.granted(now, a)
			a.started = true
			if a.late(now) == 0 && a.created.After(begin.Add(warmUp)) && a.created.Before(begin.Add(replayTime-deadline)) {
				started[a.workspace]++
			}
		}
		rate := max(float64(len(grants)), slots/serviceTime().Seconds()/2)
		ahead, own := 0, map[int]int{}
		waiting = slices.DeleteFunc(waiting, func(a *attempt) bool {
			isNew := a.arrived.Equal(now)
			rejected := isNew && p.forecast(now, a, ahead, own[a.workspace], rate) > objective || now.Sub(a.arrived) > objective*3/2
			if rejected {
				retry(now, a.work)
				return true
			}
			ahead++
			own[a.workspace]++
			return false
		})
	}
	r := result{used: busy.Seconds() / (slots * replayTime.Seconds())}
	for i := range started {
		r.started = append(r.started, float64(started[i])/float64(created[i]))
	}
	return r
}

func newByShare() byShare {
	return byShare{scheduler: fairshare.New(options), entered: map[*attempt]bool{}}
}

var _ = Describe("The shares of 16 workspaces, one at ten times its load", func() {
	// Guards against a workspace whose overload and immediate retries are paid for by the others.
	It("lets the others start as often as on a normal day", func() {
		normal := replay(byArrival{rejects: true}, 1, false)
		AddReportEntry("normal day", fmt.Sprintf("others %.3f smallest %.3f used %.3f", normal.others(), normal.smallest(), normal.used))
		policies := map[string]func() policy{
			"as it was":               func() policy { return byArrival{rejects: true} },
			"first come first served": func() policy { return byArrival{} },
			"round robin":             func() policy { return roundRobin{turns: make([]int, len(usualLoads))} },
			"the part":                func() policy { return newByShare() },
			"the part, owner lost":    func() policy { return &lostOwner{} },
		}
		results := map[string]result{}
		for name, create := range policies {
			r := replay(create(), floodFactor, true)
			results[name] = r
			AddReportEntry(name, fmt.Sprintf("others %.3f smallest %.3f mean %.3f flooder %.3f large %.3f used %.3f",
				r.others(), r.smallest(), r.mean(), r.started[flooder], r.started[0], r.used))
		}
		part := results["the part"]
		honoring := replay(newByShare(), floodFactor, false)
		AddReportEntry("the part, Retry-After honored", fmt.Sprintf("others %.3f flooder %.3f", honoring.others(), honoring.started[flooder]))
		Expect(part.started[flooder]).To(BeNumerically("<=", 1.1*honoring.started[flooder]), "immediate retries gain nothing")
		Expect(part.others()).To(BeNumerically(">=", 0.9*normal.others()))
		Expect(results["the part, owner lost"].others()).To(BeNumerically(">=", 0.9*normal.others()))
		Expect(part.smallest()).To(BeNumerically(">=", 0.75*part.mean()))
		Expect(part.used).To(BeNumerically(">=", 0.95))
		for _, name := range []string{"as it was", "first come first served", "round robin"} {
			Expect(results[name].others()).To(BeNumerically("<", part.others()), name)
		}
		Expect(results["as it was"].others()).To(BeNumerically("<", 0.9*normal.others()), "without the part")
	})
})
