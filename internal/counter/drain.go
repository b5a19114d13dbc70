package counter

import (
	"context"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/lovagelift/lovagelift/internal/entries"
	"github.com/lovagelift/lovagelift/internal/outcome"
	"github.com/lovagelift/lovagelift/internal/pause"
	"github.com/lovagelift/lovagelift/internal/shuttle"
)

// Grace is the time that a planned shutdown leaves for requests.
type Grace struct {
	// Wait is how long requests may wait for an upstream.
	Wait time.Duration
	// Run is how long requests may run. 0 means until they end.
	Run time.Duration
}

// Drain begins a planned shutdown. Callers are directed to other instances. Requests that still arrive are served if
// they are expected to end within grace, and refused at once otherwise. At its end, what still runs is answered with
// an unknown outcome, and streams that may be resumed are cut between two events shortly before.
func (p *Proxy) Drain(grace Grace) {
	now := p.options.Now()
	p.mu.Lock()
	p.draining = true
	p.shutdown = stopSchedule{waitsEnd: now.Add(grace.Wait)}
	if grace.Run > 0 {
		p.shutdown.runsEnd = now.Add(grace.Run)
	}
	p.mu.Unlock()
	p.beginDrain()
	p.syncSoon()
}

// errStopping is why a request ends that still runs at the end of a planned shutdown.
var errStopping = errors.New("counter: the instance stops")

// stoppingReason is the machine-readable reason of a refusal for a planned shutdown.
const stoppingReason = "draining"

// isStopped reports whether the request has ended because the instance stops. ctx is its context.
func isStopped(ctx context.Context) bool {
	return errors.Is(context.Cause(ctx), errStopping)
}

// runContext returns the context of the request's attempts. It ends at the deadline, and with the cause errStopping
// at the end of a planned shutdown.
func (t *transaction) runContext(parent context.Context) (context.Context, context.CancelFunc) {
	p := t.proxy
	stoppable, stop := context.WithCancelCause(parent)
	ctx, cancel := context.WithTimeout(stoppable, t.remaining())
	release := context.AfterFunc(p.drainBegun, func() {
		runsEnd := p.stopSchedule().runsEnd
		if !runsEnd.IsZero() && pause.For(ctx, runsEnd.Sub(p.options.Now())) {
			stop(errStopping)
		}
	})
	return ctx, func() {
		release()
		cancel()
		stop(nil)
	}
}

// boundWait returns a context that ends with ctx, at limit, and when a draining instance lets the request wait no
// longer.
func (t *transaction) boundWait(ctx context.Context, limit time.Duration) (context.Context, context.CancelFunc) {
	p := t.proxy
	bounded, cancel := context.WithTimeout(ctx, limit)
	release := context.AfterFunc(p.drainBegun, func() {
		end := p.stopSchedule().waitEnd(t.deadline, t.expectedRunTime())
		pause.For(bounded, end.Sub(p.options.Now()))
		cancel()
	})
	return bounded, func() {
		release()
		cancel()
	}
}

// stopSchedule returns the schedule of the planned shutdown that has begun.
func (p *Proxy) stopSchedule() stopSchedule {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.shutdown
}

// expectedRunTime returns the time that the request takes at most, as far as can be expected: as others of its route
// and model have taken, or all that its route allows.
func (t *transaction) expectedRunTime() time.Duration {
	p := t.proxy
	p.mu.Lock()
	defer p.mu.Unlock()
	if longest, known := p.completionTimes.Longest(t.completionKey()); known {
		return longest
	}
	return t.route.Timeout
}

// completionKey identifies requests that take similar times.
type completionKey struct {
	route, model string
}

func (t *transaction) completionKey() completionKey {
	return completionKey{route: t.route.Name, model: t.call.Model}
}

// endsInTime reports whether the request, if it is sent now, is expected to end before the instance stops.
func (t *transaction) endsInTime() bool {
	p := t.proxy
	if p.drainBegun.Err() == nil {
		return true
	}
	return !p.options.Now().After(p.stopSchedule().latestSend(t.deadline, t.expectedRunTime()))
}

// recordStopped records an attempt that ended because the instance stops, which is no failure of its upstream.
func (t *transaction) recordStopped(a *upstreamAttempt, status int) {
	t.reportCallerLeft(a)
	t.proxy.logAttempt(t, a, "stopped", status, "the instance stops")
}

// abortStopped breaks off a response of which a part has been passed on, because the instance stops.
func (t *transaction) abortStopped(a *upstreamAttempt, status int, end shuttle.ResponseEnd) {
	a.unfinished = true
	t.recordStopped(a, status)
	end.Abort()
}

// refuseStopping answers a request that is not sent, or no more, because the instance stops.
func (t *transaction) refuseStopping(w http.ResponseWriter) {
	p := t.proxy
	answer := refusal{
		status: http.StatusServiceUnavailable, text: "the instance stops", reason: stoppingReason, outcome: outcome.NotRun,
		digest: t.digest, retryAfter: minRetryAfter,
	}
	if t.possibleRuns > 0 {
		answer.status, answer.outcome, answer.retryAfter = http.StatusBadGateway, outcome.Unknown, 0
	}
	if others := p.otherEntries(p.options.Now()); len(others) > 0 {
		w.Header().Set(entries.Header, strings.Join(others, ","))
	}
	p.refuse(w, t.call, t.route, answer)
}

// maxNamedEntries bounds the instances that a refusal names.
const maxNamedEntries = 8

// otherEntries returns the caller addresses of the instances that accept requests, those in the same failure domain
// first. This one is not among them, as it drains.
func (p *Proxy) otherEntries(now time.Time) []string {
	open := p.OpenEntries(now)
	others := slices.Clone(open[p.options.FailureDomain])
	for domain, addresses := range open {
		if domain != p.options.FailureDomain {
			others = append(others, addresses...)
		}
	}
	return others[:min(len(others), maxNamedEntries)]
}
