package desk

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/lovagelift/lovagelift/internal/completion"
	"github.com/lovagelift/lovagelift/internal/outcome"
)

// errStopping is why the attempts at a request end that still runs when the instance stops.
var errStopping = errors.New("desk: the instance stops")

// completionKey identifies requests that take similar times.
type completionKey struct {
	service, model string
}

// plannedStop is the end of a planned stop, and what requests are expected to take until then. It is safe for
// concurrent use.
type plannedStop struct {
	// ended ends when requests may no longer run, by endRuns.
	ended   context.Context
	endRuns context.CancelFunc

	mu sync.Mutex
	// runsEnd is when that will be, zero while no stop is planned.
	runsEnd time.Time
	times   completion.Times[completionKey]
}

func newPlannedStop() *plannedStop {
	p := &plannedStop{times: completion.Times[completionKey]{}}
	p.ended, p.endRuns = context.WithCancel(context.Background())
	return p
}

// withStop returns a context that ends with ctx, after timeout, and with the cause errStopping when requests may no
// longer run.
func (p *plannedStop) withStop(ctx context.Context, timeout time.Duration) (context.Context, context.CancelFunc) {
	stoppable, stop := context.WithCancelCause(ctx)
	bounded, cancel := context.WithTimeout(stoppable, timeout)
	release := context.AfterFunc(p.ended, func() { stop(errStopping) })
	return bounded, func() {
		release()
		cancel()
		stop(nil)
	}
}

// observe records the time from the arrival of a task to the end of its complete response.
func (p *plannedStop) observe(task task, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.times.Observe(completionKey{service: task.admitted.service, model: task.requirement.model}, now.Sub(task.arrivedAt))
}

// endsInTime reports whether a request that arrives now is expected to end before the instance stops: by the times
// of others with its key, or by its deadline if none has been completed.
func (p *plannedStop) endsInTime(now time.Time, key completionKey, deadline time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.runsEnd.IsZero() || !deadline.After(p.runsEnd) {
		return true
	}
	longest, known := p.times.Longest(key)
	return known && !now.Add(longest).After(p.runsEnd)
}

// Stop begins a planned stop, for the end of which it leaves timeLeft. Requests that arrive from now on and are not
// expected to end by then are refused at once. What still runs then is answered with what is known of its outcome.
func (s *Server) Stop(timeLeft time.Duration) {
	s.planned.mu.Lock()
	s.planned.runsEnd = s.options.Now().Add(timeLeft)
	s.planned.mu.Unlock()
	time.AfterFunc(timeLeft, s.planned.endRuns)
}

// DrainingRefusal returns the refusal of a request that arrives at an instance that is stopping, without the
// addresses of others.
func DrainingRefusal() *RefusalError {
	return &RefusalError{
		Status:  http.StatusServiceUnavailable,
		Code:    CodeDraining,
		Message: "this instance is stopping; use another",
		Outcome: outcome.NotRun,
	}
}

// stoppingRefusal returns the refusal of a request that is not sent, or not any longer, because the instance stops.
func (s *Server) stoppingRefusal(run outcome.Outcome) *RefusalError {
	refusal := DrainingRefusal()
	refusal.OtherAddresses = s.otherAddresses("")
	if run != outcome.NotRun {
		refusal.Status, refusal.Outcome = http.StatusBadGateway, run
		refusal.Message = "this instance has stopped before the answer"
	}
	return refusal
}
