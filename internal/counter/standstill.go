package counter

import (
	"context"
	"time"

	"github.com/lovagelift/lovagelift/internal/pause"
)

const (
	// wakeInterval is the time between two wakes of an instance that has processor time.
	wakeInterval = 50 * time.Millisecond
	// minStandstill is the time without a wake from which on an instance has stood still. Others turn to another
	// owner sooner, but an instance that is short of processor time also wakes late.
	minStandstill = 3 * ownerAttempts * ownerTimeout
)

// wakeLoop wakes until ctx ends, which shows whether this instance has stood still.
func (p *Proxy) wakeLoop(ctx context.Context) {
	p.wake(p.options.Now())
	for pause.For(ctx, wakeInterval) {
		p.wake(p.options.Now())
	}
}

func (p *Proxy) wake(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.wakeDelays = p.wakeDelays.withWake(now, p.awakeAt)
	p.noticeStandstill(now)
	p.awakeAt = now
}

// wakeDelay returns how late this instance has recently woken at most. It handles a signal as late.
func (p *Proxy) wakeDelay() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.wakeDelays.worst()
}

// wakeDelayWindow is the time for which a late wake counts at least.
const wakeDelayWindow = 5 * time.Second

// wakeDelays are the largest delays of wakes in this window and in the one before.
type wakeDelays struct {
	since             time.Time
	current, previous time.Duration
}

// withWake returns the delays with those of a wake now, after one at previous, which is zero before the first.
func (d wakeDelays) withWake(now, previous time.Time) wakeDelays {
	if now.Sub(d.since) >= wakeDelayWindow {
		d = wakeDelays{since: now, previous: d.current}
	}
	if !previous.IsZero() {
		d.current = max(d.current, now.Sub(previous)-wakeInterval)
	}
	return d
}

func (d wakeDelays) worst() time.Duration {
	return max(d.current, d.previous)
}

// noticeStandstill interrupts the buckets of all quotas if this instance has stood still: another one may have granted
// their units meanwhile. A request can arrive before the next wake. p.mu is held.
func (p *Proxy) noticeStandstill(now time.Time) {
	if p.awakeAt.IsZero() || now.Sub(p.awakeAt) < minStandstill {
		return
	}
	p.awakeAt = now
	for _, account := range p.quotas {
		account.lost = true
	}
}
