package counter

import (
	"net/netip"
	"slices"
	"time"

	"github.com/lovagelift/lovagelift/internal/permit"
	"github.com/lovagelift/lovagelift/internal/resumption"
)

const (
	// originCopies is the number of other instances to which the origin of a stream is reported.
	originCopies = 2
	// originMargin is added to the time for which a stream may be resumed, for callers that state
	// their remaining time late.
	originMargin = time.Second
	// maxUnsyncedStreams bounds the streams that wait for a sync. The oldest ones are dropped first.
	maxUnsyncedStreams = 4096
	// completedRetention is how long the origin of a complete stream is kept. Its last events may not
	// have reached the caller.
	completedRetention = 5 * time.Second
)

// recordOrigin records where a stream begins or goes on, before its first event is passed to the
// caller. It returns false if that is not known. Nobody could tell then where the stream may go on.
func (t *transaction) recordOrigin(a *upstreamAttempt) bool {
	p := t.proxy
	if !t.route.Resumable || !t.identifiesStream() {
		return true
	}
	now := p.options.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	version, known := p.pool.answeringVersion(a.upstream, t.software)
	if !known {
		return false
	}
	record := resumption.Record{
		Stream: t.streamID(), Origin: resumption.Origin{Service: t.service, SoftwareVersion: version},
		Remaining: t.streamLifetime() + originMargin,
	}
	p.origins.Record(now, record.Stream, record.Origin, now.Add(record.Remaining))
	p.syncOrigin(record)
	if t.isOriginAmbiguous(now) {
		p.reportOrigin(record)
	}
	return true
}

// answeringVersion returns the software version of the process that answers a request to u with the given
// constraint. It returns false if that may be another process, of another version, which has taken over the name
// and the address, or if nothing but these is known of u.
func (p *upstreamPool) answeringVersion(u *upstream, software resumption.Constraint) (version string, known bool) {
	granted, stated := u.software, u.announced
	if software.Bound {
		granted, stated = software.SoftwareVersion, true
	}
	current := p.byName[u.name]
	switch {
	case current == nil, current.address != u.address:
		return granted, stated
	case !stated:
		return current.software, true
	default:
		return granted, current.software == granted
	}
}

// isOriginAmbiguous reports whether the stream that the request begins may be taken for one of another version
// where its origin is unknown: there are several versions, or the control instances do not know what is in use
// here. p.mu is held.
func (t *transaction) isOriginAmbiguous(now time.Time) bool {
	p := t.proxy
	if !p.control.proof.Covers(now.Add(-p.options.UpstreamLease)) {
		return true
	}
	since := now.Add(-resumption.MaxRetention)
	services, known := t.possibleServices(since)
	_, only := p.pool.catalog.Only(services...)
	return !known || len(services) > 1 || !only || p.pool.versions.Several(t.service, since)
}

// syncOrigin reports the origin of a stream to a control instance with the next sync. p.mu is held.
func (p *Proxy) syncOrigin(record resumption.Record) {
	if len(p.unsyncedStreams) >= maxUnsyncedStreams {
		p.unsyncedStreams = slices.Delete(p.unsyncedStreams, 0, maxUnsyncedStreams/2)
	}
	p.unsyncedStreams = append(p.unsyncedStreams, record)
}

// completeOrigin records that a stream is complete.
func (t *transaction) completeOrigin() {
	p := t.proxy
	p.mu.Lock()
	defer p.mu.Unlock()
	p.origins.Shorten(t.streamID(), p.options.Now().Add(completedRetention))
}

// reportOrigin reports the origin of a stream to the instances that rank first for it. p.mu is held.
func (p *Proxy) reportOrigin(record resumption.Record) {
	p.origins.MarkReported(record.Stream)
	for _, peer := range p.owners.assignment.Ranked(uint64(record.Stream), originCopies, p.isPeer) {
		p.peers.send(peer, permit.StreamReport{Stream: record.Stream, Origin: record.Origin, Remaining: record.Remaining})
		p.metrics.countOriginReport()
	}
}

// receiveOrigin records the origin of a stream that began at another instance. p.mu is held.
func (p *Proxy) receiveOrigin(now time.Time, m permit.StreamReport) {
	p.origins.Record(now, m.Stream, m.Origin, now.Add(m.Remaining))
	p.origins.MarkReported(m.Stream)
}

// reportOrigins reports the origins of the streams of services that have just been found to have
// several software versions, or whose requests go elsewhere from now on, unless they have been reported.
// p.mu is held.
func (p *Proxy) reportOrigins(now time.Time, services map[string]bool) {
	if len(services) == 0 {
		return
	}
	for record := range p.origins.Unreported(now) {
		if services[record.Service] {
			p.reportOrigin(record)
		}
	}
}

// isPeer reports whether an address is that of another instance.
func (p *Proxy) isPeer(address netip.AddrPort) bool {
	return address != p.owners.self
}
