package placement

import (
	"github.com/lovagelift/lovagelift/internal/upstreamapi"
)

// Reason says what a move is for.
type Reason string

// The reasons.
const (
	ReasonUnreachable Reason = "unreachable"
	ReasonFloor       Reason = "floor"
	ReasonLosses      Reason = "losses"
	ReasonDemand      Reason = "demand"
	ReasonReserve     Reason = "reserve"
	ReasonVersion     Reason = "version"
)

// tier orders needs by their urgency.
type tier int

const (
	tierUnreachable tier = iota
	tierFloor
	tierLosses
	tierDemand
)

func (t tier) reason() Reason {
	switch t {
	case tierUnreachable:
		return ReasonUnreachable
	case tierFloor:
		return ReasonFloor
	case tierLosses:
		return ReasonLosses
	default:
		return ReasonDemand
	}
}

// Move is one order that should be given, without what only the leader knows:
// id, number, fencing number, incarnation and time limit.
type Move struct {
	Engine string
	// Order has Kind, Model, Version, FromVersion, Adapter, Accelerators and
	// MemoryBytes.
	Order  upstreamapi.Order
	Reason Reason
	// For is the model that the move makes room for, if it is an unload.
	For string
	// Gain and Cost are requests times seconds within their goals. The cost is
	// that of one move, not yet multiplied by the weight of moves. Moves that the
	// preset requires have no gain stated: they do not depend on it.
	Gain, Cost float64
	// Weight is the weight of moves by which Cost was multiplied.
	Weight float64
	// Alternatives are the next best engines that were weighed, at most two.
	Alternatives []Alternative
	// Waits says why the move is in Plan.Waiting. It is empty in Plan.Moves.
	Waits Wait
}

// Alternative is an engine that was weighed and not taken.
type Alternative struct {
	Engine string
	// Score is its score, and Taken that of the engine that was taken.
	Score, Taken float64
}

// Wait says what a move waits for.
type Wait string

// What a move waits for.
const (
	WaitMemory      Wait = "memory"
	WaitWeightStore Wait = "weight-store"
)

// loads tells whether the move takes something from the weight store.
func (m Move) loads() bool {
	switch m.Order.Kind {
	case upstreamapi.OrderLoadModel, upstreamapi.OrderLoadAdapter, upstreamapi.OrderChangeVersion:
		return true
	default:
		return false
	}
}
