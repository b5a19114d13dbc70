package desk

import (
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/lovagelift/lovagelift/internal/outcome"
)

// counts is what the desk counts for whoever watches it.
type counts struct {
	scope tally.Scope
}

// The upper bounds of the buckets of durations run from far below the goal for
// a first token to far above any deadline.
var durationBuckets = tally.MustMakeExponentialDurationBuckets(5*time.Millisecond, 2, 16)

func newCounts(scope tally.Scope) counts {
	if scope == nil {
		scope = tally.NoopScope
	}
	return counts{scope: scope.SubScope("desk")}
}

// answered counts a request that got a whole answer.
func (c counts) answered(service string, took time.Duration) {
	tagged := c.scope.Tagged(map[string]string{"service": service})
	tagged.Counter("answers").Inc(1)
	tagged.Histogram("answer_seconds", durationBuckets).RecordDuration(took)
}

// cutOff counts an answer that broke off after its beginning had gone out.
func (c counts) cutOff(service string) {
	c.scope.Tagged(map[string]string{"service": service}).Counter("cut_off").Inc(1)
}

// refused counts a request that got a refusal, by what the caller was told.
func (c counts) refused(code Code, told outcome.Outcome) {
	c.scope.Tagged(map[string]string{"code": string(code), "outcome": told.String()}).Counter("refusals").Inc(1)
}

// open tells the number of requests in progress.
func (c counts) open(streams int64) {
	c.scope.Gauge("streams").Update(float64(streams))
}
