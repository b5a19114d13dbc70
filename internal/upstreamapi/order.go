package upstreamapi

import "time"

// OrderKind is the kind of change that an order makes.
type OrderKind string

// The kinds of order.
const (
	OrderLoadModel     OrderKind = "load-model"
	OrderUnloadModel   OrderKind = "unload-model"
	OrderLoadAdapter   OrderKind = "load-adapter"
	OrderUnloadAdapter OrderKind = "unload-adapter"
	// OrderChangeVersion loads Version of Model alongside FromVersion, switches
	// to it, and unloads FromVersion. Until it is done, both versions occupy
	// memory.
	OrderChangeVersion OrderKind = "change-version"
	// OrderChangeRole changes the role and its memory. Until it is done, the
	// larger of the two amounts is occupied.
	OrderChangeRole OrderKind = "change-role"
)

// Order instructs an engine to change its models, adapters or role. Orders are
// idempotent: the response to a repeated ID is the current state of that
// order.
type Order struct {
	// ID is unique among all orders to the engine.
	ID string `json:"id"`
	// Number increases with every order to the engine, across leaders.
	Number uint64 `json:"number"`
	// Fencing is the fencing number of the leader that issued the order.
	Fencing uint64 `json:"fencing"`
	// Incarnation is the incarnation of the engine that the order addresses. An
	// engine with another incarnation rejects it.
	Incarnation uint64 `json:"incarnation"`
	// NotAfter is the time on the engine's own clock after which it does not
	// start the order. The leader derives it from Load.Clock, so that the
	// clocks of engine and leader need not agree.
	NotAfter time.Time `json:"not-after,omitzero"`
	Kind     OrderKind `json:"kind"`
	// Model and Version identify the model to load or unload, or the model that
	// an adapter belongs to.
	Model   string `json:"model,omitempty"`
	Version string `json:"version,omitempty"`
	// FromVersion is the version that OrderChangeVersion replaces.
	FromVersion string `json:"from-version,omitempty"`
	Adapter     string `json:"adapter,omitempty"`
	Role        Role   `json:"role,omitempty"`
	// Accelerators are the names of the accelerators whose memory the order
	// uses.
	Accelerators []string `json:"accelerators,omitempty"`
	// MemoryBytes is the memory that the order needs on each of Accelerators:
	// for a model with its KV cache, for an adapter, or for a role. It is
	// absent from an unload, which frees the memory that the load allocated.
	MemoryBytes int64 `json:"memory-bytes,omitempty"`
}

// OrderState is the state of an order.
type OrderState string

// The states of an order. An order in a "refused" state has changed nothing and
// never will under that ID.
const (
	// OrderRunning is in progress.
	OrderRunning OrderState = "running"
	// OrderDone has taken effect.
	OrderDone OrderState = "done"
	// OrderFailed was started, failed, and left the engine unchanged.
	OrderFailed OrderState = "failed"
	// OrderRefusedStaleFencing had a lower fencing number than an earlier
	// order.
	OrderRefusedStaleFencing OrderState = "refused-stale-fencing"
	// OrderRefusedNoMemory needs more memory than is free.
	OrderRefusedNoMemory OrderState = "refused-no-memory"
	// OrderRefusedExpired arrived after its NotAfter.
	OrderRefusedExpired OrderState = "refused-expired"
	// OrderRefusedIncarnation addressed another incarnation.
	OrderRefusedIncarnation OrderState = "refused-incarnation"
	// OrderRefusedInvalid cannot be carried out in the current state of the
	// engine.
	OrderRefusedInvalid OrderState = "refused-invalid"
	// OrderUnknown is the response to a status query for an order that has not
	// arrived.
	// It may still arrive.
	OrderUnknown OrderState = "unknown-order"
)

// Terminal reports whether the order will make no further changes.
func (s OrderState) Terminal() bool {
	return s != OrderRunning && s != OrderUnknown
}

// OrderResponse is the state of an order with the engine's inventory at that
// time.
type OrderResponse struct {
	ID    string     `json:"id"`
	State OrderState `json:"state"`
	// Reason is a human-readable explanation. It is empty if State is
	// OrderDone.
	Reason string `json:"reason,omitempty"`
	// Clock is as in Load. The fields below are as in Announcement, at that
	// time.
	Clock           time.Time       `json:"clock,omitzero"`
	Incarnation     uint64          `json:"incarnation"`
	Revision        uint64          `json:"revision,omitempty"`
	Accelerators    []Accelerator   `json:"accelerators,omitempty"`
	Resident        []Resident      `json:"resident,omitempty"`
	Role            Role            `json:"role,omitempty"`
	RoleMemoryBytes int64           `json:"role-memory-bytes,omitempty"`
	HighestFencing  uint64          `json:"highest-fencing,omitempty"`
	UnderWay        []OrderUnderWay `json:"under-way,omitempty"`
}

// Inventory returns the engine's inventory as of the response.
func (r OrderResponse) Inventory() Inventory {
	return Inventory{
		Incarnation:     r.Incarnation,
		Revision:        r.Revision,
		Clock:           r.Clock,
		Accelerators:    r.Accelerators,
		Resident:        r.Resident,
		Role:            r.Role,
		RoleMemoryBytes: r.RoleMemoryBytes,
		HighestFencing:  r.HighestFencing,
		UnderWay:        r.UnderWay,
	}
}
