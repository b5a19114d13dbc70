// Package roster keeps who takes part: the instances and the upstreams that are
// alive, as far as this instance knows (membership).
//
// Instances pull changes from one another, so that an upstream that announced
// itself to one is known to all. A member that is not heard of for a lease
// receives no new work, whichever way it was lost.
package roster

import (
	"reflect"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/lovagelift/lovagelift/internal/upstreamapi"
)

// forgetAfter is how many leases a lapsed member is remembered, so that a
// record of it that arrives late is not taken for a new member.
const forgetAfter = 30

// ErrNameTaken is returned when an upstream announces itself under the name of
// another that is still alive.
var ErrNameTaken = errors.New("roster: name is taken")

// ErrForeign is returned when an announcement can't come from the upstream that it
// names.
var ErrForeign = errors.New("roster: announcement of another writer")

// Upstream is an upstream as this instance knows it.
type Upstream struct {
	// Announcement is the newest one. Its slices must not be changed.
	Announcement upstreamapi.Announcement
	// Heard is when the announcement was made at the latest.
	Heard time.Time
	// Leaving is true when the upstream said that it goes.
	Leaving bool
}

// InstanceStatic is what seldom changes of an instance.
type InstanceStatic struct {
	CallerAddress   string
	UpstreamAddress string
	InnerAddress    string
	FailureDomain   string
	Voter           bool
	// Identity is that of a voter's data folder, empty elsewhere.
	Identity string
}

// InstanceBeat is what an instance tells with each heartbeat.
type InstanceBeat struct {
	// Draining is true from the start of a planned stop.
	Draining bool
	// Stale is true while the instance admits no new work because it cannot
	// confirm that its configuration is in force.
	Stale bool
	// Streams is the number of requests in progress.
	Streams int
}

// Instance is an instance as this one knows it.
type Instance struct {
	Name string
	InstanceStatic
	InstanceBeat
	Heard time.Time
}

// upstreamStatic is an announcement without what changes with each renewal.
type upstreamStatic = upstreamapi.Announcement

// UpstreamRecord is what one instance tells another about an upstream.
type UpstreamRecord = Record[upstreamStatic, upstreamapi.Load]

// InstanceRecord is what one instance tells another about an instance.
type InstanceRecord = Record[InstanceStatic, InstanceBeat]

// Options configures a Roster.
type Options struct {
	// Self is the name of this instance.
	Self string
	// Incarnation differs at every start of this instance, and grows as far as its
	// clock does.
	Incarnation uint64
	// Static describes this instance.
	Static InstanceStatic
	// Lease is how long a member counts as alive after it was heard of.
	Lease time.Duration
	// Restarts says that an upstream of a higher incarnation at another address is the
	// same one, started again. Else a name that is alive can't move.
	Restarts bool
}

// Roster is the members known to one instance. It is not safe for concurrent
// use.
type Roster struct {
	options   Options
	upstreams *Table[upstreamStatic, upstreamapi.Load]
	instances *Table[InstanceStatic, InstanceBeat]
	sequence  uint64
}

// New returns a Roster that knows only this instance.
func New(options Options) *Roster {
	return &Roster{
		options:   options,
		upstreams: NewTable[upstreamStatic, upstreamapi.Load](0),
		instances: NewTable[InstanceStatic, InstanceBeat](options.Lease),
	}
}

// Beat renews this instance's own record.
func (r *Roster) Beat(now time.Time, beat InstanceBeat) {
	r.sequence++
	record := InstanceRecord{
		Name:        r.options.Self,
		Incarnation: r.options.Incarnation,
		Sequence:    r.sequence,
		Beat:        beat,
	}
	if r.sequence == 1 {
		record.Static = &r.options.Static
	}
	r.instances.Put(record, Hearing{At: now, Direct: true})
}

// Introduction returns this instance's own record, for one that may not know it.
func (r *Roster) Introduction(now time.Time) *InstanceRecord {
	held, known := r.instances.rows[r.options.Self]
	if !known {
		return nil
	}
	record := held.record(now, r.options.Self)
	return &record
}

// Introduce takes another instance's own record, which came with its pull. Its
// age is not to be trusted, as it may have been held up on its way: what it is
// good for is to be pulled from. Only an instance that is not known, or a later
// incarnation of it, counts.
func (r *Roster) Introduce(now time.Time, record InstanceRecord) {
	held, known := r.instances.rows[record.Name]
	if record.Name == r.options.Self || known && held.incarnation >= record.Incarnation && now.Sub(held.heard) < r.options.Lease {
		return
	}
	r.instances.Put(record, Hearing{At: now, Direct: true, Whole: true})
}

// Hear takes another instance's own record, which it sent just now. Unlike
// Introduce it renews what is known: the caller vouches that the record was not
// held up for long on its way.
func (r *Roster) Hear(now time.Time, record InstanceRecord) {
	if record.Name != r.options.Self {
		r.instances.Put(record, Hearing{At: now, Direct: true, Whole: true})
	}
}

// Announce takes an announcement that an upstream made to this instance.
//
// If another live upstream holds the name, that is one with the same
// incarnation or an unexpired lease at another address, Announce returns an
// error that wraps ErrNameTaken and changes nothing. A name of which only the leave
// is known has no address, and is nobody else's. An announcement that is older than
// the one held is ignored.
//
// If the same incarnation is announced for other services, it is not the upstream's
// own word, and Announce returns an error that wraps ErrForeign.
func (r *Roster) Announce(now time.Time, announcement upstreamapi.Announcement) error {
	held, known := r.upstreams.rows[announcement.Name]
	if known && held.incarnation == announcement.Incarnation && len(held.static.Services) > 0 &&
		!slices.Equal(held.static.Services, announcement.Services) && len(announcement.Services) > 0 {
		return errors.Wrapf(ErrForeign, "%q answers for %v, this announcement gives %v",
			announcement.Name, held.static.Services, announcement.Services)
	}
	if known && held.static.Address != "" && held.static.Address != announcement.Address {
		restarted := r.options.Restarts && held.incarnation < announcement.Incarnation
		alive := !held.left && now.Sub(held.heard) < r.options.Lease && !restarted
		if alive || held.incarnation >= announcement.Incarnation {
			return errors.Wrapf(ErrNameTaken, "%q is announced from %s, this announcement gives %s",
				announcement.Name, held.static.Address, announcement.Address)
		}
	}
	record := UpstreamRecord{
		Name:        announcement.Name,
		Incarnation: announcement.Incarnation,
		Sequence:    announcement.Sequence,
		Beat:        announcement.Load,
	}
	static := staticPart(announcement)
	if !known || held.incarnation != announcement.Incarnation || !reflect.DeepEqual(held.static, static) {
		record.Static = &static
	}
	whole := !known || !sameRates(held.beat, announcement.Load)
	r.upstreams.Put(record, Hearing{At: now, Direct: true, Whole: whole})
	return nil
}

// Load takes a load report between two announcements. If the upstream is not
// known, has another incarnation, or has told a later load, Load does nothing.
func (r *Roster) Load(now time.Time, report upstreamapi.LoadReport) {
	held, known := r.upstreams.rows[report.Name]
	if !known {
		return
	}
	r.upstreams.Put(UpstreamRecord{
		Name:        report.Name,
		Incarnation: report.Incarnation,
		Sequence:    report.Sequence,
		Left:        held.left,
		Beat:        report.Load,
	}, Hearing{At: now, Direct: true, Whole: !sameRates(held.beat, report.Load)})
}

// Leave takes an upstream's word that it goes. If the upstream is not known or
// has another incarnation, Leave does nothing. Incarnation 0 stands for the one that is
// known.
func (r *Roster) Leave(now time.Time, leave upstreamapi.Leave) {
	held, known := r.upstreams.rows[leave.Name]
	if known && leave.Incarnation == 0 {
		leave.Incarnation = held.incarnation
	}
	if !known || held.incarnation != leave.Incarnation {
		return
	}
	r.upstreams.Put(UpstreamRecord{
		Name:        leave.Name,
		Incarnation: leave.Incarnation,
		// No renewal of this incarnation may undo the leave: one that was sent
		// before it can arrive after it.
		Sequence: lastSequence,
		Left:     true,
		Beat:     held.beat,
	}, Hearing{At: now, Direct: true, Whole: true})
}

// lastSequence is higher than the sequence of any renewal.
const lastSequence = ^uint64(0)

// Sweep forgets members that lapsed long ago.
func (r *Roster) Sweep(now time.Time) {
	horizon := now.Add(-forgetAfter * r.options.Lease)
	r.upstreams.Forget(horizon)
	r.instances.Forget(horizon)
}

// Upstreams returns the upstreams that may receive new work, sorted by name.
func (r *Roster) Upstreams(now time.Time) []Upstream {
	var alive []Upstream
	for _, name := range r.upstreams.sortedNames() {
		held := r.upstreams.rows[name]
		if held.left || now.Sub(held.heard) >= r.options.Lease {
			continue
		}
		alive = append(alive, upstreamOf(held))
	}
	return alive
}

// Upstream returns what was heard last of an upstream, which may have left or lapsed. If
// it is not known, Upstream returns false.
func (r *Roster) Upstream(name string) (Upstream, bool) {
	held := r.upstreams.rows[name]
	if held == nil {
		return Upstream{}, false
	}
	return upstreamOf(held), true
}

// UpstreamsSince returns the upstreams that changed after cursor, those that left
// or whose lease has run out included, and the cursor to ask with next. A cursor
// of 0 asks for all.
func (r *Roster) UpstreamsSince(cursor uint64) ([]Upstream, uint64) {
	var changed []Upstream
	if cursor == r.upstreams.change {
		return nil, cursor
	}
	for _, held := range r.upstreams.rows {
		if held.changed > cursor {
			changed = append(changed, upstreamOf(held))
		}
	}
	return changed, r.upstreams.change
}

// Instances returns the instances that are alive, this one included, sorted by
// name.
func (r *Roster) Instances(now time.Time) []Instance {
	var alive []Instance
	for _, name := range r.instances.sortedNames() {
		held := r.instances.rows[name]
		if held.left || now.Sub(held.heard) >= r.options.Lease {
			continue
		}
		alive = append(alive, Instance{
			Name:           name,
			InstanceStatic: held.static,
			InstanceBeat:   held.beat,
			Heard:          held.heard,
		})
	}
	return alive
}

func upstreamOf(held *row[upstreamStatic, upstreamapi.Load]) Upstream {
	announcement := held.static
	announcement.Incarnation = held.incarnation
	announcement.Sequence = held.sequence
	announcement.Load = held.beat
	return Upstream{Announcement: announcement, Heard: held.heard, Leaving: held.left}
}

func staticPart(announcement upstreamapi.Announcement) upstreamStatic {
	announcement.Incarnation = 0
	announcement.Sequence = 0
	announcement.Load = upstreamapi.Load{}
	return announcement
}
