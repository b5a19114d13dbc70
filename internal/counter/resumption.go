package counter

import (
	"context"
	"maps"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/lovagelift/lovagelift/internal/resumption"
	"github.com/lovagelift/lovagelift/internal/routes"
	"github.com/lovagelift/lovagelift/internal/upstreamapi"
)

// A stream that a caller resumes goes on only at the software version that began it. An instance that begins
// a stream reports its origin to a control instance with the next sync, and, while the upstreams of a service
// have several versions, or requests of a route may go to several services, to the instances that rank
// first for the stream. The instance at which it is resumed asks the latter and the control instances. If
// none knows the stream, it takes the only version that is recorded, as a stream begins only at a version
// that the voters have recorded before.

// resumesStream reports whether the request resumes a stream.
func (t *transaction) resumesStream() bool {
	return t.route.Kind == routes.Stream && (t.call.Resumes != "" || t.lastEvent() != "")
}

// lastEvent returns the ID of the event after which the request resumes a stream, empty if it names none.
// An upstream may read any of several values of the header.
func (t *transaction) lastEvent() string {
	return strings.Join(t.request.Header.Values(upstreamapi.LastEventIDHeader), "")
}

// isOutOfStep reports whether this instance has not synced for longer than a lease, so that others may know
// upstreams that it does not. The owner of a model then has to describe what it grants.
func (p *Proxy) isOutOfStep(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return now.Sub(p.control.lastSyncSent) > p.options.UpstreamLease
}

// identifiesStream reports whether the stream has an ID. Otherwise all streams of callers that send none
// would have the same.
func (t *transaction) identifiesStream() bool {
	return t.call.Resumes != "" || t.call.ID != ""
}

// streamID returns the ID of the stream that the request begins or resumes, if it has one.
func (t *transaction) streamID() resumption.StreamID {
	if t.call.Resumes != "" {
		return resumption.StreamOf(t.call.Resumes)
	}
	return resumption.StreamOf(t.call.ID)
}

// maxStreamLifetime bounds the time that callers state. They may state any, and sums with it must not
// overflow.
const maxStreamLifetime = 24 * time.Hour

// streamLifetime returns the longest time from the beginning of a stream to its end.
func (t *transaction) streamLifetime() time.Duration {
	return min(max(t.call.Timeout, t.route.Timeout), maxStreamLifetime)
}

// bindToOrigin limits the upstreams of a request that resumes a stream to the software version that
// began it. If that is unknown, bindToOrigin answers the caller and returns false.
func (t *transaction) bindToOrigin(ctx context.Context, w http.ResponseWriter) bool {
	if !t.resumesStream() {
		if t.route.HasResumableStreams() {
			t.software = resumption.ToRecorded()
		}
		return true
	}
	origin, source := t.findOrigin(ctx)
	t.originSource = source
	t.proxy.countResumption(source)
	if source == originUnknown {
		t.abortIfCallerLeft("the caller left while the origin of its stream was searched for")
		t.resumptionResult = resumptionUnknown
		t.proxy.refuse(w, t.call, t.route, refusal{
			status: http.StatusServiceUnavailable, text: "the software version of the stream is unknown",
			retryAfter: t.untilVersionsKnown(), originSearch: &t.originSearch,
		})
		return false
	}
	t.software = resumption.BoundTo(origin.SoftwareVersion)
	if t.route.LeadsTo(origin.Service) {
		t.service = origin.Service
	}
	return true
}

// originSource tells how the origin of a stream was found.
type originSource string

const (
	originOwn         originSource = "own"
	originRanked      originSource = "ranked-instance"
	originOnlyVersion originSource = "only-version"
	originOther       originSource = "other-instance"
	originControl     originSource = "control-instance"
	originUnknown     originSource = "unknown"
)

// findOrigin returns the origin of the stream that the request resumes. The instances that rank first
// are asked even if only one version is known here: the stream may have begun at an upstream that is
// not.
func (t *transaction) findOrigin(ctx context.Context) (resumption.Origin, originSource) {
	p := t.proxy
	stream := t.streamID()
	p.mu.Lock()
	origin, known := p.origins.Find(p.options.Now(), stream)
	ranked := p.owners.assignment.Ranked(uint64(stream), originRanksAsked, p.isPeer)
	p.mu.Unlock()
	switch {
	case known && t.identifiesStream():
		return origin, originOwn
	case t.call.Resumes == "":
		return t.onlyOrigin(ctx)
	}
	if origin, known := p.askOrigin(ctx, stream, ranked); known {
		return origin, originRanked
	}
	origin, search, known := p.askControl(ctx, stream)
	if known {
		return origin, originControl
	}
	t.originSearch = search
	if origin, source := t.onlyOrigin(ctx); source != originUnknown {
		return origin, source
	}
	if origin, known := p.askOrigin(ctx, stream, p.peersExcept(ranked)); known {
		return origin, originOther
	}
	return resumption.Origin{}, originUnknown
}

// onlyOrigin returns the origin of the stream if all upstreams at which it can have begun have one
// software version. If there are several, or some may not be known here, the origin is unknown.
func (t *transaction) onlyOrigin(ctx context.Context) (resumption.Origin, originSource) {
	p := t.proxy
	if !p.waitForCatalog(ctx, t.call, t.arrived) {
		return resumption.Origin{}, originUnknown
	}
	now := p.options.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.control.rosterIncomplete {
		return resumption.Origin{}, originUnknown
	}
	// The request states the rest of its caller's time, which may be less than half of the whole.
	since := now.Add(-2*t.streamLifetime() - p.options.UpstreamLease)
	services, known := t.possibleServices(since)
	version, alone := p.pool.catalog.Only(services...)
	// Callers may wait for longer than versions are recorded.
	if !known || !alone || p.pool.versions.HasOther(version, since, services...) {
		return resumption.Origin{}, originUnknown
	}
	return resumption.Origin{Service: t.service, SoftwareVersion: version}, originOnlyVersion
}

// waitForCatalog waits until the copy of the recorded versions includes those that were recorded by the given
// time. It returns false if that takes too long.
func (p *Proxy) waitForCatalog(ctx context.Context, call Call, at time.Time) bool {
	return p.waitForProof(ctx, call, func() bool {
		if p.routesProvenAt(at) {
			return true
		}
		p.syncForProof()
		return false
	})
}

// proofSyncInterval is the time between two syncs for the sake of a proof. A reply is as recent as the latest
// heartbeat of the leader.
const proofSyncInterval = 40 * time.Millisecond

// proofSyncShare is that time at least as a share of the interval of other syncs, which is the longer the more
// instances share the control instances.
const proofSyncShare = 4

// syncForProof triggers a sync unless one has just been sent. While none is answered, it triggers no more than
// there are without it.
func (p *Proxy) syncForProof() {
	p.mu.Lock()
	last, interval := p.control.lastSyncAttempt, max(proofSyncInterval, p.control.interval/proofSyncShare)
	if p.control.lastSyncFailed {
		interval = minSyncInterval
	}
	p.mu.Unlock()
	if p.options.Now().Sub(last) >= interval {
		p.syncSoon()
	}
}

// possibleServices returns the services at which streams of the request's host and path may have begun
// since a time. It returns false if some may be unknown. p.mu is held.
func (t *transaction) possibleServices(since time.Time) ([]string, bool) {
	p := t.proxy
	services, known := p.formerRoutes.Services(hostOf(t.request), t.request.URL.EscapedPath(), since)
	maps.Copy(services, t.route.Services())
	if p.routesSince.After(since) && !p.pool.catalog.RoutesSettled(p.routes.Load().ResumableDigest()) {
		// The routes may have led elsewhere before this instance started.
		for _, service := range p.pool.catalog.Services() {
			services[service] = true
		}
	}
	return slices.Collect(maps.Keys(services)), known
}

// untilVersionsKnown returns the time until all upstreams and recorded versions are known, 0 if they are.
func (t *transaction) untilVersionsKnown() time.Duration {
	p := t.proxy
	now := p.options.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.control.rosterIncomplete && p.control.proof.Covers(t.arrived) {
		return 0
	}
	return max(min(p.options.UpstreamLease, t.deadline.Sub(now)/3), minRetryAfter)
}
