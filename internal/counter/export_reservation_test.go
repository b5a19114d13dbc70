package counter

import (
	"github.com/uber-go/tally/v4"

	"github.com/lovagelift/lovagelift/internal/routes"
)

// SetRoutes sets the routes in force, and the scope of the metrics.
func (i Instance) SetRoutes(table *routes.Table, scope tally.Scope) {
	i.proxy.routes.Store(table)
	i.proxy.metrics = newMetrics(scope)
}
