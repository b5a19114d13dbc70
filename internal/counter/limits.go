package counter

import (
	"net/http"
	"time"

	"github.com/lovagelift/lovagelift/internal/courier"
	"github.com/lovagelift/lovagelift/internal/permit"
	"github.com/lovagelift/lovagelift/internal/ratelimit"
)

// limited is the requests that an upstream takes, as far as an instance knows.
type limited struct {
	ratelimit.Known
	// pace is that of all instances, used while this one owns the limit, and share that of
	// this one without an owner. They are nil before the first request.
	pace  *ratelimit.Pace
	share *ratelimit.Pace
	// heldUntil is until when nothing is sent there.
	heldUntil time.Time
}

// paceOfAll returns the pace of all instances.
func (l *limited) paceOfAll(now time.Time) *ratelimit.Pace {
	if l.pace == nil {
		l.pace = ratelimit.NewPace(now)
	}
	return l.pace
}

// takeShare takes a request of this instance, one of so many that have no owner.
func (l *limited) takeShare(now time.Time, limit ratelimit.Limit, instances int) (wait time.Duration, ok bool) {
	if l.share == nil {
		l.share = ratelimit.NewPace(now)
	}
	return l.share.Take(now, ratelimit.Share(limit, instances))
}

// hold has nothing be sent for a while.
func (l *limited) hold(now time.Time, wait time.Duration) {
	l.heldUntil = now.Add(min(wait, longestHold))
}

// longestHold bounds for how long an upstream is held: its limit may end.
const longestHold = 2 * time.Second

// noteLimit takes in what an answer of an upstream says of the requests that it takes, and
// passes on what is new.
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
	if known := c.fleet.upstreams[u.name]; known != nil && known.address == u.address {
		u = known
	}
	changed := u.hearLimit(now, t.timing.sent, said)
	if changed != limitSame {
		c.tellLimit(now, u, t.timing.sent, said)
	}
	c.mu.Unlock()
	c.logLimit(now, u.name, u.service, changed, said)
}

// limitChange is what has changed of the limit of an upstream.
type limitChange uint8

const (
	limitSame limitChange = iota
	limitBegins
	limitMoves
	limitEnds
)

// String returns the text for the log.
func (l limitChange) String() string {
	switch l {
	case limitBegins:
		return "an upstream names its limit"
	case limitMoves:
		return "the limit of an upstream changes"
	case limitEnds:
		return "the limit of an upstream ends"
	default:
		return "the limit of an upstream stays"
	}
}

// hearLimit takes in what an answer to a request that was sent at a time said of the limit,
// and returns what has changed.
func (u *upstream) hearLimit(now, sent time.Time, said ratelimit.Said) limitChange {
	was, limited := u.limit.Limit()
	u.limit.Known = u.limit.With(now, sent, said)
	is, limits := u.limit.Limit()
	switch {
	case limits && !limited:
		return limitBegins
	case limited && !limits:
		u.limit.heldUntil = time.Time{}
		return limitEnds
	case was != is:
		return limitMoves
	default:
		return limitSame
	}
}

// tellLimit tells the other instances at once what an answer said. c.mu is held.
func (c *Counter) tellLimit(now time.Time, u *upstream, sent time.Time, said ratelimit.Said) {
	told := permit.Limited{Upstream: u.name, Incarnation: u.incarnation, Age: now.Sub(sent)}
	if named, ok := said.(ratelimit.Named); ok {
		told.Named, told.Limit = true, named.Limit
	}
	for _, instance := range c.owners.known.All() {
		if instance != c.owners.self {
			c.exchange.tell(instance, told)
		}
	}
}

// hearLimited takes in what an answer said to another instance. c.mu is held.
func (c *Counter) hearLimited(now time.Time, m permit.Limited) {
	u := c.fleet.upstreams[m.Upstream]
	if u == nil || u.incarnation != m.Incarnation {
		return
	}
	var said ratelimit.Said = ratelimit.Unnamed{}
	if m.Named {
		said = ratelimit.Named{Limit: m.Limit}
	}
	u.hearLimit(now, now.Add(-m.Age), said)
}

// logLimit tells of a change of the limit of an upstream, if there is one.
func (c *Counter) logLimit(now time.Time, upstream, service string, changed limitChange, said ratelimit.Said) {
	if changed == limitSame {
		return
	}
	named, _ := said.(ratelimit.Named)
	text := changed.String()
	c.logLine(now, text).Str("upstream", upstream).Str("service", service).Float64("limit", float64(named.Limit)).Msg(text)
}

// held notes that an upstream takes no request for a while, and reports whether the request
// was answered for it.
func (t *trip) held(w http.ResponseWriter, a *sending, wait time.Duration) bool {
	c := t.counter
	now := c.options.Now()
	a.outcome = permit.Over
	c.mu.Lock()
	c.metrics.held(t.service)
	if u := c.fleet.upstreams[a.upstream.name]; u != nil {
		u.limit.hold(now, wait)
	}
	c.mu.Unlock()
	t.holds++
	if t.holds < maxHolds {
		return false
	}
	c.logAttempt(t, a, "held back", 0, "limit")
	if t.runs > 0 {
		c.refuse(w, t.call, t.route, refusal{status: http.StatusBadGateway, why: "held back after an earlier attempt"})
		return true
	}
	c.refuse(w, t.call, t.route, refusal{
		status: http.StatusServiceUnavailable, why: limitsReached, comeBack: t.comeBackAfter(now, wait), held: now.Sub(t.began),
	})
	return true
}

const (
	// maxHolds is how many upstreams may hold a request back until it is rejected.
	maxHolds = 8
	// limitsReached is why requests are rejected that no upstream takes.
	limitsReached = "upstreams take no more by their limits"
)

// heldFor returns how long no upstream that could run a request takes one by its limit, and
// how many they take in a second from then on. It returns false if one takes it now.
func (f *fleet) heldFor(now time.Time, w wish) (wait time.Duration, perSecond float64, held bool) {
	for _, u := range f.holders(w.service, w.model) {
		if !f.alive(now, u) || !u.holds(w.model, w.adapter) {
			continue
		}
		limit, limits := u.limit.Limit()
		if !limits || !now.Before(u.limit.heldUntil) {
			return 0, 0, false
		}
		if in := u.limit.heldUntil.Sub(now); !held || in < wait {
			wait, held = in, true
		}
		perSecond += 1 / limit.Period().Seconds()
	}
	return wait, perSecond, held
}

// rejectHeld rejects a request that no upstream takes in time by its limit. It returns nil if
// it may wait. c.mu is held.
func (c *Counter) rejectHeld(now time.Time, w *waiter) *rejection {
	n := &w.need
	wait, perSecond, held := c.fleet.heldFor(now, n.wish())
	if !held {
		return nil
	}
	for _, other := range c.queue.waiters {
		if other != w && other.need.demandKey == n.demandKey {
			wait += time.Duration(float64(time.Second) / perSecond)
		}
	}
	if wait <= n.bearable(now) {
		return nil
	}
	return &rejection{reason: permit.Limits, comeBack: n.comeBackAfter(now, wait), forecast: wait}
}

// limited returns the upstreams that name a limit.
func (f *fleet) limited() []courier.LimitedUpstream {
	var limited []courier.LimitedUpstream
	for _, u := range f.upstreams {
		if limit, limits := u.limit.Limit(); limits {
			limited = append(limited, courier.LimitedUpstream{Name: u.name, Limit: limit})
		}
	}
	return limited
}

// reportLimits sets how many upstreams of each service name a limit. c.mu is held.
func (c *Counter) reportLimits() {
	counts := map[string]int{}
	for _, upstream := range c.fleet.limited() {
		counts[c.fleet.upstreams[upstream.Name].service]++
	}
	for service := range c.fleet.services {
		c.metrics.scope.Tagged(map[string]string{"service": service}).Gauge("limited_upstreams").Update(float64(counts[service]))
	}
}
