package foreman

import (
	"time"

	"github.com/lovagelift/lovagelift/internal/declaration"
	"github.com/lovagelift/lovagelift/internal/manifest"
	"github.com/lovagelift/lovagelift/internal/placement"
	"github.com/lovagelift/lovagelift/internal/roster"
)

// Preview returns the moves that the declarations and the preset would cause if they took effect at
// now and nothing else changed, and the requirements that could not be met. It ignores demand, the
// load rate of the weight store and the stabilization window: the moves are those of the first plan
// after the window. Moves that wait for memory come last.
func Preview(
	now time.Time, state manifest.View, upstreams []roster.Upstream,
	declared declaration.Set, preset declaration.Preset, weightOfMoves float64,
) ([]placement.Move, []placement.Problem) {
	planner := placement.New(placement.Options{})
	in := placement.Input{
		Declarations:  declared,
		Preset:        preset,
		Engines:       planningEngines(state, upstreams),
		WeightOfMoves: weightOfMoves,
	}
	in.Previous = planner.Plan(now, in).Next
	plan := planner.Plan(now.Add(previewWindow), in)
	return append(plan.Moves, plan.Deferred...), plan.Problems
}

// previewWindow is longer than the stabilization window of minimum copies and failure tolerance.
const previewWindow = 2 * placement.DefaultStabilizationWindow
