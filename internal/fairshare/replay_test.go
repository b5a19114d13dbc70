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
	objective = time.Second
	deadline  = 6 * time.Second
	tick      = 4 * time.Millisecond
	// Work that callers create from measureFrom to measureUntil is measured.
	measureFrom  = 2 * time.Second
	measureUntil = 16 * time.Second
	replayTime   = measureUntil + deadline
	slots        = 48
	flooder      = 2
	// retryPause is the pause of callers that do not honor Retry-After.
	retryPause = 50 * time.Millisecond
)

// usualLoads are the requests per second of each workspace, a few of them large. The slots carry those
// of all but the flooder.
var usualLoads = []float64{60, 40, 30, 10, 9, 8, 7, 6, 5, 5, 4, 4, 3, 3, 2, 2}

var serviceTime = seconds(slots / (198.0 - usualLoads[flooder]))

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// attempt is one request for a piece of work that a caller created.
type attempt struct {
	workspace        int
	created, arrived time.Time
	claim            fairshare.Claim
	entry            *fairshare.Entry
	start            float64
	rank             int
}

func (a *attempt) late(now time.Time) int {
	return min(int(now.Sub(a.arrived)/objective), 1)
}

func (a *attempt) measured() bool {
	return !a.created.Before(start.Add(measureFrom)) && a.created.Before(start.Add(measureUntil))
}

// policy orders the waiting requests, which it is given by lateness and arrival, and learns of grants.
// available is the part of the grants that the workspace of a request can expect, and 0 if requests
// are never rejected.
type policy struct {
	order     func(now time.Time, waiting []*attempt)
	granted   func(now time.Time, a *attempt)
	available func(now time.Time, a *attempt) float64
}

func asItWas() policy {
	return policy{
		func(time.Time, []*attempt) {}, func(time.Time, *attempt) {},
		func(time.Time, *attempt) float64 { return 1 },
	}
}

func firstComeFirstServed() policy {
	p := asItWas()
	p.order = func(_ time.Time, waiting []*attempt) {
		slices.SortStableFunc(waiting, func(a, b *attempt) int { return a.arrived.Compare(b.arrived) })
	}
	p.available = func(time.Time, *attempt) float64 { return 0 }
	return p
}

func roundRobin() policy {
	p, turns := asItWas(), make([]int, len(usualLoads))
	p.order = func(_ time.Time, waiting []*attempt) {
		own := map[int]int{}
		for _, a := range waiting {
			a.rank = own[a.workspace]
			own[a.workspace]++
		}
		slices.SortStableFunc(waiting, func(a, b *attempt) int {
			return cmp.Or(a.rank-b.rank, turns[a.workspace]-turns[b.workspace])
		})
	}
	p.granted = func(_ time.Time, a *attempt) { turns[a.workspace] = slices.Max(turns) + 1 }
	return p
}

// byShare is the part. The owner of the model is lost each time that ownerTime has passed.
func byShare(ownerTime time.Duration) func() policy {
	return func() policy {
		s, since := fairshare.New(options), start
		return policy{
			order: func(now time.Time, waiting []*attempt) {
				lost := now.Sub(since) >= ownerTime
				if lost {
					s, since = fairshare.New(options), now
				}
				for _, a := range waiting {
					if a.entry == nil || lost {
						entry := s.Enter(now)
						a.entry = &entry
					}
				}
				s.Begin(now)
				for _, a := range waiting {
					a.start = s.Start(*a.entry, a.claim)
				}
				slices.SortStableFunc(waiting, func(a, b *attempt) int {
					return cmp.Or(a.late(now)-b.late(now), cmp.Compare(a.start, b.start))
				})
			},
			granted:   func(now time.Time, a *attempt) { s.Charge(now, a.start, a.claim) },
			available: func(now time.Time, a *attempt) float64 { return s.Use(now, a.claim).Available },
		}
	}
}

// result is the part of the work that started in time.
type result struct{ others, smallest, mean, flooder, used float64 }

func resultOf(created, started []float64, used float64) result {
	r := result{flooder: started[flooder] / created[flooder], used: used}
	total := 0.0
	for i := range started {
		r.mean += started[i] / created[i] / float64(len(started))
		if i != flooder {
			total, r.others = total+created[i], r.others+started[i]
		}
	}
	last := len(started) - 1
	r.others, r.smallest = r.others/total, (started[last]+started[last-1])/(created[last]+created[last-1])
	return r
}

// replay plays the load against a policy. The flooder sends a multiple of its usual load, and its
// callers may retry immediately.
func replay(p policy, factor float64, immediate bool) result {
	random := rand.New(rand.NewPCG(3, 3))
	var waiting []*attempt
	var ends, grants []time.Time
	created, started, busy := make([]float64, len(usualLoads)), make([]float64, len(usualLoads)), 0.0
	later := map[time.Duration][]*attempt{}
	retry := func(now time.Time, a *attempt) {
		wait := min(a.created.Add(deadline).Sub(now)/3, objective).Seconds() * (0.5 + random.Float64()/2)
		if immediate && a.workspace == flooder {
			wait = retryPause.Seconds()
		}
		back := now.Add(seconds(wait)).Truncate(tick).Add(tick)
		if back.Before(a.created.Add(deadline - objective)) {
			again := &attempt{workspace: a.workspace, created: a.created, arrived: back, claim: a.claim}
			later[back.Sub(start)] = append(later[back.Sub(start)], again)
		}
	}
	for now := start; now.Before(start.Add(replayTime)); now = now.Add(tick) {
		arriving := later[now.Sub(start)]
		for i, load := range usualLoads {
			claim := fairshare.Claim{Workspace: fmt.Sprint("w", i), Weight: load / 12, Cost: serviceTime / slots}
			if i == flooder {
				load *= factor
			}
			for expected := load * tick.Seconds(); random.Float64() < expected; expected-- {
				a := &attempt{workspace: i, created: now, arrived: now, claim: claim}
				if a.measured() {
					created[i]++
				}
				arriving = append(arriving, a)
			}
		}
		random.Shuffle(len(arriving), func(i, j int) { arriving[i], arriving[j] = arriving[j], arriving[i] })
		waiting = append(waiting, arriving...)
		ends = slices.DeleteFunc(ends, func(end time.Time) bool { return !end.After(now) })
		grants = slices.DeleteFunc(grants, func(at time.Time) bool { return now.Sub(at) > time.Second })
		slices.SortStableFunc(waiting, func(a, b *attempt) int {
			return cmp.Or(a.late(now)-b.late(now), a.arrived.Compare(b.arrived))
		})
		p.order(now, waiting)
		for ; len(ends) < slots && len(waiting) > 0; waiting = waiting[1:] {
			service := serviceTime.Seconds() * (0.4 + 1.2*random.Float64())
			ends, grants, busy = append(ends, now.Add(seconds(service))), append(grants, now), busy+service
			p.granted(now, waiting[0])
			if waiting[0].late(now) == 0 && waiting[0].measured() {
				started[waiting[0].workspace]++
			}
		}
		rate, ahead, own := max(float64(len(grants)), slots/serviceTime.Seconds()/2), 0.0, map[int]float64{}
		waiting = slices.DeleteFunc(waiting, func(a *attempt) bool {
			available := p.available(now, a)
			tooLong := available > 0 && max(ahead, own[a.workspace]/available)/rate > objective.Seconds()
			if a.arrived.Equal(now) && tooLong || now.Sub(a.arrived) > objective*3/2 {
				retry(now, a)
				return true
			}
			ahead++
			own[a.workspace]++
			return false
		})
	}
	return resultOf(created, started, busy/(slots*replayTime.Seconds()))
}

var _ = Describe("The shares of 16 workspaces, one at ten times its load", func() {
	// Guards against a workspace whose overload and immediate retries are paid for by the others.
	It("lets the others start as often as on a normal day", func() {
		play := func(name string, create func() policy, factor float64, immediate bool) result {
			r := replay(create(), factor, immediate)
			AddReportEntry(name, fmt.Sprintf("%+.3f", r))
			return r
		}
		normal := play("as it was, normal day", asItWas, 1, false)
		part := play("the part", byShare(time.Hour), 10, true)
		for name, create := range map[string]func() policy{
			"as it was": asItWas, "first come first served": firstComeFirstServed, "round robin": roundRobin,
		} {
			Expect(play(name, create, 10, true).others).To(BeNumerically("<", 0.95*part.others), name)
		}
		Expect(part.others).To(BeNumerically(">=", 0.9*normal.others))
		Expect(part.smallest).To(BeNumerically(">=", 0.75*part.mean))
		Expect(part.used).To(BeNumerically(">=", 0.95))
		honoring := play("the part, Retry-After honored", byShare(time.Hour), 10, false)
		Expect(part.flooder).To(BeNumerically("<=", 1.1*honoring.flooder), "immediate retries gain nothing")
		lost := play("the part, owner lost every 3 s", byShare(3*time.Second), 10, true)
		Expect(lost.others).To(BeNumerically(">=", 0.9*normal.others))
	})
})
