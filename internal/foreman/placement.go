package foreman

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/rs/zerolog"

	"github.com/lovagelift/lovagelift/internal/demand"
	"github.com/lovagelift/lovagelift/internal/ledger"
	"github.com/lovagelift/lovagelift/internal/manifest"
	"github.com/lovagelift/lovagelift/internal/placement"
	"github.com/lovagelift/lovagelift/internal/roster"
	"github.com/lovagelift/lovagelift/internal/upstreamapi"
)

// updatePlacement computes a plan if one is due, and issues its orders.
func (c *Controller) updatePlacement(now time.Time, term uint64, live map[string]roster.Upstream) {
	configuration := c.options.Cluster.Configuration()
	c.mu.Lock()
	tooEarly := now.Sub(c.termStart) < c.options.UpstreamLease || !c.lastPlanned.IsZero() && now.Sub(c.lastPlanned) < c.planPause
	previous := c.planState
	c.mu.Unlock()
	if tooEarly || configuration.Revision == 0 {
		return
	}
	var estimates []demand.Estimate
	if c.options.Demand != nil {
		estimates = c.options.Demand(now)
	}
	planStart := c.options.Now()
	plan := c.options.Planner.Plan(now, placement.Input{
		Declarations:  configuration.Declarations,
		Preset:        configuration.Preset,
		Engines:       planningEngines(c.options.State.Manifest(), c.options.Cluster.Upstreams(now)),
		Demand:        estimates,
		WeightStore:   c.options.WeightStore,
		WeightOfMoves: c.options.WeightOfMoves,
		AvoidedLoads:  avoidedLoads(now, c.options.State.Manifest()),
		Previous:      previous,
	})
	c.mu.Lock()
	changed := !slices.Equal(plan.Problems, c.plan.Problems)
	c.planState, c.lastPlanned, c.plan = plan.Next, now, plan
	c.planPause = planPauseAfter(c.options.Now().Sub(planStart))
	c.mu.Unlock()
	if changed {
		for _, p := range plan.Problems {
			c.options.Log.Warn().Str("model", p.Model).Str("reason", string(p.Reason)).Str("arithmetic", p.Description).
				Msg("placement requirement cannot be met at present")
		}
	}
	for _, move := range plan.Moves[:min(len(plan.Moves), maxOrdersPerPlan)] {
		c.issueOrder(now, term, move, live)
	}
}

// planPauseAfter returns the time until the next plan after one that took cost to compute. In a
// large deployment, planning must not take processor time from request processing.
func planPauseAfter(cost time.Duration) time.Duration {
	return min(max(planInterval, planCostMultiple*cost), maxPlanInterval)
}

// avoidedLoads returns the loads that recently failed or could not be sent. They are derived from
// the replicated state, so a new leader avoids them as well.
func avoidedLoads(now time.Time, state manifest.View) []placement.AvoidedLoad {
	var loads []placement.AvoidedLoad
	for _, e := range state.Engines {
		for _, record := range e.Orders {
			age := now.Sub(record.At)
			refused := record.State == manifest.StateRefused && age < refusedLoadBackoff
			withdrawn := record.State == manifest.StateWithdrawn && age < unsentLoadBackoff
			isLoad := record.Kind == upstreamapi.OrderLoadModel || record.Kind == upstreamapi.OrderLoadAdapter
			if isLoad && (refused || withdrawn) {
				loads = append(loads, placement.AvoidedLoad{Engine: e.Announcement.Name, Model: record.Model, Adapter: record.Adapter})
			}
		}
	}
	return loads
}

// planningEngines returns the engines as the planner sees them, sorted by name: all recorded
// engines, and live engines without a record, which count as holding the models they announce.
func planningEngines(state manifest.View, upstreams []roster.Upstream) []placement.Engine {
	var engines []placement.Engine
	live := map[string]upstreamapi.Announcement{}
	for _, u := range upstreams {
		a := u.Announcement
		if a.Kind != upstreamapi.KindEngine {
			continue
		}
		if acceptsOrders(a) {
			live[a.Name] = a
		}
		if _, recorded := state.Engine(a.Name); recorded && acceptsOrders(a) {
			continue
		}
		if !acceptsOrders(a) {
			a.Capabilities = slices.DeleteFunc(slices.Clone(a.Capabilities), func(c upstreamapi.Capability) bool {
				return c == upstreamapi.CapabilityOrders
			})
		}
		engines = append(engines, placement.NewEngine(a, ledger.Ledger{}.WithReport(a), placement.Serving))
	}
	for _, e := range state.Engines {
		if a, isLive := live[e.Announcement.Name]; isLive {
			engines = append(engines, placement.NewEngine(a, e.Ledger, placement.Serving))
			continue
		}
		engines = append(engines, placement.NewEngine(e.Announcement, e.Ledger, placement.Lost))
	}
	slices.SortStableFunc(engines, func(a, b placement.Engine) int { return strings.Compare(a.Name(), b.Name()) })
	return slices.CompactFunc(engines, func(a, b placement.Engine) bool { return a.Name() == b.Name() })
}

// issueOrder records the order of a move, and sends it once the record is committed.
func (c *Controller) issueOrder(now time.Time, term uint64, move placement.Move, live map[string]roster.Upstream) {
	u, isLive := live[move.Engine]
	state := c.options.State.Manifest()
	e, recorded := state.Engine(move.Engine)
	if !isLive || !recorded {
		return
	}
	order := move.Order
	order.Number = state.HighestNumber + 1
	order.ID = fmt.Sprintf("order-%d-%d", term, order.Number)
	order.Fencing = term
	order.Incarnation = e.Ledger.Incarnation()
	if clock := u.Announcement.Load.Clock; !clock.IsZero() {
		order.NotAfter = clock.Add(now.Sub(u.LastContact) + orderValidity).UTC()
	}
	if !c.propose(manifest.Record{Engine: move.Engine, Order: order, Reason: orderPurpose(move), At: now.UTC()}) {
		return
	}
	c.logDecision(move, order)
	target := delivery{engine: move.Engine, address: u.Announcement.Address, order: order}
	c.startCall(order.ID, func() { c.send(target) })
}

// orderPurpose describes the purpose of a move briefly.
func orderPurpose(move placement.Move) string {
	purpose := string(move.Reason)
	if move.MakesRoomFor != "" {
		purpose += " of " + move.MakesRoomFor
	}
	return purpose[:min(len(purpose), manifest.MaxReasonBytes)]
}

// logDecision logs one placement decision.
func (c *Controller) logDecision(move placement.Move, order upstreamapi.Order) {
	alternatives := zerolog.Arr()
	for _, a := range move.Alternatives {
		alternatives = alternatives.Dict(zerolog.Dict().Str("engine", a.Engine).
			Float64("score", a.Score).Float64("taken-score", a.ChosenScore))
	}
	c.options.Log.Info().Str("engine", move.Engine).Str("order", order.ID).Uint64("term", order.Fencing).
		Str("kind", string(order.Kind)).Str("model", order.Model).Str("version", order.Version).
		Str("from-version", order.FromVersion).Str("adapter", order.Adapter).
		Strs("accelerators", order.Accelerators).Int64("memory-bytes", order.MemoryBytes).
		Str("reason", string(move.Reason)).Str("makes-room-for", move.MakesRoomFor).
		Float64("expected-gain", move.Gain).Float64("cost", move.Cost).Float64("weight-of-moves", move.Weight).
		Array("alternatives", alternatives).Msg("placement decision")
}
