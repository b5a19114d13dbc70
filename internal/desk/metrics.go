package desk

import (
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/lovagelift/lovagelift/internal/outcome"
)

// metrics records the server's metrics.
type metrics struct {
	scope tally.Scope
}

// durationBuckets has upper bounds from 5 ms, far below the goal for a first token, to 164 s,
// above the default deadline.
var durationBuckets = tally.MustMakeExponentialDurationBuckets(5*time.Millisecond, 2, 16)

func newMetrics(scope tally.Scope) metrics {
	if scope == nil {
		scope = tally.NoopScope
	}
	return metrics{scope: scope.SubScope("desk")}
}

// countResponse records a complete response and its duration.
func (m metrics) countResponse(service string, took time.Duration) {
	tagged := m.scope.Tagged(map[string]string{"service": service})
	tagged.Counter("answers").Inc(1)
	tagged.Histogram("answer_seconds", durationBuckets).RecordDuration(took)
}

// countCutOff records a response that broke off after its headers were sent.
func (m metrics) countCutOff(service string) {
	m.scope.Tagged(map[string]string{"service": service}).Counter("cut_off").Inc(1)
}

// countRefusal records a refusal by its code and the outcome reported to the caller.
func (m metrics) countRefusal(code Code, reported outcome.Outcome) {
	m.scope.Tagged(map[string]string{"code": string(code), "outcome": reported.String()}).Counter("refusals").Inc(1)
}

// countEarlyEnd records why a response ended after its headers were sent and before it was whole.
func (m metrics) countEarlyEnd(cause outcome.EarlyEnd) {
	m.scope.Tagged(map[string]string{"cause": cause.String()}).Counter("early_ends").Inc(1)
}

func (m metrics) setActiveRequests(requests int64) {
	m.scope.Gauge("streams").Update(float64(requests))
}
