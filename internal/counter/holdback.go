package counter

import (
	"math"
	"time"

	"github.com/lovagelift/lovagelift/internal/permit"
)

// holdBack describes upstreams that accept no request now because of their rate limits, refusals or
// pushbacks.
type holdBack struct {
	// wait is the time until the first of them accepts a request. byPushback is true if that one
	// pushes back until then.
	wait       time.Duration
	byPushback bool
	// perSecond is how many requests per second they accept afterwards.
	perSecond float64
}

// heldBack returns why no upstream that could run a request accepts it now. It returns false if one
// does, or if there is none.
func (p *upstreamPool) heldBack(now time.Time, q upstreamQuery) (held holdBack, ok bool) {
	for u := range p.eligible(now, q) {
		if !u.canRun(q.model, q.adapter) {
			continue
		}
		pushback := u.pushbacks.Until(q.sender).Sub(now)
		left := max(u.pausedUntil().Sub(now), pushback)
		if left <= 0 {
			return holdBack{}, false
		}
		limit, hasLimit := u.limit.Limit()
		if !ok || left < held.wait {
			held.wait, held.byPushback, ok = left, left == pushback, true
		}
		if hasLimit {
			held.perSecond += 1 / limit.Period().Seconds()
		} else {
			held.perSecond = math.Inf(1)
		}
	}
	return held, ok
}

// rejectHeldBack rejects a request that cannot be sent in time because of rate limits or
// pushbacks. It returns nil if the request may wait. p.mu is held.
func (p *Proxy) rejectHeldBack(now time.Time, w *waiter) *rejection {
	req := &w.requirements
	held, ok := p.pool.heldBack(now, req.query())
	if !ok {
		return nil
	}
	ahead := p.queue.countOthers(w, func(other *waiter) bool {
		return other.requirements.target == req.target && !other.lacksHolder() && (w.share.model == nil || other.goesBefore(now, w))
	})
	wait := held.wait + time.Duration(ahead)*time.Duration(float64(time.Second)/held.perSecond)
	switch {
	case wait <= req.maxForecast(now):
		return nil
	case held.byPushback:
		return &rejection{reason: permit.UpstreamsPushBack, retryAfter: req.retryAfterPushback(now, wait), forecastWait: wait}
	default:
		return &rejection{reason: permit.LimitsExhausted, retryAfter: req.retryAfterWait(now, wait), forecastWait: wait}
	}
}
