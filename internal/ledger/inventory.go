package ledger

import (
	"slices"

	"github.com/cockroachdb/errors"

	"github.com/lovagelift/lovagelift/internal/finding"
	"github.com/lovagelift/lovagelift/internal/upstreamapi"
)

// WithReport returns the account updated by an announcement of the engine. An
// announcement older than the account is ignored. If the announcement contradicts
// the account, its contents are not adopted and the contradictions are recorded.
//
// A new incarnation holds nothing that was loaded before its restart and refuses
// orders meant for earlier incarnations, so the account starts over.
func (l Ledger) WithReport(announcement upstreamapi.Announcement) Ledger {
	switch {
	case announcement.Incarnation < l.incarnation:
		return l
	case announcement.Incarnation > l.incarnation:
		return l.rebuilt(announcement, nil)
	case GuaranteesOf(announcement) != l.guarantees && len(l.contradictions) == 0:
		next := l
		next.contradictions = []finding.Finding{contradiction("$.fencing",
			"what the engine promises has changed without a restart")}
		return next
	}
	return l.withInventory(announcement.Inventory())
}

// WithAnswer returns the account updated by the engine's answer to an order or to
// a status query. A final answer closes the order: the engine keeps its ID and
// does not execute it again.
func (l Ledger) WithAnswer(answer upstreamapi.OrderResponse) Ledger {
	if answer.Incarnation != l.incarnation {
		return l
	}
	// Adopt the inventory before closing the order: the artifact that the order
	// loaded must count as resident before it stops counting as possible.
	next := l.withInventory(answer.Inventory())
	i := next.openIndex(answer.ID)
	if i < 0 || len(next.contradictions) > 0 {
		return next
	}
	next = next.clone()
	switch {
	case answer.State.Terminal():
		next.open = slices.Delete(next.open, i, i+1)
	case answer.State == upstreamapi.OrderRunning:
		next.open[i].Doubtful = false
	}
	return next
}

// WithConfirmedReport returns an account rebuilt from an announcement that
// contradicts the current account, after an operator has confirmed the announcement.
// Open orders remain open. WithConfirmedReport returns an error and an unchanged
// account if the announcement is of another incarnation, is older than the last
// adopted inventory, or contradicts the open orders.
func (l Ledger) WithConfirmedReport(announcement upstreamapi.Announcement) (Ledger, error) {
	switch {
	case announcement.Incarnation != l.incarnation:
		return l, errors.Wrapf(ErrIncarnation, "%d is not %d", announcement.Incarnation, l.incarnation)
	case announcement.Revision < l.revision:
		return l, errors.Wrapf(ErrStale, "revision %d after %d", announcement.Revision, l.revision)
	}
	next := l.rebuilt(announcement, l.open)
	if len(next.contradictions) > 0 {
		return l, errors.Wrapf(ErrContradicted, "%s", next.contradictions[0])
	}
	return next, nil
}

// rebuilt returns a new account with the contents of the announcement and the
// given open orders. If these contradict each other, the account has neither
// residents nor orders, only the contradictions.
func (l Ledger) rebuilt(announcement upstreamapi.Announcement, open []openOrder) Ledger {
	next := Ledger{
		guarantees:     GuaranteesOf(announcement),
		incarnation:    announcement.Incarnation,
		revision:       announcement.Revision,
		clock:          announcement.Load.Clock,
		highestNumber:  l.highestNumber,
		highestFencing: l.highestFencing,
		roleBytes:      announcement.RoleMemoryBytes,
		open:           open,
	}
	for _, a := range announcement.Accelerators {
		next.accelerators = append(next.accelerators, accelerator{Name: a.Name, Bytes: a.MemoryBytes})
	}
	for _, r := range announcement.Resident {
		// The engine reports one size for a model including its adapters. It is
		// counted for the model, and the adapters count as 0 bytes.
		next.resident = append(next.resident, resident{
			Artifact:     artifact{Model: r.Model, Version: r.Version},
			Accelerators: r.Accelerators,
			Bytes:        r.MemoryBytes,
		})
		for _, name := range r.Adapters {
			next.resident = append(next.resident, resident{
				Artifact:     artifact{Model: r.Model, Version: r.Version, Adapter: name},
				Accelerators: r.Accelerators,
			})
		}
	}
	next.resident = append(next.resident, l.unloadingResidents(next, announcement.Inventory())...)
	found := next.inconsistencies(announcement)
	if len(found) > 0 {
		next.resident, next.roleBytes, next.open, next.contradictions = nil, 0, nil, found
	}
	return next
}

// withInventory adopts an inventory of the current incarnation if its revision is
// new, advances the clock, and closes the orders that the inventory proves to have
// ended. An older inventory is ignored. If the inventory contradicts the account,
// only the contradictions are recorded.
func (l Ledger) withInventory(inventory upstreamapi.Inventory) Ledger {
	if len(l.contradictions) > 0 || inventory.Revision < l.revision {
		return l
	}
	next := l.clone()
	if inventory.Revision > l.revision {
		if found := l.findContradictions(inventory); len(found) > 0 {
			next.contradictions = found
			return next
		}
		next = l.withResidents(inventory)
	}
	if inventory.Clock.After(next.clock) {
		next.clock = inventory.Clock
	}
	next.open = slices.DeleteFunc(next.open, func(o openOrder) bool {
		return next.provedClosed(o.Order, inventory)
	})
	return next
}

// provedClosed reports whether the order can have no further effect and the
// inventory includes all its effects.
//
// An engine that checks fencing numbers refuses the order once it has seen a
// higher one, and an engine that honours expiry refuses it after its expiry time.
// Neither proves anything about an order that is already running. An engine that
// does neither may execute a copy of the order that arrives at any later time, so
// that only a final answer to the order or a restart closes it.
func (l Ledger) provedClosed(order upstreamapi.Order, inventory upstreamapi.Inventory) bool {
	if isUnderWay(inventory, order.ID) {
		return false
	}
	superseded := l.guarantees.ChecksFencing && order.Fencing < inventory.HighestFencing
	expired := l.guarantees.HonoursExpiry && !order.NotAfter.IsZero() && inventory.Clock.After(order.NotAfter)
	return superseded || expired
}

// withResidents returns the account with the residents and the role of the
// inventory, which must not contradict the account. Former residents that are still
// being unloaded continue to count.
func (l Ledger) withResidents(inventory upstreamapi.Inventory) Ledger {
	next := l.clone()
	next.revision = inventory.Revision
	next.roleBytes = inventory.RoleMemoryBytes
	next.resident = nil
	for _, reported := range inventory.Resident {
		for _, a := range reportedArtifacts(reported) {
			bytes, _ := l.maxKnownBytes(a, reported.Accelerators)
			next.resident = append(next.resident, resident{Artifact: a, Accelerators: reported.Accelerators, Bytes: bytes})
		}
	}
	next.resident = append(next.resident, l.unloadingResidents(next, inventory)...)
	return next
}

// unloadingResidents returns the artifacts that are not resident in next but still
// use memory because a running order is unloading them.
//
// Besides former residents, these may be artifacts that open orders load. An
// artifact may be loaded and already be unloading before any inventory shows it.
// If it were not counted, the answer to the load would close that order while the
// memory is still in use.
func (l Ledger) unloadingResidents(next Ledger, inventory upstreamapi.Inventory) []resident {
	candidates := slices.Clone(l.resident)
	for _, o := range l.open {
		if loaded, loads := loadedArtifact(o.Order); loads {
			candidates = append(candidates, resident{
				Artifact:     loaded,
				Accelerators: o.Order.Accelerators,
				Bytes:        o.Order.MemoryBytes,
			})
		}
	}
	var unloading []resident
	for _, candidate := range candidates {
		beingUnloaded := slices.ContainsFunc(next.open, func(o openOrder) bool {
			return mayRemove(o.Order, candidate.Artifact) && isUnderWay(inventory, o.Order.ID)
		})
		if beingUnloaded && !next.hasResident(candidate.Artifact) {
			candidate.Unloading = true
			unloading = append(unloading, candidate)
		}
	}
	return unloading
}

// maxKnownBytes returns the maximum size of the artifact in any resident or open
// order that includes all the given accelerators. If there is none, maxKnownBytes
// returns false.
func (l Ledger) maxKnownBytes(a artifact, accelerators []string) (bytes int64, allowed bool) {
	considerPlacement := func(on []string, size int64) {
		coversAll := !slices.ContainsFunc(accelerators, func(name string) bool { return !slices.Contains(on, name) })
		if coversAll {
			bytes, allowed = max(bytes, size), true
		}
	}
	for _, r := range l.resident {
		if r.Artifact == a {
			considerPlacement(r.Accelerators, r.Bytes)
		}
	}
	for _, o := range l.open {
		if loaded, loads := loadedArtifact(o.Order); loads && loaded == a {
			considerPlacement(o.Order.Accelerators, o.Order.MemoryBytes)
		}
	}
	return bytes, allowed
}

func (l Ledger) hasResident(a artifact) bool {
	return slices.ContainsFunc(l.resident, func(r resident) bool { return r.Artifact == a })
}

// reportedArtifacts returns a reported model and its adapters.
func reportedArtifacts(reported upstreamapi.Resident) []artifact {
	artifacts := []artifact{{Model: reported.Model, Version: reported.Version}}
	for _, name := range reported.Adapters {
		artifacts = append(artifacts, artifact{Model: reported.Model, Version: reported.Version, Adapter: name})
	}
	return artifacts
}

func isUnderWay(inventory upstreamapi.Inventory, id string) bool {
	return slices.ContainsFunc(inventory.UnderWay, func(o upstreamapi.OrderUnderWay) bool { return o.ID == id })
}
