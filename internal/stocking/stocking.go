// Package stocking plans model replicas: it decides which engines hold which models
// while demand shifts within seconds.
//
// It is pure: it takes the state of the engines and the demand, and returns the moves to
// order now. Every plan starts from the reported state, so a lost order or a change of
// leader changes only the input.
//
// Package placement plans for declared minimums and slow moves, over minutes. Here the
// demand moves between models faster than a load takes, and a move is cheap compared with
// the requests that it serves.
package stocking

import (
	"time"
)

// Model describes a model to the planner.
type Model struct {
	Name      string
	Megabytes float64
	// Demand is the requested work, in engines: 1 keeps one engine busy.
	Demand float64
	// Waiting is the number of requests that find no engine that holds the model.
	// MissingFor is how long requests have found none.
	Waiting    int
	MissingFor time.Duration
	// Bound lists the requests that wait for a copy at a software version.
	Bound []BoundWaiting
	// KeptFor is for how much longer the last copy at each software version is kept, because streams that
	// began there may be resumed. It is 0 if it is not kept.
	KeptFor time.Duration
	// Idle reports that the model has had no requests for a while.
	Idle bool
	// InitialCopies is the number of copies before the first request for any model, 0 if it is not
	// known. Until then it is the only sign of the demand to come.
	InitialCopies int
	// LoadTime is the time of a load from the weight store, MemoryLoadTime from the engine's
	// memory and DiskLoadTime from its disk.
	LoadTime, MemoryLoadTime, DiskLoadTime time.Duration
}

// BoundWaiting describes the requests that resume streams of a model, which go on only at the software version
// that began them.
type BoundWaiting struct {
	SoftwareVersion string
	// Waiting is the number of requests that find no engine of the version that holds the model. MissingFor
	// is how long requests have found none.
	Waiting    int
	MissingFor time.Duration
}

// Engine describes an engine to the planner.
type Engine struct {
	Name            string
	SoftwareVersion string

	Megabytes float64
	// UsedMegabytes is the memory of weights and adapters, in megabytes.
	UsedMegabytes float64
	// Loaded lists the loaded models. Loading is the model that is being loaded, or
	// empty.
	Loaded  []string
	Loading string
	// Expected is the model that the engine will hold next by an order under way, or once another is
	// unloaded for it, or empty.
	Expected string
	// Unavailable reports that the engine can take no order now.
	Unavailable bool
	// Leaving reports that the engine takes no more requests.
	Leaving bool
	// Throttled reports that the engine limits itself to few requests. Its copies count
	// only for models without demand, and it gets no new ones.
	Throttled bool
	// InMemory and OnDisk list models that the engine can load without the weight
	// store.
	InMemory []string
	OnDisk   []string
}

// Move is an order to load or unload a model now.
type Move struct {
	Engine string
	Model  string
	// Unload reports that the model is unloaded to make room for MakesRoomFor. Otherwise it is
	// loaded.
	Unload       bool
	MakesRoomFor string
	// FromStore reports that the load reads from the weight store.
	FromStore bool
	Reason    Reason
	// Load is the load of the least loaded copy before the move, in engines. It is 0
	// unless Reason is Demand.
	Load float64
}

// Reason is the purpose of a move.
type Reason string

const (
	// Unreachable means that no engine holds the model.
	Unreachable Reason = "unreachable"
	// Bound means that no engine of the software version to which streams are bound holds the model.
	Bound Reason = "bound"
	// Demand means that the engines that hold the model are overloaded.
	Demand Reason = "demand"
	// Spare means that no model is short of copies, and that this one gets another in
	// case demand shifts or an engine fails.
	Spare Reason = "spare"
)

// Options configures a plan.
type Options struct {
	// MaxLoad is the load, as a share of an engine's capacity, above which the models of
	// an engine get another copy.
	MaxLoad float64
	// MinGain is the minimum relief by a copy for an overloaded model: an engine gets one
	// only if its load is lower than that of the least loaded copy by this share.
	MinGain float64
	// MaxMoves is the maximum number of moves in a plan.
	MaxMoves int
	// MaxFetches is the number of loads from the weight store that may start now.
	MaxFetches int
}

// Plan returns the moves to order now, the most urgent first.
func Plan(models []Model, engines []Engine, options Options) []Move {
	p := newPlanner(models, engines, options)
	p.spreadDemand()
	p.relieveShortages()
	if !p.urgent {
		p.restoreUnheld()
		p.addSpare()
	}
	return p.moves
}
