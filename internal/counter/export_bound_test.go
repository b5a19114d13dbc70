package counter

import (
	"net/netip"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/lovagelift/lovagelift/internal/courier"
	"github.com/lovagelift/lovagelift/internal/permit"
	"github.com/lovagelift/lovagelift/internal/resumption"
)

// EnqueueBound is Enqueue for a request that resumes a stream of a software version.
func (q Queue) EnqueueBound(arrived time.Time, model, version string) *waiter {
	w := q.waiter(arrived, model, 0)
	w.requirements.software = resumption.BoundTo(version)
	return q.enqueue(arrived, w)
}

// EnqueueBoundShared is EnqueueShared for a request that resumes a stream of a software version.
func (q Queue) EnqueueBoundShared(arrived time.Time, model, version, workspaceName string) *waiter {
	w := q.waiter(arrived, model, time.Second)
	w.requirements.software, w.requirements.mixed, w.requirements.workspace = resumption.BoundTo(version), true, workspaceName
	return q.enqueue(arrived, w)
}

// HoldBack records that the rate limit of an upstream holds requests back until a time.
func (p UpstreamPool) HoldBack(now time.Time, name string, limit float64, until time.Time) {
	p.SetLimit(now, name, limit)
	p.pool.byName[name].limit.pausedUntil = until
}

// SetCatalog sets the recorded versions.
func (p UpstreamPool) SetCatalog(catalog resumption.Catalog) {
	p.pool.setCatalog(catalog)
}

// UseGrant handles an owner's grant to a request that begins a stream which may be resumed. It returns the software
// version at which that begins, or the messages sent if it does not.
func (i Instance) UseGrant(owner netip.AddrPort, m permit.Granted) (version string, sent []SentMessage) {
	t := &transaction{proxy: i.proxy, requirements: requirements{software: resumption.ToRecorded()}}
	granted, err := i.proxy.grantFrom(t, owner, m)
	if err != nil {
		return "", i.takeSent()
	}
	return granted.upstream.software, nil
}

// CountResumptions returns a function that returns how often each result of a resumed stream has been counted since
// this call.
func (p *Proxy) CountResumptions() func() map[string]int64 {
	scope := tally.NewTestScope("", nil)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.metrics = newMetrics(scope)
	return func() map[string]int64 {
		results := map[string]int64{}
		for _, counter := range scope.Snapshot().Counters() {
			if counter.Name() == "counter.resumed_stream_results" {
				results[counter.Tags()["result"]] = counter.Value()
			}
		}
		return results
	}
}

// Waiting returns the number of requests that wait here.
func (p *Proxy) Waiting() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.queue.waiters)
}

// Misdirect records that an upstream has refused a request because it lacks the model.
func (p UpstreamPool) Misdirect(now time.Time, name, model string) {
	p.pool.byName[name].recordOutcome(now, target{model: model}, permit.ModelAbsent)
}

// Rejection returns whether a request that was just enqueued is rejected, and the Retry-After time.
func (q Queue) Rejection(now time.Time, w *waiter) (retryAfter time.Duration, rejected bool) {
	q.proxy.mu.Lock()
	defer q.proxy.mu.Unlock()
	if r := q.proxy.rejectionFor(now, w); r != nil {
		return r.retryAfter, true
	}
	return 0, false
}

// MissingAfterWait returns what a request lacks that has waited in vain at another instance.
func (q Queue) MissingAfterWait(now time.Time, w *waiter) string {
	q.proxy.mu.Lock()
	defer q.proxy.mu.Unlock()
	return q.proxy.missingAfterWait(now, &w.requirements).String()
}

// Demand returns the demand to report, by the software version to which it is bound, empty if to none.
func (q Queue) Demand(now time.Time) map[string]courier.Demand {
	byVersion := map[string]courier.Demand{}
	for _, d := range q.proxy.takeDemand(now) {
		byVersion[d.Software.SoftwareVersion] = d
	}
	return byVersion
}
