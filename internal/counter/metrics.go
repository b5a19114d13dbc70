package counter

import (
	"strconv"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/lovagelift/lovagelift/internal/outcome"
)

// maxRoutes bounds the combinations of route and status with metrics of their own, because an
// operator may have thousands of routes. Further ones are counted together.
const maxRoutes = 64

// otherRoute is the route name for requests beyond maxRoutes.
const otherRoute = "other"

// latencyBuckets are the histogram bounds: from the response of a plain service within some ms to a
// stream that takes as long as callers wait.
var latencyBuckets = tally.DurationBuckets{
	5 * time.Millisecond, 10 * time.Millisecond, 25 * time.Millisecond, 50 * time.Millisecond,
	100 * time.Millisecond, 250 * time.Millisecond, 500 * time.Millisecond, time.Second,
	2500 * time.Millisecond, 5 * time.Second, 10 * time.Second, 25 * time.Second,
}

// metrics holds the metrics of an entry instance. Its methods are called with the Proxy's mutex
// held.
type metrics struct {
	scope       tally.Scope
	routes      map[string]routeMetrics
	refusals    map[string]tally.Counter
	failedSends map[string]tally.Counter
	failedSteps map[string]tally.Counter
	// earlyEnds counts responses that ended after their head and before they were whole, by the cause.
	earlyEnds map[string]tally.Counter
	// untilClose counts responses that ended with their connection.
	untilClose map[string]tally.Counter
	// confirmations counts them by what confirms that they are whole.
	confirmations map[string]tally.Counter
	// livenessChecks counts the liveness checks after such responses, by result.
	livenessChecks map[string]tally.Counter
	// relays counts requests that were sent through other instances, by result.
	relays       map[string]tally.Counter
	limitedSends map[string]tally.Counter
	// plainRefusals counts granted requests that upstreams of plain services refused.
	plainRefusals map[string]tally.Counter
	// decisions counts decisions on peers' requests, and ownerAnswers the owners' answers to this
	// instance.
	decisions    map[string]tally.Counter
	ownerAnswers map[string]tally.Counter
	// proofAge is the age of the routes' proof when a sync reply arrives.
	proofAge tally.Histogram
	// proofWaits counts requests that waited for a proof of the routes.
	proofWaits tally.Counter
	// resumptions counts streams that callers resume, by the source of their origin, and
	// resumptionResults by what became of them. originReports counts the origins reported to other
	// instances.
	resumptions       map[string]tally.Counter
	resumptionResults map[string]tally.Counter
	originReports     tally.Counter
	// reservations counts what became of reservations.
	reservations map[string]tally.Counter
	// quotaDecisions counts the quota decisions on this instance's requests, by workspace.
	quotaDecisions map[quotaDecisionKey]tally.Counter
	batch          batchMetrics
	// engineFactors are the engines' factors after each response, and speedReports counts the reports of
	// them to other owners.
	engineFactors tally.Histogram
	speedReports  tally.Counter
}

// factorBuckets are the histogram bounds of the engines' factors.
var factorBuckets = tally.ValueBuckets{0.25, 0.4, 0.6, 0.8, 1, 1.25, 1.6, 2, 2.5, 4}

// quotaDecisionKey distinguishes the counters of quota decisions.
type quotaDecisionKey struct {
	workspace string
	granted   bool
}

// countQuotaDecision counts a quota decision. Workspaces beyond maxRoutes are counted together.
func (m *metrics) countQuotaDecision(workspace string, granted bool) {
	key := quotaDecisionKey{workspace, granted}
	counter, found := m.quotaDecisions[key]
	if !found && len(m.quotaDecisions) >= maxRoutes && workspace != otherRoute {
		m.countQuotaDecision(otherRoute, granted)
		return
	}
	if !found {
		decision := "denied"
		if granted {
			decision = "granted"
		}
		counter = m.scope.Tagged(map[string]string{"workspace": workspace, "decision": decision}).Counter("quota_decisions")
		m.quotaDecisions[key] = counter
	}
	counter.Inc(1)
}

// routeMetrics holds the metrics of one route and status.
type routeMetrics struct {
	answers tally.Counter
	waited  tally.Histogram
	first   tally.Histogram
	total   tally.Histogram
}

func newMetrics(scope tally.Scope) *metrics {
	if scope == nil {
		scope = tally.NoopScope
	}
	scope = scope.SubScope("counter")
	return &metrics{
		scope: scope, proofAge: scope.Histogram("routes_proof_age_seconds", latencyBuckets),
		proofWaits: scope.Counter("routes_proof_waits"), routes: map[string]routeMetrics{},
		refusals: map[string]tally.Counter{}, failedSends: map[string]tally.Counter{},
		failedSteps: map[string]tally.Counter{}, relays: map[string]tally.Counter{}, limitedSends: map[string]tally.Counter{},
		earlyEnds:      map[string]tally.Counter{},
		untilClose:     map[string]tally.Counter{},
		confirmations:  map[string]tally.Counter{},
		livenessChecks: map[string]tally.Counter{},
		plainRefusals:  map[string]tally.Counter{},
		resumptions:    map[string]tally.Counter{}, resumptionResults: map[string]tally.Counter{},
		reservations:   map[string]tally.Counter{},
		originReports:  scope.Counter("stream_origin_reports"),
		quotaDecisions: map[quotaDecisionKey]tally.Counter{},
		engineFactors:  scope.Histogram("engine_factor", factorBuckets),
		speedReports:   scope.Counter("speed_reports"),
		decisions:      map[string]tally.Counter{}, ownerAnswers: map[string]tally.Counter{},
		batch: newBatchMetrics(scope),
	}
}

// forRoute returns the metrics of a route and status, and creates them on first use.
func (m *metrics) forRoute(name string, status int) routeMetrics {
	key := name + " " + strconv.Itoa(status)
	if known, found := m.routes[key]; found {
		return known
	}
	if len(m.routes) >= maxRoutes && name != otherRoute {
		return m.forRoute(otherRoute, status)
	}
	scope := m.scope.Tagged(map[string]string{"route": name, "status": strconv.Itoa(status)})
	created := routeMetrics{
		answers: scope.Counter("answers"),
		waited:  scope.Histogram("waited_seconds", latencyBuckets),
		first:   scope.Histogram("first_seconds", latencyBuckets),
		total:   scope.Histogram("answer_seconds", latencyBuckets),
	}
	m.routes[key] = created
	return created
}

// countAnswer counts a response of an upstream, complete or not.
func (m *metrics) countAnswer(now time.Time, t *transaction, status int) {
	route := m.forRoute(t.route.Name, status)
	route.answers.Inc(1)
	route.total.RecordDuration(now.Sub(t.arrived))
	route.waited.RecordDuration(t.timing.sent.Sub(t.arrived))
	if !t.timing.firstChunk.IsZero() {
		route.first.RecordDuration(t.timing.firstChunk.Sub(t.arrived))
	}
}

// countEarlyEnd counts a response that ended after its head and before it was whole.
func (m *metrics) countEarlyEnd(cause outcome.EarlyEnd) {
	taggedCounter(m.scope, m.earlyEnds, "early_ends", "cause", cause.String()).Inc(1)
}

// countUntilClose counts a response that ended with its connection, by the event of its log line and
// by whether its event stream ended inside an event.
func (m *metrics) countUntilClose(event string, insideEvent bool) {
	if insideEvent {
		event += " inside an event"
	}
	taggedCounter(m.scope, m.untilClose, "until_close_answers", "end", event).Inc(1)
}

// countConfirmation counts a response that ended with its connection by what confirms that it is whole.
func (m *metrics) countConfirmation(c confirmation) {
	if c != notEnded {
		taggedCounter(m.scope, m.confirmations, "until_close_ends", "confirmation", c.String()).Inc(1)
	}
}

// countLiveness counts a response that ended with its connection by the result of the liveness check.
func (m *metrics) countLiveness(liveness Liveness) {
	taggedCounter(m.scope, m.livenessChecks, "liveness_checks", "result", liveness.String()).Inc(1)
}

// countRefusal counts a response generated by the proxy itself.
func (m *metrics) countRefusal(reason string) {
	taggedCounter(m.scope, m.refusals, "refusals", "reason", reason).Inc(1)
}

// countFailedSend counts an attempt without a response.
func (m *metrics) countFailedSend(verdict string) {
	taggedCounter(m.scope, m.failedSends, "failed_sends", "verdict", verdict).Inc(1)
}

// countFailedStep counts a failed attempt by the step at which it failed.
func (m *metrics) countFailedStep(step string) {
	taggedCounter(m.scope, m.failedSteps, "failed_steps", "step", step).Inc(1)
}

// countPlainRefusal counts a request that was refused by an upstream of a plain service although it was
// granted there.
func (m *metrics) countPlainRefusal(service string) {
	taggedCounter(m.scope, m.plainRefusals, "plain_refusals", "service", service).Inc(1)
}

// countLimitedSend counts a request held back by an upstream's rate limit.
func (m *metrics) countLimitedSend(service string) {
	taggedCounter(m.scope, m.limitedSends, "limited_sends", "service", service).Inc(1)
}

// countRelay counts a request that was sent through another instance.
func (p *Proxy) countRelay(result relayResult, err error) {
	if err != nil || result == "" {
		result = relayFailed
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	taggedCounter(p.metrics.scope, p.metrics.relays, "relays", "result", string(result)).Inc(1)
}

// countResumption counts a request that resumes a stream.
func (p *Proxy) countResumption(source originSource) {
	p.mu.Lock()
	defer p.mu.Unlock()
	taggedCounter(p.metrics.scope, p.metrics.resumptions, "resumed_streams", "origin", string(source)).Inc(1)
}

// countOriginReport counts the origin of a stream that is reported to another instance.
func (m *metrics) countOriginReport() {
	m.originReports.Inc(1)
}

// countDecision counts a decision on a peer's request.
func (m *metrics) countDecision(decision string) {
	taggedCounter(m.scope, m.decisions, "decisions", "decision", decision).Inc(1)
}

// countOwnerAnswer counts an answer of the owner of a model.
func (m *metrics) countOwnerAnswer(answer string) {
	taggedCounter(m.scope, m.ownerAnswers, "owner_answers", "answer", answer).Inc(1)
}

// taggedCounter returns the counter with the given tag, and creates it on first use.
func taggedCounter(scope tally.Scope, created map[string]tally.Counter, name, tag, value string) tally.Counter {
	if known, found := created[value]; found {
		return known
	}
	counter := scope.Tagged(map[string]string{tag: value}).Counter(name)
	created[value] = counter
	return counter
}

// updateMetrics sets the gauges of the instance's state.
func (p *Proxy) updateMetrics(now time.Time) {
	scope := p.metrics.scope
	scope.Gauge("open").Update(float64(p.active))
	scope.Gauge("waiting").Update(float64(len(p.queue.waiters)))
	scope.Gauge("lost_paths").Update(float64(p.pool.lostPathCount()))
	scope.Gauge("relaying").Update(float64(p.relaying))
	scope.Gauge("request_body_bytes").Update(float64(p.requestBodies.Taken()))
	scope.Gauge("response_buffer_bytes").Update(float64(p.responseBuffers.Taken()))
	scope.Gauge("permits").Update(float64(len(p.permits)))
	quarantined, suspected := p.crashes.Counts()
	scope.Gauge("quarantined").Update(float64(quarantined))
	scope.Gauge("suspected").Update(float64(suspected))
	scope.Gauge("upstreams").Update(float64(len(p.pool.byName)))
	scope.Gauge("stream_origins").Update(float64(p.origins.Len()))
	scope.Gauge("reservations").Update(float64(p.reservationCount()))
	p.updateLimitMetrics()
	p.updatePlainMetrics(now)
	p.updateSpeedMetrics(now)
	scope.Gauge("news_age_seconds").Update(now.Sub(p.control.lastSyncSent).Seconds())
	if table := p.routes.Load(); table != nil {
		scope.Gauge("routes_version").Update(float64(table.Version))
	}
}
