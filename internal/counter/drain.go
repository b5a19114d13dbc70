package counter

import (
	"context"
	"time"
)

// Drain begins a planned shutdown. Callers are directed to other instances; requests that still
// arrive are served. After waitLimit no request waits for an upstream any longer: those that have not
// been sent are refused while their callers can still retry elsewhere.
func (p *Proxy) Drain(waitLimit time.Duration) {
	p.mu.Lock()
	p.draining = true
	p.mu.Unlock()
	p.syncSoon()
	time.AfterFunc(waitLimit, p.endWaits)
}

// boundWait returns a context that ends with ctx, at limit, and when a draining instance lets no
// request wait any longer.
func (p *Proxy) boundWait(ctx context.Context, limit time.Duration) (context.Context, context.CancelFunc) {
	bounded, cancel := context.WithTimeout(ctx, limit)
	stop := context.AfterFunc(p.waits, cancel)
	return bounded, func() {
		stop()
		cancel()
	}
}
