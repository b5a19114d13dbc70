// Package stocking decides which engines hold which models while demand moves
// within seconds (replica placement).
//
// It is pure: what engines hold and what is asked for go in, and the moves that
// should be ordered now come out. Every plan begins with what is, so that a lost
// order or a new leader changes nothing but the input.
//
// Package placement plans for declared floors and patient moves, over minutes.
// Here the models that are asked for change faster than a load takes, and a move
// is cheap against the requests that it serves.
package stocking

import (
	"time"
)

// Model is what a plan knows of a model.
type Model struct {
	Name      string
	Megabytes float64
	// Demand is the work that is asked for, in engines: 1 keeps one engine busy.
	Demand float64
	// Waiting is how many requests find no engine that holds the model, and Missing for
	// how long there has been none for requests.
	Waiting int
	Missing time.Duration
	// Idle says that nobody has asked for it for a while.
	Idle bool
	// Load is the time of a load from the weight store, WarmLoad of one from the
	// engine's memory and DiskLoad of one from its disk.
	Load, WarmLoad, DiskLoad time.Duration
}

// Engine is what a plan knows of an engine.
type Engine struct {
	Name      string
	Megabytes float64
	// Used is the memory that weights and adapters take.
	Used float64
	// Holds are the models that it can run. Coming is one that is being loaded, or
	// empty.
	Holds  []string
	Coming string
	// Closed says that no order can be given now.
	Closed bool
	// Leaving says that it takes no more requests.
	Leaving bool
	// Narrow says that it takes few requests by a limit of its own: its copies count for
	// models that nobody asks for alone, and it gets no others.
	Narrow bool
	// InMemory and OnDisk are models that need not be fetched from the store.
	InMemory []string
	OnDisk   []string
}

// Move is an order that should be given now.
type Move struct {
	Engine string
	Model  string
	// Unload says that the model makes way for For, else it is loaded.
	Unload bool
	For    string
	// Fetch says that the load takes from the weight store.
	Fetch  bool
	Reason Reason
	// Load is that of the busiest engine for the model, in engines, before the
	// move.
	Load float64
}

// Reason says what a move is for.
type Reason string

const (
	// Unreachable means that no engine holds the model.
	Unreachable Reason = "unreachable"
	// Demand means that the engines that hold the model have too much to do.
	Demand Reason = "demand"
	// Spare means that one engine alone holds the model, and memory is free.
	Spare Reason = "spare"
)

// Options configures a plan.
type Options struct {
	// Busy is the load of an engine, as a part of what it can do, from which on
	// its models get another copy.
	Busy float64
	// Gain is by how much a copy must relieve the busiest engine of a model, as a
	// part of its load.
	Gain float64
	// Orders is how many moves are begun at once.
	Orders int
	// Fetches is how many loads from the weight store may begin now.
	Fetches int
}

// Plan returns the moves to order now, the most urgent first.
func Plan(models []Model, engines []Engine, options Options) []Move {
	p := newPlanner(models, engines, options)
	p.supply()
	if !p.pressed {
		p.reach()
		p.spare()
	}
	return p.moves
}
