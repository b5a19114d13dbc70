package counter

import (
	"context"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/lovagelift/lovagelift/internal/entries"
	"github.com/lovagelift/lovagelift/internal/outcome"
	"github.com/lovagelift/lovagelift/internal/pause"
	"github.com/lovagelift/lovagelift/internal/routes"
	"github.com/lovagelift/lovagelift/internal/shutdown"
)

// Grace is the time that a planned shutdown leaves for requests.
type Grace struct {
	shutdown.Schedule
	// Wait is how long requests may wait for an upstream.
	Wait time.Duration
}

// Drain begins a planned shutdown, whose grace counts from begunAt on. Callers are directed to other instances.
// Requests that still arrive are served if they are expected to end within grace, and refused at once otherwise. At its
// end, what still runs is answered with an unknown outcome, and responses that have begun are broken off, streams that
// may be resumed between two events shortly before.
func (p *Proxy) Drain(begunAt time.Time, grace Grace) {
	p.mu.Lock()
	p.draining = true
	p.waitsEnd = begunAt.Add(grace.Wait)
	open := p.active
	p.mu.Unlock()
	p.shutdown.Begin(p.options.Now(), begunAt, open, grace.Schedule)
	p.beginDrain()
	p.syncSoon()
}

// stoppingReason is the machine-readable reason of a refusal for a planned shutdown.
const stoppingReason = "draining"

// boundWait returns a context that ends with ctx, at limit, and when a draining instance lets the request wait no
// longer.
func (t *transaction) boundWait(ctx context.Context, limit time.Duration) (context.Context, context.CancelFunc) {
	p := t.proxy
	bounded, cancel := context.WithTimeout(ctx, limit)
	release := context.AfterFunc(p.drainBegun, func() {
		pause.For(bounded, t.waitEnd().Sub(p.options.Now()))
		cancel()
	})
	return bounded, func() {
		release()
		cancel()
	}
}

// waitEnd returns when the request may no longer wait for an upstream of a draining instance.
func (t *transaction) waitEnd() time.Time {
	p := t.proxy
	p.mu.Lock()
	end := p.waitsEnd
	p.mu.Unlock()
	if latest := t.latestStart(); latest.Before(end) {
		return latest
	}
	return end
}

// latestStart returns the latest time to send the request at an instance that may be stopping. One that is short of
// processor time may have got the signal to stop before it handled it, and the request came as much later.
func (t *transaction) latestStart() time.Time {
	return t.proxy.shutdown.LatestStart(shutdown.Request[completionKey]{
		Key: t.completionKey(), Received: t.received.Add(t.proxy.wakeDelay()), Deadline: t.deadline, IsStream: t.route.Kind == routes.Stream,
	})
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
	return !p.options.Now().After(t.latestStart())
}

// recordStopped records an attempt that ended because the instance stops, which is no failure of its upstream.
func (t *transaction) recordStopped(a *upstreamAttempt, status int) {
	t.reportCallerLeft(a)
	t.proxy.logAttempt(t, a, "stopped", status, "the instance stops")
}

// recordCut records a response that ends after its head because the instance stops, which is no failure of its upstream.
func (t *transaction) recordCut(a *upstreamAttempt, status int, cause outcome.EarlyEnd) {
	t.reportCallerLeft(a)
	t.recordEarlyEnd(a, status, cause, "stopped", "the instance stops")
}

// DrainSummary returns what became of the requests since the planned shutdown began.
func (p *Proxy) DrainSummary() shutdown.Summary {
	return p.shutdown.Summary()
}

// refuseStopping answers a request that is not sent, or no more, because the instance stops.
func (t *transaction) refuseStopping(w http.ResponseWriter, stopReason string) {
	p := t.proxy
	answer := refusal{
		status: http.StatusServiceUnavailable, text: "the instance stops", reason: stoppingReason, outcome: outcome.NotRun,
		digest: t.digest, stopReason: stopReason, retryAfter: minRetryAfter,
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
