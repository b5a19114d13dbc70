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
func (c *Controller) followUpOrders(now time.Time, term uint64, live map[string]roster.Upstream) {
	state := c.options.State.Manifest()
	c.pruneOrderCalls(state)
	c.mu.Lock()
	calls := maps.Clone(c.orderCalls)
	c.mu.Unlock()
	actions := dueActions(now, actionInput{
		term:       term,
		state:      state,
		live:       live,
		declared:   c.options.Cluster.Configuration().Declarations,
		calls:      calls,
		retryDelay: callRetryDelay,
	})
	for _, next := range actions {
		switch a := next.(type) {
		case withdraw:
			c.propose(manifest.Withdraw{Engine: a.target.engine, ID: a.target.order.ID, Term: term})
		case queryStatus:
			c.startCall(a.target.order.ID, func() { c.queryStatus(term, a.target, live) })
		case resend:
			c.startCall(a.target.order.ID, func() { c.resend(term, a.target) })
		}
	}
}

// pruneOrderCalls removes the entries of orders that are no longer open.
func (c *Controller) pruneOrderCalls(state manifest.View) {
	open := map[string]bool{}
	for _, e := range state.Engines {
		for _, order := range e.Ledger.Open() {
			open[order.ID] = true
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	maps.DeleteFunc(c.orderCalls, func(id string, call orderCall) bool { return !open[id] && !call.inFlight })
}

// startCall runs a call about an order in the background. dueActions returns no other call about
// the order until it ends.
func (c *Controller) startCall(id string, do func()) {
	c.mu.Lock()
	c.orderCalls[id] = orderCall{inFlight: true}
	c.mu.Unlock()
	c.inFlight.Go(func() {
		do()
		c.mu.Lock()
		defer c.mu.Unlock()
		c.orderCalls[id] = orderCall{lastEnded: c.options.Now()}
	})
}

// queryStatus queries the state of an order, and sends the order again if the engine does not know
// it.
func (c *Controller) queryStatus(term uint64, target delivery, live map[string]roster.Upstream) {
	answer, err := c.engines.queryStatus(c.ctx, target.address, target.order.ID)
	if err != nil {
		c.recordLostAnswer(target, err)
		return
	}
	c.recordAnswer(target, answer)
	state := c.options.State.Manifest()
	e, recorded := state.Engine(target.engine)
	if answer.State != upstreamapi.OrderUnknown || !recorded || !isOpen(e, target.order.ID) {
		return
	}
	in := actionInput{state: state, live: live, declared: c.options.Cluster.Configuration().Declarations}
	if in.mayResend(&e, target.order) {
		c.resend(term, target)
	}
}

func isOpen(e manifest.Engine, id string) bool {
	return slices.ContainsFunc(e.Ledger.Open(), func(o upstreamapi.Order) bool { return o.ID == id })
}

// resend sends the same order again under the current fencing number. An engine that has already
// received it answers with the order's state.
func (c *Controller) resend(term uint64, target delivery) {
	sameTerm := target.order.Fencing == term
	if !sameTerm && !c.propose(manifest.Resend{Engine: target.engine, ID: target.order.ID, Term: term}) {
		return
	}
	target.order.Fencing = term
	if !c.maySend(term) {
		return
	}
	answer, err := c.engines.sendOrder(c.ctx, target.address, target.order)
	if err != nil {
		c.recordLostAnswer(target, err)
		return
	}
	c.recordAnswer(target, answer)
}

// send sends an order for the first time, immediately after its record was committed. If the order
// was certainly not sent, send withdraws it.
func (c *Controller) send(target delivery) {
	if !c.maySend(target.order.Fencing) {
		c.propose(manifest.Withdraw{Engine: target.engine, ID: target.order.ID, Term: target.order.Fencing})
		return
	}
	answer, err := c.engines.sendOrder(c.ctx, target.address, target.order)
	switch {
	case errors.Is(err, errNotSent):
		c.options.Log.Warn().Err(err).Str("engine", target.engine).Str("order", target.order.ID).Msg("order not sent")
		c.propose(manifest.Withdraw{Engine: target.engine, ID: target.order.ID, Term: target.order.Fencing})
	case err != nil:
		c.recordLostAnswer(target, err)
	default:
		c.recordAnswer(target, answer)
	}
}

// recordLostAnswer records that the answer to an order was lost, unless that is already recorded.
func (c *Controller) recordLostAnswer(target delivery, err error) {
	c.options.Log.Warn().Err(err).Str("engine", target.engine).Str("order", target.order.ID).Msg("no valid answer to an order")
	e, recorded := c.options.State.Manifest().Engine(target.engine)
	if recorded && isOpen(e, target.order.ID) && !e.Ledger.Doubtful(target.order.ID) {
		c.propose(manifest.AnswerLost{Engine: target.engine, ID: target.order.ID})
	}
}

// recordAnswer records an answer, unless it contains nothing new.
func (c *Controller) recordAnswer(target delivery, answer upstreamapi.OrderResponse) {
	if answer.ID != target.order.ID {
		c.recordLostAnswer(target, errors.Newf("foreman: engine answered for order %q instead of %q", answer.ID, target.order.ID))
		return
	}
	e, recorded := c.options.State.Manifest().Engine(target.engine)
	if !recorded || !e.ChangedByAnswer(answer) {
		return
	}
	c.propose(manifest.Answer{Engine: target.engine, Answer: answer})
	if answer.State == upstreamapi.OrderRunning || answer.State == upstreamapi.OrderUnknown {
		return
	}
	c.options.Log.Info().Str("engine", target.engine).Str("order", target.order.ID).Str("kind", string(target.order.Kind)).
		Str("model", target.order.Model).Str("adapter", target.order.Adapter).Str("version", target.order.Version).
		Str("state", string(answer.State)).Str("reason", answer.Reason).Msg("order finished")
}
