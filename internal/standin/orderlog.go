package standin

import (
	"github.com/lovagelift/lovagelift/internal/upstreamapi"
)

// orderLog stores the orders that an engine received. It is not safe for
// concurrent use.
type orderLog struct {
	entries map[string]*orderEntry
	// ids are in arrival order.
	ids            []string
	highestFencing uint64
	// revision increases with every change of the engine's inventory.
	revision uint64
	// overcommits counts the orders that needed more memory than was free.
	overcommits int
}

// orderEntry is an order and its state.
type orderEntry struct {
	order  upstreamapi.Order
	state  upstreamapi.OrderState
	reason string
	// reservedAccelerators and reservedBytes are the memory that the order owns
	// while it runs. The bytes are per accelerator.
	reservedAccelerators []string
	reservedBytes        int64
}

// complete marks the order as done. It owns no memory from then on.
func (e *orderEntry) complete() {
	e.state = upstreamapi.OrderDone
	e.reservedAccelerators, e.reservedBytes = nil, 0
}

// Find returns nil if the id is unknown.
func (l *orderLog) Find(id string) *orderEntry {
	return l.entries[id]
}

func (l *orderLog) Add(entry *orderEntry) {
	if l.entries == nil {
		l.entries = map[string]*orderEntry{}
	}
	l.entries[entry.order.ID] = entry
	l.ids = append(l.ids, entry.order.ID)
}

// UnderWay returns the running orders in arrival order.
func (l *orderLog) UnderWay() []upstreamapi.OrderUnderWay {
	var all []upstreamapi.OrderUnderWay
	for _, id := range l.ids {
		entry := l.entries[id]
		if entry.state != upstreamapi.OrderRunning {
			continue
		}
		all = append(all, upstreamapi.OrderUnderWay{
			ID:           id,
			Accelerators: entry.reservedAccelerators,
			MemoryBytes:  entry.reservedBytes,
		})
	}
	return all
}

// Conflicts reports whether a running order has the same model. Changes of role
// name no model, so they conflict with each other.
func (l *orderLog) Conflicts(order upstreamapi.Order) bool {
	for _, entry := range l.entries {
		if entry.state == upstreamapi.OrderRunning && entry.order.Model == order.Model {
			return true
		}
	}
	return false
}
