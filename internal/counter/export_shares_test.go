package counter

import (
	"bytes"
	"time"

	"github.com/rs/zerolog"

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
	table, err := routes.New(routes.Draft{Workspaces: list})
	q.proxy.routes.Store(table)
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
