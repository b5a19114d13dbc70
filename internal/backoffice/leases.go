package backoffice

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/lovagelift/lovagelift/internal/pause"
)

const (
	// leaseValidity is the time after the request for a lease in which the order may be
	// sent. The voters answer within some ms.
	leaseValidity = 300 * time.Millisecond
	// retransmitTime is how long after its sender timed out an order may still arrive,
	// because the network retransmits lost packets.
	retransmitTime = 400 * time.Millisecond
	// leasePauseFactor is the pause between two batches, as a multiple of the time that
	// the last batch took. Most of that time is spent by the voters, not by this
	// instance.
	leasePauseFactor = 2
	// leaseForgetDelay is how long a leader collects announcements before it deletes the
	// leases of engines that it has not heard from.
	leaseForgetDelay = 10 * time.Second
)

// leaseBatcher takes the lease that each order to an engine needs. Requests that arrive
// while a batch is being taken form the next batch: with one log entry for each of 40
// orders per second, a leader with 0.12 of a core and nine voters has no time left to
// lead.
type leaseBatcher struct {
	orchestrator *orchestrator

	mu sync.Mutex
	// pending holds the callers that wait for the lease of each engine.
	pending map[string][]chan leaseResult
	// wake holds a token if pending may be non-empty.
	wake chan struct{}
}

// leaseResult holds the time until which an order may be sent, or the reason why none
// may.
type leaseResult struct {
	until time.Time
	err   error
}

// errLeaseTaken is returned for an engine whose lease another instance took within the
// exclusion time.
var errLeaseTaken = errors.New("backoffice: another instance took the lease of the engine")

// newLeaseBatcher returns a leaseBatcher that works until ctx ends.
func newLeaseBatcher(ctx context.Context, o *orchestrator) *leaseBatcher {
	l := &leaseBatcher{orchestrator: o, pending: map[string][]chan leaseResult{}, wake: make(chan struct{}, 1)}
	o.instance.done.Go(func() {
		for {
			select {
			case <-l.wake:
				l.takePending(ctx)
			case <-ctx.Done():
				return
			}
		}
	})
	return l
}

// take takes the lease of an engine for one order, which must be sent at once. After an
// error, the order must not be sent.
func (l *leaseBatcher) take(ctx context.Context, engine string) error {
	answer := make(chan leaseResult, 1)
	l.mu.Lock()
	l.pending[engine] = append(l.pending[engine], answer)
	l.mu.Unlock()
	select {
	case l.wake <- struct{}{}:
	default:
	}
	select {
	case result := <-answer:
		if result.err == nil && !l.now().Before(result.until) {
			return errors.Newf("backoffice: lease of %s was granted too late to send the order", engine)
		}
		return result.err
	case <-ctx.Done():
		return errors.Wrap(ctx.Err(), "backoffice: wait for lease")
	}
}

// takePending takes the pending leases in one batch, and then pauses.
func (l *leaseBatcher) takePending(ctx context.Context) {
	l.mu.Lock()
	batch := l.pending
	l.pending = map[string][]chan leaseResult{}
	l.mu.Unlock()
	if len(batch) == 0 {
		return
	}
	start := l.now()
	l.takeBatch(ctx, batch)
	pause.For(ctx, leasePauseFactor*l.now().Sub(start))
}

func (l *leaseBatcher) takeBatch(ctx context.Context, batch map[string][]chan leaseResult) {
	ctx, cancel := context.WithTimeout(ctx, leaseValidity)
	defer cancel()
	until := l.now().Add(leaseValidity)
	engines := make([]string, 0, len(batch))
	for engine := range batch {
		engines = append(engines, engine)
	}
	slices.Sort(engines)
	taken, err := l.orchestrator.instance.voter.TakeLeases(ctx, engines, l.exclusionTime(), l.goneEngines())
	for engine, waiting := range batch {
		answer := leaseResult{until: until, err: err}
		if err == nil && !slices.Contains(taken, engine) {
			answer.err = errLeaseTaken
		}
		for _, waiter := range waiting {
			waiter <- answer
		}
	}
}

func (l *leaseBatcher) now() time.Time {
	return l.orchestrator.instance.options.Now()
}

// exclusionTime is how long this instance sends no orders to an engine after it has
// seen another instance take the lease. The other instance may send an order up to
// leaseValidity later, which may arrive up to orderTimeout and retransmitTime after
// that. MinOrderGap must then pass before the next order.
func (l *leaseBatcher) exclusionTime() time.Duration {
	return leaseValidity + orderTimeout + retransmitTime + l.orchestrator.instance.options.MinOrderGap
}

// isFree reports whether no other instance can have ordered an engine within the
// minimum time between orders of two instances.
func (l *leaseBatcher) isFree(now time.Time, engine string) bool {
	return l.orchestrator.instance.voter.LeaseFree(now, engine, l.exclusionTime())
}

// goneEngines returns the engines whose leases can be deleted: those that are unknown
// to this instance although it has led for leaseForgetDelay, which must exceed the
// exclusion time.
func (l *leaseBatcher) goneEngines() []string {
	o := l.orchestrator
	o.mu.Lock()
	defer o.mu.Unlock()
	if l.now().Sub(o.termSince) < leaseForgetDelay {
		return nil
	}
	return slices.DeleteFunc(o.instance.voter.Leases().Upstreams(), func(name string) bool { return o.engines[name] != nil })
}
