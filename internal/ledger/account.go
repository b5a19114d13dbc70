package ledger

import (
	"fmt"
	"math"
	"slices"

	"github.com/lovagelift/lovagelift/internal/upstreamapi"
)

// Account is the memory account of one accelerator, in bytes. Resident, Reserved
// and Possible do not overlap, and their sum never exceeds Memory.
type Account struct {
	// Memory is the capacity of the accelerator.
	Memory int64
	// Resident is the memory in use according to the engine's reports, including
	// that of its role.
	Resident int64
	// Reserved is the additional memory that open orders need, except doubtful ones.
	Reserved int64
	// Possible is the additional memory that doubtful orders may use.
	Possible int64
}

// WorstCase returns the maximum memory that may be in use.
func (a Account) WorstCase() int64 {
	return saturatingAdd(a.Resident, saturatingAdd(a.Reserved, a.Possible))
}

// Free returns the memory that is available to a new order.
func (a Account) Free() int64 {
	return a.Memory - a.WorstCase()
}

// InsufficientMemoryError reports that an accelerator may be overcommitted.
type InsufficientMemoryError struct {
	Accelerator string
	// Account is the account before the rejected order, or the stored account that
	// can't be decoded because it is overcommitted.
	Account Account
	// Needed is the memory in bytes that the rejected order adds to the worst case,
	// or 0 for a stored account.
	Needed int64
}

// Error itemizes the account and the memory that the order needs.
func (e *InsufficientMemoryError) Error() string {
	return fmt.Sprintf("ledger: %s has %d bytes: %d resident, %d reserved and %d possible leave %d, %d are needed",
		e.Accelerator, e.Account.Memory, e.Account.Resident, e.Account.Reserved, e.Account.Possible,
		e.Account.Free(), e.Needed)
}

// Account returns the account of the named accelerator, or false if the engine
// has no such accelerator.
func (l Ledger) Account(name string) (Account, bool) {
	i := slices.IndexFunc(l.accelerators, func(a accelerator) bool { return a.Name == name })
	if i < 0 {
		return Account{}, false
	}
	account := Account{Memory: l.accelerators[i].Bytes}
	for i, r := range l.resident {
		switch {
		case !slices.Contains(r.Accelerators, name):
		case !r.Unloading:
			account.Resident = saturatingAdd(account.Resident, r.Bytes)
		case !l.hasEarlierResident(i, name):
			account.Resident = saturatingAdd(account.Resident, l.artifactBounds(r.Artifact, name).resident)
		}
	}
	for i, o := range l.open {
		loaded, loads := loadedArtifact(o.Order)
		if loads && slices.Contains(o.Order.Accelerators, name) && !l.hasEarlierLoad(i, loaded, name) {
			account = account.withBounds(l.artifactBounds(loaded, name))
		}
	}
	account.Resident = saturatingAdd(account.Resident, l.roleBytes)
	return account.withBounds(l.roleBounds()), true
}

// memoryBounds is the memory in bytes that one artifact, or the role, uses on an
// accelerator: resident is its size in the inventory, reserved its maximum size if
// only orders that are not doubtful take effect, and possible its maximum size if
// any open order takes effect. No value is less than the one before it.
type memoryBounds struct {
	resident, reserved, possible int64
}

// withBounds returns the account with the memory that orders may use beyond the
// resident size.
func (a Account) withBounds(bounds memoryBounds) Account {
	a.Reserved = saturatingAdd(a.Reserved, bounds.reserved-bounds.resident)
	a.Possible = saturatingAdd(a.Possible, bounds.possible-bounds.reserved)
	return a
}

// withOrder returns the bounds extended by an order that needs the given bytes.
func (b memoryBounds) withOrder(bytes int64, doubtful bool) memoryBounds {
	if !doubtful {
		b.reserved = max(b.reserved, bytes)
	}
	b.possible = max(b.possible, b.reserved, bytes)
	return b
}

// hasEarlierResident reports whether a resident before the i-th is the same
// artifact on the accelerator. An artifact that is being unloaded may be listed
// once for each order that may have loaded it, but counts once.
func (l Ledger) hasEarlierResident(i int, acceleratorName string) bool {
	return slices.ContainsFunc(l.resident[:i], func(r resident) bool {
		return r.Artifact == l.resident[i].Artifact && slices.Contains(r.Accelerators, acceleratorName)
	})
}

// hasEarlierLoad reports whether an open order before the i-th loads the same
// artifact on the accelerator.
func (l Ledger) hasEarlierLoad(i int, a artifact, acceleratorName string) bool {
	return slices.ContainsFunc(l.open[:i], func(o openOrder) bool {
		loaded, loads := loadedArtifact(o.Order)
		return loads && loaded == a && slices.Contains(o.Order.Accelerators, acceleratorName)
	})
}

// artifactBounds returns the bounds of an artifact on the accelerator. An engine
// loads an artifact at most once, so it counts once, at its maximum possible size.
func (l Ledger) artifactBounds(a artifact, acceleratorName string) memoryBounds {
	var bounds memoryBounds
	for _, r := range l.resident {
		if r.Artifact == a && slices.Contains(r.Accelerators, acceleratorName) {
			size := max(bounds.resident, r.Bytes)
			bounds = memoryBounds{size, size, size}
		}
	}
	for _, o := range l.open {
		loaded, loads := loadedArtifact(o.Order)
		if loads && loaded == a && slices.Contains(o.Order.Accelerators, acceleratorName) {
			bounds = bounds.withOrder(o.Order.MemoryBytes, o.Doubtful)
		}
	}
	return bounds
}

// roleBounds returns the bounds of the role. An engine has one role at a time, so
// only the maximum over all possible roles counts.
func (l Ledger) roleBounds() memoryBounds {
	bounds := memoryBounds{l.roleBytes, l.roleBytes, l.roleBytes}
	for _, o := range l.open {
		if o.Order.Kind == upstreamapi.OrderChangeRole {
			bounds = bounds.withOrder(o.Order.MemoryBytes, o.Doubtful)
		}
	}
	return bounds
}

// overcommitted returns the first accelerator whose worst case exceeds its memory,
// or false.
func (l Ledger) overcommitted() (string, bool) {
	for _, a := range l.accelerators {
		if account, _ := l.Account(a.Name); account.WorstCase() > account.Memory {
			return a.Name, true
		}
	}
	return "", false
}

// saturatingAdd returns a + b for non-negative values, or math.MaxInt64 if the sum
// overflows. Absurd sizes in a report must not wrap around to a small sum.
func saturatingAdd(a, b int64) int64 {
	if a > math.MaxInt64-b {
		return math.MaxInt64
	}
	return a + b
}

// loadedArtifact returns the artifact that the order loads, or false if it loads
// none.
func loadedArtifact(order upstreamapi.Order) (artifact, bool) {
	switch order.Kind {
	case upstreamapi.OrderLoadModel, upstreamapi.OrderChangeVersion:
		return artifact{Model: order.Model, Version: order.Version}, true
	case upstreamapi.OrderLoadAdapter:
		return artifact{Model: order.Model, Version: order.Version, Adapter: order.Adapter}, true
	default:
		return artifact{}, false
	}
}

// mayRemove reports whether the order may remove the artifact from memory. Removing
// a model also removes its adapters.
func mayRemove(order upstreamapi.Order, a artifact) bool {
	if order.Model != a.Model {
		return false
	}
	switch order.Kind {
	case upstreamapi.OrderUnloadModel:
		return order.Version == a.Version
	case upstreamapi.OrderUnloadAdapter:
		return order.Version == a.Version && order.Adapter == a.Adapter
	case upstreamapi.OrderChangeVersion:
		return order.FromVersion == a.Version
	default:
		return false
	}
}
