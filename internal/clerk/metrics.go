package clerk

import "github.com/uber-go/tally/v4"

// metrics are the counters of a replica.
type metrics struct {
	committed tally.Counter
	synced    tally.Counter
	dropped   tally.Counter
	elected   tally.Counter
}

func newMetrics(scope tally.Scope) metrics {
	return metrics{
		committed: scope.Counter("committed-entries"),
		synced:    scope.Counter("synced-batches"),
		dropped:   scope.Counter("dropped-messages"),
		elected:   scope.Counter("elections-won"),
	}
}
