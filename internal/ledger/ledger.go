// Package ledger is the worst-case memory accounting of an engine's accelerators.
//
// Orders are commands to an engine, such as loading or unloading a model. Orders
// and their answers can be lost, delayed, or sent by an earlier leader. A Ledger
// therefore counts everything that may be in memory: the contents of the engine's
// last report, and everything that open orders may load. An order is open until
// there is proof that it can have no further effect and that the engine's reports
// include its effects. An open order is doubtful if its answer was lost or if an
// earlier leader sent it. An unload frees memory only when the engine reports the
// memory as freed. The worst case never exceeds an accelerator's memory, so the
// engine is not overcommitted whichever orders take effect, in any sequence.
//
// The package has no side effects: recording an order or a report returns a new
// Ledger.
package ledger

import (
	"slices"
	"time"

	"github.com/lovagelift/lovagelift/internal/finding"
	"github.com/lovagelift/lovagelift/internal/upstreamapi"
)

// Ledger is the memory account of one engine. It is an immutable value: its With
// methods return a modified copy. The zero value is the account of an engine that
// has not reported yet.
type Ledger struct {
	guarantees Guarantees
	// incarnation and revision are those of the last adopted inventory, or 0 before
	// the first one.
	incarnation uint64
	revision    uint64
	// clock is the latest time of the engine's clock in the accepted reports of the
	// incarnation.
	clock        time.Time
	accelerators []accelerator
	// resident are the artifacts in the adopted inventory, once each, and those being
	// unloaded, once for each order that may have loaded them.
	resident []resident
	// roleBytes is the memory that the role uses on each accelerator.
	roleBytes int64
	// open are the open orders in ascending order of their numbers. All are meant
	// for incarnation.
	open []openOrder
	// highestNumber is the highest order number, and highestFencing the highest
	// fencing number, that was ever recorded.
	highestNumber  uint64
	highestFencing uint64
	// contradictions are the reported facts that the account rules out. While there
	// are any, no order is recorded and no inventory of the incarnation is adopted.
	contradictions []finding.Finding
}

// Guarantees are the properties of an engine that serve as proof that an order can
// have no further effect.
type Guarantees struct {
	// ChecksFencing means that the engine refuses an order whose fencing number is
	// lower than the highest one it has received.
	ChecksFencing bool `json:"checks-fencing"`
	// HonoursExpiry means that the engine refuses an order after its expiry time,
	// by the engine's own clock, which does not run backwards.
	HonoursExpiry bool `json:"honours-expiry"`
}

// GuaranteesOf returns the guarantees in an announcement.
func GuaranteesOf(announcement upstreamapi.Announcement) Guarantees {
	return Guarantees{
		ChecksFencing: announcement.Fencing == upstreamapi.FencingChecked,
		HonoursExpiry: announcement.Has(upstreamapi.CapabilityOrderExpiry),
	}
}

type accelerator struct {
	Name  string `json:"name"`
	Bytes int64  `json:"bytes"`
}

// artifact identifies a model version, or an adapter of one. An engine loads an
// artifact at most once.
type artifact struct {
	Model   string `json:"model"`
	Version string `json:"version,omitempty"`
	// Adapter is empty for the model itself.
	Adapter string `json:"adapter,omitempty"`
}

// String formats the artifact as model@version/adapter.
func (a artifact) String() string {
	text := a.Model
	if a.Version != "" {
		text += "@" + a.Version
	}
	if a.Adapter != "" {
		text += "/" + a.Adapter
	}
	return text
}

// resident is an artifact that uses memory.
type resident struct {
	Artifact artifact `json:"thing"`
	// Accelerators are the names of the accelerators that hold it.
	Accelerators []string `json:"accelerators,omitempty"`
	// Bytes is the memory that it uses on each of Accelerators.
	Bytes int64 `json:"bytes"`
	// Unloading means that the engine no longer serves requests with the artifact
	// and has not yet freed its memory.
	Unloading bool `json:"leaving,omitempty"`
}

// openOrder is an order that may still have an effect that no report has shown.
type openOrder struct {
	Order upstreamapi.Order `json:"order"`
	// Doubtful means that the answer was lost, or that an earlier leader sent the
	// order.
	Doubtful bool `json:"doubtful,omitempty"`
}

// Incarnation returns the incarnation of the engine to which orders must be
// addressed. It is 0 if the engine has not reported yet.
func (l Ledger) Incarnation() uint64 {
	return l.incarnation
}

// Contradictions returns the reported facts that the account rules out. While
// there are any, no order is recorded.
func (l Ledger) Contradictions() []finding.Finding {
	return slices.Clone(l.contradictions)
}

// Open returns the open orders in ascending order of their numbers.
func (l Ledger) Open() []upstreamapi.Order {
	orders := make([]upstreamapi.Order, 0, len(l.open))
	for _, o := range l.open {
		orders = append(orders, o.Order)
	}
	return orders
}

// Holds reports whether the model is available to serve requests according to the
// engine's last report.
func (l Ledger) Holds(model, version string) bool {
	return slices.ContainsFunc(l.resident, func(r resident) bool {
		return r.Artifact == artifact{Model: model, Version: version} && !r.Unloading
	})
}

// clone returns a copy whose resident and open slices can be modified.
func (l Ledger) clone() Ledger {
	l.resident = slices.Clone(l.resident)
	l.open = slices.Clone(l.open)
	return l
}
