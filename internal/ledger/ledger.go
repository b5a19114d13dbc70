// Package ledger accounts for the memory of one engine's accelerators at its
// worst (memory accounting under uncertainty).
//
// Orders to an engine and their answers get lost, arrive late or come from an
// earlier leader. A Ledger therefore counts what may be in memory: everything
// that the engine last reported, and everything that an order may load that has
// not been proved to be over. An unload gives nothing back before the engine's
// own report shows it. What may be in memory never exceeds the accelerator, so
// whatever subset of the orders takes effect, in whatever sequence, the engine
// is not overcommitted.
//
// The package is pure: the durable records of orders, and reports, go in, and a
// new Ledger comes out.
package ledger

import (
	"slices"
	"time"

	"github.com/lovagelift/lovagelift/internal/finding"
	"github.com/lovagelift/lovagelift/internal/upstreamapi"
)

// Ledger is the account of one engine. It is an immutable value: its With
// methods return a changed copy. The zero value is that of an engine that has
// not reported yet.
type Ledger struct {
	traits Traits
	// incarnation and revision are those of the inventory that was last adopted.
	// They are 0 before the first.
	incarnation uint64
	revision    uint64
	// clock is the latest time on the engine's clock in any inventory of the
	// incarnation.
	clock        time.Time
	accelerators []accelerator
	// resident is what the adopted inventory says, with what is leaving. What
	// leaves may stand there more than once, as each order that may have loaded it
	// says. Anything else stands there once.
	resident []resident
	// roleBytes are taken of each accelerator by the role.
	roleBytes int64
	// open are the orders that may yet take effect, or have taken effect without
	// an inventory that shows it, in the sequence of their numbers. Each is meant
	// for incarnation.
	open []openOrder
	// highestNumber and highestFencing are those of all orders ever recorded.
	highestNumber  uint64
	highestFencing uint64
	// contradictions are what an inventory reported that cannot be, by the
	// account. While there are any, no order is recorded and no inventory of the
	// incarnation is adopted.
	contradictions []finding.Finding
}

// Traits are the promises of an engine on which proofs rest.
type Traits struct {
	// ChecksFencing means that the engine refuses an order with a lower fencing
	// number than one it has seen.
	ChecksFencing bool `json:"checks-fencing"`
	// HonoursExpiry means that the engine refuses an order after its time, on its
	// own clock, which does not run backwards.
	HonoursExpiry bool `json:"honours-expiry"`
}

// TraitsOf returns what an announcement promises.
func TraitsOf(announcement upstreamapi.Announcement) Traits {
	return Traits{
		ChecksFencing: announcement.Fencing == upstreamapi.FencingChecked,
		HonoursExpiry: announcement.Has(upstreamapi.CapabilityOrderExpiry),
	}
}

type accelerator struct {
	Name  string `json:"name"`
	Bytes int64  `json:"bytes"`
}

// thing is a version of a model, or an adapter beside one. It is loaded once at
// most by one engine.
type thing struct {
	Model   string `json:"model"`
	Version string `json:"version,omitempty"`
	// Adapter is empty for the model itself.
	Adapter string `json:"adapter,omitempty"`
}

// String returns the thing in the form model@version/adapter.
func (t thing) String() string {
	text := t.Model
	if t.Version != "" {
		text += "@" + t.Version
	}
	if t.Adapter != "" {
		text += "/" + t.Adapter
	}
	return text
}

// resident is a thing in memory, or on its way out.
type resident struct {
	Thing thing `json:"thing"`
	// Accelerators are those that it takes Bytes of, each.
	Accelerators []string `json:"accelerators,omitempty"`
	Bytes        int64    `json:"bytes"`
	// Leaving means that the engine has taken it out of those that serve, and
	// has not given back its memory.
	Leaving bool `json:"leaving,omitempty"`
}

// openOrder is an order that is not proved to be over.
type openOrder struct {
	Order upstreamapi.Order `json:"order"`
	// Doubtful means that its answer was lost, or that an earlier leader gave it.
	Doubtful bool `json:"doubtful,omitempty"`
}

// Incarnation returns the engine's incarnation, for which orders are meant. It is
// 0 if the engine has not reported yet.
func (l Ledger) Incarnation() uint64 {
	return l.incarnation
}

// Contradictions returns why no order is recorded: what the engine reported that
// cannot be by the account. It is empty in good order.
func (l Ledger) Contradictions() []finding.Finding {
	return slices.Clone(l.contradictions)
}

// Open returns the orders that are not proved to be over, in the sequence of
// their numbers.
func (l Ledger) Open() []upstreamapi.Order {
	orders := make([]upstreamapi.Order, 0, len(l.open))
	for _, o := range l.open {
		orders = append(orders, o.Order)
	}
	return orders
}

// Holds tells whether the engine has the model in memory to serve requests, by
// its last report.
func (l Ledger) Holds(model, version string) bool {
	return slices.ContainsFunc(l.resident, func(r resident) bool {
		return r.Thing == thing{Model: model, Version: version} && !r.Leaving
	})
}

// clone returns a copy whose slices can be changed.
func (l Ledger) clone() Ledger {
	l.resident = slices.Clone(l.resident)
	l.open = slices.Clone(l.open)
	return l
}
