package foreman

import (
	"slices"
	"time"

	"github.com/lovagelift/lovagelift/internal/declaration"
	"github.com/lovagelift/lovagelift/internal/manifest"
	"github.com/lovagelift/lovagelift/internal/roster"
	"github.com/lovagelift/lovagelift/internal/upstreamapi"
)

// action is the next step for an open order: queryStatus, resend or withdraw.
type action interface {
	isAction()
}

// queryStatus queries the engine for the state of the order.
type queryStatus struct{ target delivery }

// resend sends the same order again.
type resend struct{ target delivery }

// withdraw cancels a recorded order that was never sent.
type withdraw struct{ target delivery }

func (queryStatus) isAction() {}
func (resend) isAction()      {}
func (withdraw) isAction()    {}

// delivery is an open order together with its engine.
type delivery struct {
	engine  string
	address string
	order   upstreamapi.Order
	// supportsStatus is true if the engine answers status queries for orders.
	supportsStatus bool
}

// orderCall is the state that this process keeps of its calls about an open order.
type orderCall struct {
	// inFlight is true while a call about the order is in progress.
	inFlight bool
	// lastEnded is when the last call ended.
	lastEnded time.Time
}

// actionInput is the input of dueActions.
type actionInput struct {
	term  uint64
	state manifest.View
	// live holds the result of liveEngines.
	live     map[string]roster.Upstream
	declared declaration.Set
	calls    map[string]orderCall
	// retryDelay is the time from the end of a call about an order to the next call.
	retryDelay time.Duration
}

// dueActions returns the actions that are due at now for the open orders, in the sequence of
// engines and orders.
//
// It skips engines that are not live, and engines whose reports contradict the ledger, because no
// answer of theirs proves anything.
func dueActions(now time.Time, in actionInput) []action {
	var actions []action
	for _, e := range in.state.Engines {
		upstream, live := in.live[e.Announcement.Name]
		if !live || len(e.Ledger.Contradictions()) > 0 {
			continue
		}
		for _, order := range e.Ledger.Open() {
			call, called := in.calls[order.ID]
			target := delivery{
				engine:         e.Announcement.Name,
				address:        upstream.Announcement.Address,
				order:          order,
				supportsStatus: upstream.Announcement.Has(upstreamapi.CapabilityOrderStatus),
			}
			switch {
			case call.inFlight || called && now.Sub(call.lastEnded) < in.retryDelay:
			case !called && !e.Ledger.Doubtful(order.ID) && order.Fencing == in.term:
				// The record was committed after its proposer had given up the proposal.
				actions = append(actions, withdraw{target})
			case target.supportsStatus:
				actions = append(actions, queryStatus{target})
			case in.mayResend(e, order):
				actions = append(actions, resend{target})
			}
		}
	}
	return actions
}

// mayResend reports whether a lost order may be sent again. An order to unload a declared model may
// be sent again only while another live engine holds the model. The other copy that justified the
// order may have been lost since, and the engine may never have received the first transmission:
// sending it again could remove the last copy.
func (in actionInput) mayResend(e *manifest.Engine, order upstreamapi.Order) bool {
	if order.Kind != upstreamapi.OrderUnloadModel && order.Kind != upstreamapi.OrderUnloadAdapter {
		return true
	}
	if _, declared := in.declared.Model(order.Model); !declared {
		return true
	}
	for _, other := range in.state.Engines {
		if _, live := in.live[other.Announcement.Name]; live && other != e && retainsCopy(other, order) {
			return true
		}
	}
	return false
}

// retainsCopy reports whether the engine holds the model or adapter that the order unloads, in any
// version, and has no open order that may remove it.
func retainsCopy(e *manifest.Engine, order upstreamapi.Order) bool {
	open := e.Ledger.Open()
	for _, h := range e.Ledger.Holdings() {
		if h.Model == order.Model && h.Adapter == order.Adapter && !slices.ContainsFunc(open, h.RemovedBy) {
			return true
		}
	}
	return false
}
