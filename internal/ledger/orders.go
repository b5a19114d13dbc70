package ledger

import (
	"slices"

	"github.com/cockroachdb/errors"

	"github.com/lovagelift/lovagelift/internal/upstreamapi"
)

// Errors of orders that are not recorded.
var (
	// ErrContradicted means that the engine's reports contradict the account.
	ErrContradicted = errors.New("ledger: the engine's reports contradict the account")
	// ErrIncarnation means that the order is meant for an incarnation that is not
	// the engine's.
	ErrIncarnation = errors.New("ledger: the order is meant for another incarnation")
	// ErrStale means that the order has a number or a fencing number that is not
	// the latest.
	ErrStale = errors.New("ledger: the number or the fencing number of the order is stale")
	// ErrUnknownOrder means that no such order is open.
	ErrUnknownOrder = errors.New("ledger: no such order is open")
)

// WithOrder records an order before it is sent. From then on, it counts as
// something that may take effect.
//
// If the order may overcommit an accelerator, WithOrder returns a *RoomError. It
// returns an error that wraps ErrContradicted, ErrIncarnation or ErrStale if the
// order must not be sent, and any other if it is not well formed.
func (l Ledger) WithOrder(order upstreamapi.Order) (Ledger, error) {
	findings := order.Check()
	switch {
	case findings.Len() > 0:
		return l, errors.Wrap(findings.Err(), "ledger: order")
	case len(l.contradictions) > 0:
		return l, errors.Wrapf(ErrContradicted, "%s", l.contradictions[0])
	case l.incarnation == 0 || order.Incarnation != l.incarnation:
		return l, errors.Wrapf(ErrIncarnation, "%d is not %d", order.Incarnation, l.incarnation)
	case order.Number <= l.highestNumber || order.Fencing < l.highestFencing:
		return l, errors.Wrapf(ErrStale, "number %d after %d, fencing number %d after %d",
			order.Number, l.highestNumber, order.Fencing, l.highestFencing)
	case l.index(order.ID) >= 0:
		return l, errors.Newf("ledger: the order %s is open already", order.ID)
	}
	for _, name := range order.Accelerators {
		if _, known := l.Account(name); !known {
			return l, errors.Newf("ledger: the engine has no accelerator %s", name)
		}
	}
	next := l.withFencing(order.Fencing)
	next.highestNumber = order.Number
	next.open = append(next.open, openOrder{Order: order})
	if name, over := next.overcommitted(); over {
		before, _ := l.Account(name)
		after, _ := next.Account(name)
		return l, &RoomError{Accelerator: name, Account: before, Needed: after.Worst() - before.Worst()}
	}
	return next, nil
}

// WithLeader says that the holder of that fencing number leads from now on. The
// open orders of earlier leaders become doubtful: nobody waits for their answers
// any more, and copies of them may be under way. If a later one leads already,
// WithLeader changes nothing.
func (l Ledger) WithLeader(fencing uint64) Ledger {
	if fencing <= l.highestFencing {
		return l
	}
	return l.withFencing(fencing)
}

func (l Ledger) withFencing(fencing uint64) Ledger {
	next := l.clone()
	next.highestFencing = max(l.highestFencing, fencing)
	for i := range next.open {
		if next.open[i].Order.Fencing < next.highestFencing {
			next.open[i].Doubtful = true
		}
	}
	return next
}

// WithResent records, before it is sent again, that an open order will be sent
// under the fencing number of the present leader. If it is not open, or a later
// leader is known, WithResent returns an error and the order must not be sent.
func (l Ledger) WithResent(id string, fencing uint64) (Ledger, error) {
	i := l.index(id)
	switch {
	case i < 0:
		return l, errors.Wrapf(ErrUnknownOrder, "%s", id)
	case fencing < l.highestFencing:
		return l, errors.Wrapf(ErrStale, "fencing number %d after %d", fencing, l.highestFencing)
	}
	next := l.withFencing(fencing)
	next.open[i].Order.Fencing = fencing
	return next, nil
}

// WithLost says that the answer to an order was lost. It counts on, as possible.
// If the order is not open, WithLost changes nothing.
func (l Ledger) WithLost(id string) Ledger {
	i := l.index(id)
	if i < 0 {
		return l
	}
	next := l.clone()
	next.open[i].Doubtful = true
	return next
}

// WithWithdrawn takes back an order of which the leader that recorded it knows
// that no byte was sent. If the order is not open, or another leader has had it
// in hand since, WithWithdrawn returns an error: that one may have sent it.
func (l Ledger) WithWithdrawn(id string, fencing uint64) (Ledger, error) {
	i := l.index(id)
	switch {
	case i < 0:
		return l, errors.Wrapf(ErrUnknownOrder, "%s", id)
	case l.open[i].Order.Fencing != fencing || l.highestFencing != fencing:
		return l, errors.Wrapf(ErrStale, "the order %s has been in other hands", id)
	}
	next := l.clone()
	next.open = slices.Delete(next.open, i, i+1)
	return next, nil
}

func (l Ledger) index(id string) int {
	return slices.IndexFunc(l.open, func(o openOrder) bool { return o.Order.ID == id })
}
