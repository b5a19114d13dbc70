package ledger

import (
	"fmt"
	"math"
	"slices"

	"github.com/lovagelift/lovagelift/internal/upstreamapi"
)

// Account is what is and may be taken of one accelerator, in bytes. Resident,
// Reserved and Possible do not overlap, and their sum never exceeds Memory.
type Account struct {
	// Memory is what the accelerator has.
	Memory int64
	// Resident is what the engine has reported, the role included.
	Resident int64
	// Reserved is what orders of the present leader will take beyond that.
	Reserved int64
	// Possible is what orders may take beyond that whose answer was lost, or that
	// an earlier leader gave.
	Possible int64
}

// Worst returns the most that may be taken.
func (a Account) Worst() int64 {
	return add(a.Resident, add(a.Reserved, a.Possible))
}

// Free returns what an order may take.
func (a Account) Free() int64 {
	return a.Memory - a.Worst()
}

// RoomError says that an order may overcommit an accelerator.
type RoomError struct {
	Accelerator string
	Account     Account
	// Needed is what the order takes beyond the account, in bytes.
	Needed int64
}

// Error returns the arithmetic.
func (e *RoomError) Error() string {
	return fmt.Sprintf("ledger: %s has %d bytes: %d resident, %d reserved and %d possible leave %d, %d are needed",
		e.Accelerator, e.Account.Memory, e.Account.Resident, e.Account.Reserved, e.Account.Possible,
		e.Account.Free(), e.Needed)
}

// Account returns the account of the accelerator. If the engine has none of that
// name, Account returns false.
func (l Ledger) Account(name string) (Account, bool) {
	i := slices.IndexFunc(l.accelerators, func(a accelerator) bool { return a.Name == name })
	if i < 0 {
		return Account{}, false
	}
	account := Account{Memory: l.accelerators[i].Bytes}
	for i, r := range l.resident {
		switch {
		case !slices.Contains(r.Accelerators, name):
		case !r.Leaving:
			account.Resident = add(account.Resident, r.Bytes)
		case !l.leavesBefore(i, name):
			account.Resident = add(account.Resident, l.loads(r.Thing, name).resident)
		}
	}
	for i, o := range l.open {
		loaded, loads := loadedBy(o.Order)
		if loads && slices.Contains(o.Order.Accelerators, name) && !l.loadedBefore(i, loaded, name) {
			account = account.with(l.loads(loaded, name))
		}
	}
	account.Resident = add(account.Resident, l.roleBytes)
	return account.with(l.roles()), true
}

// span is what one thing, or the role, takes of an accelerator: by the
// inventory, at most if the orders of the present leader take effect, and at
// most if any order does. None is less than the one before.
type span struct {
	resident, reserved, possible int64
}

// with returns the account with what the orders may take beyond the residents.
func (a Account) with(s span) Account {
	a.Reserved = add(a.Reserved, s.reserved-s.resident)
	a.Possible = add(a.Possible, s.possible-s.reserved)
	return a
}

// widened returns the span with an order that takes bytes.
func (s span) widened(bytes int64, doubtful bool) span {
	if !doubtful {
		s.reserved = max(s.reserved, bytes)
	}
	s.possible = max(s.possible, s.reserved, bytes)
	return s
}

// leavesBefore tells whether a resident before the i-th is the same thing. What
// leaves may stand there as any of several orders loaded it.
func (l Ledger) leavesBefore(i int, name string) bool {
	return slices.ContainsFunc(l.resident[:i], func(r resident) bool {
		return r.Thing == l.resident[i].Thing && slices.Contains(r.Accelerators, name)
	})
}

// loadedBefore tells whether an order before the i-th loads the same thing.
func (l Ledger) loadedBefore(i int, t thing, name string) bool {
	return slices.ContainsFunc(l.open[:i], func(o openOrder) bool {
		loaded, loads := loadedBy(o.Order)
		return loads && loaded == t && slices.Contains(o.Order.Accelerators, name)
	})
}

// loads returns what a thing takes. It is loaded once at most, so it counts once,
// at the greatest size that it may have.
func (l Ledger) loads(t thing, name string) span {
	var s span
	for _, r := range l.resident {
		if r.Thing == t && slices.Contains(r.Accelerators, name) {
			most := max(s.resident, r.Bytes)
			s = span{most, most, most}
		}
	}
	for _, o := range l.open {
		loaded, loads := loadedBy(o.Order)
		if loads && loaded == t && slices.Contains(o.Order.Accelerators, name) {
			s = s.widened(o.Order.MemoryBytes, o.Doubtful)
		}
	}
	return s
}

// roles returns what the role takes. Roles replace each other, so the greatest
// counts.
func (l Ledger) roles() span {
	s := span{l.roleBytes, l.roleBytes, l.roleBytes}
	for _, o := range l.open {
		if o.Order.Kind == upstreamapi.OrderChangeRole {
			s = s.widened(o.Order.MemoryBytes, o.Doubtful)
		}
	}
	return s
}

// overcommitted returns the first accelerator of which more may be taken than it
// has, or false.
func (l Ledger) overcommitted() (string, bool) {
	for _, a := range l.accelerators {
		if account, _ := l.Account(a.Name); account.Worst() > account.Memory {
			return a.Name, true
		}
	}
	return "", false
}

// add returns a + b, neither of which is negative, or the greatest number if the
// sum exceeds it. A report of absurd sizes must not wrap around to a small sum.
func add(a, b int64) int64 {
	if a > math.MaxInt64-b {
		return math.MaxInt64
	}
	return a + b
}

// loadedBy returns what the order loads. If it loads nothing, loadedBy returns
// false.
func loadedBy(order upstreamapi.Order) (thing, bool) {
	switch order.Kind {
	case upstreamapi.OrderLoadModel, upstreamapi.OrderChangeVersion:
		return thing{Model: order.Model, Version: order.Version}, true
	case upstreamapi.OrderLoadAdapter:
		return thing{Model: order.Model, Version: order.Version, Adapter: order.Adapter}, true
	default:
		return thing{}, false
	}
}

// removes tells whether the order may take the thing out of memory. Adapters go
// with their model.
func removes(order upstreamapi.Order, t thing) bool {
	if order.Model != t.Model {
		return false
	}
	switch order.Kind {
	case upstreamapi.OrderUnloadModel:
		return order.Version == t.Version
	case upstreamapi.OrderUnloadAdapter:
		return order.Version == t.Version && order.Adapter == t.Adapter
	case upstreamapi.OrderChangeVersion:
		return order.FromVersion == t.Version
	default:
		return false
	}
}
