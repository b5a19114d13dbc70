package dispatch

import (
	"time"

	"github.com/lovagelift/lovagelift/internal/admission"
)

// upstream is what the Dispatcher keeps of one incarnation of an upstream.
type upstream struct {
	view View
	// id is never used again, so that what a cache held before a restart is not
	// taken for what it holds now.
	id uint32
	// remote says that it is in another failure domain than this instance.
	remote bool
	// pools are those it is a member of, in step with view.
	pools []*pool
	// poolNames are the names of pools.
	poolNames []string
	trail     trail
	// inFlight counts this instance's open requests, by priority as well.
	inFlight   int
	byPriority [admission.Priorities]int
	limit      admission.Limit
	health     health
	// bias is the moving mean of observed to predicted time to the first token.
	bias float64
	// hold is the moving mean of a request's time from its first token to its end,
	// in seconds, 0 before the first end.
	hold float64
	// answer is the moving mean of the time to first token, in seconds, 0 before
	// the first answer. It predicts plain services, which report no speeds.
	answer float64
	// doubtUntil is when the cache events are trusted in full again.
	doubtUntil time.Time
	// nextEvent is the number of the next cache event, 0 before the first batch.
	nextEvent uint64
}

// pool holds the upstreams that can run one target.
type pool struct {
	target  Target
	name    string
	members []*upstream
}

func (p *pool) remove(u *upstream) {
	for i, m := range p.members {
		if m == u {
			last := len(p.members) - 1
			p.members[i] = p.members[last]
			p.members[last] = nil
			p.members = p.members[:last]
			return
		}
	}
}

// memberOf reports whether u can run the target of p.
func (u *upstream) memberOf(p *pool) bool {
	for _, own := range u.pools {
		if own == p {
			return true
		}
	}
	return false
}

// alive reports whether u may be given new work at all.
func (u *upstream) alive(now time.Time) bool {
	return !u.view.Leaving && now.Before(u.view.LeaseUntil)
}

// outstanding returns the estimated number of requests at the upstream,
// whoever sent them.
func (u *upstream) outstanding() int {
	reported := u.view.Load.Running + u.view.Load.Waiting
	return max(reported+u.trail.requests, u.inFlight, 0)
}

// The bounds within which a report shows free places, see room.
const (
	freshFor  = 250 * time.Millisecond
	freeShare = 0.75
)

// room reports whether one more request of the given priority may go to u: that
// is, if the limit has room, or lacks one place while a fresh report shows free
// ones.
//
// The limits divide an upstream between the instances, and one instance's share
// can be taken while others' are not. Reports that are not fresh don't count:
// all instances would take the same free place.
func (u *upstream) room(now time.Time, priority uint8) bool {
	if u.limit.Room(u.inFlight, priority) {
		return true
	}
	if now.Sub(u.view.LoadAt) > freshFor {
		return false
	}
	places := float64(u.view.Load.MaxRunning)
	return float64(u.outstanding()) < places*freeShare && u.limit.Room(u.inFlight-1, priority)
}

// notAfter returns the share of this instance's open requests whose priority is
// not lower than priority: engines let them go before. It is drawn towards 1 if
// this instance has few open, which say little of what others have there.
func (u *upstream) notAfter(priority uint8) float64 {
	const prior = 2
	count := prior
	for i := 0; i <= level(priority); i++ {
		count += u.byPriority[i]
	}
	return float64(count) / float64(max(u.inFlight, 0)+prior)
}

func level(priority uint8) int {
	return min(int(priority), admission.Priorities-1)
}
