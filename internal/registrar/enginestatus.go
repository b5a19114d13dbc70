package registrar

import "time"

// EngineStatus is the replicated state of an engine whose placement the leader
// controls.
type EngineStatus struct {
	Name        string `json:"name"`
	Incarnation uint64 `json:"incarnation"`
	// Alarms are contradictions between the engine's report and the recorded memory
	// accounting. While there are any, the engine gets no orders.
	Alarms       []string            `json:"alarms,omitempty"`
	Accelerators []AcceleratorStatus `json:"accelerators,omitempty"`
	// Orders lists the orders that may still take effect and the most recent
	// completed ones, oldest first.
	Orders []OrderStatus `json:"orders,omitempty"`
}

// AcceleratorStatus is the memory accounting of one accelerator, in bytes.
// Resident, Reserved and Possible do not overlap.
type AcceleratorStatus struct {
	Name     string `json:"name"`
	Memory   int64  `json:"memory-bytes"`
	Resident int64  `json:"resident-bytes"`
	// Reserved is the memory that orders in progress may allocate.
	Reserved int64 `json:"reserved-bytes"`
	// Possible is the memory that may be allocated by orders whose response was
	// lost or that an earlier leader sent.
	Possible int64 `json:"possible-bytes"`
}

// OrderStatus is the state of one order, a command to an engine such as loading a
// model.
type OrderStatus struct {
	ID      string `json:"id"`
	Kind    string `json:"kind"`
	Model   string `json:"model,omitempty"`
	Version string `json:"version,omitempty"`
	Adapter string `json:"adapter,omitempty"`
	// PlacementReason is the reason for the placement decision.
	PlacementReason string `json:"why"`
	// At is the time of the placement decision.
	At time.Time `json:"at"`
	// State is one of recorded, running, doubtful, done, refused, withdrawn and
	// over.
	State string `json:"state"`
	// RefusalReason is the engine's reason for refusing the order.
	RefusalReason string `json:"reason,omitempty"`
}
