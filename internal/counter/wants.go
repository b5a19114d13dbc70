package counter

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/lovagelift/lovagelift/internal/courier"
	"github.com/lovagelift/lovagelift/internal/pause"
)

const (
	// leaderWants is how many calls for models and adapters a leader takes in a second from
	// all entry instances. One costs it about 100 us of a core: a quarter of 0.12 of one,
	// and ten times what it can load.
	leaderWants = 300.0
	// wantBurstTime is the time whose share of calls one instance may make at once after a
	// rest, and leastWantBurst how many it may at the least.
	wantBurstTime  = 250 * time.Millisecond
	leastWantBurst = 2.0
	// firstWantPause is the least time between two calls for the same thing after one that
	// brought nothing. It doubles with each further one up to longestWantPause.
	firstWantPause   = 100 * time.Millisecond
	longestWantPause = 400 * time.Millisecond
	// mostWants is how many calls a second one instance makes at the most.
	mostWants = leaderWants / 8
)

// wantPace decides when the leader may be called for what no upstream holds. It is not
// safe for concurrent use.
//
// A leader that can't load what is asked for gets the same calls again and again, from
// each entry instance. Without a bound they take the processor time that it needs to
// stay leader; the next one has to wait before it orders, and gets still more. With a
// share of what a leader bears for each instance, the calls end there.
//
// Most instances have nothing to call for, and the owner of a model that has just been
// loaded has dozens of adapters. So an instance whose calls are carried out makes more than
// its share: the rate doubles with each such call, and halves with each other one.
type wantPace struct {
	// rate is the calls a second that this instance has come to, if that is above its share.
	rate float64
	// tokens are the calls that may be made at once, as of filled.
	tokens float64
	filled time.Time
	failed map[courier.WantArgs]failedWant
}

// failedWant is a call that brought nothing.
type failedWant struct {
	times int
	// until is when the next may be made.
	until time.Time
}

// wantShare returns how many calls a second this instance may make at the least.
func (l *links) wantShare() float64 {
	return leaderWants / float64(max(l.entries, 1))
}

func newWantPace() *wantPace {
	return &wantPace{tokens: leastWantBurst, failed: map[courier.WantArgs]failedWant{}}
}

// next returns how long a call has to wait, one of pending at this instance, whose share
// is share calls a second. If it may be made now, next counts it and returns 0.
func (p *wantPace) next(now time.Time, args courier.WantArgs, pending int, share float64) time.Duration {
	p.rate = max(p.rate, share)
	burst := max(p.rate*wantBurstTime.Seconds(), leastWantBurst)
	p.tokens = min(p.tokens+p.rate*now.Sub(p.filled).Seconds(), burst)
	p.filled = now
	if rest := p.failed[args].until.Sub(now); rest > 0 {
		return rest
	}
	if p.tokens >= 1 {
		p.tokens--
		return 0
	}
	// Those that wait look again at different times, each about when its turn may come.
	turn := (1 - p.tokens + float64(pending)*rand.Float64()) / p.rate
	return time.Duration(turn * float64(time.Second))
}

// ended notes what became of a call.
func (p *wantPace) ended(now time.Time, args courier.WantArgs, loaded bool) {
	for known, failed := range p.failed {
		if now.Sub(failed.until) > longestWantPause {
			delete(p.failed, known)
		}
	}
	if loaded {
		p.rate = min(2*p.rate, mostWants)
		delete(p.failed, args)
		return
	}
	p.rate /= 2
	times := p.failed[args].times
	wait := min(firstWantPause<<min(times, 10), longestWantPause)
	p.failed[args] = failedWant{times: times + 1, until: now.Add(wait)}
}

// wantFor has the leader load what a request that waits lacks, if that would help it.
// Requests that want the same at once share one call. c.mu is held.
func (c *Counter) wantFor(w *waiter) {
	if w.need.model == "" || w.missing != lackAdapter && w.missing != lackModel {
		return
	}
	args := w.need.wanted(w.missing)
	if c.wants[args] {
		return
	}
	c.wants[args] = true
	go c.callWant(args)
}

func (c *Counter) callWant(args courier.WantArgs) {
	ctx, cancel := context.WithTimeout(context.Background(), wantTimeout)
	defer cancel()
	var reply courier.WantReply
	if leader := c.awaitWant(ctx, args); leader != "" {
		reply = c.callLeader(ctx, leader, args)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.wants, args)
	if u := c.fleet.upstreams[reply.Engine]; u != nil {
		c.fleet.gained(u, args.Model, args.Adapter)
	}
	c.dispatch(c.options.Now())
}

// awaitWant waits until a call may be made and returns whom to call, or nothing if no
// request waits for it any more.
func (c *Counter) awaitWant(ctx context.Context, args courier.WantArgs) (leader string) {
	for first := true; ; first = false {
		c.mu.Lock()
		leader = c.links.leader
		wait := firstWantPause
		asked := first || c.stillWants(args)
		if asked && leader != "" {
			wait = c.wantPace.next(c.options.Now(), args, len(c.wants), c.links.wantShare())
		}
		c.mu.Unlock()
		switch {
		case !asked:
			return ""
		case wait == 0:
			return leader
		case !pause.For(ctx, wait):
			return ""
		}
	}
}

// stillWants reports whether a request waits for what args asks for. c.mu is held.
func (c *Counter) stillWants(args courier.WantArgs) bool {
	for _, w := range c.queue.waiters {
		lacks := w.missing == lackModel || w.missing == lackAdapter
		if lacks && w.need.wanted(w.missing) == args {
			return true
		}
	}
	return false
}

// callLeader makes one call. If the instance that was called gives no orders or does not
// answer, none is called until the next news name a leader.
func (c *Counter) callLeader(ctx context.Context, leader string, args courier.WantArgs) courier.WantReply {
	reply, err := c.links.wants.Want(ctx, leader, args)
	now := c.options.Now()
	if reply.Engine == "" {
		c.logLine(now, "not loaded").Err(err).Str("model", args.Model).Str("adapter", args.Adapter).Str("reason", reply.Reason).
			Str("leader", leader).Msg("not loaded")
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.wantPace.ended(now, args, reply.Engine != "")
	if (err != nil || reply.NotLeader) && c.links.leader == leader {
		c.links.leader = ""
	}
	return reply
}
