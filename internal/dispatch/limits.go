package dispatch

import (
	"time"

	"github.com/lovagelift/lovagelift/internal/admission"
)

// Conditions for exceeding a limit by one, see hasRoom.
const (
	// freshReportAge is the maximum age of a report that shows free slots.
	freshReportAge = 250 * time.Millisecond
	// freshReportMaxLoad is the maximum share of occupied slots, estimated from that report.
	freshReportMaxLoad = 0.75
	// minTimeSinceCut is the minimum time since the last reduction of the limit.
	minTimeSinceCut = 2 * time.Second
	// maxTotalLoad is the maximum ratio of this instance's open requests to the sum of its
	// limits.
	maxTotalLoad = 0.8
	// minExceedableLimit is the smallest limit that may be exceeded. One more request is
	// then half of it.
	minExceedableLimit = 2
)

// hasRoom reports whether u may receive one more request of the given priority. This is
// the case if its limit has room, or if the request exceeds the limit by one and u
// probably has a free slot.
//
// The limits divide an upstream into small shares, so that one instance's share may be
// full by chance while the shares of others are empty. There are two signs of a free slot.
// The first is a fresh report with a quarter of the slots free; an older report doesn't
// count, because all instances would take the same slot. The second is that this
// instance's open requests are well below the sum of its limits, and the limit for u was
// not reduced recently.
func (d *Dispatcher) hasRoom(now time.Time, u *upstream, priority uint8) bool {
	if u.limit.Allows(u.inFlight, priority) {
		return true
	}
	if u.limit.Value() < minExceedableLimit || !u.limit.Allows(u.inFlight-1, priority) {
		return false
	}
	if u.limit.StableFor(now, minTimeSinceCut) && float64(d.inFlight) < d.limitTotal*maxTotalLoad {
		return true
	}
	fresh := now.Sub(u.view.LoadAt) <= freshReportAge
	return fresh && float64(u.estimatedRequests(now)) < float64(u.maxRunning())*freshReportMaxLoad
}

// lowestWithRoom returns the lowest priority for which u has room, or false if u has room
// for none.
func (d *Dispatcher) lowestWithRoom(now time.Time, u *upstream) (uint8, bool) {
	const lowest = admission.Priorities - 1
	if d.hasRoom(now, u, lowest) {
		return lowest, true
	}
	return 0, d.hasRoom(now, u, 0)
}

// setLimit sets the limit of u and updates limitTotal.
func (d *Dispatcher) setLimit(u *upstream, limit admission.Limit) {
	if d.byID[u.id] == u {
		d.limitTotal += limit.Exact() - u.limit.Exact()
	}
	u.limit = limit
}

// recomputeTotals recomputes the sums over all upstreams, which removes the open requests
// of a removed upstream and accumulated rounding errors.
func (d *Dispatcher) recomputeTotals() {
	d.limitTotal, d.inFlight = 0, 0
	for _, u := range d.upstreams {
		d.limitTotal += u.limit.Exact()
		d.inFlight += u.inFlight
	}
}

// addInFlight adds change, which may be negative, to the number of open requests at u.
func (d *Dispatcher) addInFlight(u *upstream, priority uint8, change int) {
	u.inFlight += change
	u.inFlightByPriority[priorityIndex(priority)] += change
	if d.byID[u.id] == u {
		d.inFlight += change
	}
}
