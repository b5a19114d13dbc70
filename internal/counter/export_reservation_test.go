package counter

import "github.com/uber-go/tally/v4"

// SetMetrics sets the scope of the metrics.
func (i Instance) SetMetrics(scope tally.Scope) {
	i.proxy.metrics = newMetrics(scope)
}
