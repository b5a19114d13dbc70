package counter

import (
	"bytes"
	"time"

	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"github.com/lovagelift/lovagelift/internal/routes"
	"github.com/lovagelift/lovagelift/internal/workspace"
)

// EnqueueShared is Enqueue for a workspace. mixed is true if the routes mix batch and interactive work.
func (q Queue) EnqueueShared(arrived time.Time, model, workspaceName string, mixed bool) *waiter {
	w := q.waiter(arrived, model, time.Second)
	w.requirements.mixed, w.requirements.workspace = mixed, workspaceName
	return q.enqueue(arrived, w)
}

// SharedModels returns the number of models with a use by workspace.
func (q Queue) SharedModels() int {
	return len(q.proxy.queue.shares.models)
}

// SetWorkspaces sets the workspaces of the routes in force, which mix batch and interactive work.
func (q Queue) SetWorkspaces(list ...workspace.Workspace) error {
	to := []routes.Share{{Service: "pool", Weight: 1}}
	table, err := routes.New(routes.Draft{
		Workspaces: list, Services: []routes.Service{{Name: "pool"}},
		Routes: []routes.Route{
			{Name: "batch", Prefix: "/batch/", Kind: routes.Stream, Objective: routes.BatchObjective, Timeout: time.Minute, Shares: to},
			{Name: "interactive", Prefix: "/interactive/", Kind: routes.Stream, Objective: time.Second, Timeout: time.Minute, Shares: to},
		},
	})
	q.proxy.routes.Store(table)
	return err
}

// Observe returns the metrics and the log of the instance from now on.
func (i Instance) Observe() (tally.TestScope, *bytes.Buffer) {
	scope, log := tally.NewTestScope("", nil), &bytes.Buffer{}
	i.proxy.metrics, i.proxy.options.Log = newMetrics(scope), zerolog.New(log)
	return scope, log
}

// Queue returns the queue of the instance.
func (i Instance) Queue() Queue {
	return Queue{proxy: i.proxy, pool: UpstreamPool{pool: i.proxy.pool}}
}
