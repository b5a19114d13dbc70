package counter

import (
	"net/http"
	"time"

	"github.com/lovagelift/lovagelift/internal/ratelimit"
)

// noteLimit takes in what an answer of an upstream says of the requests that it takes.
func (c *Counter) noteLimit(t *trip, a *sending, header http.Header) {
	said := c.options.Dialect.Limit(header)
	now := c.options.Now()
	if unclear, ok := said.(ratelimit.Unclear); ok {
		c.logLine(now, "limit not read").Str("upstream", a.upstream.name).Str("limit", unclear.Text).
			Msg("an upstream names a limit that can't be read")
		return
	}
	c.mu.Lock()
	u := a.upstream
	if known := c.fleet.upstreams[u.name]; known != nil && known.incarnation == u.incarnation {
		u = known
	}
	before := u.limit
	u.limit = before.With(now, t.timing.sent, said)
	after := u.limit
	c.mu.Unlock()
	c.logLimit(now, u, before, after)
}

// logLimit tells of a change of the limit of an upstream.
func (c *Counter) logLimit(now time.Time, u *upstream, before, after ratelimit.Known) {
	was, limited := before.Limit()
	is, limits := after.Limit()
	what := ""
	switch {
	case limits && !limited:
		what = "an upstream names its limit"
	case limited && !limits:
		what = "the limit of an upstream ends"
	case was != is:
		what = "the limit of an upstream changes"
	default:
		return
	}
	c.logLine(now, what).Str("upstream", u.name).Str("service", u.service).Float64("limit", float64(is)).
		Float64("before", float64(was)).Msg(what)
}

// reportLimits sets how many upstreams of each service name a limit. c.mu is held.
func (c *Counter) reportLimits() {
	limited := map[string]int{}
	for _, u := range c.fleet.upstreams {
		if _, limits := u.limit.Limit(); limits {
			limited[u.service]++
		}
	}
	for service := range c.fleet.services {
		c.metrics.scope.Tagged(map[string]string{"service": service}).Gauge("limited_upstreams").Update(float64(limited[service]))
	}
}
