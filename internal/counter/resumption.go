package counter

import (
	"context"
	"maps"
	"net/http"
	"net/netip"
	"slices"
	"time"

	"github.com/lovagelift/lovagelift/internal/courier"
	"github.com/lovagelift/lovagelift/internal/permit"
	"github.com/lovagelift/lovagelift/internal/resumption"
	"github.com/lovagelift/lovagelift/internal/routes"
)

// A stream that a caller resumes goes on only at the software version that began it. While the
// upstreams of a service have several versions, an instance that begins a stream reports its origin
// to the instances that rank first for the stream, and to a control instance with the next sync. The
// instance at which it is resumed asks the former, then all others, then the control instances.

const (
	// originCopies is the number of other instances to which the origin of a stream is reported.
	originCopies = 2
	// originRanksAsked is the number of instances that are asked first. One of them may be the
	// instance that began the stream, which reported to the others.
	originRanksAsked = originCopies + 1
	// originMargin is added to the time for which a stream may be resumed, for callers that state
	// their remaining time late.
	originMargin = time.Second
	// maxUnsyncedStreams bounds the streams that wait for a sync. The oldest ones are dropped first.
	maxUnsyncedStreams = 4096
	// controlOriginTimeout is how long the control instances have to answer where a stream began.
	controlOriginTimeout = 200 * time.Millisecond
	// completedRetention is how long the origin of a complete stream is kept. Its last events may not
	// have reached the caller.
	completedRetention = 5 * time.Second
)

// lastEventIDHeader is the ID of the last event that a caller received, in the standard of
// server-sent events.
const lastEventIDHeader = "Last-Event-ID"

// resumesStream reports whether the request resumes a stream.
func (t *transaction) resumesStream() bool {
	return t.route.Kind == routes.Stream && (t.call.Resumes != "" || t.request.Header.Get(lastEventIDHeader) != "")
}

// streamID returns the ID of the stream that the request begins or resumes.
func (t *transaction) streamID() resumption.StreamID {
	if t.call.Resumes != "" {
		return resumption.StreamOf(t.call.Resumes)
	}
	return resumption.StreamOf(t.call.ID)
}

// streamLifetime returns the longest time from the beginning of a stream to its end.
func (t *transaction) streamLifetime() time.Duration {
	return max(t.call.Timeout, t.route.Timeout)
}

// bindToOrigin limits the upstreams of a request that resumes a stream to the software version that
// began it. If that is unknown, bindToOrigin answers the caller and returns false.
func (t *transaction) bindToOrigin(ctx context.Context, w http.ResponseWriter) bool {
	if !t.resumesStream() {
		return true
	}
	origin, source := t.findOrigin(ctx)
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
	peers := p.owners.assignment.Ranked(uint64(stream), p.owners.assignment.Len(), p.isPeer)
	p.mu.Unlock()
	if known {
		return origin, originOwn
	}
	if t.call.Resumes == "" {
		peers = nil
	}
	ranked, others := peers[:min(originRanksAsked, len(peers))], peers[min(originRanksAsked, len(peers)):]
	if origin, known := p.askOrigin(ctx, stream, ranked); known {
		return origin, originRanked
	}
	if version, alone := t.onlyVersion(); alone {
		return resumption.Origin{Service: t.service, SoftwareVersion: version}, originOnlyVersion
	}
	if origin, known := p.askOrigin(ctx, stream, others); known {
		return origin, originOther
	}
	if origin, known := p.askControl(ctx, stream); known {
		return origin, originControl
	}
	return resumption.Origin{}, originUnknown
}

// isPeer reports whether an address is that of another instance.
func (p *Proxy) isPeer(address netip.AddrPort) bool {
	return address != p.owners.self
}

// onlyVersion returns the software version of all upstreams at which the stream can have begun. It
// returns false if there are several, or if some upstreams may be unknown here.
func (t *transaction) onlyVersion() (string, bool) {
	p := t.proxy
	now := p.options.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.control.rosterIncomplete || now.Sub(p.control.lastSyncSent) > p.options.UpstreamLease {
		return "", false
	}
	// The request states the rest of its caller's time, which may be less than half of the whole.
	return p.pool.versions.Only(t.service, now.Add(-2*t.streamLifetime()-p.options.UpstreamLease))
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

// askOrigin asks other instances for the origin of a stream. It returns false if none knows it.
func (p *Proxy) askOrigin(ctx context.Context, stream resumption.StreamID, peers []netip.AddrPort) (resumption.Origin, bool) {
	if len(peers) == 0 {
		return resumption.Origin{}, false
	}
	ctx, cancel := context.WithTimeout(ctx, ownerAttempts*ownerTimeout)
	defer cancel()
	queries, answers := p.expectOrigins(peers)
	defer p.dropReplies(maps.Clone(queries))
	p.sendQueries(stream, queries)
	repeat := time.NewTicker(ownerTimeout)
	defer repeat.Stop()
	for len(queries) > 0 {
		select {
		case answer := <-answers:
			switch m := answer.(type) {
			case permit.StreamFound:
				return m.Origin, true
			case permit.StreamUnknown:
				delete(queries, m.ID)
			}
		case <-repeat.C:
			p.sendQueries(stream, queries)
		case <-ctx.Done():
			return resumption.Origin{}, false
		}
	}
	return resumption.Origin{}, false
}

// askControl asks all control instances for the origin of a stream. It returns false if none knows
// it.
func (p *Proxy) askControl(ctx context.Context, stream resumption.StreamID) (resumption.Origin, bool) {
	ctx, cancel := context.WithTimeout(ctx, controlOriginTimeout)
	defer cancel()
	p.mu.Lock()
	addresses := p.control.known
	p.mu.Unlock()
	replies := make(chan courier.OriginReply, len(addresses))
	for _, address := range addresses {
		go func() {
			// A failed call counts as the reply of an instance that does not know the stream.
			reply, _ := p.control.originCalls.StreamOrigin(ctx, address, courier.OriginArgs{Stream: stream})
			replies <- reply
		}()
	}
	for range addresses {
		if reply := <-replies; reply.Known {
			return reply.Origin, true
		}
	}
	return resumption.Origin{}, false
}

func (p *Proxy) sendQueries(stream resumption.StreamID, queries map[permit.ID]netip.AddrPort) {
	for id, peer := range queries {
		p.peers.send(peer, permit.StreamQuery{ID: id, Stream: stream})
	}
}

// expectOrigins registers a query to each of several instances. All answers arrive at one channel.
func (p *Proxy) expectOrigins(peers []netip.AddrPort) (queries map[permit.ID]netip.AddrPort, answers chan permit.Message) {
	p.mu.Lock()
	defer p.mu.Unlock()
	queries = make(map[permit.ID]netip.AddrPort, len(peers))
	answers = make(chan permit.Message, ownerAttempts*len(peers))
	for _, peer := range peers {
		p.lastMessageID++
		p.pendingReplies[p.lastMessageID] = &pendingReply{owner: peer, answers: answers}
		queries[p.lastMessageID] = peer
	}
	return queries, answers
}

func (p *Proxy) dropReplies(queries map[permit.ID]netip.AddrPort) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for id := range queries {
		delete(p.pendingReplies, id)
	}
}

// answerOrigin answers a peer's query. p.mu is held.
func (p *Proxy) answerOrigin(now time.Time, from netip.AddrPort, m permit.StreamQuery) {
	if origin, known := p.origins.Find(now, m.Stream); known {
		p.peers.send(from, permit.StreamFound{ID: m.ID, Origin: origin})
		return
	}
	p.peers.send(from, permit.StreamUnknown{ID: m.ID})
}

// recordOrigin records where a stream begins or goes on, before its first event is passed to the
// caller.
func (t *transaction) recordOrigin(a *upstreamAttempt) {
	p := t.proxy
	if !t.route.Resumable {
		return
	}
	now := p.options.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	version := t.software.SoftwareVersion
	if !t.software.Bound {
		answering := p.pool.process(a.upstream.name, a.upstream.incarnation)
		if answering == nil {
			// Another process has taken over the name, or the upstream is not known here yet.
			return
		}
		version = answering.softwareVersion()
	}
	record := resumption.Record{
		Stream: t.streamID(), Origin: resumption.Origin{Service: t.service, SoftwareVersion: version},
		Remaining: t.streamLifetime() + originMargin,
	}
	p.origins.Record(now, record.Stream, record.Origin, now.Add(record.Remaining))
	if p.pool.versions.Several(t.service, now.Add(-resumption.MaxRetention)) {
		p.reportOrigin(record)
	}
}

// completeOrigin records that a stream is complete.
func (t *transaction) completeOrigin() {
	p := t.proxy
	p.mu.Lock()
	defer p.mu.Unlock()
	p.origins.Shorten(t.streamID(), p.options.Now().Add(completedRetention))
}

// reportOrigin reports the origin of a stream to the instances that rank first for it, and with the
// next sync to a control instance. p.mu is held.
func (p *Proxy) reportOrigin(record resumption.Record) {
	if len(p.unsyncedStreams) >= maxUnsyncedStreams {
		p.unsyncedStreams = slices.Delete(p.unsyncedStreams, 0, maxUnsyncedStreams/2)
	}
	p.unsyncedStreams = append(p.unsyncedStreams, record)
	for _, peer := range p.owners.assignment.Ranked(uint64(record.Stream), originCopies, p.isPeer) {
		p.peers.send(peer, permit.StreamReport{Stream: record.Stream, Origin: record.Origin, Remaining: record.Remaining})
		p.metrics.countOriginReport()
	}
}

// receiveOrigin records the origin of a stream that began at another instance. p.mu is held.
func (p *Proxy) receiveOrigin(now time.Time, m permit.StreamReport) {
	p.origins.Record(now, m.Stream, m.Origin, now.Add(m.Remaining))
}

// reportOrigins reports the origins of the streams of services that have just been found to have
// several software versions. p.mu is held.
func (p *Proxy) reportOrigins(now time.Time, services map[string]bool) {
	if len(services) == 0 {
		return
	}
	for record := range p.origins.All(now) {
		if services[record.Service] {
			p.reportOrigin(record)
		}
	}
}

// groupStreams groups streams by their origin.
func groupStreams(records []resumption.Record) []courier.StreamGroup {
	var groups []courier.StreamGroup
	index := map[resumption.Origin]int{}
	for _, record := range records {
		n, found := index[record.Origin]
		if !found {
			n = len(groups)
			index[record.Origin] = n
			groups = append(groups, courier.StreamGroup{Origin: record.Origin})
		}
		groups[n].Streams = append(groups[n].Streams, record.Stream)
		groups[n].Remaining = max(groups[n].Remaining, record.Remaining)
	}
	return groups
}
