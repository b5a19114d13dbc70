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
	// leaseTime is how long after its lease was asked for an order may be sent. The
	// voters answer within some ms.
	leaseTime = 300 * time.Millisecond
	// orderLate is how late an order may arrive whose sender has given up waiting:
	// what was lost on the way is sent again for a while.
	orderLate = 400 * time.Millisecond
	// leaseRest is how many times longer than taking leases the time until the next are
	// taken is. Most of the time that it takes is the voters', not this instance's.
	leaseRest = 2
	// forgetLeases is for how long a leader has to know the engines until it takes
	// those that it has not heard of for gone.
	forgetLeases = 10 * time.Second
)

// leases takes the leases of engines, one of which each order needs. Those that are
// asked for while some are being taken are taken together afterwards: with an entry
// in the log for each of 40 orders a second, a leader with 0.12 of a core and nine
// voters had no time left to lead.
type leases struct {
	orders *orders

	mu sync.Mutex
	// asked are who wait for the lease of each engine.
	asked map[string][]chan leaseAnswer
	// wake holds a token if somebody may wait.
	wake chan struct{}
}

// leaseAnswer says until when an order may be sent, or why none may.
type leaseAnswer struct {
	until time.Time
	err   error
}

// errNoLease is why an order is not given.
var errNoLease = errors.New("backoffice: another instance took the lease of the engine")

// newLeases returns the leases of a control instance, which are taken until ctx ends.
func newLeases(ctx context.Context, o *orders) *leases {
	l := &leases{orders: o, asked: map[string][]chan leaseAnswer{}, wake: make(chan struct{}, 1)}
	o.office.done.Go(func() {
		for {
			select {
			case <-l.wake:
				l.work(ctx)
			case <-ctx.Done():
				return
			}
		}
	})
	return l
}

// take takes the lease of an engine for one order, which must be sent at once.
func (l *leases) take(ctx context.Context, engine string) error {
	answer := make(chan leaseAnswer, 1)
	l.mu.Lock()
	l.asked[engine] = append(l.asked[engine], answer)
	l.mu.Unlock()
	select {
	case l.wake <- struct{}{}:
	default:
	}
	select {
	case got := <-answer:
		if got.err == nil && !l.now().Before(got.until) {
			return errors.Newf("backoffice: the lease of %s came too late", engine)
		}
		return got.err
	case <-ctx.Done():
		return errors.Wrap(ctx.Err(), "backoffice: lease")
	}
}

// work takes what is asked for, and rests.
func (l *leases) work(ctx context.Context) {
	l.mu.Lock()
	asked := l.asked
	l.asked = map[string][]chan leaseAnswer{}
	l.mu.Unlock()
	if len(asked) == 0 {
		return
	}
	began := l.now()
	l.takeAll(ctx, asked)
	pause.For(ctx, leaseRest*l.now().Sub(began))
}

func (l *leases) takeAll(ctx context.Context, asked map[string][]chan leaseAnswer) {
	ctx, cancel := context.WithTimeout(ctx, leaseTime)
	defer cancel()
	until := l.now().Add(leaseTime)
	engines := make([]string, 0, len(asked))
	for engine := range asked {
		engines = append(engines, engine)
	}
	slices.Sort(engines)
	taken, err := l.orders.office.voter.TakeLeases(ctx, engines, l.wait(), l.gone())
	for engine, waiting := range asked {
		answer := leaseAnswer{until: until, err: err}
		if err == nil && !slices.Contains(taken, engine) {
			answer.err = errNoLease
		}
		for _, waiter := range waiting {
			waiter <- answer
		}
	}
}

func (l *leases) now() time.Time {
	return l.orders.office.options.Now()
}

// wait is how long an instance that has seen another take the lease of an engine
// gives it no orders: the other may have sent one as late as leaseTime after, which
// arrived as late as orderLate after that.
func (l *leases) wait() time.Duration {
	return leaseTime + orderTimeout + orderLate + l.orders.office.options.OrderGap
}

// free reports whether no other instance may have ordered an engine within the time
// that two must leave between them.
func (l *leases) free(now time.Time, engine string) bool {
	return l.orders.office.voter.LeaseFree(now, engine, l.wait())
}

// gone returns the engines whose leases are not needed any more: no instance has
// heard of them while this one leads, for longer than anybody waits.
func (l *leases) gone() []string {
	o := l.orders
	o.mu.Lock()
	defer o.mu.Unlock()
	if l.now().Sub(o.metSince) < forgetLeases {
		return nil
	}
	return slices.DeleteFunc(o.office.voter.Leases().Upstreams(), func(name string) bool { return o.engines[name] != nil })
}
