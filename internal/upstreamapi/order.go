package upstreamapi

import "time"

// OrderKind says what an order changes.
type OrderKind string

// The kinds of order.
const (
	OrderLoadModel     OrderKind = "load-model"
	OrderUnloadModel   OrderKind = "unload-model"
	OrderLoadAdapter   OrderKind = "load-adapter"
	OrderUnloadAdapter OrderKind = "unload-adapter"
	// OrderChangeVersion loads Version of Model beside FromVersion, switches, and
	// unloads FromVersion. Until it is done, both take memory.
	OrderChangeVersion OrderKind = "change-version"
	// OrderChangeRole changes the role and the memory that it takes. Until it is
	// done, the greater of both takes memory.
	OrderChangeRole OrderKind = "change-role"
)

// Order tells an engine to change what it holds. Orders are idempotent: one
// whose ID was taken before is answered with what became of it.
type Order struct {
	// ID is unique among all orders to the engine.
	ID string `json:"id"`
	// Number grows with every order to the engine, from whichever leader.
	Number uint64 `json:"number"`
	// Fencing is the fencing number of the leader that gave the order.
	Fencing uint64 `json:"fencing"`
	// Incarnation is that of the engine that the order is meant for. An engine of
	// another incarnation refuses it.
	Incarnation uint64 `json:"incarnation"`
	// NotAfter is the time on the engine's own clock after which it refuses to
	// begin the order. The leader derives it from Load.Clock, so that no
	// two clocks need to agree.
	NotAfter time.Time `json:"not-after,omitzero"`
	Kind     OrderKind `json:"kind"`
	// Model and Version are what is loaded or unloaded, or what an adapter
	// stands beside.
	Model   string `json:"model,omitempty"`
	Version string `json:"version,omitempty"`
	// FromVersion is the version that OrderChangeVersion replaces.
	FromVersion string `json:"from-version,omitempty"`
	Adapter     string `json:"adapter,omitempty"`
	Role        Role   `json:"role,omitempty"`
	// Accelerators are the names of those that the order takes memory of.
	Accelerators []string `json:"accelerators,omitempty"`
	// MemoryBytes is what the order takes of each of Accelerators: a model with
	// its KV space, an adapter, or a role. An unload gives back what the load
	// took and leaves it out.
	MemoryBytes int64 `json:"memory-bytes,omitempty"`
}

// OrderState says what became of an order.
type OrderState string

// The states of an order. Those that begin with "refused" changed nothing and
// never will, under that ID.
const (
	// OrderRunning is being carried out.
	OrderRunning OrderState = "running"
	// OrderDone is in force.
	OrderDone OrderState = "done"
	// OrderFailed was begun, failed, and left the engine as it was before.
	OrderFailed OrderState = "failed"
	// OrderRefusedStaleFencing carried an older fencing number than one seen.
	OrderRefusedStaleFencing OrderState = "refused-stale-fencing"
	// OrderRefusedNoMemory needs more memory than is free.
	OrderRefusedNoMemory OrderState = "refused-no-memory"
	// OrderRefusedExpired arrived after its NotAfter.
	OrderRefusedExpired OrderState = "refused-expired"
	// OrderRefusedIncarnation was meant for another incarnation.
	OrderRefusedIncarnation OrderState = "refused-incarnation"
	// OrderRefusedInvalid cannot be carried out as it stands.
	OrderRefusedInvalid OrderState = "refused-invalid"
	// OrderUnknown answers a question after an order that never arrived. It may
	// arrive yet.
	OrderUnknown OrderState = "unknown-order"
)

// Final tells whether the order will change nothing any more.
func (s OrderState) Final() bool {
	return s != OrderRunning && s != OrderUnknown
}

// OrderAnswer says what became of an order, and what the engine holds then.
type OrderAnswer struct {
	ID    string     `json:"id"`
	State OrderState `json:"state"`
	// Reason is for people. It is empty if State is OrderDone.
	Reason string `json:"reason,omitempty"`
	// Clock is as in Load. What follows is as in Announcement, at that time.
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

// Inventory returns what the engine holds by the answer.
func (a OrderAnswer) Inventory() Inventory {
	return Inventory{
		Incarnation:     a.Incarnation,
		Revision:        a.Revision,
		Clock:           a.Clock,
		Accelerators:    a.Accelerators,
		Resident:        a.Resident,
		Role:            a.Role,
		RoleMemoryBytes: a.RoleMemoryBytes,
		HighestFencing:  a.HighestFencing,
		UnderWay:        a.UnderWay,
	}
}
