package instance

import (
	"time"

	"github.com/lovagelift/lovagelift/internal/chamber"
	"github.com/lovagelift/lovagelift/internal/declaration"
	"github.com/lovagelift/lovagelift/internal/foreman"
	"github.com/lovagelift/lovagelift/internal/placement"
	"github.com/lovagelift/lovagelift/internal/registrar"
)

// newPlacementController starts the controller that issues orders to engines while
// this instance is the leader. It returns nil if this instance is not a voter or
// placement is disabled.
func (i *Instance) newPlacementController() *foreman.Controller {
	settings := i.options.Settings
	voter, ok := i.controlPlane.(*chamber.Voter)
	if !ok || !settings.Placement.Enabled {
		return nil
	}
	return foreman.New(foreman.Options{
		State:   voter,
		Cluster: i,
		Planner: placement.New(placement.Options{}),
		WeightStore: placement.WeightStore{
			LoadsPerSecond:     settings.WeightStore.LoadsPerSecond,
			MaxConcurrentLoads: settings.WeightStore.Concurrent,
		},
		WeightOfMoves: settings.Policy.WeightOfMoves,
		Client:        foreman.NewClient(),
		OrderTimeout:  settings.Timing.OrderTimeout,
		UpstreamLease: settings.Timing.UpstreamLease,
		Now:           i.options.Now,
		Log:           i.options.Log,
	})
}

// stopPlacementController may be called more than once.
func (i *Instance) stopPlacementController() {
	if i.placementController != nil {
		i.placementController.Close()
	}
}

// placementStatus returns the recorded state of engines and orders. It is nil on
// an instance that is not a voter.
func (i *Instance) placementStatus() []registrar.EngineStatus {
	voter, ok := i.controlPlane.(*chamber.Voter)
	if !ok {
		return nil
	}
	var list []registrar.EngineStatus
	for _, e := range voter.Manifest().Engines {
		status := registrar.EngineStatus{Name: e.Announcement.Name, Incarnation: e.Ledger.Incarnation()}
		for _, found := range e.Ledger.Contradictions() {
			status.Alarms = append(status.Alarms, found.String())
		}
		for _, name := range e.Ledger.Accelerators() {
			account, _ := e.Ledger.Account(name)
			status.Accelerators = append(status.Accelerators, registrar.AcceleratorStatus{
				Name:     name,
				Memory:   account.Memory,
				Resident: account.Resident,
				Reserved: account.Reserved,
				Possible: account.Possible,
			})
		}
		for _, entry := range e.Orders {
			status.Orders = append(status.Orders, registrar.OrderStatus{
				ID:              entry.ID,
				Kind:            string(entry.Kind),
				Model:           entry.Model,
				Version:         entry.Version,
				Adapter:         entry.Adapter,
				PlacementReason: entry.PlacementReason,
				At:              entry.At,
				State:           string(entry.State),
				RefusalReason:   entry.RefusalReason,
			})
		}
		list = append(list, status)
	}
	return list
}

// previewPlacement returns the moves that declarations and a preset would cause,
// planned from the state known to this instance.
func (i *Instance) previewPlacement(
	now time.Time, declared declaration.Set, preset declaration.Preset,
) (registrar.Moves, error) {
	voter, ok := i.controlPlane.(*chamber.Voter)
	if !ok {
		return registrar.Moves{}, registrar.ErrNotVoter
	}
	weight := i.options.Settings.Policy.WeightOfMoves
	moves, problems := foreman.Preview(now, voter.Manifest(), i.Upstreams(now), declared, preset, weight)
	reply := registrar.Moves{Moves: []registrar.Move{}, Unmet: []string{}}
	for _, m := range moves {
		reply.Moves = append(reply.Moves, registrar.Move{
			Engine:       m.Engine,
			Kind:         string(m.Order.Kind),
			Model:        m.Order.Model,
			Version:      m.Order.Version,
			Adapter:      m.Order.Adapter,
			Reason:       string(m.Reason),
			MakesRoomFor: m.MakesRoomFor,
			WaitsFor:     string(m.WaitsFor),
			Gain:         m.Gain,
			Cost:         m.Cost,
		})
	}
	for _, p := range problems {
		reply.Unmet = append(reply.Unmet, p.Description)
	}
	return reply, nil
}
