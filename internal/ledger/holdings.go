package ledger

import (
	"slices"
	"time"

	"github.com/lovagelift/lovagelift/internal/upstreamapi"
)

// Holding is a version of a model, or an adapter beside one, that an engine has
// in memory.
type Holding struct {
	Model   string
	Version string
	// Adapter is empty for the model itself.
	Adapter string
	// Accelerators are those that it takes Bytes of, each.
	Accelerators []string
	Bytes        int64
}

// Holdings returns what the engine holds to serve requests, by its last report.
// What is on its way out is left out.
func (l Ledger) Holdings() []Holding {
	holdings := make([]Holding, 0, len(l.resident))
	for _, r := range l.resident {
		if r.Leaving {
			continue
		}
		holdings = append(holdings, Holding{
			Model:        r.Thing.Model,
			Version:      r.Thing.Version,
			Adapter:      r.Thing.Adapter,
			Accelerators: r.Accelerators,
			Bytes:        r.Bytes,
		})
	}
	return holdings
}

// Accelerators returns the names of the engine's accelerators.
func (l Ledger) Accelerators() []string {
	names := make([]string, 0, len(l.accelerators))
	for _, a := range l.accelerators {
		names = append(names, a.Name)
	}
	return names
}

// Doubtful tells whether the order is open and its answer was lost, or an earlier
// leader gave it.
func (l Ledger) Doubtful(id string) bool {
	i := l.index(id)
	return i >= 0 && l.open[i].Doubtful
}

// RemovedBy tells whether the order may take the holding out of memory. Adapters
// go with their model.
func (h Holding) RemovedBy(order upstreamapi.Order) bool {
	return removes(order, thing{Model: h.Model, Version: h.Version, Adapter: h.Adapter})
}

// Loads returns what the order may bring into memory. If it loads nothing, Loads
// returns false.
func Loads(order upstreamapi.Order) (Holding, bool) {
	t, loads := loadedBy(order)
	return Holding{
		Model:        t.Model,
		Version:      t.Version,
		Adapter:      t.Adapter,
		Accelerators: slices.Clone(order.Accelerators),
		Bytes:        order.MemoryBytes,
	}, loads
}

// Revision returns that of the inventory that was last adopted.
func (l Ledger) Revision() uint64 {
	return l.revision
}

// Clock returns the latest time on the engine's clock in what the account has
// taken in.
func (l Ledger) Clock() time.Time {
	return l.clock
}

// Learns tells whether the announcement changes more of the account than the
// time on the engine's clock.
func (l Ledger) Learns(announcement upstreamapi.Announcement) bool {
	return l.differs(l.WithReport(announcement))
}

// LearnsFrom tells whether the answer changes more of the account than the time
// on the engine's clock.
func (l Ledger) LearnsFrom(answer upstreamapi.OrderAnswer) bool {
	return l.differs(l.WithAnswer(answer))
}

func (l Ledger) differs(next Ledger) bool {
	same := func(a, b openOrder) bool { return a.Order.ID == b.Order.ID && a.Doubtful == b.Doubtful }
	return next.incarnation != l.incarnation || next.revision != l.revision ||
		len(next.contradictions) != len(l.contradictions) || !slices.EqualFunc(next.open, l.open, same)
}
