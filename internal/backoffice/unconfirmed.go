package backoffice

import (
	"slices"
	"time"
)

// maxOrderDelay is how long an order without an answer may take to arrive: workers can
// leave orders unprocessed for some seconds.
const maxOrderDelay = 30 * time.Second

// unconfirmedOrders holds the orders to an engine without a known answer.
//
// An order is valid at one sequence number of accepted orders. The number only grows
// while an engine's process lives, so a late order has no effect after a newer one. A
// process that restarts under the same name counts from 0, so an order to its
// predecessor may become valid again, load a model in addition to those loaded since
// the restart, exceed the engine's memory and crash it. Therefore the memory that such
// an order would take counts as used until the engine's sequence number has passed it.
type unconfirmedOrders struct {
	// current is the pending order, or nil.
	current *unconfirmedOrder
	// unanswered holds orders to this process, and inherited those to its predecessor.
	unanswered []unconfirmedOrder
	inherited  []unconfirmedOrder
}

type unconfirmedOrder struct {
	Order
	sentAt time.Time
}

func (u *unconfirmedOrders) begin(now time.Time, order Order) {
	u.current = &unconfirmedOrder{Order: order, sentAt: now}
}

func (u *unconfirmedOrders) confirm() {
	u.current = nil
}

func (u *unconfirmedOrders) markUnanswered() {
	if u.current == nil {
		return
	}
	u.unanswered = append(u.unanswered, *u.current)
	u.current = nil
}

// forSuccessor returns the unconfirmed orders for the next process under the same name.
func (u *unconfirmedOrders) forSuccessor(now time.Time) unconfirmedOrders {
	u.markUnanswered()
	all := append(slices.Clone(u.unanswered), u.inherited...)
	next := unconfirmedOrders{inherited: slices.DeleteFunc(all, func(o unconfirmedOrder) bool { return o.Kind != Load })}
	next.expire(now)
	return next
}

// expire removes the orders that can no longer arrive.
func (u *unconfirmedOrders) expire(now time.Time) {
	expired := func(o unconfirmedOrder) bool { return now.Sub(o.sentAt) >= maxOrderDelay }
	u.unanswered = slices.DeleteFunc(u.unanswered, expired)
	u.inherited = slices.DeleteFunc(u.inherited, expired)
}

// formerOrders holds the unconfirmed orders to engines that are gone, by name: a process that starts
// under the name later may still be reached by them.
type formerOrders map[string]formerProcess

// formerProcess is a process that is gone, with the orders that may reach its successor.
type formerProcess struct {
	incarnation uint64
	orders      unconfirmedOrders
}

// expire removes the orders that can no longer arrive.
func (f formerOrders) expire(now time.Time) {
	for name, former := range f {
		former.orders.expire(now)
		f[name] = former
		if len(former.orders.inherited) == 0 {
			delete(f, name)
		}
	}
}

// keep keeps the orders to an engine that is gone.
func (f formerOrders) keep(now time.Time, e *engine) {
	if orders := e.unconfirmed.forSuccessor(now); len(orders.inherited) > 0 {
		f[e.Name] = formerProcess{incarnation: e.incarnation, orders: orders}
	}
}

// take removes and returns the orders that may still reach a process. If it is the process that seemed to
// be gone, its sequence number keeps them from taking memory in addition to later ones.
func (f formerOrders) take(now time.Time, name string, incarnation uint64) unconfirmedOrders {
	former := f[name]
	delete(f, name)
	former.orders.expire(now)
	if former.incarnation == incarnation {
		return unconfirmedOrders{unanswered: former.orders.inherited}
	}
	return former.orders
}

// stillExecutable returns the inherited orders that e could still carry out.
func (u *unconfirmedOrders) stillExecutable(e *engine) []unconfirmedOrder {
	return slices.DeleteFunc(slices.Clone(u.inherited), func(o unconfirmedOrder) bool {
		return o.ExpectedSequence < e.report.Sequence || o.Adapter == "" && (e.model(o.Model) != nil || e.loading == o.Model)
	})
}

// megabytes returns the memory of e that orders could still take.
func (u *unconfirmedOrders) megabytes(e *engine) float64 {
	total := 0.0
	for _, order := range u.stillExecutable(e) {
		model, _ := e.spec.Model(order.Model)
		if order.Adapter == "" {
			total += model.Megabytes
		} else {
			total += model.AdapterMegabytes
		}
	}
	return total
}

// adapterSlots returns how many adapter slots of e orders could still take.
func (u *unconfirmedOrders) adapterSlots(e *engine) int {
	count := 0
	for _, order := range u.stillExecutable(e) {
		if order.Adapter != "" {
			count++
		}
	}
	return count
}
