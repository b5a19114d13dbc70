package manifest

import (
	"slices"
	"time"

	"github.com/lovagelift/lovagelift/internal/ledger"
	"github.com/lovagelift/lovagelift/internal/upstreamapi"
)

// Engine is the recorded state of one engine. It is an immutable value.
type Engine struct {
	// Announcement is the last recorded announcement without the inventory, which is in
	// Ledger, and without the load, which package roster keeps, except Load.MaxRunning.
	Announcement upstreamapi.Announcement `json:"announced"`
	// Ledger is the account of the engine's memory, including the open orders.
	Ledger ledger.Ledger `json:"ledger"`
	// Orders are the open orders and the last maxClosedOrders closed ones, in the
	// order in which they were recorded.
	Orders []OrderEntry `json:"orders,omitempty"`
}

// OrderEntry describes an order and its state for display.
type OrderEntry struct {
	ID      string                `json:"id"`
	Kind    upstreamapi.OrderKind `json:"kind"`
	Model   string                `json:"model,omitempty"`
	Version string                `json:"version,omitempty"`
	Adapter string                `json:"adapter,omitempty"`
	// PlacementReason and At are copied from Record.
	PlacementReason string    `json:"why"`
	At              time.Time `json:"at"`
	State           State     `json:"state"`
	// RefusalReason is the engine's reason for a refused order, truncated to
	// MaxReasonBytes.
	RefusalReason string `json:"reason,omitempty"`
}

// State is the state of an order.
type State string

// The states of an order.
const (
	// StateRecorded means that the order is open and the current leader may have sent
	// it.
	StateRecorded State = "recorded"
	// StateRunning means that the engine has confirmed that it is executing the order.
	StateRunning State = "running"
	// StateDoubtful means that the order is open and that its answer was lost or an
	// earlier leader sent it.
	StateDoubtful State = "doubtful"
	// StateDone means that the order has taken effect, or was in effect already.
	StateDone State = "done"
	// StateRefused means that the order changed nothing and never will.
	StateRefused State = "refused"
	// StateWithdrawn means that the order was never sent.
	StateWithdrawn State = "withdrawn"
	// StateClosedWithoutAnswer means that a report proved that the order can have no
	// further effect, and does not show one. A final answer that arrives later
	// replaces it.
	StateClosedWithoutAnswer State = "over"
)

// isOpen reports whether an order in this state may still take effect.
func (s State) isOpen() bool {
	return s == StateRecorded || s == StateRunning || s == StateDoubtful
}

// maxClosedOrders limits the number of closed orders kept for each engine.
const maxClosedOrders = 16

// ChangedByAnnouncement reports whether the announcement changes the recorded state
// of the engine, so that a Reports command should be proposed.
//
// Most announcements contain nothing new and are dismissed by their revision alone:
// an announcement with a revision that is already recorded can't close an order that
// was recorded later.
func (e Engine) ChangedByAnnouncement(a upstreamapi.Announcement) bool {
	revisionKnown := a.Incarnation == e.Ledger.Incarnation() && a.Revision <= e.Ledger.Revision()
	if revisionKnown && ledger.GuaranteesOf(a) == ledger.GuaranteesOf(e.Announcement) {
		return false
	}
	return a.Incarnation > e.Announcement.Incarnation || e.Ledger.ChangedByReport(e.withRecordedClock(a))
}

// withRecordedClock returns the announcement with the last recorded time of the
// engine's clock, unless it is of another incarnation than the recorded one.
//
// Announcements arrive through package roster, which combines an engine's last
// inventory with the load and the clock of a later message. With that clock, an order
// that started between the two would count as expired and not running, and its memory
// would be allocated twice. Answers to orders come directly from the engine with the
// clock at the time of their inventory, so only answers can prove expiry.
func (e Engine) withRecordedClock(a upstreamapi.Announcement) upstreamapi.Announcement {
	if a.Incarnation == e.Ledger.Incarnation() {
		a.Load.Clock = e.Ledger.Clock()
	}
	return a
}

// withLedger returns the engine with another account and updates the states of its
// orders. An order that is no longer open in the account gets its provedState,
// unless its entry already has a closed state. The oldest closed orders beyond
// maxClosedOrders are removed.
func (e Engine) withLedger(account ledger.Ledger) Engine {
	restarted := account.Incarnation() != e.Ledger.Incarnation()
	e.Ledger = account
	open := map[string]bool{}
	for _, order := range account.Open() {
		open[order.ID] = true
	}
	e.Orders = slices.Clone(e.Orders)
	closed := 0
	for i := range e.Orders {
		entry := &e.Orders[i]
		switch {
		case !entry.State.isOpen():
		case !open[entry.ID]:
			entry.State = entry.provedState(account, restarted)
		case account.Doubtful(entry.ID):
			entry.State = StateDoubtful
		case entry.State == StateDoubtful:
			entry.State = StateRecorded
		}
		if !entry.State.isOpen() {
			closed++
		}
	}
	e.Orders = slices.DeleteFunc(e.Orders, func(entry OrderEntry) bool {
		drop := closed > maxClosedOrders && !entry.State.isOpen()
		if drop {
			closed--
		}
		return drop
	})
	return e
}

// provedState returns the state of an order that the account closes without an answer
// to it: StateDone if the account shows its result, otherwise
// StateClosedWithoutAnswer. After a restart, what the account shows is not due to the
// order.
func (o OrderEntry) provedState(account ledger.Ledger, restarted bool) State {
	held := slices.ContainsFunc(account.Holdings(), func(h ledger.Holding) bool {
		return h.Model == o.Model && h.Version == o.Version && h.Adapter == o.Adapter
	})
	inEffect := false
	switch o.Kind {
	case upstreamapi.OrderLoadModel, upstreamapi.OrderLoadAdapter:
		inEffect = held
	case upstreamapi.OrderUnloadModel, upstreamapi.OrderUnloadAdapter:
		inEffect = !held
	default:
	}
	if inEffect && !restarted {
		return StateDone
	}
	return StateClosedWithoutAnswer
}

// awaitsAnswer reports whether the answer is of the current incarnation and its order
// has not had a final answer yet.
func (e Engine) awaitsAnswer(answer upstreamapi.OrderResponse) bool {
	return answer.Incarnation == e.Ledger.Incarnation() && slices.ContainsFunc(e.Orders, func(entry OrderEntry) bool {
		return entry.ID == answer.ID && (entry.State.isOpen() || entry.State == StateClosedWithoutAnswer)
	})
}

// withOrderState returns the engine with the given state and reason in the entry of
// an order.
func (e Engine) withOrderState(id string, state State, reason string) Engine {
	i := slices.IndexFunc(e.Orders, func(entry OrderEntry) bool { return entry.ID == id })
	if i < 0 {
		return e
	}
	e.Orders = slices.Clone(e.Orders)
	e.Orders[i].State, e.Orders[i].RefusalReason = state, reason
	return e
}

// openOrder returns the open order with that ID, or false.
func (e Engine) openOrder(id string) (upstreamapi.Order, bool) {
	open := e.Ledger.Open()
	i := slices.IndexFunc(open, func(o upstreamapi.Order) bool { return o.ID == id })
	if i < 0 {
		return upstreamapi.Order{}, false
	}
	return open[i], true
}

// withoutInventory returns the announcement without the inventory and the load,
// except Load.MaxRunning.
func withoutInventory(a upstreamapi.Announcement) upstreamapi.Announcement {
	return upstreamapi.Announcement{
		Name:               a.Name,
		Incarnation:        a.Incarnation,
		Address:            a.Address,
		Kind:               a.Kind,
		FailureDomain:      a.FailureDomain,
		Fencing:            a.Fencing,
		OrderAuthorization: a.OrderAuthorization,
		Capabilities:       a.Capabilities,
		Role:               a.Role,
		Load:               upstreamapi.Load{MaxRunning: a.Load.MaxRunning},
	}
}

// ChangedByAnswer reports whether the answer changes the recorded state of the engine in
// more than its clock, so that an Answer command should be proposed.
func (e Engine) ChangedByAnswer(answer upstreamapi.OrderResponse) bool {
	i := slices.IndexFunc(e.Orders, func(entry OrderEntry) bool { return entry.ID == answer.ID })
	running := i >= 0 && e.Orders[i].State == StateRunning
	return e.Ledger.ChangedByAnswer(answer) || answer.State == upstreamapi.OrderRunning && !running ||
		answer.State.Terminal() && e.awaitsAnswer(answer)
}
