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

// A stream that a caller resumes goes on only at the software version that began it. While the upstreams
// of a service have several versions, or requests of a route may go to several services, an instance that
// begins a stream reports its origin to the instances that rank first for the stream, and to a control
// instance with the next sync. The instance at which it is resumed asks the former, then all others, then
// the control instances.

// resumesStream reports whether the request resumes a stream. An upstream may read any of several values
// of its header.
func (t *transaction) resumesStream() bool {
	return t.route.Kind == routes.Stream &&
		(t.call.Resumes != "" || strings.Join(t.request.Header.Values(upstreamapi.LastEventIDHeader), "") != "")
}

// needsKnownVersion reports whether the request may begin a stream that is resumed later, and instances
// that are as late as this one may take it for one of the only version that they know. Those that have
// not synced for longer than a lease do not. p.mu is held.
func (t *transaction) needsKnownVersion(now time.Time) bool {
	p := t.proxy
	return t.route.Kind == routes.Stream && t.route.Resumable && !t.software.Bound &&
		now.Sub(p.control.lastSyncSent) <= p.options.UpstreamLease
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
		return true
	}
	origin, source := t.findOrigin(ctx)
	t.originSource = source
	t.proxy.countResumption(source)
	if source == originUnknown {
		t.abortIfCallerLeft("the caller left while the origin of its stream was searched for")
		t.proxy.refuse(w, t.call, t.route, refusal{
			status: http.StatusServiceUnavailable, text: "the software version of the stream is unknown",
			retryAfter: t.untilVersionsKnown(),
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
		return t.onlyOrigin()
	}
	if origin, known := p.askOrigin(ctx, stream, ranked); known {
		return origin, originRanked
	}
	if origin, source := t.onlyOrigin(); source != originUnknown {
		return origin, source
	}
	if origin, known := p.askOrigin(ctx, stream, p.peersExcept(ranked)); known {
		return origin, originOther
	}
	if origin, known := p.askControl(ctx, stream); known {
		return origin, originControl
	}
	return resumption.Origin{}, originUnknown
}

// onlyOrigin returns the origin of the stream if all upstreams at which it can have begun have one
// software version. If there are several, or some upstreams may be unknown here, the origin is unknown.
func (t *transaction) onlyOrigin() (resumption.Origin, originSource) {
	p := t.proxy
	now := p.options.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.control.rosterIncomplete || now.Sub(p.control.lastSyncSent) > p.options.UpstreamLease {
		return resumption.Origin{}, originUnknown
	}
	// The request states the rest of its caller's time, which may be less than half of the whole.
	since := now.Add(-2*t.streamLifetime() - p.options.UpstreamLease)
	services, known := t.possibleServices(since)
	version, alone := p.pool.versions.Only(since, services...)
	if !known || !alone {
		return resumption.Origin{}, originUnknown
	}
	return resumption.Origin{Service: t.service, SoftwareVersion: version}, originOnlyVersion
}

// possibleServices returns the services at which streams of the request's host and path may have begun
// since a time. It returns false if some may be unknown. p.mu is held.
func (t *transaction) possibleServices(since time.Time) ([]string, bool) {
	services, known := t.proxy.formerRoutes.Services(hostOf(t.request), t.request.URL.EscapedPath(), since)
	maps.Copy(services, t.route.Services())
	return slices.Collect(maps.Keys(services)), known
}

// untilVersionsKnown returns the time until all upstreams are known, 0 if they are.
func (t *transaction) untilVersionsKnown() time.Duration {
	p := t.proxy
	now := p.options.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.control.rosterIncomplete {
		return 0
	}
	return max(min(p.options.UpstreamLease, t.deadline.Sub(now)/3), minRetryAfter)
}
