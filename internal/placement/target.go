package placement

import (
	"cmp"
	"slices"
)

// Placed is an entry of Plan.Target: a copy of a model, or an adapter beside
// one.
type Placed struct {
	Engine  string
	Model   string
	Version string
	// Adapter is empty for the model itself.
	Adapter string
	Phase   Phase
}

// Phase is how far a copy has been loaded or unloaded.
type Phase string

// Phases of a copy.
const (
	// PhaseReady means that the engine has reported the copy, and that no open
	// order may remove it.
	PhaseReady Phase = "ready"
	// PhaseLoading means that an open order loads the copy.
	PhaseLoading Phase = "loading"
	// PhaseDoubtful means that an open order loads the copy, and the answer to
	// the order was lost.
	PhaseDoubtful Phase = "doubtful"
	// PhaseUnverified means that the copy is announced by an engine whose
	// reports contradict its ledger. It may serve requests, but nothing relies
	// on it.
	PhaseUnverified Phase = "unverified"
	// PhaseUnloading means that an open order or a move of the plan may remove
	// the copy.
	PhaseUnloading Phase = "unloading"
	// PhasePlanned means that a move of the plan loads the copy.
	PhasePlanned Phase = "planned"
)

// Target returns all copies of declared models and their adapters, present and
// planned, sorted by engine, model, version and adapter. Each call computes the
// list again.
func (p Plan) Target() []Placed {
	var list []Placed
	for i := range p.models {
		for _, c := range p.models[i].copies {
			engine := p.engines[c.engine].name
			list = append(list, Placed{Engine: engine, Model: c.model, Version: c.version, Phase: c.phase})
			for _, a := range c.adapters {
				list = append(list, Placed{
					Engine: engine, Model: c.model, Version: c.version, Adapter: a.name, Phase: a.phase,
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
