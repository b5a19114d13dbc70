package placement

import (
	"github.com/lovagelift/lovagelift/internal/upstreamapi"
)

// Reason is the kind of need that a move meets.
type Reason string

// Kinds of needs.
const (
	ReasonUnreachable Reason = "unreachable"
	ReasonFloor       Reason = "floor"
	ReasonRedundancy  Reason = "losses"
	ReasonDemand      Reason = "demand"
	ReasonReserve     Reason = "reserve"
	ReasonVersion     Reason = "version"
)

// tier is the urgency of a need. Lower tiers are met first.
type tier int

// Tiers, the most urgent first. The package comment describes them.
const (
	tierUnreachable tier = iota
	tierFloor
	tierRedundancy
	tierDemand
)

func (t tier) reason() Reason {
	switch t {
	case tierUnreachable:
		return ReasonUnreachable
	case tierFloor:
		return ReasonFloor
	case tierRedundancy:
		return ReasonRedundancy
	default:
		return ReasonDemand
	}
}

// Move is one order to an engine: a load, an unload or a change of a version.
// The caller adds the fields of the order that only the leader knows: id,
// number, fencing number, incarnation and time limit.
type Move struct {
	Engine string
	// Order has Kind, Model, Version, FromVersion, Adapter, Accelerators and
	// MemoryBytes set.
	Order  upstreamapi.Order
	Reason Reason
	// MakesRoomFor is the model for which an unload makes room.
	MakesRoomFor string
	// Gain and Cost are in request-seconds within the goals. Cost is not
	// multiplied by Weight. Moves that the preset requires state no gain,
	// because they are made regardless of it.
	Gain, Cost float64
	// Weight is the weight of moves by which Cost is multiplied to compare it
	// with Gain.
	Weight float64
	// Alternatives are the engines with the next best scores, at most two.
	Alternatives []Alternative
	// WaitsFor is why the move is in Plan.Deferred. It is empty in Plan.Moves.
	WaitsFor WaitReason
}

// Alternative is an engine that was considered for a move and not chosen.
type Alternative struct {
	Engine string
	// Score is the score of this engine, and ChosenScore that of the chosen one.
	Score, ChosenScore float64
}

// WaitReason is what a move waits for.
type WaitReason string

// Reasons to wait.
const (
	WaitMemory      WaitReason = "memory"
	WaitWeightStore WaitReason = "weight-store"
)

// isLoad reports whether the move loads weights from the weight store.
func (m Move) isLoad() bool {
	switch m.Order.Kind {
	case upstreamapi.OrderLoadModel, upstreamapi.OrderLoadAdapter, upstreamapi.OrderChangeVersion:
		return true
	default:
		return false
	}
}
