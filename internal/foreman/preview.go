package foreman

import (
	"time"

	"github.com/lovagelift/lovagelift/internal/declaration"
	"github.com/lovagelift/lovagelift/internal/manifest"
	"github.com/lovagelift/lovagelift/internal/placement"
	"github.com/lovagelift/lovagelift/internal/roster"
)

// Preview returns the moves that declarations and a preset would cause if they
// came into force at now and nothing else changed, and the needs that could not
// be met. Demand, the pace of the weight store and the patience with needs are
// left out: the moves are those of the first plan that is out of patience. Moves
// that wait for memory come last.
func Preview(
	now time.Time, state manifest.View, upstreams []roster.Upstream,
	declared declaration.Set, preset declaration.Preset, weightOfMoves float64,
) ([]placement.Move, []placement.Problem) {
	planner := placement.New(placement.Options{})
	in := placement.Input{
		Declarations:  declared,
		Preset:        preset,
		Engines:       enginesOf(state, upstreams),
		WeightOfMoves: weightOfMoves,
	}
	in.Previous = planner.Plan(now, in).Next
	plan := planner.Plan(now.Add(previewPatience), in)
	return append(plan.Moves, plan.Waiting...), plan.Problems
}

// previewPatience is longer than any need of floors and losses must last.
const previewPatience = 2 * placement.DefaultPatience
