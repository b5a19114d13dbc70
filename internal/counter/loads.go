package counter

import (
	"cmp"
	"context"
	"math"
	"math/rand/v2"
	"time"

	"github.com/lovagelift/lovagelift/internal/courier"
	"github.com/lovagelift/lovagelift/internal/pause"
)

const (
	// leaderLoadCallsPerSecond is how many load calls a leader handles from all entry instances. At
	// about 100 us per call, they take a quarter of the time of a leader with 0.12 of a core. The
	// leader can order a tenth as many loads.
	leaderLoadCallsPerSecond = 300.0
	// loadBurstTime is the burst of calls that one instance may make after a pause, expressed as
	// the time in which its rate allows that many calls. minLoadBurstCalls is the minimum burst.
	loadBurstTime     = 250 * time.Millisecond
	minLoadBurstCalls = 2.0
	// minLoadBackoff is the backoff of a target after a failed call. It doubles with each
	// consecutive failure up to maxLoadBackoff.
	minLoadBackoff = 100 * time.Millisecond
	maxLoadBackoff = 400 * time.Millisecond
	// instanceLoadCallsPerSecond is the maximum rate of one instance.
	instanceLoadCallsPerSecond = leaderLoadCallsPerSecond / 8
)

// loadLimiter limits the load calls to the leader, for models and adapters that no upstream has
// loaded. It is not safe for concurrent use.
//
// A leader that cannot carry out a load receives the same call repeatedly from each entry instance.
// Without a limit, these calls take the CPU time that it needs to remain leader. Its successor has
// to wait before it may give orders and receives even more calls. So each instance is limited to a
// share of the calls that a leader can handle.
//
// Most instances have nothing to load, while the owner of a newly loaded model needs dozens of
// adapters. So the rate of an instance starts at its share, doubles with each successful call and
// halves with each failed one, but not below the share.
type loadLimiter struct {
	// rate is the current limit in calls per second. delay raises it to the instance's share if it
	// is lower.
	rate float64
	// tokens is the number of calls allowed immediately, as of refilledAt.
	tokens     float64
	refilledAt time.Time
	failed     map[courier.WantArgs]failedLoad
}

// failedLoad is the backoff state of a target whose call failed.
type failedLoad struct {
	failures int
	// retryAt is the earliest time of the next call.
	retryAt time.Time
	// unavailableWithin is the time within which no engine can hold the target, as the leader has stated. It is 0
	// if one may.
	unavailableWithin time.Duration
}

// loadShare returns the calls per second that each instance may make at least.
func (l *controlLinks) loadShare() float64 {
	return leaderLoadCallsPerSecond / float64(max(l.entryInstances, 1))
}

func newLoadLimiter() *loadLimiter {
	return &loadLimiter{tokens: minLoadBurstCalls, failed: map[courier.WantArgs]failedLoad{}}
}

// delay returns the time until a call may be made. pending is the number of pending calls at this
// instance, and share its guaranteed calls per second. If the call may be made now, delay consumes
// a token and returns 0.
func (l *loadLimiter) delay(now time.Time, args courier.WantArgs, pending int, share float64) time.Duration {
	l.rate = max(l.rate, share)
	burst := max(l.rate*loadBurstTime.Seconds(), minLoadBurstCalls)
	l.tokens = min(l.tokens+l.rate*now.Sub(l.refilledAt).Seconds(), burst)
	l.refilledAt = now
	if remaining := l.failed[args].retryAt.Sub(now); remaining > 0 {
		return remaining
	}
	if l.tokens >= 1 {
		l.tokens--
		return 0
	}
	// Pending calls check again at different times, on average when their turn comes.
	turn := (1 - l.tokens + float64(pending)*rand.Float64()) / l.rate
	return time.Duration(turn * float64(time.Second))
}

// recordResult adjusts the rate and the backoff after a call.
func (l *loadLimiter) recordResult(now time.Time, args courier.WantArgs, loaded bool) {
	for key, failed := range l.failed {
		if now.Sub(failed.retryAt) > maxLoadBackoff {
			delete(l.failed, key)
		}
	}
	if loaded {
		l.rate = min(2*l.rate, instanceLoadCallsPerSecond)
		delete(l.failed, args)
		return
	}
	l.rate /= 2
	failures := l.failed[args].failures
	wait := min(minLoadBackoff<<min(failures, 10), maxLoadBackoff)
	l.failed[args] = failedLoad{failures: failures + 1, retryAt: now.Add(wait)}
}

// recordUnavailable records that the call whose result was recorded last has no prospect of success within a time,
// and none at all if that is 0.
func (l *loadLimiter) recordUnavailable(args courier.WantArgs, within time.Duration) {
	failed := l.failed[args]
	failed.unavailableWithin = cmp.Or(within, math.MaxInt64)
	l.failed[args] = failed
}

// unavailableWithin returns the time within which a call has no prospect of success, 0 if it may have.
func (l *loadLimiter) unavailableWithin(now time.Time, args courier.WantArgs) time.Duration {
	if failed := l.failed[args]; now.Before(failed.retryAt) {
		return failed.unavailableWithin
	}
	return 0
}

// requestLoad calls the leader to load the model or adapter that a waiting request is missing, if
// that is what it needs. Requests with the same target share one call. p.mu is held.
func (p *Proxy) requestLoad(w *waiter) {
	if w.requirements.model == "" || w.missing != missingAdapter && w.missing != missingModel {
		return
	}
	args := w.requirements.loadArgs(w.missing)
	if p.pendingLoads[args] {
		return
	}
	p.pendingLoads[args] = true
	go p.runLoadCall(args)
}

func (p *Proxy) runLoadCall(args courier.WantArgs) {
	ctx, cancel := context.WithTimeout(context.Background(), loadCallTimeout)
	defer cancel()
	var reply courier.WantReply
	if leader := p.waitForLoadCall(ctx, args); leader != "" {
		reply = p.callLeader(ctx, leader, args)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.pendingLoads, args)
	if u := p.pool.byName[reply.Engine]; u != nil {
		p.pool.addModel(u, args.Model, args.Adapter)
	}
	now := p.options.Now()
	p.dispatch(now)
	if reply.Unavailable {
		p.endHopelessWaits(now)
	}
}

// waitForLoadCall waits until a call may be made and returns the leader to call, empty if no
// request needs the load any more or the time has run out.
func (p *Proxy) waitForLoadCall(ctx context.Context, args courier.WantArgs) (leader string) {
	for first := true; ; first = false {
		p.mu.Lock()
		leader = p.control.leader
		wait := minLoadBackoff
		wanted := first || p.isStillWanted(args)
		if wanted && leader != "" {
			wait = p.loadLimiter.delay(p.options.Now(), args, len(p.pendingLoads), p.control.loadShare())
		}
		p.mu.Unlock()
		switch {
		case !wanted:
			return ""
		case wait == 0:
			return leader
		case !pause.For(ctx, wait):
			return ""
		}
	}
}

// isStillWanted reports whether a waiting request needs the load. p.mu is held.
func (p *Proxy) isStillWanted(args courier.WantArgs) bool {
	for _, w := range p.queue.waiters {
		needsLoad := w.missing == missingModel || w.missing == missingAdapter
		if needsLoad && w.requirements.loadArgs(w.missing) == args {
			return true
		}
	}
	return false
}

// callLeader makes one load call. If the callee is not the leader or does not answer, no further
// calls are made until the next sync names a leader.
func (p *Proxy) callLeader(ctx context.Context, leader string, args courier.WantArgs) courier.WantReply {
	sent := args
	sent.Remaining = p.remainingFor(args)
	reply, err := p.control.loadCalls.RequestModel(ctx, leader, sent)
	now := p.options.Now()
	if reply.Engine == "" {
		p.logLine(now, "not loaded").Err(err).Str("model", args.Model).Str("adapter", args.Adapter).Str("reason", reply.Reason).
			Str("leader", leader).Msg("not loaded")
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.loadLimiter.recordResult(now, args, reply.Engine != "")
	if reply.Unavailable {
		p.loadLimiter.recordUnavailable(args, sent.Remaining)
	}
	if (err != nil || reply.NotLeader) && p.control.leader == leader {
		p.control.leader = ""
	}
	return reply
}
