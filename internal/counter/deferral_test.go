package counter_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lovagelift/lovagelift/internal/counter"
	"github.com/lovagelift/lovagelift/internal/courier"
)

// Kinds of requests in a replay.
const (
	urgent = iota
	batch
	kinds
)

const (
	urgentObjective = 800 * time.Millisecond
	batchObjective  = 10 * time.Second
)

var engineNames = []string{"e0", "e1", "e2", "e3", "e4", "e5", "e6", "e7"}

// batchModel returns the batch model of an engine. Two engines hold each.
func batchModel(engine int) string { return fmt.Sprint("batch", engine%(len(engineNames)/2)) }

// deferralReplay replays urgent and batch requests. Their models have different owners, which see each
// other's requests at the shared engines by load reports and by reports of the engines.
type deferralReplay struct {
	owners [kinds]*replayOwner
	// freeAt are the times at which the slots of each engine, and its prefill, become free.
	freeAt  [8][12]time.Time
	prefill [8]time.Time
	events  []replayEvent
}

type replayOwner struct {
	replayResult
	// random is a source of its own, so that all policies get the same requests.
	random    *rand.Rand
	pool      counter.UpstreamPool
	queue     counter.Queue
	active    [8]int
	waiting   []replayRequest
	objective time.Duration
	enqueue   func(now time.Time) counter.Waiter
}

type replayRequest struct {
	counter.Waiter
	arrived time.Time
	decode  time.Duration
}

type replayEvent struct {
	at  time.Time
	run func(now time.Time)
}

type replayResult struct {
	arrived, inTime, rejected, expired int
	longestWait                        time.Duration
}

// late returns the share of the requests that were not served in time.
func (r *replayResult) late() float64 { return 1 - float64(r.inTime)/float64(r.arrived) }

// replay sends requests for a minute at rates relative to the engines' slots. The rate of batch requests
// is four times as high in the second quarter. mixed is the switch, and placedObjective the objective by
// which batch requests are placed.
func replayDeferral(mixed bool, placedObjective time.Duration, seed uint64, urgentLoad, batchLoad float64) (urgents, batches replayResult) {
	s := &deferralReplay{}
	for kind := range kinds {
		o := &replayOwner{random: rand.New(rand.NewPCG(seed, uint64(kind))), pool: counter.NewUpstreamPool("here", lease)}
		for i, name := range engineNames {
			addSmallEngine(o.pool, name, "urgent", batchModel(i))
		}
		o.queue, s.owners[kind] = counter.NewQueue(o.pool, 1), o
	}
	u, b := s.owners[urgent], s.owners[batch]
	u.objective, u.enqueue = urgentObjective, func(now time.Time) counter.Waiter { return u.queue.Enqueue(now, "urgent", urgentObjective) }
	b.objective, b.enqueue = batchObjective, func(now time.Time) counter.Waiter {
		return b.queue.EnqueueBatch(now, now, batchModel(b.random.IntN(8)), placedObjective, 20*time.Second, mixed)
	}
	for millis := range 80_000 {
		now := start.Add(time.Duration(millis) * time.Millisecond)
		s.events = slices.DeleteFunc(s.events, func(e replayEvent) bool {
			due := !e.at.After(now)
			if due {
				e.run(now)
			}
			return due
		})
		if millis%250 == 0 {
			s.reportEngines(now)
		}
		for kind, load := range [kinds]float64{urgentLoad, batchLoad} {
			if kind == batch && millis/15_000 == 1 {
				load *= 4
			}
			perMillis := load * float64(len(engineNames)*len(s.freeAt[0])) / float64(counter.ServiceTime()/time.Millisecond)
			if o := s.owners[kind]; millis < 60_000 && o.random.Float64() < perMillis {
				o.arrive(now)
			}
			if millis%dispatchMillis == 0 {
				s.owners[kind].queue.Dispatch(now)
			}
			s.sendGranted(now, kind)
		}
	}
	return u.replayResult, b.replayResult
}

// reportEngines delivers the present state of the engines to both owners some time later.
func (s *deferralReplay) reportEngines(now time.Time) {
	var states courier.EngineStates
	for i, name := range engineNames {
		states.Engines = append(states.Engines, courier.EngineState{
			Name: name, Age: 150 * time.Millisecond, Running: s.owners[urgent].active[i] + s.owners[batch].active[i],
			Models: []courier.LoadedModel{{Name: "urgent"}, {Name: batchModel(i)}},
		})
	}
	s.events = append(s.events, replayEvent{now.Add(250 * time.Millisecond), func(now time.Time) {
		for _, o := range s.owners {
			o.pool.ApplyEngineStates(now, states)
		}
	}})
}

func (o *replayOwner) arrive(now time.Time) {
	o.arrived++
	w := o.enqueue(now)
	if o.queue.Rejects(now, w) {
		o.queue.Dequeue(w)
		o.rejected++
		return
	}
	decode := time.Duration((0.5 + o.random.Float64()) * float64(counter.ServiceTime()-counter.PromptTime()))
	o.waiting = append(o.waiting, replayRequest{w, now, decode})
}

// sendGranted sends the granted requests, and withdraws those that have waited too long.
func (s *deferralReplay) sendGranted(now time.Time, kind int) {
	o := s.owners[kind]
	o.waiting = slices.DeleteFunc(o.waiting, func(r replayRequest) bool {
		engine, waited := slices.Index(engineNames, counter.GrantedUpstream(r.Waiter)), now.Sub(r.arrived)
		if engine >= 0 {
			o.longestWait = max(o.longestWait, waited)
			s.send(now, kind, engine, r)
			return true
		}
		expired := waited > min(counter.MaxWait(r.Waiter), batchObjective)
		if expired {
			o.queue.Dequeue(r.Waiter)
			o.expired++
		}
		return expired
	})
}

func (s *deferralReplay) send(now time.Time, kind, engine int, r replayRequest) {
	o, peer, name := s.owners[kind], s.owners[kinds-1-kind], engineNames[engine]
	slices.SortFunc(s.freeAt[engine][:], time.Time.Compare)
	first := slices.MaxFunc([]time.Time{now, s.freeAt[engine][0], s.prefill[engine]}, time.Time.Compare).Add(counter.PromptTime())
	s.prefill[engine], s.freeAt[engine][0] = first, first.Add(r.decode)
	if first.Sub(r.arrived) <= o.objective {
		o.inTime++
	}
	o.active[engine]++
	active := o.active[engine]
	s.events = append(s.events,
		replayEvent{now.Add(messageDelay), func(now time.Time) { peer.pool.PeerUses(now, name, active) }},
		replayEvent{first.Add(r.decode), func(time.Time) {
			o.pool.Release(name)
			o.active[engine]--
		}},
	)
}

var _ = Describe("Batch requests beside urgent ones", func() {
	// As ordinary requests, they take the slots that urgent requests of another owner need. If they
	// always left a quarter of the slots, many of them would wait for their whole objective in vain.
	It("leave capacity to urgent requests, and use what is left in time", func() {
		lateUrgent, lateBatch, expired := [3]float64{}, [3]float64{}, [3]int{}
		policies := []struct {
			name      string
			mixed     bool
			objective time.Duration
		}{{"as any other request", false, batchObjective}, {"a constant quarter", true, time.Hour}, {"the part", true, batchObjective}}
		const seeds = 3
		results := concurrently(len(policies)*seeds, func(i int) (results [kinds]replayResult) {
			policy := policies[i/seeds]
			results[urgent], results[batch] = replayDeferral(policy.mixed, policy.objective, uint64(i%seeds), 0.8, 0.08)
			return results
		})
		for i, policy := range policies {
			for _, result := range results[i*seeds : (i+1)*seeds] {
				u, b := &result[urgent], &result[batch]
				lateUrgent[i], lateBatch[i], expired[i] = lateUrgent[i]+u.late()/seeds, lateBatch[i]+b.late()/seeds, expired[i]+b.expired
			}
			fmt.Fprintf(GinkgoWriter, "%s: late urgent %.4f, late batch %.4f, expired %d\n", policy.name, lateUrgent[i], lateBatch[i], expired[i])
		}
		Expect(lateUrgent[2]).To(BeNumerically("<", 0.6*lateUrgent[0]))
		Expect(lateBatch[2]).To(BeNumerically("<", 0.15))
		Expect(expired[1]).To(BeNumerically(">", 20))
		Expect(expired[2]).To(BeZero())
	})

	It("are served or rejected, and none waits forever, at 1.5 times the capacity", func() {
		_, b := replayDeferral(true, batchObjective, 1, 1.4, 0.1)
		Expect(b.late()).To(BeNumerically("<", 0.6))
		Expect(b.expired).To(BeZero())
		Expect(b.longestWait).To(BeNumerically("<=", batchObjective))
	})
})

var _ = Describe("A batch request", func() {
	var pool counter.UpstreamPool
	var queue counter.Queue
	enqueue := func(now time.Time, age time.Duration, model string, mixed bool) bool {
		return counter.Granted(queue.EnqueueBatch(now, now.Add(-age), model, batchObjective, 30*time.Second, mixed))
	}

	BeforeEach(func() {
		pool = counter.NewUpstreamPool("here", lease)
		addSmallEngine(pool, "e", "urgent", "m")
		queue = counter.NewQueue(pool, 1)
	})

	// Other instances' requests are known by the engine's load only. Without the switch, no decision may
	// change. The age of a request goes with it to another owner.
	It("counts the load of other owners, by the age that it brings, where the switch is on", func() {
		pool.PeerActive(start, "e", 11, 1)
		now := start.Add(time.Millisecond)
		Expect(enqueue(now, 0, "m", true)).To(BeFalse())
		Expect(enqueue(now, 7*time.Second, "m", true)).To(BeTrue())
		Expect(enqueue(now.Add(time.Second), 0, "m", false)).To(BeTrue())
	})

	// One failed selection applies to all waiting requests that need the same.
	It("that leaves headroom does not hold back a less urgent request of its model that needs none", func() {
		pool.PeerActive(start, "e", 12, 1)
		waits := queue.EnqueueBatch(start, start, "m", batchObjective, 30*time.Second, true)
		late := queue.EnqueueAs(start.Add(-time.Second), "m", "", 1, urgentObjective)
		pool.PeerActive(start, "e", 11, 1)
		queue.Dispatch(start.Add(200 * time.Millisecond))
		Expect(counter.Granted(late)).To(BeTrue())
		Expect(counter.Granted(waits)).To(BeFalse())
	})

	It("goes after an urgent request that arrived later, even a late one, for the same engine", func() {
		pool.PeerActive(start, "e", 12, 1)
		waits := queue.EnqueueBatch(start, start, "m", batchObjective, 30*time.Second, true)
		late := queue.Enqueue(start.Add(-time.Second), "urgent", urgentObjective)
		pool.PeerActive(start, "e", 0, 1)
		queue.Dispatch(start.Add(200 * time.Millisecond))
		Expect(counter.Granted(late)).To(BeTrue())
		Expect(counter.Granted(waits)).To(BeFalse())
	})

	// A load takes up to 9 s, and nobody has called for it yet. Callers that are refused meanwhile would
	// find the same state when they return.
	It("waits for the load of its model, one for all, unless that takes too long", func() {
		for range 2 {
			rejects, calls := queue.RejectsOrLoads(start, queue.EnqueueBatch(start, start, "gone", batchObjective, 20*time.Second, true))
			Expect(rejects).To(BeFalse())
			Expect(calls).To(Equal(1))
		}
		Expect(queue.Rejects(start, queue.EnqueueBatch(start, start, "gone", batchObjective, 20*time.Second, false))).To(BeTrue())
		pool.ApplyEngineStates(start, courier.EngineStates{Engines: []courier.EngineState{{Name: "e", NextModel: "gone", NextModelIn: 11 * time.Second}}})
		Expect(queue.Rejects(start, queue.EnqueueBatch(start, start, "gone", batchObjective, 20*time.Second, true))).To(BeTrue())
	})

	// A caller that stays for 12 s would be refused after 6 s, before the request has aged.
	It("may wait until its objective if the response can still be complete in time", func() {
		maxWait := func(deadline time.Duration, mixed bool) time.Duration {
			return counter.MaxWait(queue.EnqueueBatch(start, start, "gone", batchObjective, deadline, mixed))
		}
		Expect(maxWait(12*time.Second, true)).To(BeNumerically(">", 9*time.Second))
		Expect(maxWait(12*time.Second, false)).To(Equal(6 * time.Second))
		Expect(maxWait(30*time.Second, true)).To(Equal(maxWait(30*time.Second, false)))
	})
})

// BenchmarkDeferredDispatch dispatches 200 batch requests of different ages that wait for headroom.
func BenchmarkDeferredDispatch(b *testing.B) {
	pool := counter.NewUpstreamPool("here", lease)
	for _, name := range engineNames {
		addSmallEngine(pool, name, "m")
		pool.PeerActive(start, name, 11, 1)
	}
	queue := counter.NewQueue(pool, 1)
	for i := range 200 {
		queue.EnqueueBatch(start, start.Add(-time.Duration(i)*30*time.Millisecond), "m", batchObjective, 30*time.Second, true)
	}
	b.ReportAllocs()
	for b.Loop() {
		queue.Dispatch(start)
	}
}
