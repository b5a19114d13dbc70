package backoffice

import (
	"time"

	"github.com/lovagelift/lovagelift/internal/courier"
	"github.com/lovagelift/lovagelift/internal/ratelimit"
)

const (
	// limitKept is how long a limit counts that no entry instance tells of any more: each
	// tells of those that it knows with each of its questions.
	limitKept = 2 * time.Second
	// narrowShare is the part of its slots below which an engine that takes so many requests
	// a second is narrow: a request has a slot for a second or two.
	narrowShare = 0.125
)

// toldLimit is a limit that entry instances told of last at a time.
type toldLimit struct {
	limit ratelimit.Limit
	at    time.Time
}

// noteLimits takes in which upstreams name a limit.
func (o *orders) noteLimits(now time.Time, limited []courier.LimitedUpstream) {
	if len(limited) == 0 {
		return
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, upstream := range limited {
		o.limits[upstream.Name] = toldLimit{limit: upstream.Limit, at: now}
	}
}

// expireLimits forgets the limits that nobody tells of any more. o.mu is held.
func (o *orders) expireLimits(now time.Time) {
	for name, told := range o.limits {
		if now.Sub(told.at) >= limitKept {
			delete(o.limits, name)
		}
	}
}

// isNarrow reports whether an engine takes few requests by a limit that it names. o.mu is
// held.
func (o *orders) isNarrow(e *engine) bool {
	told, limited := o.limits[e.Name]
	return limited && float64(told.limit) < narrowShare*float64(e.spec.Slots)
}
