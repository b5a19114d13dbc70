package clerk

import "github.com/uber-go/tally/v4"

// metrics holds the counters of a replica.
type metrics struct {
	committedEntries tally.Counter
	syncedBatches    tally.Counter
	droppedMessages  tally.Counter
	electionsWon     tally.Counter
}

func newMetrics(scope tally.Scope) metrics {
	return metrics{
		committedEntries: scope.Counter("committed-entries"),
		syncedBatches:    scope.Counter("synced-batches"),
		droppedMessages:  scope.Counter("dropped-messages"),
		electionsWon:     scope.Counter("elections-won"),
	}
}
