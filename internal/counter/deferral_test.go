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
	replayEngines, replaySlots = 8, 12
	urgentObjective            = 800 * time.Millisecond
	batchObjective             = 10 * time.Second
	replayReportInterval       = 250 * time.Millisecond
)

// deferralReplay replays urgent and batch requests. Their models have different owners, which see each
// other's requests at the shared engines by load reports and by reports of the engines.
type deferralReplay struct {
	// random holds a source for each kind, so that all policies get the same requests.
	random [kinds]*rand.Rand
	// mixed is the switch, and placedObjective the objective by which batch requests are placed.
	mixed           bool
	placedObjective time.Duration
	pools           [kinds]counter.UpstreamPool
	queues          [kinds]counter.Queue
	results         [kinds]replayResult
	active          [kinds][replayEngines]int
	engines         [replayEngines]replayEngine
	waiting         []replayRequest
	messages        []replayMessage
	report          courier.EngineStates
}

// replayEngine runs up to replaySlots requests and prefills one prompt at a time.
type replayEngine struct {
	queued, running []replayRequest
	prefillEnds     time.Time
}

type replayRequest struct {
	kind          int
	arrived, ends time.Time
	decode        time.Duration
	maxWait       time.Duration
	upstream      func() string
	withdraw      func()
}

type replayMessage struct {
	at           time.Time
	from, engine int
	active       int
}

type replayResult struct {
	arrived, inTime, rejected, expired int
	longestWait                        time.Duration
}

// late returns the share of the requests that were not served in time.
func (r *replayResult) late() float64 { return 1 - float64(r.inTime)/float64(r.arrived) }

func (r *replayResult) add(other replayResult) {
	r.arrived, r.inTime = r.arrived+other.arrived, r.inTime+other.inTime
	r.rejected, r.expired = r.rejected+other.rejected, r.expired+other.expired
	r.longestWait = max(r.longestWait, other.longestWait)
}

// replay sends requests at rates relative to the engines' slots. The rate of batch requests is four
// times as high in the second quarter of a minute.
func replay(mixed bool, placedObjective time.Duration, seed uint64, urgentLoad, batchLoad float64) [kinds]replayResult {
	const length = time.Minute
	s := &deferralReplay{mixed: mixed, placedObjective: placedObjective}
	for kind := range kinds {
		s.random[kind] = rand.New(rand.NewPCG(seed, uint64(kind)))
		s.pools[kind] = counter.NewUpstreamPool("here", lease)
		for i := range replayEngines {
			addSmallEngine(s.pools[kind], engineNames[i], "urgent", batchModel(i))
		}
		s.queues[kind] = counter.NewQueue(s.pools[kind], 1)
	}
	capacity := replayEngines * replaySlots / counter.ServiceTime().Seconds()
	next := [kinds]time.Time{start, start}
	for at := time.Duration(0); at < length+2*batchObjective; at += time.Millisecond {
		now := start.Add(at)
		s.deliver(now, at)
		rates := [kinds]float64{urgentLoad * capacity, batchLoad * capacity}
		if at >= length/4 && at < length/2 {
			rates[batch] *= 4
		}
		for kind := range kinds {
			for at < length && !next[kind].After(now) {
				s.arrive(now, kind)
				next[kind] = next[kind].Add(scaled(time.Second, s.random[kind].ExpFloat64()/rates[kind]))
			}
			if at%(dispatchMillis*time.Millisecond) == 0 {
				s.queues[kind].Dispatch(now)
			}
		}
		s.sendGranted(now)
		for i := range s.engines {
			s.advance(now, i)
		}
	}
	return s.results
}

var engineNames = []string{"e0", "e1", "e2", "e3", "e4", "e5", "e6", "e7"}

// batchModel returns the batch model of an engine. Two engines hold each.
func batchModel(engine int) string { return fmt.Sprint("batch", engine%(replayEngines/2)) }

// deliver delivers the messages that are due, and the state of the engines one interval ago.
func (s *deferralReplay) deliver(now time.Time, at time.Duration) {
	for len(s.messages) > 0 && !s.messages[0].at.After(now) {
		m := s.messages[0]
		s.pools[kinds-1-m.from].PeerUses(now, engineNames[m.engine], m.active)
		s.messages = s.messages[1:]
	}
	if at%replayReportInterval != 0 {
		return
	}
	for _, pool := range s.pools {
		pool.ApplyEngineStates(now, s.report)
	}
	s.report.Engines = nil
	for i, e := range s.engines {
		s.report.Engines = append(s.report.Engines, courier.EngineState{
			Name: engineNames[i], Age: replayReportInterval - 100*time.Millisecond, Running: len(e.running), Queued: len(e.queued),
			Models: []courier.LoadedModel{{Name: "urgent"}, {Name: batchModel(i)}},
		})
	}
}

func (s *deferralReplay) arrive(now time.Time, kind int) {
	s.results[kind].arrived++
	decode := scaled(counter.ServiceTime()-counter.PromptTime(), 0.5+s.random[kind].Float64())
	queue := s.queues[kind]
	w := s.enqueue(now, kind)
	if queue.Rejects(now, w) {
		queue.Dequeue(w)
		s.results[kind].rejected++
		return
	}
	s.waiting = append(s.waiting, replayRequest{
		kind: kind, arrived: now, decode: decode, maxWait: min(counter.MaxWait(w), batchObjective),
		upstream: func() string { return counter.GrantedUpstream(w) }, withdraw: func() { queue.Dequeue(w) },
	})
}

func (s *deferralReplay) enqueue(now time.Time, kind int) counter.Waiter {
	if kind == urgent {
		return s.queues[urgent].Enqueue(now, "urgent", urgentObjective)
	}
	model := batchModel(s.random[batch].IntN(replayEngines))
	return s.queues[batch].EnqueueBatch(now, now, model, s.placedObjective, 20*time.Second, s.mixed)
}

// sendGranted sends the granted requests, and withdraws those that have waited too long.
func (s *deferralReplay) sendGranted(now time.Time) {
	s.waiting = slices.DeleteFunc(s.waiting, func(r replayRequest) bool {
		engine := slices.Index(engineNames, r.upstream())
		if engine < 0 {
			if now.Sub(r.arrived) <= r.maxWait {
				return false
			}
			r.withdraw()
			s.results[r.kind].expired++
			return true
		}
		s.results[r.kind].longestWait = max(s.results[r.kind].longestWait, now.Sub(r.arrived))
		s.engines[engine].queued = append(s.engines[engine].queued, r)
		s.active[r.kind][engine]++
		s.messages = append(s.messages, replayMessage{now.Add(messageDelay), r.kind, engine, s.active[r.kind][engine]})
		return true
	})
}

// advance ends and starts requests at an engine.
func (s *deferralReplay) advance(now time.Time, engine int) {
	e := &s.engines[engine]
	e.running = slices.DeleteFunc(e.running, func(r replayRequest) bool {
		if r.ends.After(now) {
			return false
		}
		s.pools[r.kind].Release(engineNames[engine])
		s.active[r.kind][engine]--
		return true
	})
	for len(e.queued) > 0 && len(e.running) < replaySlots {
		r := e.queued[0]
		e.queued = e.queued[1:]
		if e.prefillEnds.Before(now) {
			e.prefillEnds = now
		}
		e.prefillEnds = e.prefillEnds.Add(counter.PromptTime())
		if e.prefillEnds.Sub(r.arrived) <= [kinds]time.Duration{urgentObjective, batchObjective}[r.kind] {
			s.results[r.kind].inTime++
		}
		r.ends = e.prefillEnds.Add(r.decode)
		e.running = append(e.running, r)
	}
}

func scaled(d time.Duration, factor float64) time.Duration { return time.Duration(float64(d) * factor) }

var _ = Describe("Batch requests beside urgent ones", func() {
	// As ordinary requests, they take the slots that urgent requests of another owner need. If they
	// always left a quarter of the slots, many of them would wait for their whole objective in vain.
	It("leave capacity to urgent requests, and use what is left in time", func() {
		var results [3][kinds]replayResult
		for i, policy := range []struct {
			name      string
			mixed     bool
			objective time.Duration
		}{{"as any other request", false, batchObjective}, {"a constant quarter", true, time.Hour}, {"the part", true, batchObjective}} {
			for seed := range uint64(3) {
				r := replay(policy.mixed, policy.objective, seed, 0.8, 0.08)
				for kind := range kinds {
					results[i][kind].add(r[kind])
				}
			}
			fmt.Fprintf(GinkgoWriter, "%s: urgent %+v, batch %+v\n", policy.name, results[i][urgent], results[i][batch])
		}
		ordinary, constant, part := results[0], results[1], results[2]
		Expect(part[urgent].late()).To(BeNumerically("<", 0.6*ordinary[urgent].late()))
		Expect(part[batch].late()).To(BeNumerically("<", 0.15))
		Expect(part[batch].expired).To(BeZero())
		Expect(constant[batch].expired).To(BeNumerically(">", 20))
	})

	It("are served or rejected, and none waits forever, at 1.5 times the capacity", func() {
		r := replay(true, batchObjective, 1, 1.4, 0.1)
		fmt.Fprintf(GinkgoWriter, "1.5 times the capacity: urgent %+v, batch %+v\n", r[urgent], r[batch])
		Expect(r[batch].late()).To(BeNumerically("<", 0.6))
		Expect(r[batch].expired).To(BeZero())
		Expect(r[batch].longestWait).To(BeNumerically("<=", batchObjective))
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
		Expect(enqueue(now, 7*time.Second, "m", true)).To(BeTrue(), "one of the same model waits with another headroom")
		Expect(enqueue(now.Add(time.Second), 0, "m", false)).To(BeTrue())
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
	for i := range replayEngines {
		addSmallEngine(pool, engineNames[i], "m")
		pool.PeerActive(start, engineNames[i], 11, 1)
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
