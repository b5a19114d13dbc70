package instance

import (
	"net/http"
	"time"

	"github.com/lovagelift/lovagelift/internal/chamber"
	"github.com/lovagelift/lovagelift/internal/declaration"
	"github.com/lovagelift/lovagelift/internal/foreman"
	"github.com/lovagelift/lovagelift/internal/placement"
	"github.com/lovagelift/lovagelift/internal/registrar"
)

// newForeman starts what gives orders to engines while this instance leads. If
// this is no voter, or the settings do not have orders given, newForeman returns
// nil.
func (i *Instance) newForeman() *foreman.Foreman {
	s := i.options.Settings
	voter, ok := i.chamber.(*chamber.Voter)
	if !ok || !s.Placement.Enabled {
		return nil
	}
	return foreman.New(foreman.Options{
		Register: voter,
		World:    i,
		Planner:  placement.New(placement.Options{}),
		WeightStore: placement.WeightStore{
			LoadsPerSecond: s.WeightStore.LoadsPerSecond,
			Concurrent:     s.WeightStore.Concurrent,
		},
		WeightOfMoves: s.Policy.WeightOfMoves,
		Client: &http.Client{
			// Orders are rare, and each goes by a connection of its own: one that is
			// kept open may have gone silent, and one that can't be opened proves
			// that no byte was sent.
			Transport: &http.Transport{DisableKeepAlives: true},
			// Elsewhere is another engine, which the order is not meant for.
			CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
		},
		OrderFlight:   s.Timing.OrderFlightTime,
		UpstreamLease: s.Timing.UpstreamLease,
		Now:           i.options.Now,
		Log:           i.options.Log,
	})
}

// stopOrders ends the giving of orders. It may be called more than once.
func (i *Instance) stopOrders() {
	if i.foreman != nil {
		i.foreman.Close()
	}
}

// placementStatus returns what is recorded of engines and orders. It is empty on
// an instance that is no voter.
func (i *Instance) placementStatus() []registrar.EngineStatus {
	voter, ok := i.chamber.(*chamber.Voter)
	if !ok {
		return nil
	}
	var list []registrar.EngineStatus
	for _, e := range voter.Manifest().Engines {
		status := registrar.EngineStatus{Name: e.Announced.Name, Incarnation: e.Ledger.Incarnation()}
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
				ID:      entry.ID,
				Kind:    string(entry.Kind),
				Model:   entry.Model,
				Version: entry.Version,
				Adapter: entry.Adapter,
				Why:     entry.Why,
				At:      entry.At,
				State:   string(entry.State),
				Reason:  entry.Reason,
			})
		}
		list = append(list, status)
	}
	return list
}

// preview returns the moves that declarations and a preset would cause, as far
// as this instance knows.
func (i *Instance) preview(
	now time.Time, declared declaration.Set, preset declaration.Preset,
) (registrar.Moves, error) {
	voter, ok := i.chamber.(*chamber.Voter)
	if !ok {
		return registrar.Moves{}, registrar.ErrNoPlacement
	}
	weight := i.options.Settings.Policy.WeightOfMoves
	moves, problems := foreman.Preview(now, voter.Manifest(), i.Upstreams(now), declared, preset, weight)
	answer := registrar.Moves{Moves: []registrar.Move{}, Unmet: []string{}}
	for _, m := range moves {
		answer.Moves = append(answer.Moves, registrar.Move{
			Engine:  m.Engine,
			Kind:    string(m.Order.Kind),
			Model:   m.Order.Model,
			Version: m.Order.Version,
			Adapter: m.Order.Adapter,
			Reason:  string(m.Reason),
			For:     m.For,
			Waits:   string(m.Waits),
			Gain:    m.Gain,
			Cost:    m.Cost,
		})
	}
	for _, p := range problems {
		answer.Unmet = append(answer.Unmet, p.Text)
	}
	return answer, nil
}
