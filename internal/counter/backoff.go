package counter

import (
	"math/bits"
	"time"
)

// backoffPerPeer is the maximum backoff for each peer that sends to the same engine. A peer's
// message takes about 2 ms to arrive.
const backoffPerPeer = 8 * time.Millisecond

// sendBackoff staggers the instances that wait for the same engine. All of them learn at the same
// moment that it has capacity. Seven prompts of 1,400 tokens sent at once stall every stream of
// the engine for half a second. So each instance waits for a random time, during which it learns
// whether a peer has sent first.
type sendBackoff struct {
	// contended is true if the engine had no capacity recently. drawn is true once backoff has been
	// drawn for the next prompt.
	contended bool
	drawn     bool
	backoff   time.Duration
}

// contentionTimeout is how long an engine must have unused capacity before it counts as
// uncontended.
const contentionTimeout = 100 * time.Millisecond

// reset discards the backoff after a prompt has been sent to the engine.
func (b *sendBackoff) reset() {
	b.drawn = false
}

// allows reports whether this instance may send now to an engine that is ready since readySince,
// which lies in the future while the engine has no capacity.
func (b *sendBackoff) allows(now, readySince time.Time, random float64, peers int) bool {
	idle := now.Sub(readySince)
	if idle < 0 {
		b.contended = true
	}
	if idle > contentionTimeout {
		b.contended = false
	}
	if !b.contended {
		return true
	}
	if !b.drawn {
		b.drawn, b.backoff = true, time.Duration(random*float64(peers)*float64(backoffPerPeer))
	}
	return idle >= b.backoff
}

// activePeerWindow is how long a peer that sent to an engine is expected to send again.
const activePeerWindow = 250 * time.Millisecond

// activePeers estimates how many peers send to an engine, from a 64-bit set of address hashes for
// the current window and the previous one.
type activePeers struct {
	window   int64
	current  uint64
	previous uint64
}

func (p *activePeers) advance(now time.Time) {
	window := now.UnixNano() / int64(activePeerWindow)
	switch {
	case window <= p.window:
		return
	case window == p.window+1:
		p.previous = p.current
	default:
		p.previous = 0
	}
	p.window, p.current = window, 0
}

// record adds a peer that has sent.
func (p *activePeers) record(now time.Time, hash uint32) {
	p.advance(now)
	p.current |= 1 << (hash % 64)
}

func (p *activePeers) count(now time.Time) int {
	p.advance(now)
	return bits.OnesCount64(p.current | p.previous)
}
