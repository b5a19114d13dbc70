// Package shutdown is a planned shutdown as the requests of an instance see it: which of them still end in time, and
// when those that do not are ended.
package shutdown

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/lovagelift/lovagelift/internal/completion"
	"github.com/lovagelift/lovagelift/internal/outcome"
)

// ErrStopping is the cause of contexts that end because the instance stops.
var ErrStopping = errors.New("shutdown: the instance stops")

// IsStopped reports whether the context of a request has ended because the instance stops.
func IsStopped(ctx context.Context) bool {
	return errors.Is(context.Cause(ctx), ErrStopping)
}

// Plan holds the end of a planned shutdown, and what requests are expected to take until then, by a key whose
// requests take similar times. It is safe for concurrent use. Use New.
type Plan[K comparable] struct {
	// ended ends when requests may no longer run, by endRuns.
	ended   context.Context
	endRuns context.CancelFunc

	mu sync.Mutex
	// begunAt is when the shutdown began, zero before it. runsEnd is when requests may no longer run, zero while
	// no end is planned.
	begunAt, runsEnd time.Time
	times            completion.Times[K]
	// summary counts from begunAt on.
	summary Summary
}

// New returns a Plan without an end.
func New[K comparable]() *Plan[K] {
	p := &Plan[K]{times: completion.Times[K]{}}
	p.ended, p.endRuns = context.WithCancel(context.Background())
	return p
}

// Begin begins the shutdown of an instance with the given number of open requests, and plans the end of all requests
// after timeLeft. 0 means that they may run until they end.
func (p *Plan[K]) Begin(now time.Time, open int, timeLeft time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.begunAt = now
	p.summary = Summary{Open: open, Refused: map[string]int{}, EndedEarly: map[outcome.EarlyEnd]int{}}
	if timeLeft > 0 {
		p.runsEnd = now.Add(timeLeft)
		time.AfterFunc(timeLeft, p.endRuns)
	}
}

// HasEnded reports whether requests may no longer run.
func (p *Plan[K]) HasEnded() bool {
	return p.ended.Err() != nil
}

// EndsWithin reports whether the planned end is at most d away.
func (p *Plan[K]) EndsWithin(now time.Time, d time.Duration) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return !p.runsEnd.IsZero() && !now.Before(p.runsEnd.Add(-d))
}

// WithEnd returns a context that ends with ctx, after timeout, and with the cause ErrStopping when requests may no
// longer run.
func (p *Plan[K]) WithEnd(ctx context.Context, timeout time.Duration) (context.Context, context.CancelFunc) {
	stoppable, stop := context.WithCancelCause(ctx)
	bounded, cancel := context.WithTimeout(stoppable, timeout)
	release := context.AfterFunc(p.ended, func() { stop(ErrStopping) })
	return bounded, func() {
		release()
		cancel()
		stop(nil)
	}
}

// Observe records the time that a complete request has taken.
func (p *Plan[K]) Observe(key K, taken time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.times.Observe(key, taken)
}

// LatestStart returns the latest time to start a request that is expected to end in time, as others with its key
// have. It is zero if none has been completed, and the deadline if the request ends by then whatever it takes.
func (p *Plan[K]) LatestStart(key K, deadline time.Time) time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.runsEnd.IsZero() || !deadline.After(p.runsEnd) {
		return deadline
	}
	longest, known := p.times.Longest(key)
	if !known {
		return time.Time{}
	}
	return p.runsEnd.Add(-longest)
}
