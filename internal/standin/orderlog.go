package standin

import (
	"github.com/lovagelift/lovagelift/internal/upstreamapi"
)

// orderLog remembers the orders that an engine took. It is not safe for
// concurrent use.
type orderLog struct {
	entries map[string]*orderEntry
	// ids are in the order of arrival.
	ids            []string
	highestFencing uint64
	// revision grows with every change of what the engine holds.
	revision uint64
	// overcommits counts the orders that would have taken more memory than there
	// is.
	overcommits int
}

// orderEntry is an order and what became of it.
type orderEntry struct {
	order  upstreamapi.Order
	state  upstreamapi.OrderState
	reason string
	// accelerators and bytes are what the order holds while it runs.
	accelerators []string
	bytes        int64
}

// done says that the order is in force and holds nothing beyond it.
func (e *orderEntry) done() {
	e.state = upstreamapi.OrderDone
	e.accelerators, e.bytes = nil, 0
}

// Find returns the order of that id, or nil.
func (l *orderLog) Find(id string) *orderEntry {
	return l.entries[id]
}

// Add remembers an order.
func (l *orderLog) Add(entry *orderEntry) {
	if l.entries == nil {
		l.entries = map[string]*orderEntry{}
	}
	l.entries[entry.order.ID] = entry
	l.ids = append(l.ids, entry.order.ID)
}

// UnderWay returns the orders that run, in the order of arrival.
func (l *orderLog) UnderWay() []upstreamapi.OrderUnderWay {
	var all []upstreamapi.OrderUnderWay
	for _, id := range l.ids {
		entry := l.entries[id]
		if entry.state != upstreamapi.OrderRunning {
			continue
		}
		all = append(all, upstreamapi.OrderUnderWay{
			ID:           id,
			Accelerators: entry.accelerators,
			MemoryBytes:  entry.bytes,
		})
	}
	return all
}

// Touches tells whether an order that runs changes the same model, or the role
// as well.
func (l *orderLog) Touches(order upstreamapi.Order) bool {
	for _, entry := range l.entries {
		if entry.state == upstreamapi.OrderRunning && entry.order.Model == order.Model {
			return true
		}
	}
	return false
}
