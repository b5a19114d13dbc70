package dispatch_test

import (
	"container/heap"
	"math/rand/v2"
	"time"

	"github.com/lovagelift/lovagelift/internal/dispatch"
	"github.com/lovagelift/lovagelift/internal/upstreamapi"
)

// Parameters of a simulated engine. With a full batch it finishes about
// engineMaxRunning/(answerTokens*tokenInterval) requests a second.
const (
	engineMaxRunning             = 16
	enginePrefillTokensPerSecond = 6000.0
	engineTokenInterval          = 25 * time.Millisecond // with an empty batch; twice that with a full one
	engineCachePrefixes          = 24
)

// job is one simulated request.
type job struct {
	model         int
	instance      int
	promptTokens  int
	answerTokens  int
	prefix        int
	urgent        bool
	at            time.Time
	deadline      time.Time
	firstTokenAt  time.Time
	tokenInterval time.Duration
	arrival       dispatch.Arrival
	attempt       dispatch.Attempt
	engine        *engine
}

// met reports whether the job met its goals.
func (j *job) met() bool {
	return !j.firstTokenAt.IsZero() && j.firstTokenAt.Sub(j.at) <= goal.FirstToken && j.tokenInterval <= goal.TokenInterval
}

// engine is a queueing model of an engine: it prefills prompts one after the other, and a
// request stays in the batch for its number of answer tokens times the token interval at
// its start.
type engine struct {
	name           string
	models         []int
	running        int
	waiting        []*job
	waitingTokens  int
	prefillDoneAt  time.Time
	cachedPrefixes []int
	sequence       uint64
}

func (e *engine) tokenInterval() time.Duration {
	return engineTokenInterval + engineTokenInterval*time.Duration(e.running)/engineMaxRunning
}

func (e *engine) load() upstreamapi.Load {
	return upstreamapi.Load{
		Running: e.running, Waiting: len(e.waiting), MaxRunning: engineMaxRunning,
		WaitingPromptTokens: e.waitingTokens, PrefillTokensPerSecond: enginePrefillTokensPerSecond, TokenInterval: e.tokenInterval(),
	}
}

// touchCache reports whether a prefix is cached, and makes it the most recently used one.
func (e *engine) touchCache(prefix int) bool {
	for i, p := range e.cachedPrefixes {
		if p == prefix {
			e.cachedPrefixes = append(append(e.cachedPrefixes[:i], e.cachedPrefixes[i+1:]...), p)
			return true
		}
	}
	e.cachedPrefixes = append(e.cachedPrefixes, prefix)
	if len(e.cachedPrefixes) > engineCachePrefixes {
		e.cachedPrefixes = e.cachedPrefixes[1:]
	}
	return false
}

// event is a function call at a simulated time. Events of the same time run in the order of
// sequence.
type event struct {
	at       time.Time
	sequence int
	run      func(now time.Time)
}

type events []event

func (q events) Len() int { return len(q) }
func (q events) Less(i, j int) bool {
	if !q[i].at.Equal(q[j].at) {
		return q[i].at.Before(q[j].at)
	}
	return q[i].sequence < q[j].sequence
}
func (q events) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *events) Push(x any)   { *q = append(*q, x.(event)) }
func (q *events) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

// simulator is a discrete event simulation of engines and jobs.
type simulator struct {
	random       *rand.Rand
	queue        events
	lastSequence int
	engines      []*engine
	// onFirstToken and onDone report the progress of a job to its policy.
	onFirstToken, onDone func(now time.Time, j *job)
}

func (s *simulator) after(now time.Time, delay time.Duration, run func(now time.Time)) {
	s.lastSequence++
	heap.Push(&s.queue, event{at: now.Add(delay), sequence: s.lastSequence, run: run})
}

func (s *simulator) run(until time.Time) {
	for s.queue.Len() > 0 && !s.queue[0].at.After(until) {
		next := heap.Pop(&s.queue).(event)
		next.run(next.at)
	}
}

// send delivers j to e after networkDelay.
func (s *simulator) send(now time.Time, e *engine, j *job) {
	j.engine = e
	s.after(now, networkDelay, func(now time.Time) {
		if e.running < engineMaxRunning {
			s.startJob(now, e, j)
			return
		}
		e.waitingTokens += j.promptTokens
		position := len(e.waiting)
		for position > 0 && j.urgent && !e.waiting[position-1].urgent {
			position--
		}
		e.waiting = append(e.waiting, nil)
		copy(e.waiting[position+1:], e.waiting[position:])
		e.waiting[position] = j
	})
}

func (s *simulator) startJob(now time.Time, e *engine, j *job) {
	e.running++
	uncachedTokens := j.promptTokens
	if j.prefix > 0 && e.touchCache(j.prefix) {
		uncachedTokens -= prefixTokens
	}
	e.waitingTokens += uncachedTokens
	if e.prefillDoneAt.Before(now) {
		e.prefillDoneAt = now
	}
	e.prefillDoneAt = e.prefillDoneAt.Add(time.Duration(float64(uncachedTokens) / enginePrefillTokensPerSecond * float64(time.Second)))
	j.tokenInterval = e.tokenInterval()
	s.after(e.prefillDoneAt, networkDelay, func(now time.Time) {
		e.waitingTokens -= uncachedTokens
		j.firstTokenAt = now
		s.onFirstToken(now, j)
	})
	s.after(e.prefillDoneAt, networkDelay+j.tokenInterval*time.Duration(j.answerTokens), func(now time.Time) {
		e.running--
		s.onDone(now, j)
		s.startWaitingJobs(now, e)
	})
}

// startWaitingJobs fills the free slots of e. It drops a job after its deadline, at which the
// caller disconnects.
func (s *simulator) startWaitingJobs(now time.Time, e *engine) {
	for e.running < engineMaxRunning && len(e.waiting) > 0 {
		j := e.waiting[0]
		e.waiting = e.waiting[1:]
		e.waitingTokens -= j.promptTokens
		if now.After(j.deadline) {
			s.onDone(now, j)
			continue
		}
		s.startJob(now, e, j)
	}
}
