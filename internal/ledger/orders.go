package ledger

import (
	"slices"

	"github.com/cockroachdb/errors"

	"github.com/lovagelift/lovagelift/internal/upstreamapi"
)

// Reasons to reject an order or a report.
var (
	// ErrContradicted means that the engine's reports contradict the account.
	ErrContradicted = errors.New("ledger: the engine's reports contradict the account")
	// ErrIncarnation means that the order or report is for another incarnation than
	// the engine's current one.
	ErrIncarnation = errors.New("ledger: the order is meant for another incarnation")
	// ErrStale means that the order number, the fencing number or the revision of
	// the report is older than one that was already recorded.
	ErrStale = errors.New("ledger: the number or the fencing number of the order is stale")
	// ErrUnknownOrder means that no order with that ID is open.
	ErrUnknownOrder = errors.New("ledger: no such order is open")
)

// WithOrder records an order as open. An order must be recorded before it is sent.
//
// If the order may overcommit an accelerator, WithOrder returns an
// *InsufficientMemoryError. It returns an error that wraps ErrContradicted,
// ErrIncarnation or ErrStale if the order must not be sent, and another error if
// the order is invalid or already open.
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
	case l.openIndex(order.ID) >= 0:
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
	if name, overcommitted := next.overcommitted(); overcommitted {
		before, _ := l.Account(name)
		after, _ := next.Account(name)
		return l, &InsufficientMemoryError{Accelerator: name, Account: before, Needed: after.WorstCase() - before.WorstCase()}
	}
	return next, nil
}

// WithLeader records a new leader with the given fencing number. The open orders
// of earlier leaders become doubtful: nobody waits for their answers any more, and
// copies of them may still be in transit. If the fencing number is not higher than
// any recorded one, WithLeader changes nothing.
func (l Ledger) WithLeader(fencing uint64) Ledger {
	if fencing <= l.highestFencing {
		return l
	}
	return l.withFencing(fencing)
}

// withFencing raises the highest fencing number and marks the open orders with
// lower ones as doubtful.
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

// WithResent records that an open order will be sent again with the given fencing
// number, that of the current leader. It must be called before the order is sent.
// If the order is not open or a later leader is known, WithResent returns an error
// and the order must not be sent.
func (l Ledger) WithResent(id string, fencing uint64) (Ledger, error) {
	i := l.openIndex(id)
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

// WithAnswerLost records that the answer to an order was lost. The order becomes
// doubtful, and its memory counts as possible. If the order is not open, WithAnswerLost
// changes nothing.
func (l Ledger) WithAnswerLost(id string) Ledger {
	i := l.openIndex(id)
	if i < 0 {
		return l
	}
	next := l.clone()
	next.open[i].Doubtful = true
	return next
}

// WithWithdrawn closes an order of which the leader with the given fencing number
// has sent no byte. It returns an error if the order is not open, or if another
// leader has recorded the order or taken over, because that leader may have sent
// it.
func (l Ledger) WithWithdrawn(id string, fencing uint64) (Ledger, error) {
	i := l.openIndex(id)
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

// openIndex returns the index of the order in l.open, or -1.
func (l Ledger) openIndex(id string) int {
	return slices.IndexFunc(l.open, func(o openOrder) bool { return o.Order.ID == id })
}
