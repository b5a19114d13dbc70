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
	p.noticeStandstill(now)
	p.awakeAt = now
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
