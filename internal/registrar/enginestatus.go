package registrar

import "time"

// EngineStatus is what the replicated state has of an engine that gets orders.
type EngineStatus struct {
	Name        string `json:"name"`
	Incarnation uint64 `json:"incarnation"`
	// Alarms are contradictions between the engine's report and the account. While
	// there are any, it gets no orders.
	Alarms       []string            `json:"alarms,omitempty"`
	Accelerators []AcceleratorStatus `json:"accelerators,omitempty"`
	// Orders are those that may yet take effect, and the last that are over, the
	// oldest first.
	Orders []OrderStatus `json:"orders,omitempty"`
}

// AcceleratorStatus is the account of one accelerator, in bytes. Resident,
// Reserved and Possible do not overlap.
type AcceleratorStatus struct {
	Name     string `json:"name"`
	Memory   int64  `json:"memory-bytes"`
	Resident int64  `json:"resident-bytes"`
	// Reserved may be taken by orders that are under way.
	Reserved int64 `json:"reserved-bytes"`
	// Possible may be taken by orders whose answer was lost, or that an earlier
	// leader gave.
	Possible int64 `json:"possible-bytes"`
}

// OrderStatus is one order to an engine.
type OrderStatus struct {
	ID      string `json:"id"`
	Kind    string `json:"kind"`
	Model   string `json:"model,omitempty"`
	Version string `json:"version,omitempty"`
	Adapter string `json:"adapter,omitempty"`
	// Why is the reason of the placement decision, At when it was made.
	Why string    `json:"why"`
	At  time.Time `json:"at"`
	// State is recorded, running, doubtful, done, refused, withdrawn or over.
	State string `json:"state"`
	// Reason is the engine's, if it refused the order.
	Reason string `json:"reason,omitempty"`
}
