package foreman

import (
	"maps"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/lovagelift/lovagelift/internal/manifest"
	"github.com/lovagelift/lovagelift/internal/roster"
	"github.com/lovagelift/lovagelift/internal/upstreamapi"
)

// followUpOrders performs the actions that are due for open orders.
func (f *Controller) followUpOrders(now time.Time, term uint64, live map[string]roster.Upstream) {
	state := f.options.State.Manifest()
	f.pruneOrderCalls(state)
	f.mu.Lock()
	calls := maps.Clone(f.orderCalls)
	f.mu.Unlock()
	actions := dueActions(now, actionInput{
		term:       term,
		state:      state,
		live:       live,
		declared:   f.options.Cluster.Configuration().Declarations,
		calls:      calls,
		retryDelay: callRetryDelay,
	})
	for _, next := range actions {
		switch a := next.(type) {
		case withdraw:
			f.propose(manifest.Withdraw{Engine: a.target.engine, ID: a.target.order.ID, Term: term})
		case queryStatus:
			f.startCall(a.target.order.ID, func() { f.queryStatus(term, a.target, live) })
		case resend:
			f.startCall(a.target.order.ID, func() { f.resend(term, a.target) })
		}
	}
}

// pruneOrderCalls removes the entries of orders that are no longer open.
func (f *Controller) pruneOrderCalls(state manifest.View) {
	open := map[string]bool{}
	for _, e := range state.Engines {
		for _, order := range e.Ledger.Open() {
			open[order.ID] = true
		}
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	maps.DeleteFunc(f.orderCalls, func(id string, c orderCall) bool { return !open[id] && !c.inFlight })
}

// startCall runs a call about an order in the background. dueActions returns no other call about
// the order until it ends.
func (f *Controller) startCall(id string, do func()) {
	f.mu.Lock()
	f.orderCalls[id] = orderCall{inFlight: true}
	f.mu.Unlock()
	f.inFlight.Go(func() {
		do()
		f.mu.Lock()
		defer f.mu.Unlock()
		f.orderCalls[id] = orderCall{lastEnded: f.options.Now()}
	})
}

// queryStatus queries the state of an order, and sends the order again if the engine does not know
// it.
func (f *Controller) queryStatus(term uint64, target delivery, live map[string]roster.Upstream) {
	answer, err := f.engines.queryStatus(f.ctx, target.address, target.order.ID)
	if err != nil {
		f.recordLostAnswer(target, err)
		return
	}
	f.recordAnswer(target, answer)
	state := f.options.State.Manifest()
	e, recorded := state.Engine(target.engine)
	if answer.State != upstreamapi.OrderUnknown || !recorded || !isOpen(e, target.order.ID) {
		return
	}
	in := actionInput{state: state, live: live, declared: f.options.Cluster.Configuration().Declarations}
	if in.mayResend(&e, target.order) {
		f.resend(term, target)
	}
}

func isOpen(e manifest.Engine, id string) bool {
	return slices.ContainsFunc(e.Ledger.Open(), func(o upstreamapi.Order) bool { return o.ID == id })
}

// resend sends the same order again under the current fencing number. An engine that has already
// received it answers with the order's state.
func (f *Controller) resend(term uint64, target delivery) {
	sameTerm := target.order.Fencing == term
	if !sameTerm && !f.propose(manifest.Resend{Engine: target.engine, ID: target.order.ID, Term: term}) {
		return
	}
	target.order.Fencing = term
	if !f.maySend(term) {
		return
	}
	answer, err := f.engines.sendOrder(f.ctx, target.address, target.order)
	if err != nil {
		f.recordLostAnswer(target, err)
		return
	}
	f.recordAnswer(target, answer)
}

// send sends an order for the first time, immediately after its record was committed. If the order
// was certainly not sent, send withdraws it.
func (f *Controller) send(target delivery) {
	if !f.maySend(target.order.Fencing) {
		f.propose(manifest.Withdraw{Engine: target.engine, ID: target.order.ID, Term: target.order.Fencing})
		return
	}
	answer, err := f.engines.sendOrder(f.ctx, target.address, target.order)
	switch {
	case errors.Is(err, errNotSent):
		f.options.Log.Warn().Err(err).Str("engine", target.engine).Str("order", target.order.ID).Msg("order not sent")
		f.propose(manifest.Withdraw{Engine: target.engine, ID: target.order.ID, Term: target.order.Fencing})
	case err != nil:
		f.recordLostAnswer(target, err)
	default:
		f.recordAnswer(target, answer)
	}
}

// recordLostAnswer records that the answer to an order was lost, unless that is already recorded.
func (f *Controller) recordLostAnswer(target delivery, err error) {
	f.options.Log.Warn().Err(err).Str("engine", target.engine).Str("order", target.order.ID).Msg("no valid answer to an order")
	e, recorded := f.options.State.Manifest().Engine(target.engine)
	if recorded && isOpen(e, target.order.ID) && !e.Ledger.Doubtful(target.order.ID) {
		f.propose(manifest.AnswerLost{Engine: target.engine, ID: target.order.ID})
	}
}

// recordAnswer records an answer, unless it contains nothing new.
func (f *Controller) recordAnswer(target delivery, answer upstreamapi.OrderResponse) {
	if answer.ID != target.order.ID {
		f.recordLostAnswer(target, errors.Newf("foreman: engine answered for order %q instead of %q", answer.ID, target.order.ID))
		return
	}
	e, recorded := f.options.State.Manifest().Engine(target.engine)
	if !recorded || !e.ChangedByAnswer(answer) {
		return
	}
	f.propose(manifest.Answer{Engine: target.engine, Answer: answer})
	if answer.State == upstreamapi.OrderRunning || answer.State == upstreamapi.OrderUnknown {
		return
	}
	f.options.Log.Info().Str("engine", target.engine).Str("order", target.order.ID).Str("kind", string(target.order.Kind)).
		Str("model", target.order.Model).Str("adapter", target.order.Adapter).Str("version", target.order.Version).
		Str("state", string(answer.State)).Str("reason", answer.Reason).Msg("order finished")
}
