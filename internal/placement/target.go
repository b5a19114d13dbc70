package placement

import (
	"cmp"
	"slices"
)

// Placed is one copy of a model, or an adapter beside one, in Plan.Target.
type Placed struct {
	Engine  string
	Model   string
	Version string
	// Adapter is empty for the model itself.
	Adapter string
	Phase   Phase
}

// Phase says how far a copy is.
type Phase string

// The phases.
const (
	// PhaseReady is reported by the engine, and no open order may remove it.
	PhaseReady Phase = "ready"
	// PhaseComing is being loaded by an open order.
	PhaseComing Phase = "coming"
	// PhaseDoubtful is loaded by an open order whose answer was lost.
	PhaseDoubtful Phase = "doubtful"
	// PhaseUnproved is announced by an engine whose reports contradict its ledger.
	// It serves, and proves nothing.
	PhaseUnproved Phase = "unproved"
	// PhaseGoing may be removed by an open order or by a move of the plan.
	PhaseGoing Phase = "going"
	// PhasePlanned is loaded by a move of the plan.
	PhasePlanned Phase = "planned"
)

// Target returns what engines would hold if all of Moves and Waiting were done,
// sorted by engine, model, version and adapter. It is worked out anew by each
// call.
func (p Plan) Target() []Placed {
	var list []Placed
	for i := range p.models {
		for _, at := range p.models[i].places {
			engine := p.sites[at.site].name
			list = append(list, Placed{Engine: engine, Model: at.model, Version: at.version, Phase: at.phase})
			for _, a := range at.adapters {
				list = append(list, Placed{
					Engine: engine, Model: at.model, Version: at.version, Adapter: a.name, Phase: a.phase,
				})
			}
		}
	}
	slices.SortFunc(list, func(a, b Placed) int {
		return cmp.Or(cmp.Compare(a.Engine, b.Engine), cmp.Compare(a.Model, b.Model),
			cmp.Compare(a.Version, b.Version), cmp.Compare(a.Adapter, b.Adapter))
	})
	return list
}
