package manifest

import (
	"slices"
	"time"

	"github.com/lovagelift/lovagelift/internal/ledger"
	"github.com/lovagelift/lovagelift/internal/upstreamapi"
)

// Engine is what is recorded of one engine. It is an immutable value.
type Engine struct {
	// Announced is what the engine last said of itself that was recorded. What it
	// holds and its load are left out: Ledger and the roster have those.
	Announced upstreamapi.Announcement `json:"announced"`
	// Ledger is the account of its memory, with the open orders.
	Ledger ledger.Ledger `json:"ledger"`
	// Orders are the open orders and the last that are over, in the sequence in
	// which they were recorded: at most maxOver of those that are over.
	Orders []Entry `json:"orders,omitempty"`
}

// Entry tells people of one order.
type Entry struct {
	ID      string                `json:"id"`
	Kind    upstreamapi.OrderKind `json:"kind"`
	Model   string                `json:"model,omitempty"`
	Version string                `json:"version,omitempty"`
	Adapter string                `json:"adapter,omitempty"`
	// Why and At are those of Record.
	Why   string    `json:"why"`
	At    time.Time `json:"at"`
	State State     `json:"state"`
	// Reason is the engine's, if it refused the order.
	Reason string `json:"reason,omitempty"`
}

// State says how far an order is.
type State string

// The states of an order.
const (
	// StateRecorded may have been sent by the present leader.
	StateRecorded State = "recorded"
	// StateRunning is being carried out, by the engine's word.
	StateRunning State = "running"
	// StateDoubtful may take effect or have done so: its answer was lost, or an
	// earlier leader gave it.
	StateDoubtful State = "doubtful"
	// StateDone is in force.
	StateDone State = "done"
	// StateRefused changed nothing and never will.
	StateRefused State = "refused"
	// StateWithdrawn was never sent.
	StateWithdrawn State = "withdrawn"
	// StateOver is proved to be over by a report, without an answer.
	StateOver State = "over"
)

// open tells whether the order may yet take effect.
func (s State) open() bool {
	return s == StateRecorded || s == StateRunning || s == StateDoubtful
}

// maxOver is how many orders that are over are kept for each engine.
const maxOver = 16

// Learns tells whether the announcement changes what is recorded of the engine,
// so that it is worth a Reports.
//
// Most announcements say nothing new, which their revision tells without a look at
// the rest: a revision that was recorded closes no order that was recorded after.
func (e Engine) Learns(a upstreamapi.Announcement) bool {
	seen := a.Incarnation == e.Ledger.Incarnation() && a.Revision <= e.Ledger.Revision()
	if seen && ledger.TraitsOf(a) == ledger.TraitsOf(e.Announced) {
		return false
	}
	return a.Incarnation > e.Announced.Incarnation || e.Ledger.Learns(e.dated(a))
}

// dated returns an announcement of the recorded incarnation with the clock that
// was last recorded.
//
// An announcement comes by the roster, which joins what an engine last said that
// it holds with the load and the clock of a later message. By that clock, an
// order that began in between would count as expired and not under way: its
// memory would be given out twice. Answers to orders come from the engine itself
// with the clock of their moment, so expiry is proved by them alone.
func (e Engine) dated(a upstreamapi.Announcement) upstreamapi.Announcement {
	if a.Incarnation == e.Ledger.Incarnation() {
		a.Load.Clock = e.Ledger.Clock()
	}
	return a
}

// withLedger returns the engine with another account. Orders that are no longer
// open in it have ended as StateOver, unless their entry says otherwise.
func (e Engine) withLedger(account ledger.Ledger) Engine {
	e.Ledger = account
	open := map[string]bool{}
	for _, order := range account.Open() {
		open[order.ID] = true
	}
	e.Orders = slices.Clone(e.Orders)
	over := 0
	for i := range e.Orders {
		entry := &e.Orders[i]
		switch {
		case !entry.State.open():
		case !open[entry.ID]:
			entry.State = StateOver
		case account.Doubtful(entry.ID):
			entry.State = StateDoubtful
		case entry.State == StateDoubtful:
			entry.State = StateRecorded
		}
		if !entry.State.open() {
			over++
		}
	}
	e.Orders = slices.DeleteFunc(e.Orders, func(entry Entry) bool {
		drop := over > maxOver && !entry.State.open()
		if drop {
			over--
		}
		return drop
	})
	return e
}

// withState returns the engine with an order's entry in that state.
func (e Engine) withState(id string, state State, reason string) Engine {
	i := slices.IndexFunc(e.Orders, func(entry Entry) bool { return entry.ID == id })
	if i < 0 {
		return e
	}
	e.Orders = slices.Clone(e.Orders)
	e.Orders[i].State, e.Orders[i].Reason = state, reason
	return e
}

// openOrder returns the open order of that id, or false.
func (e Engine) openOrder(id string) (upstreamapi.Order, bool) {
	open := e.Ledger.Open()
	i := slices.IndexFunc(open, func(o upstreamapi.Order) bool { return o.ID == id })
	if i < 0 {
		return upstreamapi.Order{}, false
	}
	return open[i], true
}

// identified returns what an announcement says of the engine itself, without
// what it holds and its load.
func identified(a upstreamapi.Announcement) upstreamapi.Announcement {
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

// LearnsFrom tells whether the answer changes more of what is recorded than the
// time on the engine's clock, so that it is worth an Answer.
func (e Engine) LearnsFrom(answer upstreamapi.OrderAnswer) bool {
	i := slices.IndexFunc(e.Orders, func(entry Entry) bool { return entry.ID == answer.ID })
	running := i >= 0 && e.Orders[i].State == StateRunning
	return e.Ledger.LearnsFrom(answer) || answer.State == upstreamapi.OrderRunning && !running
}
