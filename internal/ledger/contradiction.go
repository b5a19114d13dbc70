package ledger

import (
	"fmt"
	"slices"

	"github.com/lovagelift/lovagelift/internal/finding"
	"github.com/lovagelift/lovagelift/internal/upstreamapi"
)

// contradiction is a finding in a report, at a JSON path.
func contradiction(path, problem string) finding.Finding {
	return finding.Finding{Place: finding.Place{File: path}, Problem: problem}
}

// contradictionsOf returns what a later inventory of the same incarnation says
// that cannot be by the account. Adopting an inventory without any never makes
// the worst case greater.
func (l Ledger) contradictionsOf(inventory upstreamapi.Inventory) []finding.Finding {
	found := l.changedAccelerators(inventory)
	found = append(found, l.unknownResidents(inventory)...)
	found = append(found, l.missing(inventory)...)
	found = append(found, l.foreignOrders(inventory.UnderWay)...)
	found = append(found, l.overused(inventory.Accelerators)...)
	if role := l.roles().possible; inventory.RoleMemoryBytes > role {
		found = append(found, contradiction("$.role-memory-bytes",
			fmt.Sprintf("the role takes %d bytes and may take %d", inventory.RoleMemoryBytes, role)))
	}
	if l.traits.HonoursExpiry && inventory.Clock.Before(l.clock) {
		found = append(found, contradiction("$.load.clock",
			"the engine's clock ran backwards, and orders that have expired may not be over"))
	}
	return found
}

// unfitting returns what a report says that does not fit in itself, or not with
// the open orders.
func (l Ledger) unfitting(announcement upstreamapi.Announcement) []finding.Finding {
	var found []finding.Finding
	for i, r := range announcement.Resident {
		for _, name := range r.Accelerators {
			if _, known := l.Account(name); !known {
				found = append(found, contradiction(fmt.Sprintf("$.resident[%d]", i), "the engine has no accelerator "+name))
			}
		}
	}
	for i, a := range l.accelerators {
		if account, _ := l.Account(a.Name); account.Worst() > a.Bytes {
			found = append(found, contradiction(fmt.Sprintf("$.accelerators[%d]", i),
				fmt.Sprintf("%d bytes are or may be taken of %d", account.Worst(), a.Bytes)))
		}
	}
	found = append(found, l.foreignOrders(announcement.UnderWay)...)
	return append(found, l.overused(announcement.Accelerators)...)
}

// changedAccelerators finds accelerators that came, went or changed in size.
func (l Ledger) changedAccelerators(inventory upstreamapi.Inventory) []finding.Finding {
	var reported []accelerator
	for _, a := range inventory.Accelerators {
		reported = append(reported, accelerator{Name: a.Name, Bytes: a.MemoryBytes})
	}
	if slices.Equal(reported, l.accelerators) {
		return nil
	}
	return []finding.Finding{contradiction("$.accelerators", "the accelerators have changed without a restart")}
}

// unknownResidents finds what nobody ordered, and what is greater than ordered.
func (l Ledger) unknownResidents(inventory upstreamapi.Inventory) []finding.Finding {
	var found []finding.Finding
	for i, reported := range inventory.Resident {
		path := fmt.Sprintf("$.resident[%d]", i)
		sum := int64(0)
		unknown := false
		for _, t := range thingsOf(reported) {
			bytes, may := l.known(t, reported.Accelerators)
			if !may {
				found = append(found, contradiction(path, fmt.Sprintf("%s is loaded there and was not ordered", t)))
				unknown = true
			}
			sum = add(sum, bytes)
		}
		if !unknown && reported.MemoryBytes > sum {
			found = append(found, contradiction(path+".memory-bytes",
				fmt.Sprintf("%d bytes are taken, %d were ordered", reported.MemoryBytes, sum)))
		}
	}
	return found
}

// missing finds what has gone although no order may have taken it out.
func (l Ledger) missing(inventory upstreamapi.Inventory) []finding.Finding {
	present := map[thing]bool{}
	for _, reported := range inventory.Resident {
		for _, t := range thingsOf(reported) {
			present[t] = true
		}
	}
	var found []finding.Finding
	for _, r := range l.resident {
		ordered := slices.ContainsFunc(l.open, func(o openOrder) bool { return removes(o.Order, r.Thing) })
		if !present[r.Thing] && !r.Leaving && !ordered {
			found = append(found, contradiction("$.resident", fmt.Sprintf("%s is gone and was not unloaded", r.Thing)))
		}
	}
	return found
}

// foreignOrders finds orders under way that are not open.
func (l Ledger) foreignOrders(orders []upstreamapi.OrderUnderWay) []finding.Finding {
	var found []finding.Finding
	for i, order := range orders {
		if l.index(order.ID) < 0 {
			found = append(found, contradiction(fmt.Sprintf("$.under-way[%d]", i),
				fmt.Sprintf("the order %s was not given, or is over", order.ID)))
		}
	}
	return found
}

// overused finds accelerators of which more is taken than may be.
func (l Ledger) overused(reported []upstreamapi.Accelerator) []finding.Finding {
	var found []finding.Finding
	for i, a := range reported {
		account, known := l.Account(a.Name)
		if known && a.UsedBytes != nil && *a.UsedBytes > account.Worst() {
			found = append(found, contradiction(fmt.Sprintf("$.accelerators[%d].used-bytes", i),
				fmt.Sprintf("%d bytes are taken, %d at most may be", *a.UsedBytes, account.Worst())))
		}
	}
	return found
}
