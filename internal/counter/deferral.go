package counter

import (
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/lovagelift/lovagelift/internal/deferral"
	"github.com/lovagelift/lovagelift/internal/permit"
)

// Batch requests are mostly for models that few callers use. They meet urgent requests at an engine
// that holds both models, whose owners are different instances and know each other's requests only by
// the engine's load. So the capacity that a batch request leaves free is a condition on the engine, and
// not on the other requests of its queue.

// deferredWait is the state of a batch request that waits.
type deferredWait struct {
	// throughput is that of the model. It is nil while no engine that holds the model has lacked
	// capacity for the request.
	throughput *deferral.Throughput
	// heldForHeadroom is true if the request has waited although an engine had capacity.
	heldForHeadroom bool
}

// isDeferrable reports whether the request is for a model and may wait in favor of urgent requests.
func (req *requirements) isDeferrable() bool {
	return req.sharesEngines() && req.batch
}

// headroom returns the capacity of an engine that the request leaves free.
func (req *requirements) headroom(now time.Time) deferral.Headroom {
	if !req.isDeferrable() {
		return deferral.None
	}
	return deferral.HeadroomOf(now.Sub(req.arrived), req.agingTime())
}

// agingTime returns the time within which a batch request is to be granted an engine: its objective,
// or less if its caller leaves before.
func (req *requirements) agingTime() time.Duration {
	return min(req.objective, req.maxWait())
}

// yieldsCapacity reports whether the request leaves capacity to others, because it has time.
func (req *requirements) yieldsCapacity(now time.Time) bool {
	return req.headroom(now) != deferral.None
}

// mayBeBoosted reports whether the request may go before all others if its model or adapter starves. A
// batch request that may would take the capacity that it has just left to others.
func (req *requirements) mayBeBoosted(now time.Time) bool {
	return !req.isDeferrable() || deferral.IsNearObjective(now.Sub(req.arrived), req.agingTime())
}

// runTimeMargin is the multiple of the expected engine time of a batch request that is left after its
// wait. Engines of one service differ in speed by up to that factor from the mean.
const runTimeMargin = 2

// maxDeferredWait returns how long a batch request may wait: until its objective if the response can
// then still be complete by the deadline.
func (req *requirements) maxDeferredWait() time.Duration {
	runTime := runTimeMargin * (req.prefillTime + req.decodeTime)
	return min(req.objective, req.deadline.Sub(req.arrived)-runTime)
}

// lacksHeadroom returns the resource that u lacks for a batch request: missingHeadroom if another
// request could be sent there. It returns missingNone if it lacks none.
func (u *upstream) lacksHeadroom(now time.Time, q *upstreamQuery) missingResource {
	if q.headroom == deferral.None || q.boosted {
		return missingNone
	}
	engine := deferral.Engine{
		Slots: u.slots, Load: u.load(now), ReadyFor: now.Sub(u.backlog.readySince(q.pacing)),
		// The backlog is empty once the slack has been processed.
		UrgentTurn: prefillSlack + time.Duration(u.activePeers.count(now))*backoffPerPeer,
	}
	switch {
	case q.headroom.Allows(engine):
		return missingNone
	case deferral.None.Allows(engine):
		return missingHeadroom
	default:
		return missingCapacity
	}
}

// recordDeferred records that a request still waits after a dispatch. p.mu is held.
func (p *Proxy) recordDeferred(now time.Time, w *waiter) {
	if !w.requirements.isDeferrable() || w.missing < missingCapacity {
		return
	}
	if w.deferred.throughput == nil {
		w.deferred.throughput = p.queue.throughputOf(w.requirements.modelKey())
	}
	w.deferred.throughput.ObserveWaiting(now)
	w.deferred.heldForHeadroom = w.deferred.heldForHeadroom || w.missing == missingHeadroom
}

// throughputOf returns the throughput of a model that an engine holds.
func (q *queue) throughputOf(key modelKey) *deferral.Throughput {
	throughput := q.deferredThroughput[key]
	if throughput == nil {
		throughput = &deferral.Throughput{}
		q.deferredThroughput[key] = throughput
	}
	return throughput
}

// recordDeferredGrant records that a request is granted an upstream. p.mu is held.
func (p *Proxy) recordDeferredGrant(now time.Time, w *waiter) {
	if !w.requirements.isDeferrable() {
		return
	}
	if w.deferred.throughput != nil && w.requirements.yieldsCapacity(now) {
		w.deferred.throughput.RecordGrant(now)
	}
	if w.deferred.heldForHeadroom {
		p.metrics.batch.heldForHeadroom.Inc(1)
	}
	p.metrics.batch.waited.RecordDuration(now.Sub(w.requirements.arrived))
}

// rejectDeferred decides whether a batch request that was just enqueued is rejected. It returns nil if
// the request may wait. If no engine holds its model, it waits for a load that nobody has begun as
// well, because one load serves all that wait. p.mu is held.
func (p *Proxy) rejectDeferred(now time.Time, w *waiter) *rejection {
	req := &w.requirements
	longest := min(p.maxForecast(now, w), req.arrived.Add(req.maxWait()).Sub(now))
	switch w.missing {
	case missingModel:
		loadTime, loading := p.pool.loadTime(now, req.query())
		if loadTime <= longest {
			return nil
		}
		return &rejection{reason: permit.ModelUnavailable, retryAfter: req.retryAfterLoad(now, loadTime, loading)}
	case missingCapacity, missingHeadroom:
		forecast := p.forecastDeferred(now, w)
		if forecast <= longest || p.queue.isOnlyStarved(now, w) {
			return nil
		}
		p.metrics.batch.rejected.Inc(1)
		return &rejection{reason: permit.WaitTooLong, retryAfter: req.retryAfterWait(now, forecast), forecastWait: forecast}
	default:
		return nil
	}
}

// forecastDeferred returns the expected wait of a batch request at the rate at which those of its model
// were granted lately. p.mu is held.
func (p *Proxy) forecastDeferred(now time.Time, w *waiter) time.Duration {
	req := &w.requirements
	ahead := p.queue.countOthers(w, func(other *waiter) bool {
		return other.requirements.modelKey() == req.modelKey() && other.requirements.isDeferrable() &&
			other.missing >= missingCapacity && other.requirements.compare(now, req) <= 0
	})
	if ahead == 0 {
		return 0
	}
	return p.queue.throughputOf(req.modelKey()).Forecast(now, ahead, minCapacityShare*p.capacity(now, w))
}

// batchMetrics holds the metrics of batch requests at the instance that places them.
type batchMetrics struct {
	// heldForHeadroom counts grants to requests that waited although an engine had capacity, and
	// rejected the requests rejected by their forecast.
	heldForHeadroom tally.Counter
	rejected        tally.Counter
	// waited is the time from the arrival of a request to its grant.
	waited tally.Histogram
}

func newBatchMetrics(scope tally.Scope) batchMetrics {
	return batchMetrics{
		heldForHeadroom: scope.Counter("batch_held_for_headroom"), rejected: scope.Counter("batch_rejected"),
		waited: scope.Histogram("batch_waited_seconds", latencyBuckets),
	}
}
