package ledger

import (
	"slices"
	"time"

	"github.com/lovagelift/lovagelift/internal/upstreamapi"
)

// Holding is a model version, or an adapter of one, that is in an engine's memory.
type Holding struct {
	Model   string
	Version string
	// Adapter is empty for the model itself.
	Adapter string
	// Accelerators are the names of the accelerators that hold it.
	Accelerators []string
	// Bytes is the memory that it uses on each of Accelerators.
	Bytes int64
}

// Holdings returns the models and adapters that are available to serve requests
// according to the engine's last report. Those being unloaded are excluded.
func (l Ledger) Holdings() []Holding {
	holdings := make([]Holding, 0, len(l.resident))
	for _, r := range l.resident {
		if r.Unloading {
			continue
		}
		holdings = append(holdings, Holding{
			Model:        r.Artifact.Model,
			Version:      r.Artifact.Version,
			Adapter:      r.Artifact.Adapter,
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

// Doubtful reports whether the order is open and doubtful: its answer was lost, or
// an earlier leader sent it.
func (l Ledger) Doubtful(id string) bool {
	i := l.openIndex(id)
	return i >= 0 && l.open[i].Doubtful
}

// RemovedBy reports whether the order may remove the holding from memory. Removing
// a model also removes its adapters.
func (h Holding) RemovedBy(order upstreamapi.Order) bool {
	return mayRemove(order, artifact{Model: h.Model, Version: h.Version, Adapter: h.Adapter})
}

// LoadedBy returns the holding that the order loads, or false if it loads none.
func LoadedBy(order upstreamapi.Order) (Holding, bool) {
	loaded, loads := loadedArtifact(order)
	return Holding{
		Model:        loaded.Model,
		Version:      loaded.Version,
		Adapter:      loaded.Adapter,
		Accelerators: slices.Clone(order.Accelerators),
		Bytes:        order.MemoryBytes,
	}, loads
}

// Revision returns the revision of the last adopted inventory.
func (l Ledger) Revision() uint64 {
	return l.revision
}

// Clock returns the latest time of the engine's clock in the accepted reports.
func (l Ledger) Clock() time.Time {
	return l.clock
}

// ChangedByReport reports whether the announcement changes the account in more than
// the engine's clock.
func (l Ledger) ChangedByReport(announcement upstreamapi.Announcement) bool {
	return l.differsIgnoringClock(l.WithReport(announcement))
}

// ChangedByAnswer reports whether the answer changes the account in more than the
// engine's clock.
func (l Ledger) ChangedByAnswer(answer upstreamapi.OrderResponse) bool {
	return l.differsIgnoringClock(l.WithAnswer(answer))
}

// differsIgnoringClock reports whether other, which results from a report or an
// answer, differs from l in more than the engine's clock.
func (l Ledger) differsIgnoringClock(other Ledger) bool {
	sameOrder := func(a, b openOrder) bool { return a.Order.ID == b.Order.ID && a.Doubtful == b.Doubtful }
	return other.incarnation != l.incarnation || other.revision != l.revision ||
		len(other.contradictions) != len(l.contradictions) || !slices.EqualFunc(other.open, l.open, sameOrder)
}
