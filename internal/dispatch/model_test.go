package dispatch_test

import (
	"container/heap"
	"math/rand/v2"
	"time"

	"github.com/lovagelift/lovagelift/internal/dispatch"
	"github.com/lovagelift/lovagelift/internal/upstreamapi"
)

// The figures of a modelled engine. At a full batch it ends about
// places/(tokens*interval) requests a second.
const (
	enginePlaces   = 16
	enginePrefill  = 6000.0
	engineInterval = 25 * time.Millisecond // with an empty batch; twice that with a full one
	engineCache    = 24                    // prefixes
)

// job is one request in the model.
type job struct {
	model    int
	instance int
	prompt   int
	tokens   int
	prefix   int
	urgent   bool
	at       time.Time
	deadline time.Time
	firstAt  time.Time
	interval time.Duration
	arrival  dispatch.Arrival
	flight   dispatch.Flight
	engine   *engine
}

// met reports whether the job met its goals.
func (j *job) met() bool {
	return !j.firstAt.IsZero() && j.firstAt.Sub(j.at) <= goal.FirstToken && j.interval <= goal.TokenInterval
}

// engine is a queue model of an engine: a prompt is prefilled after those before
// it, and a request stays in the batch for its tokens times the interval that
// held when it began.
type engine struct {
	name          string
	models        []int
	running       int
	waiting       []*job
	waitingTokens int
	prefillFree   time.Time
	cache         []int
	sequence      uint64
}

func (e *engine) interval() time.Duration {
	return engineInterval + engineInterval*time.Duration(e.running)/enginePlaces
}

func (e *engine) load() upstreamapi.Load {
	return upstreamapi.Load{
		Running: e.running, Waiting: len(e.waiting), MaxRunning: enginePlaces,
		WaitingPromptTokens: e.waitingTokens, PrefillTokensPerSecond: enginePrefill, TokenInterval: e.interval(),
	}
}

// hit reports whether a prefix is cached, and caches it.
func (e *engine) hit(prefix int) bool {
	for i, p := range e.cache {
		if p == prefix {
			e.cache = append(append(e.cache[:i], e.cache[i+1:]...), p)
			return true
		}
	}
	e.cache = append(e.cache, prefix)
	if len(e.cache) > engineCache {
		e.cache = e.cache[1:]
	}
	return false
}

// event is something that happens at a time of the model.
type event struct {
	at  time.Time
	seq int
	do  func(now time.Time)
}

type events []event

func (q events) Len() int { return len(q) }
func (q events) Less(i, j int) bool {
	if !q[i].at.Equal(q[j].at) {
		return q[i].at.Before(q[j].at)
	}
	return q[i].seq < q[j].seq
}
func (q events) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *events) Push(x any)   { *q = append(*q, x.(event)) }
func (q *events) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

// model runs engines and jobs in the order of a modelled time.
type model struct {
	random  *rand.Rand
	queue   events
	seq     int
	engines []*engine
	// first and done tell the policy what came of a job.
	first, done func(now time.Time, j *job)
}

func (m *model) after(now time.Time, d time.Duration, do func(now time.Time)) {
	m.seq++
	heap.Push(&m.queue, event{at: now.Add(d), seq: m.seq, do: do})
}

func (m *model) run(until time.Time) {
	for m.queue.Len() > 0 && !m.queue[0].at.After(until) {
		next := heap.Pop(&m.queue).(event)
		next.do(next.at)
	}
}

// send brings j to e after the network's delay.
func (m *model) send(now time.Time, e *engine, j *job) {
	j.engine = e
	m.after(now, networkDelay, func(now time.Time) {
		if e.running < enginePlaces {
			m.begin(now, e, j)
			return
		}
		e.waitingTokens += j.prompt
		place := len(e.waiting)
		for place > 0 && j.urgent && !e.waiting[place-1].urgent {
			place--
		}
		e.waiting = append(e.waiting, nil)
		copy(e.waiting[place+1:], e.waiting[place:])
		e.waiting[place] = j
	})
}

func (m *model) begin(now time.Time, e *engine, j *job) {
	e.running++
	prompt := j.prompt
	if j.prefix > 0 && e.hit(j.prefix) {
		prompt -= prefixTokens
	}
	e.waitingTokens += prompt
	if e.prefillFree.Before(now) {
		e.prefillFree = now
	}
	e.prefillFree = e.prefillFree.Add(time.Duration(float64(prompt) / enginePrefill * float64(time.Second)))
	j.interval = e.interval()
	m.after(e.prefillFree, networkDelay, func(now time.Time) {
		e.waitingTokens -= prompt
		j.firstAt = now
		m.first(now, j)
	})
	m.after(e.prefillFree, networkDelay+j.interval*time.Duration(j.tokens), func(now time.Time) {
		e.running--
		m.done(now, j)
		m.beginWaiting(now, e)
	})
}

// beginWaiting fills the free places of e. A job whose caller has gone at its
// deadline is dropped.
func (m *model) beginWaiting(now time.Time, e *engine) {
	for e.running < enginePlaces && len(e.waiting) > 0 {
		j := e.waiting[0]
		e.waiting = e.waiting[1:]
		e.waitingTokens -= j.prompt
		if now.After(j.deadline) {
			m.done(now, j)
			continue
		}
		m.begin(now, e, j)
	}
}
