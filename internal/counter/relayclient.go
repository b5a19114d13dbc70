package counter

import (
	"context"
	"maps"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// maxRelayPeers is how many instances are asked to relay one attempt.
	maxRelayPeers = 3
	// relayAvoidance is how long an instance that could not relay to a service is not asked again.
	relayAvoidance = time.Second
)

// relayKey is a service that an instance may relay to.
type relayKey struct {
	instance netip.AddrPort
	service  string
}

// relayClient sends requests through other instances. Its map is guarded by the Proxy's mutex.
type relayClient struct {
	transports transports
	// avoided holds the instances that could not relay, and the time until which they are not
	// asked.
	avoided map[relayKey]time.Time
}

func newRelayClient() *relayClient {
	dial := func(ctx context.Context, network, address string) (net.Conn, error) {
		ctx, cancel := context.WithTimeout(ctx, connectTimeout)
		defer cancel()
		return (&net.Dialer{}).DialContext(ctx, network, address)
	}
	return &relayClient{transports: newTransports(dial), avoided: map[relayKey]time.Time{}}
}

// choose returns an instance to relay requests for a service, other than self. It returns false if
// there is none. random returns a number in [0, n).
func (c *relayClient) choose(now time.Time, service string, self netip.AddrPort, all []netip.AddrPort, random func(n int) int) (netip.AddrPort, bool) {
	var candidates []netip.AddrPort
	for _, instance := range all {
		if instance != self && !now.Before(c.avoided[relayKey{instance, service}]) {
			candidates = append(candidates, instance)
		}
	}
	if len(candidates) == 0 {
		return netip.AddrPort{}, false
	}
	return candidates[random(len(candidates))], true
}

// avoid excludes an instance from relaying to a service for a while.
func (c *relayClient) avoid(now time.Time, key relayKey) {
	maps.DeleteFunc(c.avoided, func(_ relayKey, until time.Time) bool { return !now.Before(until) })
	c.avoided[key] = now.Add(relayAvoidance)
}

// chooseRelay returns an instance to relay to an upstream.
func (p *Proxy) chooseRelay(service string) (netip.AddrPort, bool) {
	now := p.options.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.peers.conn == nil {
		return netip.AddrPort{}, false
	}
	return p.relays.choose(now, service, p.owners.self, p.owners.assignment.All(), rand.IntN)
}

// avoidRelay excludes an instance from relaying to a service for a while.
func (p *Proxy) avoidRelay(instance netip.AddrPort, service string) {
	now := p.options.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.relays.avoid(now, relayKey{instance, service})
}

// sendThroughPeer sends the request to the granted upstream through another instance. If none can,
// it returns errNoRelay.
func (t *transaction) sendThroughPeer(ctx context.Context, a *upstreamAttempt) (*http.Response, error) {
	p := t.proxy
	for range maxRelayPeers {
		peer, ok := p.chooseRelay(a.upstream.service)
		if !ok {
			return nil, errNoRelay
		}
		response, result, err := t.sendTo(ctx, a, peer)
		p.countRelay(result, err)
		switch {
		case err != nil && a.mayHaveSent.Load():
			return nil, err
		case ctx.Err() != nil:
			return nil, ctx.Err()
		case err != nil:
			p.avoidRelay(peer, a.upstream.service)
			continue
		}
		a.relayedBy = peer
		switch result {
		case relayAnswered:
			return response, nil
		case relayUnavailable:
			p.avoidRelay(peer, a.upstream.service)
		case relayUnreachable, relayUnwanted, relayInvalid:
			err = errRelayRejected
		default:
			// The other instance may have sent the request.
			response.Body.Close()
			return nil, errRelayUnclear
		}
		response.Body.Close()
		a.mayHaveSent.Store(false)
		if err != nil {
			return nil, err
		}
	}
	return nil, errNoRelay
}

// sendTo sends the request to another instance, which relays it to the granted upstream.
func (t *transaction) sendTo(ctx context.Context, a *upstreamAttempt, peer netip.AddrPort) (*http.Response, relayResult, error) {
	outgoing := t.outgoing(ctx, a, peer.String())
	header := outgoing.Header
	header.Set(relayUpstreamHeader, a.upstream.name)
	header.Set(relayRequestHeader, t.call.ID)
	header.Set(relayTimeoutHeader, strconv.FormatInt(t.remaining().Milliseconds(), 10))
	if a.upstream.announced {
		header.Set(relaySoftwareHeader, a.upstream.software)
	}
	header.Set(relayIdempotentHeader, strconv.FormatBool(t.isIdempotent()))
	response, err := t.proxy.relays.transports.of(t.isIdempotent(), t.body).RoundTrip(outgoing)
	if err != nil {
		return nil, "", errors.Wrapf(err, "counter: relaying through %s", peer)
	}
	result := relayResult(response.Header.Get(relayResultHeader))
	response.Header.Del(relayResultHeader)
	return response, result, nil
}
