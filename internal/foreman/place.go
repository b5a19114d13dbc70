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

// place plans when it is due, and gives the orders that the plan asks for.
func (f *Foreman) place(now time.Time, term uint64, present map[string]roster.Upstream) {
	issue := f.options.World.Issue()
	f.mu.Lock()
	early := now.Sub(f.since) < f.options.UpstreamLease || !f.planned.IsZero() && now.Sub(f.planned) < f.pause
	previous := f.previous
	f.mu.Unlock()
	if early || issue.Revision == 0 {
		return
	}
	var asked []demand.Estimate
	if f.options.Demand != nil {
		asked = f.options.Demand(now)
	}
	began := f.options.Now()
	plan := f.options.Planner.Plan(now, placement.Input{
		Declarations:  issue.Declarations,
		Preset:        issue.Preset,
		Engines:       enginesOf(f.options.Register.Manifest(), f.options.World.Upstreams(now)),
		Demand:        asked,
		WeightStore:   f.options.WeightStore,
		WeightOfMoves: f.options.WeightOfMoves,
		Avoid:         avoided(now, f.options.Register.Manifest()),
		Previous:      previous,
	})
	f.mu.Lock()
	changed := !slices.Equal(plan.Problems, f.plan.Problems)
	f.previous, f.planned, f.plan = plan.Next, now, plan
	f.pause = pauseAfter(f.options.Now().Sub(began))
	f.mu.Unlock()
	if changed {
		for _, p := range plan.Problems {
			f.options.Log.Warn().Str("model", p.Model).Str("reason", string(p.Reason)).Str("arithmetic", p.Text).
				Msg("a need of placement can't be met now")
		}
	}
	for _, move := range plan.Moves[:min(len(plan.Moves), maxMoves)] {
		f.give(now, term, move, present)
	}
}

// pauseAfter returns the time until the next plan after one that took so long.
// Plans of a large deployment must not take the processor from those who wait for
// an answer.
func pauseAfter(cost time.Duration) time.Duration {
	return min(max(planEvery, planShare*cost), maxPlanPause)
}

// avoided returns the loads that failed or could not be sent a short time ago.
// They come from the replicated state, so a new leader avoids them as well.
func avoided(now time.Time, state manifest.View) []placement.Avoided {
	var list []placement.Avoided
	for _, e := range state.Engines {
		for _, entry := range e.Orders {
			age := now.Sub(entry.At)
			refused := entry.State == manifest.StateRefused && age < avoidRefused
			unsent := entry.State == manifest.StateWithdrawn && age < avoidUnsent
			loads := entry.Kind == upstreamapi.OrderLoadModel || entry.Kind == upstreamapi.OrderLoadAdapter
			if loads && (refused || unsent) {
				list = append(list, placement.Avoided{Engine: e.Announced.Name, Model: entry.Model, Adapter: entry.Adapter})
			}
		}
	}
	return list
}

// enginesOf returns what a plan knows of engines, sorted by name: those that are
// recorded, and the others that are heard of, which serve what they announce.
func enginesOf(state manifest.View, upstreams []roster.Upstream) []placement.Engine {
	var list []placement.Engine
	heard := map[string]upstreamapi.Announcement{}
	for _, u := range upstreams {
		a := u.Announcement
		if a.Kind != upstreamapi.KindEngine {
			continue
		}
		if takesOrders(a) {
			heard[a.Name] = a
		}
		if _, recorded := state.Engine(a.Name); recorded && takesOrders(a) {
			continue
		}
		if !takesOrders(a) {
			a.Capabilities = slices.DeleteFunc(slices.Clone(a.Capabilities), func(c upstreamapi.Capability) bool {
				return c == upstreamapi.CapabilityOrders
			})
		}
		list = append(list, placement.NewEngine(a, ledger.Ledger{}.WithReport(a), placement.Serving))
	}
	for _, e := range state.Engines {
		if a, here := heard[e.Announced.Name]; here {
			list = append(list, placement.NewEngine(a, e.Ledger, placement.Serving))
			continue
		}
		list = append(list, placement.NewEngine(e.Announced, e.Ledger, placement.Lost))
	}
	slices.SortStableFunc(list, func(a, b placement.Engine) int { return strings.Compare(a.Name(), b.Name()) })
	return slices.CompactFunc(list, func(a, b placement.Engine) bool { return a.Name() == b.Name() })
}

// give records the order of a move, and sends it once it is recorded.
func (f *Foreman) give(now time.Time, term uint64, move placement.Move, present map[string]roster.Upstream) {
	u, here := present[move.Engine]
	state := f.options.Register.Manifest()
	e, known := state.Engine(move.Engine)
	if !here || !known {
		return
	}
	order := move.Order
	order.Number = state.Number + 1
	order.ID = fmt.Sprintf("order-%d-%d", term, order.Number)
	order.Fencing = term
	order.Incarnation = e.Ledger.Incarnation()
	if clock := u.Announcement.Load.Clock; !clock.IsZero() {
		order.NotAfter = clock.Add(now.Sub(u.Heard) + orderLife).UTC()
	}
	if !f.propose(manifest.Record{Engine: move.Engine, Order: order, Why: why(move), At: now.UTC()}) {
		return
	}
	f.logMove(move, order)
	at := place{engine: move.Engine, address: u.Announcement.Address, order: order}
	f.call(order.ID, func() { f.send(at) })
}

// why returns what a move is for, in a few words.
func why(move placement.Move) string {
	text := string(move.Reason)
	if move.For != "" {
		text += " of " + move.For
	}
	return text[:min(len(text), manifest.MaxWhyBytes)]
}

// logMove logs one placement decision.
func (f *Foreman) logMove(move placement.Move, order upstreamapi.Order) {
	alternatives := zerolog.Arr()
	for _, a := range move.Alternatives {
		alternatives = alternatives.Dict(zerolog.Dict().Str("engine", a.Engine).
			Float64("score", a.Score).Float64("taken-score", a.Taken))
	}
	f.options.Log.Info().Str("engine", move.Engine).Str("order", order.ID).Uint64("term", order.Fencing).
		Str("kind", string(order.Kind)).Str("model", order.Model).Str("version", order.Version).
		Str("from-version", order.FromVersion).Str("adapter", order.Adapter).
		Strs("accelerators", order.Accelerators).Int64("memory-bytes", order.MemoryBytes).
		Str("reason", string(move.Reason)).Str("makes-room-for", move.For).
		Float64("expected-gain", move.Gain).Float64("cost", move.Cost).Float64("weight-of-moves", move.Weight).
		Array("alternatives", alternatives).Msg("placement decision")
}
