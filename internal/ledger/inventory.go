package ledger

import (
	"slices"

	"github.com/cockroachdb/errors"

	"github.com/lovagelift/lovagelift/internal/finding"
	"github.com/lovagelift/lovagelift/internal/upstreamapi"
)

// WithReport takes an announcement of the engine. One that is older than the
// account is ignored, and one that contradicts it is kept as contradictions.
//
// A new incarnation holds nothing that an order to an earlier one has loaded,
// and refuses such orders, so the account begins anew.
func (l Ledger) WithReport(announcement upstreamapi.Announcement) Ledger {
	switch {
	case announcement.Incarnation < l.incarnation:
		return l
	case announcement.Incarnation > l.incarnation:
		return l.restarted(announcement, nil)
	case TraitsOf(announcement) != l.traits && len(l.contradictions) == 0:
		next := l
		next.contradictions = []finding.Finding{contradiction("$.fencing",
			"what the engine promises has changed without a restart")}
		return next
	}
	return l.withInventory(announcement.Inventory())
}

// WithAnswer takes what the engine answered to an order, or to a question after
// one. If the answer is final, the order is over: the engine remembers it and
// will not carry it out again.
func (l Ledger) WithAnswer(answer upstreamapi.OrderAnswer) Ledger {
	if answer.Incarnation != l.incarnation {
		return l
	}
	// The inventory goes first: what the order loaded must count as resident
	// before it no longer counts as possible.
	next := l.withInventory(answer.Inventory())
	i := next.index(answer.ID)
	if i < 0 || len(next.contradictions) > 0 {
		return next
	}
	next = next.clone()
	switch {
	case answer.State.Final():
		next.open = slices.Delete(next.open, i, i+1)
	case answer.State == upstreamapi.OrderRunning:
		next.open[i].Doubtful = false
	}
	return next
}

// WithAccepted takes an announcement that contradicts the account for the truth,
// because an operator said so. Open orders count on. If the announcement is not
// of the present incarnation, or what it reports does not fit together with the
// open orders, WithAccepted returns an error and changes nothing.
func (l Ledger) WithAccepted(announcement upstreamapi.Announcement) (Ledger, error) {
	switch {
	case announcement.Incarnation != l.incarnation:
		return l, errors.Wrapf(ErrIncarnation, "%d is not %d", announcement.Incarnation, l.incarnation)
	case announcement.Revision < l.revision:
		return l, errors.Wrapf(ErrStale, "revision %d after %d", announcement.Revision, l.revision)
	}
	next := l.restarted(announcement, l.open)
	if len(next.contradictions) > 0 {
		return l, errors.Wrapf(ErrContradicted, "%s", next.contradictions[0])
	}
	return next, nil
}

// restarted returns an account that begins with what an announcement reports and
// with the open orders. If both do not fit together, the account holds nothing
// but the contradictions.
func (l Ledger) restarted(announcement upstreamapi.Announcement, open []openOrder) Ledger {
	next := Ledger{
		traits:         TraitsOf(announcement),
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
		// The engine reports one size for a model with its adapters.
		next.resident = append(next.resident, resident{
			Thing:        thing{Model: r.Model, Version: r.Version},
			Accelerators: r.Accelerators,
			Bytes:        r.MemoryBytes,
		})
		for _, name := range r.Adapters {
			next.resident = append(next.resident, resident{
				Thing:        thing{Model: r.Model, Version: r.Version, Adapter: name},
				Accelerators: r.Accelerators,
			})
		}
	}
	next.resident = append(next.resident, l.staying(next, announcement.Inventory())...)
	found := next.unfitting(announcement)
	if len(found) > 0 {
		next.resident, next.roleBytes, next.open, next.contradictions = nil, 0, nil, found
	}
	return next
}

// withInventory adopts an inventory of the present incarnation, and then closes
// the orders that it proves to be over.
func (l Ledger) withInventory(inventory upstreamapi.Inventory) Ledger {
	if len(l.contradictions) > 0 || inventory.Revision < l.revision {
		return l
	}
	next := l.clone()
	if inventory.Revision > l.revision {
		if found := l.contradictionsOf(inventory); len(found) > 0 {
			next.contradictions = found
			return next
		}
		next = l.adopting(inventory)
	}
	if inventory.Clock.After(next.clock) {
		next.clock = inventory.Clock
	}
	next.open = slices.DeleteFunc(next.open, func(o openOrder) bool {
		return next.provedOver(o.Order, inventory)
	})
	return next
}

// provedOver tells whether the order can no longer take effect and whether the
// inventory shows all that it did.
//
// An engine that checks refuses it once it has seen a higher fencing number, and
// one that honours expiry refuses it after its time. Either is enough only if
// the order is not under way already. At any other engine a copy of it may
// arrive as late as it likes, so that only its own answer or a restart will do.
func (l Ledger) provedOver(order upstreamapi.Order, inventory upstreamapi.Inventory) bool {
	if underWay(inventory, order.ID) {
		return false
	}
	outranked := l.traits.ChecksFencing && order.Fencing < inventory.HighestFencing
	expired := l.traits.HonoursExpiry && !order.NotAfter.IsZero() && inventory.Clock.After(order.NotAfter)
	return outranked || expired
}

// adopting returns the account with the residents of the inventory, which does
// not contradict it. What was resident, has gone, and is still being unloaded
// counts as leaving.
func (l Ledger) adopting(inventory upstreamapi.Inventory) Ledger {
	next := l.clone()
	next.revision = inventory.Revision
	next.roleBytes = inventory.RoleMemoryBytes
	next.resident = nil
	for _, reported := range inventory.Resident {
		for _, t := range thingsOf(reported) {
			bytes, _ := l.known(t, reported.Accelerators)
			next.resident = append(next.resident, resident{Thing: t, Accelerators: reported.Accelerators, Bytes: bytes})
		}
	}
	next.resident = append(next.resident, l.staying(next, inventory)...)
	return next
}

// staying returns what is not in next and is still in memory because an order
// that is under way is taking it out.
//
// An inventory may be the first that shows anything of a load: it was carried
// out, and is being unloaded already. So what open orders load may stay as well
// as what was resident. Otherwise the answer to the load would close it while
// its memory is still taken.
func (l Ledger) staying(next Ledger, inventory upstreamapi.Inventory) []resident {
	candidates := slices.Clone(l.resident)
	for _, o := range l.open {
		if loaded, loads := loadedBy(o.Order); loads {
			candidates = append(candidates, resident{
				Thing:        loaded,
				Accelerators: o.Order.Accelerators,
				Bytes:        o.Order.MemoryBytes,
			})
		}
	}
	var leaving []resident
	for _, candidate := range candidates {
		unloading := slices.ContainsFunc(next.open, func(o openOrder) bool {
			return removes(o.Order, candidate.Thing) && underWay(inventory, o.Order.ID)
		})
		if unloading && !next.has(candidate.Thing) {
			candidate.Leaving = true
			leaving = append(leaving, candidate)
		}
	}
	return leaving
}

// known returns the greatest size at which the thing may stand on all of the
// accelerators. If it cannot, known returns false.
func (l Ledger) known(t thing, accelerators []string) (bytes int64, may bool) {
	consider := func(at []string, size int64) {
		covers := !slices.ContainsFunc(accelerators, func(name string) bool { return !slices.Contains(at, name) })
		if covers {
			bytes, may = max(bytes, size), true
		}
	}
	for _, r := range l.resident {
		if r.Thing == t {
			consider(r.Accelerators, r.Bytes)
		}
	}
	for _, o := range l.open {
		if loaded, loads := loadedBy(o.Order); loads && loaded == t {
			consider(o.Order.Accelerators, o.Order.MemoryBytes)
		}
	}
	return bytes, may
}

func (l Ledger) has(t thing) bool {
	return slices.ContainsFunc(l.resident, func(r resident) bool { return r.Thing == t })
}

// thingsOf returns a reported model and its adapters.
func thingsOf(reported upstreamapi.Resident) []thing {
	things := []thing{{Model: reported.Model, Version: reported.Version}}
	for _, name := range reported.Adapters {
		things = append(things, thing{Model: reported.Model, Version: reported.Version, Adapter: name})
	}
	return things
}

func underWay(inventory upstreamapi.Inventory, id string) bool {
	return slices.ContainsFunc(inventory.UnderWay, func(o upstreamapi.OrderUnderWay) bool { return o.ID == id })
}
