package counter

import (
	"strconv"
	"time"

	"github.com/uber-go/tally/v4"
)

// maxRoutes bounds the routes that have metrics of their own. Those that come
// after count together: an operator may have thousands.
const maxRoutes = 64

// otherRoutes is the route of requests beyond maxRoutes, and of those without one.
const otherRoutes = "other"

// times are the bounds of the histograms: from a plain service's answer within
// some ms to a stream that takes as long as callers wait.
var times = tally.DurationBuckets{
	5 * time.Millisecond, 10 * time.Millisecond, 25 * time.Millisecond, 50 * time.Millisecond,
	100 * time.Millisecond, 250 * time.Millisecond, 500 * time.Millisecond, time.Second,
	2500 * time.Millisecond, 5 * time.Second, 10 * time.Second, 25 * time.Second,
}

// metrics is what an entry instance counts. Its methods are called with the
// Counter's mutex held.
type metrics struct {
	scope    tally.Scope
	routes   map[string]routeMetrics
	refusals map[string]tally.Counter
	sends    map[string]tally.Counter
	holds    map[string]tally.Counter
	// decisions are those on requests of other instances, and owners what owners answered
	// to this one.
	decisions map[string]tally.Counter
	owners    map[string]tally.Counter
	// proofAge is how old the proof of the routes was when news came.
	proofAge tally.Histogram
	// proofWaits are requests that waited for a proof of the routes.
	proofWaits tally.Counter
}

// routeMetrics is what is counted of one route with one status.
type routeMetrics struct {
	answers tally.Counter
	waited  tally.Histogram
	first   tally.Histogram
	whole   tally.Histogram
}

func newMetrics(scope tally.Scope) *metrics {
	if scope == nil {
		scope = tally.NoopScope
	}
	scope = scope.SubScope("counter")
	return &metrics{
		scope: scope, proofAge: scope.Histogram("routes_proof_age_seconds", times),
		proofWaits: scope.Counter("routes_proof_waits"), routes: map[string]routeMetrics{},
		refusals: map[string]tally.Counter{}, sends: map[string]tally.Counter{}, holds: map[string]tally.Counter{},
		decisions: map[string]tally.Counter{}, owners: map[string]tally.Counter{},
	}
}

// route returns the metrics of a route and a status, and makes them at the first
// time.
func (m *metrics) route(name string, status int) routeMetrics {
	key := name + " " + strconv.Itoa(status)
	if known, found := m.routes[key]; found {
		return known
	}
	if len(m.routes) >= maxRoutes && name != otherRoutes {
		return m.route(otherRoutes, status)
	}
	scope := m.scope.Tagged(map[string]string{"route": name, "status": strconv.Itoa(status)})
	made := routeMetrics{
		answers: scope.Counter("answers"),
		waited:  scope.Histogram("waited_seconds", times),
		first:   scope.Histogram("first_seconds", times),
		whole:   scope.Histogram("answer_seconds", times),
	}
	m.routes[key] = made
	return made
}

// answered counts an answer of an upstream, whole or not.
func (m *metrics) answered(now time.Time, t *trip, status int) {
	of := m.route(t.route.Name, status)
	of.answers.Inc(1)
	of.whole.RecordDuration(now.Sub(t.began))
	of.waited.RecordDuration(t.timing.sent.Sub(t.began))
	if !t.timing.first.IsZero() {
		of.first.RecordDuration(t.timing.first.Sub(t.began))
	}
}

// refused counts an answer of the system's own.
func (m *metrics) refused(reason string) {
	counted(m.scope, m.refusals, "refusals", "reason", reason).Inc(1)
}

// sent counts what became of a sending that was not answered.
func (m *metrics) sent(verdict string) {
	counted(m.scope, m.sends, "failed_sends", "verdict", verdict).Inc(1)
}

// held counts a request that was held back by the limit of an upstream of a service.
func (m *metrics) held(service string) {
	counted(m.scope, m.holds, "limited_sends", "service", service).Inc(1)
}

// decided counts a decision on a request of another instance.
func (m *metrics) decided(decision string) {
	counted(m.scope, m.decisions, "decisions", "decision", decision).Inc(1)
}

// answeredBy counts what the owner of a model answered.
func (m *metrics) answeredBy(answer string) {
	counted(m.scope, m.owners, "owner_answers", "answer", answer).Inc(1)
}

// counted returns the counter with one tag, and makes it at the first time.
func counted(scope tally.Scope, made map[string]tally.Counter, name, tag, value string) tally.Counter {
	if known, found := made[value]; found {
		return known
	}
	counter := scope.Tagged(map[string]string{tag: value}).Counter(name)
	made[value] = counter
	return counter
}

// reportState sets what an instance knows and does.
func (c *Counter) reportState(now time.Time) {
	scope := c.metrics.scope
	scope.Gauge("open").Update(float64(c.open))
	scope.Gauge("waiting").Update(float64(len(c.queue.waiters)))
	scope.Gauge("permits").Update(float64(len(c.permits)))
	quarantined, suspected := c.coroner.Held()
	scope.Gauge("quarantined").Update(float64(quarantined))
	scope.Gauge("suspected").Update(float64(suspected))
	scope.Gauge("upstreams").Update(float64(len(c.fleet.upstreams)))
	c.reportLimits()
	scope.Gauge("news_age_seconds").Update(now.Sub(c.links.heardAt).Seconds())
	if table := c.table.Load(); table != nil {
		scope.Gauge("routes_version").Update(float64(table.Version))
	}
}
