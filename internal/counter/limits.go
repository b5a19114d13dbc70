package counter

import (
	"net/http"
	"time"

	"github.com/lovagelift/lovagelift/internal/courier"
	"github.com/lovagelift/lovagelift/internal/permit"
	"github.com/lovagelift/lovagelift/internal/ratelimit"
)

// upstreamLimit tracks the rate limit of an upstream.
type upstreamLimit struct {
	ratelimit.State
	// sharedBucket paces the requests of all instances, if this one owns the limit. ownBucket paces
	// the requests of this instance alone while the owner does not answer. They are nil before the
	// first request.
	sharedBucket *ratelimit.TokenBucket
	ownBucket    *ratelimit.TokenBucket
	// pausedUntil is the time until which nothing is sent to the upstream.
	pausedUntil time.Time
}

// bucketForAll returns the token bucket of all instances.
func (l *upstreamLimit) bucketForAll(now time.Time) *ratelimit.TokenBucket {
	if l.sharedBucket == nil {
		l.sharedBucket = ratelimit.NewTokenBucket(now)
	}
	return l.sharedBucket
}

// takeOwnShare takes one request from this instance's share of the limit, which is divided evenly
// among instances.
func (l *upstreamLimit) takeOwnShare(now time.Time, limit ratelimit.Limit, instances int) (wait time.Duration, ok bool) {
	if l.ownBucket == nil {
		l.ownBucket = ratelimit.NewTokenBucket(now)
	}
	return l.ownBucket.Take(now, ratelimit.ShareRate(limit, instances))
}

// pause stops requests to the upstream for a while.
func (l *upstreamLimit) pause(now time.Time, wait time.Duration) {
	l.pausedUntil = now.Add(min(wait, maxPause))
}

// maxPause bounds a pause, because the limit may end before it.
const maxPause = 2 * time.Second

// observeLimit processes the rate limit stated in an upstream's response and broadcasts changes.
func (p *Proxy) observeLimit(t *transaction, a *upstreamAttempt, header http.Header) {
	stated := p.options.Dialect.ParseLimit(header)
	now := p.options.Now()
	if invalid, ok := stated.(ratelimit.InvalidLimit); ok {
		p.logLine(now, "unparsable limit").Str("upstream", a.upstream.name).Str("limit", invalid.Text).
			Msg("cannot parse the rate limit that an upstream states")
		return
	}
	p.mu.Lock()
	u := p.pool.current(a.upstream)
	changed := u.applyLimit(now, t.timing.sent, stated)
	if changed != limitUnchanged {
		p.broadcastLimit(now, u, t.timing.sent, stated)
	}
	p.mu.Unlock()
	p.logLimit(now, u.name, u.service, changed, stated)
}

// limitChange is the effect of a response on an upstream's rate limit.
type limitChange uint8

const (
	limitUnchanged limitChange = iota
	limitAdded
	limitChanged
	limitRemoved
)

// String returns the log message.
func (l limitChange) String() string {
	switch l {
	case limitAdded:
		return "an upstream names its limit"
	case limitChanged:
		return "the limit of an upstream changes"
	case limitRemoved:
		return "the limit of an upstream ends"
	default:
		return "the limit of an upstream stays"
	}
}

// applyLimit updates the limit from a response to a request that was sent at sent, and returns the
// change.
func (u *upstream) applyLimit(now, sent time.Time, stated ratelimit.Observation) limitChange {
	previous, hadLimit := u.limit.Limit()
	u.limit.State = u.limit.With(now, sent, stated)
	current, hasLimit := u.limit.Limit()
	switch {
	case hasLimit && !hadLimit:
		return limitAdded
	case hadLimit && !hasLimit:
		u.limit.pausedUntil = time.Time{}
		return limitRemoved
	case previous != current:
		return limitChanged
	default:
		return limitUnchanged
	}
}

// broadcastLimit sends the limit stated in a response to all other instances. p.mu is held.
func (p *Proxy) broadcastLimit(now time.Time, u *upstream, sent time.Time, stated ratelimit.Observation) {
	message := permit.LimitReport{Upstream: u.name, Incarnation: u.incarnation, Age: now.Sub(sent)}
	if named, ok := stated.(ratelimit.NamedLimit); ok {
		message.Named, message.Limit = true, named.Limit
	}
	p.broadcast(message)
}

// receiveLimit applies a limit stated in a response to another instance. p.mu is held.
func (p *Proxy) receiveLimit(now time.Time, m permit.LimitReport) {
	u := p.pool.byName[m.Upstream]
	if u == nil || u.incarnation != m.Incarnation {
		return
	}
	var stated ratelimit.Observation = ratelimit.NoLimit{}
	if m.Named {
		stated = ratelimit.NamedLimit{Limit: m.Limit}
	}
	u.applyLimit(now, now.Add(-m.Age), stated)
}

// logLimit logs a changed limit.
func (p *Proxy) logLimit(now time.Time, upstream, service string, changed limitChange, stated ratelimit.Observation) {
	if changed == limitUnchanged {
		return
	}
	named, _ := stated.(ratelimit.NamedLimit)
	text := changed.String()
	p.logLine(now, text).Str("upstream", upstream).Str("service", service).Float64("limit", float64(named.Limit)).Msg(text)
}

// handleRateLimit pauses an upstream whose rate limit allows no request for a while. It reports
// whether the caller was answered, which happens once the request has met too many rate limits.
func (t *transaction) handleRateLimit(w http.ResponseWriter, a *upstreamAttempt, wait time.Duration) bool {
	p := t.proxy
	now := p.options.Now()
	a.outcome = permit.RateLimited
	p.mu.Lock()
	p.metrics.countLimitedSend(t.service)
	if u := p.pool.byName[a.upstream.name]; u != nil {
		u.limit.pause(now, wait)
	}
	p.mu.Unlock()
	t.rateLimitHits++
	if t.rateLimitHits < maxRateLimitHits {
		return false
	}
	p.logAttempt(t, a, "held back by rate limit", 0, "limit")
	if t.possibleRuns > 0 {
		p.refuse(w, t.call, t.route, refusal{status: http.StatusBadGateway, text: "held back after an earlier attempt"})
		return true
	}
	p.refuse(w, t.call, t.route, refusal{
		status: http.StatusServiceUnavailable, text: limitsReached, retryAfter: t.retryAfterWait(now, wait), waited: now.Sub(t.arrived),
	})
	return true
}

const (
	// maxRateLimitHits is how often a request may be held back by a rate limit before it is
	// rejected.
	maxRateLimitHits = 8
	// limitsReached is the text sent to callers whose request no upstream accepts.
	limitsReached = "upstreams take no more by their limits"
)

// limitedUpstreams returns the upstreams that have a rate limit.
func (p *upstreamPool) limitedUpstreams() []courier.LimitedUpstream {
	var limited []courier.LimitedUpstream
	for _, u := range p.byName {
		if limit, hasLimit := u.limit.Limit(); hasLimit {
			limited = append(limited, courier.LimitedUpstream{Name: u.name, Limit: limit})
		}
	}
	return limited
}

// updateLimitMetrics sets the number of rate-limited upstreams of each service. p.mu is held.
func (p *Proxy) updateLimitMetrics() {
	counts := map[string]int{}
	for _, upstream := range p.pool.limitedUpstreams() {
		counts[p.pool.byName[upstream.Name].service]++
	}
	for service := range p.pool.byService {
		p.metrics.scope.Tagged(map[string]string{"service": service}).Gauge("limited_upstreams").Update(float64(counts[service]))
	}
}
