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

// batchEngine reads what it was sent in steps, each of which makes a token for
// every stream. An event of a stream is three tokens.
type batchEngine struct {
	unread   int
	stepEnds time.Time
	steps    []time.Duration
}

const (
	stepTokens      = 4096
	tokensPerMillis = 25.8
	decodeTime      = 10 * time.Millisecond
	eventSteps      = 3
)

func (e *batchEngine) run(now time.Time) {
	for !e.stepEnds.After(now) {
		read := min(e.unread, stepTokens)
		e.unread -= read
		step := decodeTime + time.Duration(float64(read)/tokensPerMillis*float64(time.Millisecond))
		e.steps = append(e.steps, step)
		e.stepEnds = e.stepEnds.Add(step)
	}
}

// pauses returns the time between the events of streams, in order.
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

// pacedLoad is what requests meet that seven instances send to engines which all
// hold their model.
type pacedLoad struct {
	random  *rand.Rand
	fleets  []counter.UpstreamPool
	queues  [][]waitingPrompt
	engines map[string]*batchEngine
	hints   []hint
	waits   []time.Duration
}

type waitingPrompt struct {
	since  time.Time
	tokens int
}

// hint arrives at the other instances some time after a prompt was sent.
type hint struct {
	at     time.Time
	from   int
	engine string
	tokens int
}

const (
	instances = 7
	// hintTime is how long a hint takes, and lookEvery how often an instance looks
	// whether those that wait can go.
	hintTime  = 2 * time.Millisecond
	lookEvery = 4
)

func newPacedLoad(engines int) *pacedLoad {
	l := &pacedLoad{
		random: rand.New(rand.NewPCG(7, 7)), queues: make([][]waitingPrompt, instances),
		engines: map[string]*batchEngine{},
	}
	for range instances {
		l.fleets = append(l.fleets, counter.NewUpstreamPool("here", lease))
	}
	for i := range engines {
		name := fmt.Sprint("e", i)
		l.engines[name] = &batchEngine{stepEnds: start}
		for _, fleet := range l.fleets {
			fleet.Apply(start, engineOf(name, "here", start, "m"))
		}
	}
	return l
}

// play sends prompts for a while, so many a second, of 300 to 2,600 tokens.
func (l *pacedLoad) play(perSecond float64, length time.Duration) {
	next := start
	for millis := range int(length / time.Millisecond) {
		now := start.Add(time.Duration(millis) * time.Millisecond)
		for _, engine := range l.engines {
			engine.run(now)
		}
		l.tell(now)
		for !next.After(now) {
			instance := l.random.IntN(instances)
			l.queues[instance] = append(l.queues[instance], waitingPrompt{next, 300 + l.random.IntN(2300)})
			l.look(now, instance)
			next = next.Add(time.Duration(l.random.ExpFloat64() / perSecond * float64(time.Second)))
		}
		for instance := range instances {
			if (millis+instance)%lookEvery == 0 {
				l.look(now, instance)
			}
		}
	}
}

// tell has hints arrive.
func (l *pacedLoad) tell(now time.Time) {
	for len(l.hints) > 0 && !l.hints[0].at.After(now) {
		for instance, fleet := range l.fleets {
			if instance != l.hints[0].from {
				fleet.PeerSent(now, l.hints[0].engine, l.hints[0].tokens, l.hints[0].from)
			}
		}
		l.hints = l.hints[1:]
	}
}

// look sends what can go of those that wait at an instance, the first first.
func (l *pacedLoad) look(now time.Time, instance int) {
	for len(l.queues[instance]) > 0 {
		first := l.queues[instance][0]
		name, _ := l.fleets[instance].Send(now, "pool", "m", "", first.tokens)
		if name == "" {
			return
		}
		l.queues[instance] = l.queues[instance][1:]
		l.engines[name].unread += first.tokens
		l.waits = append(l.waits, now.Sub(first.since))
		l.hints = append(l.hints, hint{now.Add(hintTime), instance, name, first.tokens})
	}
}

// longPauses returns the part of the pauses that are longer than callers bear.
func (l *pacedLoad) longPauses() float64 {
	long, all := 0, 0
	for _, engine := range l.engines {
		pauses := engine.pauses()
		all += len(pauses)
		place, _ := slices.BinarySearch(pauses, 250*time.Millisecond)
		long += len(pauses) - place
	}
	return float64(long) / float64(all)
}

// waitOf returns how long the part share of the prompts waited at most.
func (l *pacedLoad) waitOf(share float64) time.Duration {
	slices.Sort(l.waits)
	return l.waits[int(share*float64(len(l.waits)-1))]
}

var _ = Describe("the pace of an engine", func() {
	// Seven instances send 70 prompts a second to ten engines, a third of what these
	// can read. Each instance by itself sees a seventh, and the prompts of a quarter
	// of a second fell on one engine by chance: 40 in 100 streams paused for too long.
	It("keeps pauses short under a load that engines carry easily", func() {
		load := newPacedLoad(10)
		load.play(70, 10*time.Second)
		Expect(load.longPauses()).To(BeNumerically("<", 0.001))
		Expect(load.waitOf(0.98)).To(BeNumerically("<", 30*time.Millisecond))
	})

	// A model has risen, and three engines hold it: prompts wait at every instance.
	// All saw at the same moment that an engine had room again, and sent it one each:
	// streams paused for half a second.
	It("keeps instances that wait for the same engine from sending at once", func() {
		load := newPacedLoad(3)
		load.play(37, 10*time.Second)
		Expect(load.longPauses()).To(BeNumerically("<", 0.02))
		Expect(load.waitOf(0.9)).To(BeNumerically("<", 600*time.Millisecond))
	})
})
