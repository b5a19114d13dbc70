package backoffice

import (
	"time"

	"github.com/lovagelift/lovagelift/internal/courier"
	"github.com/lovagelift/lovagelift/internal/ratelimit"
)

const (
	// limitTTL is how long a rate limit is valid after the last report of it. Each entry
	// instance includes the limits that it knows in each sync.
	limitTTL = 2 * time.Second
	// lowLimitShare is the rate limit per slot, in requests per second, below which an
	// engine counts as having a low limit. A request occupies a slot for a second or two.
	lowLimitShare = 0.125
)

// reportedLimit is an upstream's rate limit that an entry instance reported at
// reportedAt.
type reportedLimit struct {
	limit      ratelimit.Limit
	reportedAt time.Time
}

// recordLimits records the rate limits that upstreams state in their responses.
func (o *orchestrator) recordLimits(now time.Time, limited []courier.LimitedUpstream) {
	if len(limited) == 0 {
		return
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, upstream := range limited {
		o.limits[upstream.Name] = reportedLimit{limit: upstream.Limit, reportedAt: now}
	}
}

// expireLimits removes the limits that are no longer reported. o.mu is held.
func (o *orchestrator) expireLimits(now time.Time) {
	for name, reported := range o.limits {
		if now.Sub(reported.reportedAt) >= limitTTL {
			delete(o.limits, name)
		}
	}
}

// hasLowLimit reports whether an engine has stated a rate limit that is low for its
// number of slots. o.mu is held.
func (o *orchestrator) hasLowLimit(e *engine) bool {
	reported, limited := o.limits[e.Name]
	return limited && float64(reported.limit) < lowLimitShare*float64(e.spec.Slots)
}
