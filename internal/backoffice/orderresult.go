package backoffice

import "time"

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

// completeOrder updates e by the result of the pending order.
func (e *engine) completeOrder(now time.Time, order Order, result orderResult) {
	e.orderPending = false
	if order.Adapter == "" && order.Kind == Unload {
		e.unloading = result == orderAnswered{Accepted}
		if !e.unloading {
			e.withdrawn = ""
		}
	}
	switch r := result.(type) {
	case orderUnanswered:
		// The engine may still carry out the order. ExpectedSequence, the number of accepted
		// orders, prevents this order and a later one from both taking the same memory.
		e.unconfirmed.markUnanswered()
		e.markStale()
	case orderNotSent:
		e.markStale()
	case orderAnswered:
		e.unconfirmed.confirm()
		if !r.answer.carriesOut() {
			e.markStale()
			return
		}
		e.applyOrder(now, order)
		if order.Kind == Unload && order.Adapter != "" && r.answer == Accepted {
			e.adapterLoadsBlockedUntil = now.Add(adapterUnloadTime)
		}
	}
}
