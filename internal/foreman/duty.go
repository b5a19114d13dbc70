package foreman

import (
	"slices"
	"time"

	"github.com/lovagelift/lovagelift/internal/declaration"
	"github.com/lovagelift/lovagelift/internal/manifest"
	"github.com/lovagelift/lovagelift/internal/roster"
	"github.com/lovagelift/lovagelift/internal/upstreamapi"
)

// duty is what must be done about one open order. It is an ask, a resend or a
// withdraw.
type duty interface {
	duty()
}

// ask asks the engine what became of the order.
type ask struct{ at place }

// resend sends the same order again.
type resend struct{ at place }

// withdraw takes the order back, which was never sent.
type withdraw struct{ at place }

func (ask) duty()      {}
func (resend) duty()   {}
func (withdraw) duty() {}

// place is an open order and the engine that it is for.
type place struct {
	engine  string
	address string
	order   upstreamapi.Order
	// asks means that the engine answers what became of an order.
	asks bool
}

// hand is what this process knows of an open order.
type hand struct {
	// busy means that a call about the order is under way.
	busy bool
	// tried is when the last one ended.
	tried time.Time
}

// facts are what duties rest on.
type facts struct {
	term  uint64
	state manifest.View
	// present are the engines whose announcement lease holds.
	present  map[string]roster.Upstream
	declared declaration.Set
	hands    map[string]hand
	// retryAfter is the time between two calls about one order.
	retryAfter time.Duration
}

// duties returns what must be done at now about the open orders, in the sequence
// of engines and orders.
//
// An engine that is not heard of is left alone, as is one whose reports
// contradict the account: there, no answer proves anything.
func duties(now time.Time, f facts) []duty {
	var list []duty
	for _, e := range f.state.Engines {
		upstream, present := f.present[e.Announced.Name]
		if !present || len(e.Ledger.Contradictions()) > 0 {
			continue
		}
		for _, order := range e.Ledger.Open() {
			known, mine := f.hands[order.ID]
			at := place{
				engine:  e.Announced.Name,
				address: upstream.Announcement.Address,
				order:   order,
				asks:    upstream.Announcement.Has(upstreamapi.CapabilityOrderStatus),
			}
			switch {
			case known.busy || mine && now.Sub(known.tried) < f.retryAfter:
			case !mine && !e.Ledger.Doubtful(order.ID) && order.Fencing == f.term:
				// Its record was committed after the proposal had been given up.
				list = append(list, withdraw{at})
			case at.asks:
				list = append(list, ask{at})
			case f.mayResend(e, order):
				list = append(list, resend{at})
			}
		}
	}
	return list
}

// mayResend tells whether a lost order may be sent again. The unload of a
// declared model may not while no other engine that is present holds the model:
// the copy that it rested on may be gone since, and the engine may never have
// had the first one. A model would be without a copy by our own doing.
func (f facts) mayResend(e *manifest.Engine, order upstreamapi.Order) bool {
	if order.Kind != upstreamapi.OrderUnloadModel && order.Kind != upstreamapi.OrderUnloadAdapter {
		return true
	}
	if _, declared := f.declared.Model(order.Model); !declared {
		return true
	}
	for _, other := range f.state.Engines {
		if _, present := f.present[other.Announced.Name]; present && other != e && keeps(other, order) {
			return true
		}
	}
	return false
}

// keeps tells whether the engine holds what the order unloads, of any version,
// and no open order may take it out there.
func keeps(e *manifest.Engine, order upstreamapi.Order) bool {
	open := e.Ledger.Open()
	for _, h := range e.Ledger.Holdings() {
		if h.Model == order.Model && h.Adapter == order.Adapter && !slices.ContainsFunc(open, h.RemovedBy) {
			return true
		}
	}
	return false
}
