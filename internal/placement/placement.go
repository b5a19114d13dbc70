// Package placement decides which engine holds which models and adapters
// (placement scheduling).
//
// Every plan begins with what is: what engines hold, which orders are open, how
// much is asked for. It names what is missing and moves as little as that
// needs. There is no intended placement that could drift from the world, so a
// new leader, a lost order or a second fault during a repair change nothing but
// the input.
//
// Needs are met in tiers, the most urgent first:
//
//  1. a model or adapter that nobody can reach;
//  2. the floors of the preset;
//  3. copies that let the preset's losses of engines and failure domains pass;
//  4. copies that let more of the demand meet its goals, where the gain exceeds
//     the cost of the moves by the weight of moves.
//
// A need may take memory from what only later tiers asked for, never from its own
// tier or an earlier one, so no two needs can take memory from each other in
// turn.
//
// The package is pure: the present time and the facts go in, and a Plan comes
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
	// Patience is how long a need other than an unreachable model must have
	// lasted before it is met. An engine that is lost for less, as when the
	// network drops a few announcements, causes no moves.
	Patience time.Duration
	// Horizon is for how long a gain is taken to last.
	Horizon time.Duration
	// LoadTime is how long a load is taken to last.
	LoadTime time.Duration
	// Utilization is the part of an engine's slots up to which its requests are
	// taken to meet their goals.
	Utilization float64
}

// The defaults of Options.
const (
	DefaultPatience    = 20 * time.Second
	DefaultHorizon     = 10 * time.Minute
	DefaultLoadTime    = 30 * time.Second
	DefaultUtilization = 0.8
)

// WeightStore is what the weight store allows.
type WeightStore struct {
	// LoadsPerSecond is the rate at which loads may start. 0 means no limit.
	LoadsPerSecond float64
	// Concurrent is how many loads run at once. 0 means no limit.
	Concurrent int
}

// Input is what a plan rests on.
type Input struct {
	// Declarations and Preset are those in force, from one revision.
	Declarations declaration.Set
	Preset       declaration.Preset
	// Engines are all engines known, sorted by name, each once. A leader must have
	// waited for a whole announcement lease before its first plan: an engine that
	// has merely not announced itself to it yet would count as lost.
	Engines []Engine
	// Demand is sorted by target, as demand.Estimator returns it.
	Demand      []demand.Estimate
	WeightStore WeightStore
	// WeightOfMoves is used if Preset names none.
	WeightOfMoves float64
	// Avoid are loads that should not be tried again yet, because the last ones of
	// the kind failed. Who gives the orders decides for how long.
	Avoid []Avoided
	// Previous is the State of the last plan. The zero State is that of a leader
	// that has planned nothing yet.
	Previous State
}

// Avoided is a load that failed at an engine.
type Avoided struct {
	Engine string
	Model  string
	// Adapter is empty for the model itself.
	Adapter string
}

// State is what one plan hands to the next. It is an immutable value. To lose it
// does no harm beyond a load or two sooner than the patience allows.
type State struct {
	// at is when the plan was made. It is zero in the zero State.
	at time.Time
	// tokens is how many loads may start at at, by the rate of the weight store.
	tokens float64
	// since is from when each need that is not met has lasted.
	since map[need]time.Time
}

// need names what a model lacks.
type need struct {
	model string
	tier  tier
}

// Plan is what should be done, and why.
type Plan struct {
	// Moves can be ordered now, the first first. Each holds whatever becomes of
	// the others and of the orders that are open.
	Moves []Move
	// Waiting are moves that a later plan will make: memory is not free yet, or
	// the weight store allows no more loads now.
	Waiting []Move
	// Unreachable are what no engine can serve now, sorted.
	Unreachable []demand.Target
	// Problems are needs that cannot be met, the most urgent one of each model,
	// with the arithmetic.
	Problems []Problem
	// Served is the load that the present copies serve within the goals, and
	// Offered the load in all, by the planner's model of engines.
	Served, Offered float64
	// Next is the Previous of the next plan.
	Next State
	// models and sites are the draft's, for Target.
	models []model
	sites  []site
}

// Problem is a need that cannot be met now.
type Problem struct {
	Model  string
	Reason Reason
	// Text is the arithmetic, for people.
	Text string
}

// Planner makes plans. It is immutable and safe for concurrent use.
type Planner struct {
	options Options
}

// New returns a Planner.
func New(options Options) Planner {
	if options.Patience == 0 {
		options.Patience = DefaultPatience
	}
	if options.Horizon == 0 {
		options.Horizon = DefaultHorizon
	}
	if options.LoadTime == 0 {
		options.LoadTime = DefaultLoadTime
	}
	if options.Utilization == 0 {
		options.Utilization = DefaultUtilization
	}
	return Planner{options: options}
}

// Plan returns what should be done at now. If nothing is declared, as before the
// first configuration has arrived, Plan moves nothing.
func (p Planner) Plan(now time.Time, in Input) Plan {
	d := newDraft(now, p.options, in)
	if len(d.models) == 0 {
		return d.finish()
	}
	d.changeVersions()
	d.meet(tierUnreachable)
	d.adapters(tierUnreachable)
	d.meet(tierFloor)
	d.meet(tierLosses)
	d.adapters(tierLosses)
	d.refillReserve()
	d.attain()
	return d.finish()
}
