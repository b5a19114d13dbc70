package dispatch

import (
	"time"

	"github.com/lovagelift/lovagelift/internal/admission"
)

// The bounds within which a request may go over a limit, see room.
const (
	freshFor  = 250 * time.Millisecond
	freeShare = 0.75
	calmFor   = 2 * time.Second
	idleShare = 0.8
	// leastOver is the least limit that may be gone over: one more is half of it.
	leastOver = 2
)

// room reports whether one more request of the given priority may go to u. That
// is so if its limit has room, or lacks one place and there is reason to think
// that one is free.
//
// The limits divide an upstream finely between the instances, so that chance
// alone fills one instance's share while others' are empty. One reason is a fresh
// report with a quarter of the places free; reports that are not fresh don't
// count, as all instances would take the same free place. The other is that this
// instance's limits together are far from full, and that u has answered in time
// for a while.
func (d *Dispatcher) room(now time.Time, u *upstream, priority uint8) bool {
	if u.limit.Room(u.inFlight, priority) {
		return true
	}
	if u.limit.Value() < leastOver || !u.limit.Room(u.inFlight-1, priority) {
		return false
	}
	if u.limit.Calm(now, calmFor) && float64(d.inFlight) < d.limits*idleShare {
		return true
	}
	fresh := now.Sub(u.view.LoadAt) <= freshFor
	return fresh && float64(u.outstanding(now)) < float64(u.places())*freeShare
}

// lowestWithRoom returns the lowest priority for which u has room. If it has none
// for any, lowestWithRoom returns false.
func (d *Dispatcher) lowestWithRoom(now time.Time, u *upstream) (uint8, bool) {
	const lowest = admission.Priorities - 1
	if d.room(now, u, lowest) {
		return lowest, true
	}
	return 0, d.room(now, u, 0)
}

// setLimit changes the limit of u, and the sum of all with it.
func (d *Dispatcher) setLimit(u *upstream, limit admission.Limit) {
	if d.byID[u.id] == u {
		d.limits += limit.Float() - u.limit.Float()
	}
	u.limit = limit
}

// addUp computes the sums over all upstreams anew, so that what a lost upstream
// had open counts no longer, and rounding does not add up.
func (d *Dispatcher) addUp() {
	d.limits, d.inFlight = 0, 0
	for _, u := range d.upstreams {
		d.limits += u.limit.Float()
		d.inFlight += u.inFlight
	}
}

// fly changes the number of requests that are open at u by change.
func (d *Dispatcher) fly(u *upstream, priority uint8, change int) {
	u.inFlight += change
	u.byPriority[level(priority)] += change
	if d.byID[u.id] == u {
		d.inFlight += change
	}
}
