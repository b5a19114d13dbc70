package counter

import (
	"net/http"

	"github.com/lovagelift/lovagelift/internal/routes"
	"github.com/lovagelift/lovagelift/internal/workspace"
)

// match is what the routes in force say of a request.
type match struct {
	table *routes.Table
	// route is nil if there is none for the request.
	route *routes.Route
	// workspace is the one that holds the caller's key, or nil.
	workspace *workspace.Workspace
}

// lookUp looks a request up in the routes in force.
func (p *Proxy) lookUp(r *http.Request, call Call) match {
	table := p.routes.Load()
	return match{
		table: table, route: table.Match(hostOf(r), r.URL.EscapedPath()), workspace: table.Workspaces.Find(call.Key),
	}
}

// denial returns the refusal of a request that the routes do not allow, and false if they allow it.
func (m match) denial() (refusal, bool) {
	switch {
	case m.route == nil:
		return refusal{status: http.StatusNotFound, text: "no route"}, true
	case m.table.NeedsKey(m.route) && m.workspace == nil:
		return refusal{status: http.StatusUnauthorized, text: "unknown key"}, true
	default:
		return refusal{}, false
	}
}

func (m match) allowed() bool {
	_, denied := m.denial()
	return !denied
}

// workspacePriorityStep is the number of priorities of routes. The priority of the workspace goes
// before that of the route.
const workspacePriorityStep = 16

// priority returns the priority of the request in the queue; 0 is the most urgent.
func (m match) priority() uint8 {
	priority := min(m.route.Priority, workspacePriorityStep-1)
	if m.workspace != nil {
		priority += min(m.workspace.Priority, workspacePriorityStep-1) * workspacePriorityStep
	}
	return priority
}

// workspaceName returns the name of the caller's workspace, or an empty string.
func (t *transaction) workspaceName() string {
	if t.workspace == nil {
		return ""
	}
	return t.workspace.Name
}
