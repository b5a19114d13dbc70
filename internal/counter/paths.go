package counter

import (
	"context"
	"iter"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/lovagelift/lovagelift/internal/pause"
	"github.com/lovagelift/lovagelift/internal/reachability"
)

const (
	// probeInterval is the time between two rounds of probes of lost paths.
	probeInterval = 500 * time.Millisecond
	// maxProbesPerService bounds the probes of one round.
	maxProbesPerService = 2
)

// dialUpstream connects to an upstream and records whether the path to it works.
func (p *Proxy) dialUpstream(ctx context.Context, network, address string) (net.Conn, error) {
	dialCtx, cancel := context.WithTimeout(ctx, connectTimeout)
	defer cancel()
	conn, err := p.options.DialUpstream(dialCtx, network, address)
	if err != nil && ctx.Err() != nil {
		// The request was given up, which says nothing about the path.
		return nil, err
	}
	p.recordDial(address, err == nil)
	return conn, err
}

// isPathLost reports whether this instance cannot connect to an upstream.
func (p *Proxy) isPathLost(u *upstream) bool {
	now := p.options.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.pool.isPathLost(now, p.pool.current(u))
}

// isServiceLost reports whether this instance cannot connect to any upstream of a service.
func (p *Proxy) isServiceLost(service string) bool {
	now := p.options.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.pool.isServiceLost(now, service)
}

// recordDial records the outcome of a connection to an upstream.
func (p *Proxy) recordDial(address string, connected bool) {
	now := p.options.Now()
	p.mu.Lock()
	u := p.pool.byAddress[address]
	if u == nil {
		p.mu.Unlock()
		return
	}
	wasLost := p.pool.isServiceLost(now, u.service)
	p.pool.recordDial(now, u, connected)
	isLost := p.pool.isServiceLost(now, u.service)
	p.mu.Unlock()
	if wasLost == isLost {
		return
	}
	message := "path to the service works again"
	if isLost {
		message = "path to the service is lost; sending through other instances"
	}
	p.logLine(now, "path").Str("service", u.service).Str("upstream", u.name).Bool("lost", isLost).Msg(message)
}

// recordDial records the outcome of a connection to u.
func (p *upstreamPool) recordDial(now time.Time, u *upstream, connected bool) {
	if !connected {
		if !u.path.IsLost() {
			p.lost[u.service] = append(p.lost[u.service], u)
		}
		u.path = u.path.WithFailure(now)
		return
	}
	p.forgetLost(u)
	u.path = u.path.WithConnection()
	p.paths[u.service] = p.paths[u.service].WithConnection(now)
}

// forgetLost removes u from the upstreams behind lost paths.
func (p *upstreamPool) forgetLost(u *upstream) {
	if u.path.IsLost() {
		p.lost[u.service] = slices.DeleteFunc(p.lost[u.service], func(other *upstream) bool { return other == u })
	}
}

// isPathLost reports whether this instance cannot connect to u.
func (p *upstreamPool) isPathLost(now time.Time, u *upstream) bool {
	return u.path.IsLost() || p.isServiceLost(now, u.service)
}

// isServiceLost reports whether this instance cannot connect to any upstream of a service.
func (p *upstreamPool) isServiceLost(now time.Time, service string) bool {
	return p.paths[service].IsLost(p.lostPaths(now, service))
}

// lostPaths returns the lost paths to the available upstreams of a service.
func (p *upstreamPool) lostPaths(now time.Time, service string) iter.Seq[reachability.Path] {
	return func(yield func(reachability.Path) bool) {
		for _, u := range p.lost[service] {
			if p.isAvailable(now, u) && !yield(u.path) {
				return
			}
		}
	}
}

// lostPathCount returns the number of upstreams to which a connection failed last.
func (p *upstreamPool) lostPathCount() int {
	count := 0
	for _, lost := range p.lost {
		count += len(lost)
	}
	return count
}

// pathsToProbe returns the upstreams to probe now: some of those behind lost paths, the least
// recently probed first.
func (p *upstreamPool) pathsToProbe(now time.Time) []*upstream {
	var due []*upstream
	for service, lost := range p.lost {
		if p.isServiceLost(now, service) {
			lost = p.byService[service]
		}
		candidates := slices.DeleteFunc(slices.Clone(lost), func(u *upstream) bool { return !p.isAvailable(now, u) })
		slices.SortStableFunc(candidates, func(a, b *upstream) int {
			return compareBools(b.path.ProbedBefore(a.path), a.path.ProbedBefore(b.path))
		})
		for _, u := range candidates[:min(len(candidates), maxProbesPerService)] {
			u.path = u.path.WithProbe(now)
			due = append(due, u)
		}
	}
	return due
}

// probeLoop probes lost paths until ctx ends.
func (p *Proxy) probeLoop(ctx context.Context) {
	for pause.For(ctx, probeInterval) {
		p.probePaths(ctx)
	}
}

// probePaths connects to some upstreams behind lost paths.
func (p *Proxy) probePaths(ctx context.Context) {
	now := p.options.Now()
	p.mu.Lock()
	due := p.pool.pathsToProbe(now)
	p.mu.Unlock()
	var probes sync.WaitGroup
	for _, u := range due {
		probes.Go(func() {
			if conn, err := p.dialUpstream(ctx, "tcp", u.address); err == nil {
				conn.Close()
			}
		})
	}
	probes.Wait()
}
