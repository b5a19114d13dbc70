// Package placement is the scheduler that places models and adapters on
// engines.
//
// Each plan is computed from the current state alone: what engines hold, which
// orders are open, and the estimated demand. The planner determines what is
// missing and plans only the moves that provide it. No target placement is
// stored that could drift from the actual state, so a new leader, a lost order
// or a second fault during a repair changes only the input of the next plan.
//
// Needs are met in tiers, the most urgent first:
//
//  1. models and adapters that no engine serves;
//  2. the minimum numbers of copies in the preset (floors);
//  3. further copies, so that each model survives the losses of engines and
//     failure domains that the preset tolerates;
//  4. further copies that let more of the demand meet its goals, if the gain
//     exceeds the cost of the moves times the weight of moves.
//
// A need may evict copies that only later tiers require, but none that its own
// tier or an earlier one requires. Demand may also evict copies that serve
// other demand, if the gain exceeds the loss. The loss is based on a load that
// is never below the one for which copies are added. So no two needs evict each
// other's copies in turn.
//
// The package is pure: the current time and the state go in, and a Plan comes
// out.
package placement

import (
	"time"

	"github.com/lovagelift/lovagelift/internal/declaration"
	"github.com/lovagelift/lovagelift/internal/demand"
)

// Options are the settings of a Planner. A field that is 0 stands for its
// default.
type Options struct {
	// StabilizationWindow is how long a need must persist before it is met, so
	// that an engine that is lost for a shorter time, for example because the
	// network drops a few announcements, causes no moves. Models and adapters
	// that no engine serves are loaded without delay.
	StabilizationWindow time.Duration
	// Horizon is how long the gain of a copy is assumed to last.
	Horizon time.Duration
	// LoadTime is how long loading a model is assumed to take.
	LoadTime time.Duration
	// TargetUtilization is the fraction of an engine's slots up to which its
	// requests are assumed to meet their goals.
	TargetUtilization float64
}

// Defaults of Options.
const (
	DefaultStabilizationWindow = 20 * time.Second
	DefaultHorizon             = 10 * time.Minute
	DefaultLoadTime            = 30 * time.Second
	DefaultTargetUtilization   = 0.8
)

// WeightStore limits the loads from the weight store.
type WeightStore struct {
	// LoadsPerSecond is the rate at which loads may start. 0 means no limit.
	LoadsPerSecond float64
	// MaxConcurrentLoads is how many loads may run at once. 0 means no limit.
	MaxConcurrentLoads int
}

// Input is the state that a plan is computed from.
type Input struct {
	// Declarations and Preset are those in force, from the same revision.
	Declarations declaration.Set
	Preset       declaration.Preset
	// Engines are all known engines, sorted by name, without duplicates. A new
	// leader must wait for one announcement lease before its first plan: an
	// engine that has not announced itself to this leader yet would count as
	// lost.
	Engines []Engine
	// Demand is sorted by target, as demand.Estimator returns it.
	Demand      []demand.Estimate
	WeightStore WeightStore
	// WeightOfMoves is used if Preset does not set it.
	WeightOfMoves float64
	// AvoidedLoads lists loads that must not be planned yet because a recent one
	// failed. The caller decides for how long.
	AvoidedLoads []AvoidedLoad
	// Previous is the Next of the previous plan. A leader that has not planned
	// yet passes the zero State.
	Previous State
}

// AvoidedLoad is a load that failed on an engine.
type AvoidedLoad struct {
	Engine string
	Model  string
	// Adapter is empty for the model itself.
	Adapter string
}

// State carries over from one plan to the next. It is immutable. If it is lost,
// some loads may start earlier than the stabilization window or the rate of the
// weight store allows, with no other harm.
type State struct {
	// plannedAt is the time of the plan. It is zero in the zero State.
	plannedAt time.Time
	// loadTokens is the content of the weight store's token bucket at
	// plannedAt.
	loadTokens float64
	// unmetSince is when each unmet need was first seen.
	unmetSince map[need]time.Time
}

// need identifies something that is missing.
type need struct {
	// subject is a model, a model and an adapter joined by a slash, or empty
	// for the reserve.
	subject string
	tier    tier
}

// Plan is the moves that are due, and the needs that cannot be met.
type Plan struct {
	// Moves can be ordered now, the most urgent first. Each is valid whatever
	// becomes of the others and of the orders that are already open.
	Moves []Move
	// Deferred are moves that cannot be ordered yet: they need memory that is
	// not free yet, or the weight store allows no more loads now. Later plans
	// decide on them again.
	Deferred []Move
	// Unreachable are the models and adapters that no engine serves now,
	// sorted.
	Unreachable []demand.Target
	// Problems are needs that cannot be met now, the most urgent one of each
	// model.
	Problems []Problem
	// Served is the load that the present copies serve within its goals, and
	// Offered the total load. Both are estimates by the planner's load model,
	// in concurrent requests.
	Served, Offered float64
	// Next is the Previous of the next plan.
	Next State
	// models and engines are those of the draft, for Target.
	models  []model
	engines []engineState
}

// Problem is a need that cannot be met now.
type Problem struct {
	Model  string
	Reason Reason
	// Description describes the shortfall with its memory figures, for operators.
	Description string
}

// Planner makes plans. It is immutable and safe for concurrent use.
type Planner struct {
	options Options
}

// New returns a Planner with the given options.
func New(options Options) Planner {
	if options.StabilizationWindow == 0 {
		options.StabilizationWindow = DefaultStabilizationWindow
	}
	if options.Horizon == 0 {
		options.Horizon = DefaultHorizon
	}
	if options.LoadTime == 0 {
		options.LoadTime = DefaultLoadTime
	}
	if options.TargetUtilization == 0 {
		options.TargetUtilization = DefaultTargetUtilization
	}
	return Planner{options: options}
}

// Plan returns the moves that are due at now. Before anything is declared, as
// when the first configuration has not arrived yet, there are none.
func (p Planner) Plan(now time.Time, in Input) Plan {
	d := newDraft(now, p.options, in)
	if len(d.models) == 0 {
		return d.finish()
	}
	d.changeVersions()
	d.meetCoverage(tierUnreachable)
	d.meetAdapters(tierUnreachable)
	d.meetCoverage(tierFloor)
	d.meetCoverage(tierRedundancy)
	d.meetAdapters(tierRedundancy)
	d.refillReserve()
	d.meetDemand()
	return d.finish()
}
