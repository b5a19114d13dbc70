package ledger

import (
	"fmt"
	"slices"

	"github.com/lovagelift/lovagelift/internal/finding"
	"github.com/lovagelift/lovagelift/internal/upstreamapi"
)

// contradiction returns a finding at a JSON path in a report.
func contradiction(path, problem string) finding.Finding {
	return finding.Finding{Place: finding.Place{File: path}, Problem: problem}
}

// findContradictions compares the account with a later inventory of the same
// incarnation and returns the reported facts that the account rules out. Adopting
// an inventory without contradictions never increases the worst case.
func (l Ledger) findContradictions(inventory upstreamapi.Inventory) []finding.Finding {
	found := l.changedAccelerators(inventory)
	found = append(found, l.unorderedResidents(inventory)...)
	found = append(found, l.missingResidents(inventory)...)
	found = append(found, l.unknownOrders(inventory.UnderWay)...)
	found = append(found, l.overusedAccelerators(inventory.Accelerators)...)
	if maxRoleBytes := l.roleBounds().possible; inventory.RoleMemoryBytes > maxRoleBytes {
		found = append(found, contradiction("$.role-memory-bytes",
			fmt.Sprintf("the role takes %d bytes and may take %d", inventory.RoleMemoryBytes, maxRoleBytes)))
	}
	if l.guarantees.HonoursExpiry && inventory.Clock.Before(l.clock) {
		found = append(found, contradiction("$.load.clock",
			"the engine's clock ran backwards, and orders that have expired may not be over"))
	}
	return found
}

// inconsistencies returns the contradictions between parts of the announcement from
// which l was built, and between the announcement and the open orders.
func (l Ledger) inconsistencies(announcement upstreamapi.Announcement) []finding.Finding {
	var found []finding.Finding
	for i, r := range announcement.Resident {
		for _, name := range r.Accelerators {
			if _, known := l.Account(name); !known {
				found = append(found, contradiction(fmt.Sprintf("$.resident[%d]", i), "the engine has no accelerator "+name))
			}
		}
	}
	for i, a := range l.accelerators {
		if account, _ := l.Account(a.Name); account.WorstCase() > a.Bytes {
			found = append(found, contradiction(fmt.Sprintf("$.accelerators[%d]", i),
				fmt.Sprintf("%d bytes are or may be taken of %d", account.WorstCase(), a.Bytes)))
		}
	}
	found = append(found, l.unknownOrders(announcement.UnderWay)...)
	return append(found, l.overusedAccelerators(announcement.Accelerators)...)
}

// changedAccelerators checks that no accelerator was added, removed or resized.
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

// unorderedResidents finds reported artifacts that no order loaded, and models that
// use more memory than ordered.
func (l Ledger) unorderedResidents(inventory upstreamapi.Inventory) []finding.Finding {
	var found []finding.Finding
	for i, reported := range inventory.Resident {
		path := fmt.Sprintf("$.resident[%d]", i)
		allowedBytes := int64(0)
		unknown := false
		for _, a := range reportedArtifacts(reported) {
			bytes, allowed := l.maxKnownBytes(a, reported.Accelerators)
			if !allowed {
				found = append(found, contradiction(path, fmt.Sprintf("%s is loaded there and was not ordered", a)))
				unknown = true
			}
			allowedBytes = saturatingAdd(allowedBytes, bytes)
		}
		if !unknown && reported.MemoryBytes > allowedBytes {
			found = append(found, contradiction(path+".memory-bytes",
				fmt.Sprintf("%d bytes are taken, %d were ordered", reported.MemoryBytes, allowedBytes)))
		}
	}
	return found
}

// missingResidents finds artifacts that disappeared although no open order may have
// removed them.
func (l Ledger) missingResidents(inventory upstreamapi.Inventory) []finding.Finding {
	reportedSet := map[artifact]bool{}
	for _, reported := range inventory.Resident {
		for _, a := range reportedArtifacts(reported) {
			reportedSet[a] = true
		}
	}
	var found []finding.Finding
	for _, r := range l.resident {
		mayBeUnloaded := slices.ContainsFunc(l.open, func(o openOrder) bool { return mayRemove(o.Order, r.Artifact) })
		if !reportedSet[r.Artifact] && !r.Unloading && !mayBeUnloaded {
			found = append(found, contradiction("$.resident", fmt.Sprintf("%s is gone and was not unloaded", r.Artifact)))
		}
	}
	return found
}

// unknownOrders finds orders that the engine reports as running and that are not
// open.
func (l Ledger) unknownOrders(orders []upstreamapi.OrderUnderWay) []finding.Finding {
	var found []finding.Finding
	for i, order := range orders {
		if l.openIndex(order.ID) < 0 {
			found = append(found, contradiction(fmt.Sprintf("$.under-way[%d]", i),
				fmt.Sprintf("the order %s was not given, or is over", order.ID)))
		}
	}
	return found
}

// overusedAccelerators finds accelerators whose reported usage exceeds the worst
// case.
func (l Ledger) overusedAccelerators(reported []upstreamapi.Accelerator) []finding.Finding {
	var found []finding.Finding
	for i, a := range reported {
		account, known := l.Account(a.Name)
		if known && a.UsedBytes != nil && *a.UsedBytes > account.WorstCase() {
			found = append(found, contradiction(fmt.Sprintf("$.accelerators[%d].used-bytes", i),
				fmt.Sprintf("%d bytes are taken, %d at most may be", *a.UsedBytes, account.WorstCase())))
		}
	}
	return found
}
