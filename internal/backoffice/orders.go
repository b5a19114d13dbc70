package backoffice

import (
	"context"

	"github.com/lovagelift/lovagelift/internal/upstreamapi"
)

// orderResult is what the leader knows of an order after it tried to send it.
type orderResult interface {
	isOrderResult()
}

// orderNotSent means that the leader did not get the right to send the order.
type orderNotSent struct{}

// orderUnanswered means that the engine may carry out the order, now or later.
type orderUnanswered struct{}

// orderAnswered holds the answer of the engine.
type orderAnswered struct {
	answer OrderAnswer
}

func (orderNotSent) isOrderResult()    {}
func (orderUnanswered) isOrderResult() {}
func (orderAnswered) isOrderResult()   {}

// answerOf returns the engine's answer, or the zero value if there is none. An order that was
// not sent counts as refused.
func answerOf(result orderResult) OrderAnswer {
	switch r := result.(type) {
	case orderAnswered:
		return r.answer
	case orderNotSent:
		return Refused
	default:
		return 0
	}
}

// carriesOut reports whether the engine carries out the order, or has done so before.
func (a OrderAnswer) carriesOut() bool {
	return a == Accepted || a == AlreadyDone
}

// sendOrder sends an order that e.beginOrder returned. It reports whether the engine
// carries out the order.
func (o *orchestrator) sendOrder(ctx context.Context, e *engine, order Order) bool {
	fence, allowed := o.fencingNumber()
	order.Holder, order.FencingNumber = o.instance.options.Address, fence
	var result orderResult = orderNotSent{}
	var err error
	if allowed {
		result, err = o.deliverOrder(ctx, e, order)
	}
	o.logOrder(e, order, result, err)
	if result == (orderAnswered{RefusedByOtherProcess}) {
		// Announcements of the engine may still arrive, but its process no longer exists.
		o.instance.noteLeave(o.instance.options.Now(), upstreamapi.Leave{Name: e.Name, Incarnation: e.incarnation})
	}
	o.instance.options.Metrics.SubScope("backoffice").Tagged(map[string]string{"answer": answerOf(result).String()}).Counter("orders").Inc(1)
	o.mu.Lock()
	defer o.mu.Unlock()
	defer e.notifyWaiters()
	e.completeOrder(o.instance.options.Now(), order, result)
	o.markChanged()
	return answerOf(result).carriesOut()
}

// deliverOrder takes the lease of the engine and sends the order. It returns the reason
// unless the engine answers.
func (o *orchestrator) deliverOrder(ctx context.Context, e *engine, order Order) (orderResult, error) {
	if err := o.leases.take(ctx, e.Name); err != nil {
		return orderNotSent{}, err
	}
	o.mu.Lock()
	e.unconfirmed.begin(o.instance.options.Now(), order)
	o.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	answer, err := o.instance.options.Engines.Order(ctx, e.EngineAddress, order)
	if err != nil {
		return orderUnanswered{}, err
	}
	return orderAnswered{answer}, nil
}

func (o *orchestrator) logOrder(e *engine, order Order, result orderResult, err error) {
	kind := "load"
	if order.Kind == Unload {
		kind = "unload"
	}
	o.instance.options.Log.Info().Err(err).Str("engine", e.Name).Str("order", kind).Str("model", order.Model).
		Str("adapter", order.Adapter).Uint64("expected", order.ExpectedSequence).Uint64("fence", order.FencingNumber).
		Bool("right", result != orderNotSent{}).Stringer("answer", answerOf(result)).Msg("order to an engine")
}
