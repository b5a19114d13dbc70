// Package departure is the replicated record of upstreams that have announced their leave. An
// upstream that leaves announces it once and may say nothing more, so the record must not be lost
// with the instance that received it.
package departure

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/lovagelift/lovagelift/internal/upstreamapi"
)

// AnyIncarnation stands for all processes that an upstream's name has had so far.
const AnyIncarnation = math.MaxUint64

const (
	// retention is how long a departure is kept. It is far above the time for which an instance may
	// still know the upstream, and above the differences between the clocks of instances.
	retention = 10 * time.Minute
	// unnamedValidity is how long a departure that names no process is valid. An upstream that leaves ends
	// sooner, and the next process of its name may start then.
	unnamedValidity = time.Minute
	// maxDepartures bounds the departures that are kept.
	maxDepartures = 4096
)

// Update is the command that records departures.
type Update struct {
	Now    time.Time           `json:"now"`
	Leaves []upstreamapi.Leave `json:"leaves"`
}

// Joined returns the update that records the departures of both updates.
func (u Update) Joined(other Update) Update {
	return Update{Now: other.Now, Leaves: slices.Concat(u.Leaves, other.Leaves)}
}

// departure is the record of one upstream.
type departure struct {
	// incarnation is the latest process that has left.
	incarnation uint64
	at          time.Time
	// revision is that of the records when the departure was added. It is never 0.
	revision uint64
}

// isValid reports whether the departure still says something of the processes of its name.
func (d departure) isValid(now time.Time) bool {
	return d.incarnation != AnyIncarnation || now.Sub(d.at) < unnamedValidity
}

// Records are the departures. They are immutable, and replicas that apply the same updates in the
// same order are equal. The zero value is empty.
type Records struct {
	// revision increases with each departure that is added.
	revision   uint64
	byUpstream map[string]departure
}

// With returns the records after an update. A departure without an incarnation is recorded for
// AnyIncarnation.
func (r Records) With(update Update) Records {
	next := Records{revision: r.revision, byUpstream: maps.Clone(r.byUpstream)}
	if next.byUpstream == nil {
		next.byUpstream = map[string]departure{}
	}
	for _, leave := range update.Leaves {
		if next.Covers(update.Now, leave) {
			continue
		}
		next.revision++
		next.byUpstream[leave.Name] = departure{
			incarnation: incarnationOf(leave), at: update.Now, revision: next.revision,
		}
	}
	next.evict(update.Now)
	return next
}

// incarnationOf returns the latest process for which a leave is valid.
func incarnationOf(leave upstreamapi.Leave) uint64 {
	if leave.Incarnation == 0 {
		return AnyIncarnation
	}
	return leave.Incarnation
}

// evict removes old departures, and the oldest of those that are too many.
func (r Records) evict(now time.Time) {
	maps.DeleteFunc(r.byUpstream, func(_ string, d departure) bool { return now.Sub(d.at) > retention })
	if len(r.byUpstream) <= maxDepartures {
		return
	}
	names := r.names()
	for _, name := range names[:len(names)-maxDepartures] {
		delete(r.byUpstream, name)
	}
}

// names returns the upstreams in the order of their departures.
func (r Records) names() []string {
	return slices.SortedFunc(maps.Keys(r.byUpstream), func(a, b string) int {
		return cmp.Compare(r.byUpstream[a].revision, r.byUpstream[b].revision)
	})
}

// Covers reports whether the departure of an upstream, or of a later process of it, is recorded, and stays
// valid for half of unnamedValidity or longer.
func (r Records) Covers(now time.Time, leave upstreamapi.Leave) bool {
	recorded, found := r.byUpstream[leave.Name]
	return found && recorded.incarnation >= incarnationOf(leave) && recorded.isValid(now.Add(unnamedValidity/2))
}

// Since returns the departures that were recorded after a revision and are valid, oldest first. Each has
// an incarnation.
func (r Records) Since(now time.Time, revision uint64) []upstreamapi.Leave {
	if revision == r.revision {
		return nil
	}
	var leaves []upstreamapi.Leave
	for _, name := range r.names() {
		if recorded := r.byUpstream[name]; recorded.revision > revision && recorded.isValid(now) {
			leaves = append(leaves, upstreamapi.Leave{Name: name, Incarnation: recorded.incarnation})
		}
	}
	return leaves
}

// Revision returns the number of departures that were ever recorded.
func (r Records) Revision() uint64 {
	return r.revision
}

// Empty reports whether no departure is kept.
func (r Records) Empty() bool {
	return len(r.byUpstream) == 0
}
