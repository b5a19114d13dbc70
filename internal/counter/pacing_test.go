package counter_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lovagelift/lovagelift/internal/counter"
)

// batchEngine processes prompts in steps, each of which generates one token for every stream. An
// event of a stream holds three tokens.
type batchEngine struct {
	backlog  int
	stepEnds time.Time
	steps    []time.Duration
}

const (
	stepTokens      = 4096
	tokensPerMillis = 25.8
	decodeTime      = 10 * time.Millisecond
	eventSteps      = 3
)

func (e *batchEngine) advance(now time.Time) {
	for !e.stepEnds.After(now) {
		read := min(e.backlog, stepTokens)
		e.backlog -= read
		step := decodeTime + time.Duration(float64(read)/tokensPerMillis*float64(time.Millisecond))
		e.steps = append(e.steps, step)
		e.stepEnds = e.stepEnds.Add(step)
	}
}

// pauses returns the sorted times between the events of a stream.
func (e *batchEngine) pauses() []time.Duration {
	var all []time.Duration
	for i := range len(e.steps) - eventSteps + 1 {
		pause := time.Duration(0)
		for _, step := range e.steps[i : i+eventSteps] {
			pause += step
		}
		all = append(all, pause)
	}
	slices.Sort(all)
	return all
}

// loadSimulation simulates requests that seven instances send to engines, all of which have loaded
// the model.
type loadSimulation struct {
	random   *rand.Rand
	pools    []counter.UpstreamPool
	queues   [][]waitingPrompt
	engines  map[string]*batchEngine
	messages []peerMessage
	waits    []time.Duration
}

type waitingPrompt struct {
	since  time.Time
	tokens int
}

// peerMessage is a report of a sent prompt that arrives at the other instances after messageDelay.
type peerMessage struct {
	at     time.Time
	from   int
	engine string
	tokens int
}

const (
	instances = 7
	// messageDelay is the latency of messages between instances. dispatchMillis is the time between
	// two dispatches of an instance in milliseconds.
	messageDelay   = 2 * time.Millisecond
	dispatchMillis = 4
)

func newLoadSimulation(engines int) *loadSimulation {
	s := &loadSimulation{
		random: rand.New(rand.NewPCG(7, 7)), queues: make([][]waitingPrompt, instances),
		engines: map[string]*batchEngine{},
	}
	for range instances {
		s.pools = append(s.pools, counter.NewUpstreamPool("here", lease))
	}
	for i := range engines {
		name := fmt.Sprint("e", i)
		s.engines[name] = &batchEngine{stepEnds: start}
		for _, pool := range s.pools {
			pool.Apply(start, engineRecord(name, "here", start, "m"))
		}
	}
	return s
}

// run sends prompts of 300 to 2,600 tokens at a given rate.
func (s *loadSimulation) run(perSecond float64, length time.Duration) {
	next := start
	for millis := range int(length / time.Millisecond) {
		now := start.Add(time.Duration(millis) * time.Millisecond)
		for _, engine := range s.engines {
			engine.advance(now)
		}
		s.deliver(now)
		for !next.After(now) {
			instance := s.random.IntN(instances)
			s.queues[instance] = append(s.queues[instance], waitingPrompt{next, 300 + s.random.IntN(2300)})
			s.dispatch(now, instance)
			next = next.Add(time.Duration(s.random.ExpFloat64() / perSecond * float64(time.Second)))
		}
		for instance := range instances {
			if (millis+instance)%dispatchMillis == 0 {
				s.dispatch(now, instance)
			}
		}
	}
}

// deliver delivers the messages that are due.
func (s *loadSimulation) deliver(now time.Time) {
	for len(s.messages) > 0 && !s.messages[0].at.After(now) {
		for instance, pool := range s.pools {
			if instance != s.messages[0].from {
				pool.PeerSent(now, s.messages[0].engine, s.messages[0].tokens, s.messages[0].from)
			}
		}
		s.messages = s.messages[1:]
	}
}

// dispatch sends the waiting prompts of an instance in order, as far as engines accept them.
func (s *loadSimulation) dispatch(now time.Time, instance int) {
	for len(s.queues[instance]) > 0 {
		first := s.queues[instance][0]
		name, _ := s.pools[instance].Send(now, "pool", "m", "", first.tokens)
		if name == "" {
			return
		}
		s.queues[instance] = s.queues[instance][1:]
		s.engines[name].backlog += first.tokens
		s.waits = append(s.waits, now.Sub(first.since))
		s.messages = append(s.messages, peerMessage{now.Add(messageDelay), instance, name, first.tokens})
	}
}

// longPauses returns the share of the pauses that are longer than callers tolerate.
func (s *loadSimulation) longPauses() float64 {
	long, all := 0, 0
	for _, engine := range s.engines {
		pauses := engine.pauses()
		all += len(pauses)
		firstLong, _ := slices.BinarySearch(pauses, 250*time.Millisecond)
		long += len(pauses) - firstLong
	}
	return float64(long) / float64(all)
}

// waitQuantile returns a quantile of the waiting times.
func (s *loadSimulation) waitQuantile(share float64) time.Duration {
	slices.Sort(s.waits)
	return s.waits[int(share*float64(len(s.waits)-1))]
}

var _ = Describe("the pace of an engine", func() {
	// Seven instances send 70 prompts a second to ten engines, a third of the engines' capacity.
	// Each instance sees only a seventh of the load. Without pacing, all prompts of a quarter of a
	// second may go to the same engine, and 40 in 100 streams pause for too long.
	It("keeps pauses short under a load that engines carry easily", func() {
		load := newLoadSimulation(10)
		load.run(70, 10*time.Second)
		Expect(load.longPauses()).To(BeNumerically("<", 0.001))
		Expect(load.waitQuantile(0.98)).To(BeNumerically("<", 30*time.Millisecond))
	})

	// The load of a model has risen close to the capacity of its three engines, and prompts wait at
	// every instance. All instances learn at the same moment that an engine has capacity. If each
	// sent a prompt then, streams would pause for half a second.
	It("keeps instances that wait for the same engine from sending at once", func() {
		load := newLoadSimulation(3)
		load.run(37, 10*time.Second)
		Expect(load.longPauses()).To(BeNumerically("<", 0.02))
		Expect(load.waitQuantile(0.9)).To(BeNumerically("<", 600*time.Millisecond))
	})
})
