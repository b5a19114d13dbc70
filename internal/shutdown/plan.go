// Package shutdown is a planned shutdown as the requests of an instance see it: which of them are still taken, and
// when those that do not end in time are ended.
package shutdown

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/lovagelift/lovagelift/internal/completion"
)

// ErrStopping is the cause of contexts that end because the instance stops.
var ErrStopping = errors.New("shutdown: the instance stops")

// IsStopped reports whether the context of a request has ended because the instance stops.
func IsStopped(ctx context.Context) bool {
	return errors.Is(context.Cause(ctx), ErrStopping)
}

// Plan holds the schedule of a planned shutdown, and what requests are expected to take until its end, by a key whose
// requests take similar times. It is safe for concurrent use. Use New.
type Plan[K comparable] struct {
	// answersEnded ends when requests without a response are answered, and begunEnded when responses that have begun
	// are ended.
	answersEnded, begunEnded context.Context
	endAnswers, endBegun     context.CancelFunc

	tally

	mu sync.Mutex
	// begunAt is when the shutdown began, zero before it.
	begunAt  time.Time
	schedule Schedule
	times    completion.Times[K]
}

// New returns a Plan without a shutdown.
func New[K comparable]() *Plan[K] {
	p := &Plan[K]{times: completion.Times[K]{}}
	p.answersEnded, p.endAnswers = context.WithCancel(context.Background())
	p.begunEnded, p.endBegun = context.WithCancel(context.Background())
	return p
}

// Begin begins the shutdown of an instance with the given number of open requests. The schedule counts from begunAt on,
// which is at most now.
func (p *Plan[K]) Begin(now, begunAt time.Time, open int, schedule Schedule) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.begunAt, p.schedule = begunAt, schedule
	p.begin(begunAt, open)
	if schedule.hasEnd() {
		passed := now.Sub(begunAt)
		time.AfterFunc(schedule.AnswersEnd-passed, p.endAnswers)
		time.AfterFunc(schedule.BegunEnd-passed, p.endBegun)
	}
}

// HasEnded reports whether requests without a response may no longer run.
func (p *Plan[K]) HasEnded() bool {
	return p.answersEnded.Err() != nil
}

// CutsStreams reports whether streams that may be resumed are cut after their next event.
func (p *Plan[K]) CutsStreams(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.endsAll() && !now.Before(p.begunAt.Add(p.schedule.CutFrom))
}

// endsAll reports whether requests are ended by a shutdown that has begun. p.mu must be held.
func (p *Plan[K]) endsAll() bool {
	return !p.begunAt.IsZero() && p.schedule.hasEnd()
}

// Observe records the time that a complete request has taken.
func (p *Plan[K]) Observe(key K, taken time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.times.Observe(key, taken)
}

// Request is what decides whether an instance that stops sends a request.
type Request[K comparable] struct {
	Key K
	// Received is when all of the request had been read.
	Received, Deadline time.Time
	// IsStream is true if the response begins long before it ends.
	IsStream bool
}

// LatestStart returns the latest time to send a request, zero if it is not to be sent at all. It is the deadline if
// the request ends by then whatever its upstream does.
//
// A request that was received early enough may run until the end. A stream is then sent if streams like it usually end
// in time, and another request if nearly all like it do: its upstream may have run it, and its caller would not know.
func (p *Plan[K]) LatestStart(r Request[K]) time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	end := p.begunAt.Add(p.schedule.AnswersEnd)
	if r.IsStream {
		end = p.begunAt.Add(p.schedule.BegunEnd)
	}
	if !p.endsAll() || !r.Deadline.After(end) {
		return r.Deadline
	}
	if r.Received.After(p.begunAt.Add(p.schedule.TakeUntil)) {
		return time.Time{}
	}
	if r.IsStream {
		return end.Add(-p.times.Usual(r.Key))
	}
	longest, known := p.times.Longest(r.Key)
	if !known {
		return time.Time{}
	}
	return end.Add(-longest)
}
