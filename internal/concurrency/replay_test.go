package concurrency_test

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lovagelift/lovagelift/internal/concurrency"
)

// The deployment that is replayed. The first upstream is slower by slowdown from slowFrom to slowUntil.
const (
	instances, upstreams, slots, queueLength = 87, 4, 6, 24
	work, oneWay                             = 60 * time.Millisecond, 1400 * time.Microsecond
	objective, margin                        = 300 * time.Millisecond, 30 * time.Millisecond
	slowdown, slowFrom, slowUntil, replayed  = 2.5, 6 * time.Second, 11 * time.Second, 20 * time.Second
)

// policy decides which upstream a request is sent to.
type policy string

const (
	leastOutstanding policy = "least outstanding"
	powerOfTwo       policy = "power of two choices"
	shared           policy = "shared limit"
)

// replayResult counts the requests of a replay. busy is the share of the slots' time in use.
type replayResult struct {
	requests, inTime, late, refused, rejected int
	busy                                      float64
}

type event struct {
	at  time.Duration
	run func()
}

// simulated is an upstream and what the owner knows of it.
type simulated struct {
	running, inFlight int
	queue             []func()
	limiter           concurrency.Limiter
}

type replay struct {
	now time.Duration
	// events are sorted by time, the latest first.
	events      []event
	random      *rand.Rand
	upstreams   [upstreams]simulated
	outstanding [instances][upstreams]int
	// waiting holds the arrival times of the requests that wait at the owner.
	waiting []time.Duration
	result  replayResult
}

func (r *replay) after(delay time.Duration, run func()) {
	at := r.now + delay
	index, _ := slices.BinarySearchFunc(r.events, at, func(e event, at time.Duration) int { return cmp.Compare(at, e.at) })
	r.events = slices.Insert(r.events, index, event{at, run})
}

// replayLoad replays requests at random times under a policy.
func replayLoad(p policy, perSecond float64) replayResult {
	r := &replay{random: rand.New(rand.NewPCG(1, 2))}
	var arrive func()
	arrive = func() {
		r.result.requests++
		if arrived := r.now; p == shared {
			r.after(oneWay, func() { r.ask(arrived) })
		} else {
			r.sendAlone(p, r.random.IntN(instances), arrived, -1)
		}
		if next := time.Duration(r.random.ExpFloat64() / perSecond * float64(time.Second)); r.now+next < replayed {
			r.after(next, arrive)
		}
	}
	for r.after(0, arrive); len(r.events) > 0; {
		next := r.events[len(r.events)-1]
		r.events, r.now = r.events[:len(r.events)-1], next.at
		next.run()
	}
	return r.result
}

// sendAlone sends a request from an instance that decides alone, and once more elsewhere if it is refused.
func (r *replay) sendAlone(p policy, instance int, arrived time.Duration, tried int) {
	order := slices.DeleteFunc(r.random.Perm(upstreams), func(u int) bool { return u == tried })
	if p == powerOfTwo {
		order = order[:2]
	}
	counts := &r.outstanding[instance]
	to := slices.MinFunc(order, func(a, b int) int { return counts[a] - counts[b] })
	counts[to]++
	r.send(to, arrived, func(ran bool) {
		counts[to]--
		if !ran && tried < 0 {
			r.sendAlone(p, instance, arrived, to)
		}
	})
}

// send sends a request to an upstream. ended is called at the sender, with whether the upstream ran it.
func (r *replay) send(to int, arrived time.Duration, ended func(ran bool)) {
	r.after(oneWay, func() {
		u := &r.upstreams[to]
		switch {
		case u.running < slots:
			r.run(to, arrived, ended)
		case len(u.queue) < queueLength:
			u.queue = append(u.queue, func() { r.run(to, arrived, ended) })
		default:
			r.result.refused++
			r.after(oneWay, func() { ended(false) })
		}
	})
}

// run runs a request at an upstream, and then the next one of its queue.
func (r *replay) run(to int, arrived time.Duration, ended func(ran bool)) {
	u := &r.upstreams[to]
	u.running++
	took := time.Duration(float64(work) * (0.8 + 0.4*r.random.Float64()))
	if to == 0 && r.now >= slowFrom && r.now < slowUntil {
		took = time.Duration(float64(took) * slowdown)
	}
	r.result.busy += took.Seconds() / (upstreams * slots * replayed.Seconds())
	r.after(took, func() {
		u.running--
		if len(u.queue) > 0 {
			next := u.queue[0]
			u.queue = u.queue[1:]
			next()
		}
		if r.now+oneWay-arrived <= objective {
			r.result.inTime++
		} else {
			r.result.late++
		}
		r.after(oneWay, func() { ended(true) })
	})
}

func (r *replay) candidates() []concurrency.Candidate {
	now := start.Add(r.now)
	var all []concurrency.Candidate
	for _, u := range r.upstreams {
		all = append(all, concurrency.Candidate{
			InFlight: u.inFlight, Limit: u.limiter.Limit(now, slots), Slots: slots, WorkTime: u.limiter.WorkTime(now),
		})
	}
	return all
}

// ask asks the owner to place a request.
func (r *replay) ask(arrived time.Duration) {
	r.waiting = append(r.waiting, arrived)
	r.dispatch()
	last := len(r.waiting) - 1
	if last < 0 || r.waiting[last] != arrived {
		return
	}
	candidates := r.candidates()
	latest := arrived + objective - concurrency.ExpectedTime(candidates, objective) - margin
	if !concurrency.AnyHasRoom(candidates) && concurrency.Wait(candidates, last) > latest-r.now {
		r.waiting = r.waiting[:last]
		r.result.rejected++
	}
}

// dispatch grants upstreams to the waiting requests, those that can still end in time first.
func (r *replay) dispatch() {
	for len(r.waiting) > 0 {
		next := max(slices.IndexFunc(r.waiting, func(arrived time.Duration) bool { return r.now <= arrived+objective-work-margin }), 0)
		arrived := r.waiting[next]
		to := concurrency.Choose(r.candidates(), arrived+objective-r.now, r.random.Float64())
		if to < 0 {
			return
		}
		r.waiting = slices.Delete(r.waiting, next, next+1)
		u := &r.upstreams[to]
		u.inFlight++
		inFlight, sent := u.inFlight, r.now+oneWay
		r.after(oneWay, func() {
			r.send(to, arrived, func(bool) {
				runTime := r.now - sent
				r.after(oneWay, func() {
					u.inFlight--
					u.limiter.Finished(start.Add(r.now), slots, inFlight, runTime)
					r.dispatch()
				})
			})
		})
	}
}

var _ = Describe("the load of four plain upstreams that 87 instances share", func() {
	DescribeTable("is refused by none of them and served in time, while one is slow for some seconds",
		func(perSecond, minInTime float64) {
			results := map[policy]replayResult{}
			for _, p := range []policy{leastOutstanding, powerOfTwo, shared} {
				results[p] = replayLoad(p, perSecond)
				GinkgoWriter.Printf("%.0f/s, %s: %+v\n", perSecond, p, results[p])
			}
			ours := results[shared]
			Expect(ours.refused).To(BeZero())
			Expect(float64(ours.inTime) / float64(ours.requests)).To(BeNumerically(">", minInTime))
			Expect(ours.late).To(BeNumerically("<", ours.requests/100))
			Expect(ours.inTime).To(BeNumerically(">", max(results[leastOutstanding].inTime, results[powerOfTwo].inTime)))
			Expect(ours.busy).To(BeNumerically(">", 0.9*min(perSecond/400, 1)))
		},
		Entry("at half the capacity", 214.0, 0.99),
		Entry("at 0.8 of the capacity", 320.0, 0.97),
		Entry("at the capacity", 400.0, 0.9),
		Entry("at 1.5 times the capacity", 600.0, 0.6),
	)
})
