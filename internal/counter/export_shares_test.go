package counter

import (
	"bytes"
	"time"

	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"github.com/lovagelift/lovagelift/internal/routes"
	"github.com/lovagelift/lovagelift/internal/workspace"
)

// EnqueueShared is Enqueue for a workspace, if the routes mix batch and interactive work.
func (q Queue) EnqueueShared(arrived time.Time, model string, objective time.Duration, workspaceName string) *waiter {
	w := q.waiter(arrived, model, objective)
	w.requirements.mixed, w.requirements.workspace = true, workspaceName
	return q.enqueue(arrived, w)
}

// SetWorkspaces sets the workspaces of the routes in force.
func (q Queue) SetWorkspaces(list ...workspace.Workspace) error {
	return q.proxy.setWorkspaces(list)
}

// SetWorkspaces sets the workspaces of the routes in force, which mix batch and interactive work. It
// returns the scope of the metrics.
func (i Instance) SetWorkspaces(list ...workspace.Workspace) (tally.TestScope, error) {
	scope := tally.NewTestScope("", nil)
	i.proxy.metrics = newMetrics(scope)
	return scope, i.proxy.setWorkspaces(list)
}

func (p *Proxy) setWorkspaces(list []workspace.Workspace) error {
	to := []routes.Share{{Service: "pool", Weight: 1}}
	table, err := routes.New(routes.Draft{
		Workspaces: list, Services: []routes.Service{{Name: "pool"}},
		Routes: []routes.Route{
			{Name: "batch", Prefix: "/batch/", Kind: routes.Stream, Objective: routes.BatchObjective, Timeout: time.Minute, Shares: to},
			{Name: "interactive", Prefix: "/interactive/", Kind: routes.Stream, Objective: time.Second, Timeout: time.Minute, Shares: to},
		},
	})
	p.routes.Store(table)
	return err
}

// Log returns the buffer to which the instance logs from now on.
func (q Queue) Log() *bytes.Buffer {
	buffer := &bytes.Buffer{}
	q.proxy.options.Log = zerolog.New(buffer)
	return buffer
}

// RejectOrWait removes a request that was just enqueued from the queue if it is rejected, and reports
// whether it was. It returns the use of its workspace relative to the mean.
func (q Queue) RejectOrWait(now time.Time, w *waiter) (rejected bool, relativeUse float64) {
	if Granted(w) {
		return false, 0
	}
	q.proxy.mu.Lock()
	defer q.proxy.mu.Unlock()
	rejection := q.proxy.rejectOrWait(now, w)
	if rejection == nil {
		return false, 0
	}
	return true, rejection.relativeUse
}

// SharedModels returns the number of models with a use by workspace.
func (q Queue) SharedModels() int {
	return len(q.proxy.queue.shares.models)
}
