package counter

import (
	"strings"

	"github.com/lovagelift/lovagelift/internal/rendezvous"
	"github.com/lovagelift/lovagelift/internal/routes"
)

// mixesUrgency reports whether the routes in force mix batch and interactive requests.
func (p *Proxy) mixesUrgency() bool {
	table := p.routes.Load()
	return table != nil && table.MixesUrgency()
}

// identify sets what distinguishes the request from others of its model, if the routes mix batch and
// interactive requests.
func (t *transaction) identify(table *routes.Table) {
	if !table.MixesUrgency() {
		return
	}
	t.mixed, t.batch = true, t.route.Batch()
	t.requirements.workspace = t.workspaceName()
	t.caller = callerID(t.requirements.workspace, t.service, t.call)
}

// callerID identifies a piece of work by its prompt, because each attempt has a request ID of its own.
// It includes the workspace, so that no workspace can pass for another one. It is 0 if the headers do
// not state the prompt.
func callerID(workspaceName, service string, call Call) uint64 {
	if call.Session == "" {
		return 0
	}
	return rendezvous.Hash(strings.Join([]string{workspaceName, service, call.Model, call.Adapter, call.Session}, "\x00"))
}
