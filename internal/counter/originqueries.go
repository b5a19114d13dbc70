package counter

import (
	"context"
	"maps"
	"net/netip"
	"slices"
	"time"

	"github.com/rs/zerolog"

	"github.com/lovagelift/lovagelift/internal/courier"
	"github.com/lovagelift/lovagelift/internal/permit"
	"github.com/lovagelift/lovagelift/internal/resumption"
)

const (
	// originRanksAsked is the number of instances that are asked first. One of them may be the
	// instance that began the stream, which reported to the others.
	originRanksAsked = originCopies + 1
	// controlOriginTimeout is how long the control instances have to answer where a stream began.
	controlOriginTimeout = 200 * time.Millisecond
)

// askOrigin asks other instances for the origin of a stream. It returns false if none knows it.
func (p *Proxy) askOrigin(ctx context.Context, stream resumption.StreamID, peers []netip.AddrPort) (resumption.Origin, bool) {
	if len(peers) == 0 {
		return resumption.Origin{}, false
	}
	ctx, cancel := context.WithTimeout(ctx, ownerAttempts*ownerTimeout)
	defer cancel()
	queries, answers := p.expectOrigins(peers)
	defer p.dropReplies(slices.Collect(maps.Keys(queries))...)
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

// peersExcept returns the other instances that are not among asked.
func (p *Proxy) peersExcept(asked []netip.AddrPort) []netip.AddrPort {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.DeleteFunc(p.owners.assignment.All(), func(address netip.AddrPort) bool {
		return !p.isPeer(address) || slices.Contains(asked, address)
	})
}

// originSearch tells an operator what the control instances said of a stream whose origin is unknown.
type originSearch struct {
	controlsAsked, controlsAnswered int
	// shortestKept and longestKept bound how long those that answered have kept origins.
	shortestKept, longestKept time.Duration
}

// with returns the search after a control instance has answered.
func (s originSearch) with(reply courier.OriginReply) originSearch {
	if s.controlsAnswered == 0 || reply.KeptFor < s.shortestKept {
		s.shortestKept = reply.KeptFor
	}
	s.controlsAnswered++
	s.longestKept = max(s.longestKept, reply.KeptFor)
	return s
}

// MarshalZerologObject implements zerolog.LogObjectMarshaler.
func (s originSearch) MarshalZerologObject(event *zerolog.Event) {
	event.Int("controls-asked", s.controlsAsked).Int("controls-answered", s.controlsAnswered).
		Dur("shortest-kept", s.shortestKept).Dur("longest-kept", s.longestKept)
}

// askControl asks all control instances for the origin of a stream. It returns false if none knows
// it.
func (p *Proxy) askControl(ctx context.Context, stream resumption.StreamID) (resumption.Origin, originSearch, bool) {
	ctx, cancel := context.WithTimeout(ctx, controlOriginTimeout)
	defer cancel()
	p.mu.Lock()
	addresses := p.control.known
	p.mu.Unlock()
	search := originSearch{controlsAsked: len(addresses)}
	// A failed call brings nil, and counts as the reply of an instance that does not know the stream.
	replies := make(chan *courier.OriginReply, len(addresses))
	for _, address := range addresses {
		go func() {
			reply, err := p.control.originCalls.StreamOrigin(ctx, address, courier.OriginArgs{Stream: stream})
			if err != nil {
				replies <- nil
				return
			}
			replies <- &reply
		}()
	}
	for range addresses {
		reply := <-replies
		switch {
		case reply == nil:
		case reply.Known:
			return reply.Origin, search, true
		default:
			search = search.with(*reply)
		}
	}
	return resumption.Origin{}, search, false
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
		queries[p.registerReply(&pendingReply{owner: peer, answers: answers})] = peer
	}
	return queries, answers
}

// answerOrigin answers a peer's query. p.mu is held.
func (p *Proxy) answerOrigin(now time.Time, from netip.AddrPort, m permit.StreamQuery) {
	if origin, known := p.origins.Find(now, m.Stream); known {
		p.peers.send(from, permit.StreamFound{ID: m.ID, Origin: origin})
		return
	}
	p.peers.send(from, permit.StreamUnknown{ID: m.ID})
}
