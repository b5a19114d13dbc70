// Package roster is the cluster membership of an instance: the instances and the upstreams that it
// considers alive.
//
// Instances pull changes from one another, so that all of them learn of an upstream that announced
// itself to one. A member whose last contact is a lease or more ago receives no new work, whatever
// the reason.
package roster

import (
	"reflect"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/lovagelift/lovagelift/internal/upstreamapi"
)

// retentionLeases is how long the record of an expired member is kept, in leases, so that a delayed
// record of it is not mistaken for a new member.
const retentionLeases = 30

// ErrNameTaken is returned when an upstream announces itself under the name of another upstream
// that is still alive.
var ErrNameTaken = errors.New("roster: name is taken")

// ErrServicesMismatch is returned when an announcement lists other services than the upstream of
// the same name and incarnation, so that it can't come from that upstream.
var ErrServicesMismatch = errors.New("roster: announcement of another writer")

// ErrVersionMismatch is returned when an announcement states another software version than the
// upstream of the same name and incarnation, or none, so that it can't come from that upstream.
var ErrVersionMismatch = errors.New("roster: announcement of another software version")

// Upstream is the state of an upstream as this instance knows it.
type Upstream struct {
	// Announcement is the most recent one. Its slices must not be changed.
	Announcement upstreamapi.Announcement
	// LastContact is the latest time at which the announcement can have been made.
	LastContact time.Time
	// Leaving is true if the upstream has announced that it is leaving.
	Leaving bool
}

// InstanceStatic is the part of an instance's record that rarely changes.
type InstanceStatic struct {
	CallerAddress   string
	UpstreamAddress string
	InnerAddress    string
	FailureDomain   string
	Voter           bool
	// Identity identifies a voter's data folder. It is empty for other instances.
	Identity string
}

// InstanceBeat is the part of an instance's record that is sent with each heartbeat.
type InstanceBeat struct {
	// Draining is true from the start of a planned shutdown.
	Draining bool
	// Stale is true while the instance admits no new work because it cannot confirm that its
	// configuration is in force.
	Stale bool
	// Streams is the number of requests in progress.
	Streams int
}

// Instance is the state of an instance as this one knows it.
type Instance struct {
	Name string
	InstanceStatic
	InstanceBeat
	LastContact time.Time
}

// upstreamStatic is an announcement without the fields that change with each renewal.
type upstreamStatic = upstreamapi.Announcement

// UpstreamRecord is the record of an upstream as exchanged between instances.
type UpstreamRecord = Record[upstreamStatic, upstreamapi.Load]

// InstanceRecord is the record of an instance as exchanged between instances.
type InstanceRecord = Record[InstanceStatic, InstanceBeat]

// Options configures a Roster.
type Options struct {
	// Self is the name of this instance.
	Self string
	// Incarnation is different at every start of this instance. It increases unless the clock steps
	// back between two starts.
	Incarnation uint64
	// Static describes this instance.
	Static InstanceStatic
	// Lease is how long a member counts as alive after its last contact.
	Lease time.Duration
	// AllowRestartElsewhere makes an announcement with a higher incarnation and another address
	// count as a restart of the same upstream. Without it, the address of a live name can't change.
	AllowRestartElsewhere bool
	// ContestTime is how long an upstream must have been silent before another process under its name
	// counts as the running one although its incarnation is lower, or its services differ: a report of
	// another writer may give any incarnation and service, and the upstream goes on announcing itself.
	// It is above the time between two announcements. With 0, the highest incarnation always counts.
	ContestTime time.Duration
}

// ContestTimeFor returns the Options.ContestTime for a lease: an upstream whose name another writer has
// used is heard from again before its lease ends.
func ContestTimeFor(lease time.Duration) time.Duration {
	return lease * 2 / 3
}

// Roster is the membership state of one instance. It is not safe for concurrent use.
type Roster struct {
	options   Options
	upstreams *Table[upstreamStatic, upstreamapi.Load]
	instances *Table[InstanceStatic, InstanceBeat]
	sequence  uint64
}

// New returns an empty Roster.
func New(options Options) *Roster {
	return &Roster{
		options:   options,
		upstreams: NewTable[upstreamStatic, upstreamapi.Load](options.ContestTime),
		instances: NewTable[InstanceStatic, InstanceBeat](options.Lease),
	}
}

// Heartbeat renews this instance's own record.
func (r *Roster) Heartbeat(now time.Time, beat InstanceBeat) {
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
	r.instances.Put(record, Provenance{At: now, Direct: true})
}

// SelfRecord returns this instance's own record, to be sent to an instance that may not know it.
// It returns nil before the first Heartbeat.
func (r *Roster) SelfRecord(now time.Time) *InstanceRecord {
	row, known := r.instances.rows[r.options.Self]
	if !known {
		return nil
	}
	record := row.record(now, r.options.Self)
	return &record
}

// Discover stores the record that another instance sent about itself with a pull. The record may
// have been delayed on its way, so its age can't be trusted, but it is sufficient to start pulling
// from the sender. The record is ignored unless the sender is unknown, its lease has expired or the
// record has a higher incarnation.
func (r *Roster) Discover(now time.Time, record InstanceRecord) {
	row, known := r.instances.rows[record.Name]
	if record.Name == r.options.Self || known && row.incarnation >= record.Incarnation && now.Sub(row.lastContact) < r.options.Lease {
		return
	}
	r.instances.Put(record, Provenance{At: now, Direct: true, Full: true})
}

// Renew stores the record that another instance has just sent about itself. Unlike Discover it
// renews a known member: the caller guarantees that the record was not delayed for long.
func (r *Roster) Renew(now time.Time, record InstanceRecord) {
	if record.Name != r.options.Self {
		r.instances.Put(record, Provenance{At: now, Direct: true, Full: true})
	}
}

// Announce stores an announcement that an upstream made to this instance. An announcement that is
// older than the stored one is ignored.
//
// If the name is taken by an upstream at another address, Announce returns an error that wraps
// ErrNameTaken and changes nothing. A name is taken while its upstream is alive, unless
// Options.AllowRestartElsewhere is set and the new incarnation is higher. After the upstream has
// left or expired, an announcement still needs a higher incarnation to take over the name. If only
// the leave of an upstream is known, its address is unknown and its name is free.
//
// If the incarnation was announced before with other services, the announcement does not come from
// the upstream itself, and Announce returns an error that wraps ErrServicesMismatch. It does so as
// well for another incarnation, unless the known one has been silent for Options.ContestTime. If the
// incarnation was announced with another software version, the error wraps ErrVersionMismatch.
func (r *Roster) Announce(now time.Time, announcement upstreamapi.Announcement) error {
	row, known := r.upstreams.rows[announcement.Name]
	if known && row.incarnation == announcement.Incarnation {
		if err := checkWriter(row.static, announcement); err != nil {
			return err
		}
	}
	if known && r.contradicts(row, announcement.Incarnation, announcement.Services, now) {
		return errors.Wrapf(ErrServicesMismatch, "%q answers for %v, this announcement gives %v",
			announcement.Name, row.static.Services, announcement.Services)
	}
	if known && !r.isContestable(row, announcement.Incarnation, now) && row.static.Address != "" && row.static.Address != announcement.Address {
		restarted := r.options.AllowRestartElsewhere && row.incarnation < announcement.Incarnation
		alive := !row.left && now.Sub(row.lastContact) < r.options.Lease && !restarted
		if alive || row.incarnation >= announcement.Incarnation {
			return errors.Wrapf(ErrNameTaken, "%q is announced from %s, this announcement gives %s",
				announcement.Name, row.static.Address, announcement.Address)
		}
	}
	record := UpstreamRecord{
		Name:        announcement.Name,
		Incarnation: announcement.Incarnation,
		Sequence:    announcement.Sequence,
		Beat:        announcement.Load,
	}
	static := staticPart(announcement)
	if !known || row.incarnation != announcement.Incarnation || !reflect.DeepEqual(row.static, static) {
		record.Static = &static
	}
	fullRecord := !known || !sameCapacity(row.beat, announcement.Load)
	r.upstreams.Put(record, Provenance{At: now, Direct: true, Full: fullRecord})
	return nil
}

// isContestable reports whether another process, which was heard from at contact, takes the place of a
// known one whatever its incarnation.
func (r *Roster) isContestable(row *upstreamRow, incarnation uint64, contact time.Time) bool {
	return r.options.ContestTime > 0 && !row.left && row.incarnation != incarnation && contact.Sub(row.lastContact) >= r.options.ContestTime
}

// contradicts reports whether the services that another process announced at contact contradict a
// known one that is still heard from: an upstream keeps its services.
func (r *Roster) contradicts(row *upstreamRow, incarnation uint64, services []string, contact time.Time) bool {
	if r.options.ContestTime == 0 || row.left || row.incarnation == incarnation {
		return false
	}
	known := row.static.Services
	return len(known) > 0 && len(services) > 0 && !slices.Equal(known, services) && contact.Sub(row.lastContact) < r.options.ContestTime
}

// checkWriter returns an error if an announcement differs from an earlier one of the same process in
// what never changes. An announcement without an address stands for a process of which only the leave
// is known.
func checkWriter(earlier upstreamStatic, announcement upstreamapi.Announcement) error {
	if len(earlier.Services) > 0 && len(announcement.Services) > 0 && !slices.Equal(earlier.Services, announcement.Services) {
		return errors.Wrapf(ErrServicesMismatch, "%q answers for %v, this announcement gives %v",
			announcement.Name, earlier.Services, announcement.Services)
	}
	if announcement.Address != "" && earlier.SoftwareVersion != "" && earlier.SoftwareVersion != announcement.SoftwareVersion {
		return errors.Wrapf(ErrVersionMismatch, "%q is of version %q, this announcement gives %q",
			announcement.Name, earlier.SoftwareVersion, announcement.SoftwareVersion)
	}
	return nil
}

// ReportLoad stores a load report that an upstream sent between two announcements. If the upstream is
// unknown, has another incarnation or has already reported a later load, ReportLoad does nothing.
func (r *Roster) ReportLoad(now time.Time, report upstreamapi.LoadReport) {
	row, known := r.upstreams.rows[report.Name]
	if !known {
		return
	}
	r.upstreams.Put(UpstreamRecord{
		Name:        report.Name,
		Incarnation: report.Incarnation,
		Sequence:    report.Sequence,
		Left:        row.left,
		Beat:        report.Load,
	}, Provenance{At: now, Direct: true, Full: !sameCapacity(row.beat, report.Load)})
}

// Leave marks an upstream as leaving, at its own request. If the upstream is unknown or has another
// incarnation, Leave does nothing. Incarnation 0 stands for the known one.
func (r *Roster) Leave(now time.Time, leave upstreamapi.Leave) {
	row, known := r.upstreams.rows[leave.Name]
	if known && leave.Incarnation == 0 {
		leave.Incarnation = row.incarnation
	}
	if !known || row.incarnation != leave.Incarnation {
		return
	}
	r.upstreams.Put(UpstreamRecord{
		Name:        leave.Name,
		Incarnation: leave.Incarnation,
		// No renewal of this incarnation may undo the leave: one that was sent before it can arrive
		// after it.
		Sequence: maxSequence,
		Left:     true,
		Beat:     row.beat,
	}, Provenance{At: now, Direct: true, Full: true})
}

// maxSequence is higher than the sequence of any renewal.
const maxSequence = ^uint64(0)

// EvictExpired removes members whose leases expired long ago.
func (r *Roster) EvictExpired(now time.Time) {
	cutoff := now.Add(-retentionLeases * r.options.Lease)
	r.upstreams.Evict(cutoff)
	r.instances.Evict(cutoff)
}

// Upstreams returns the upstreams that may receive new work, sorted by name.
func (r *Roster) Upstreams(now time.Time) []Upstream {
	var alive []Upstream
	for _, name := range r.upstreams.sortedNames() {
		row := r.upstreams.rows[name]
		if row.left || now.Sub(row.lastContact) >= r.options.Lease {
			continue
		}
		alive = append(alive, upstreamOf(row))
	}
	return alive
}

// Upstream returns the last known state of an upstream, which may have left or expired. If the
// upstream is unknown, Upstream returns false.
func (r *Roster) Upstream(name string) (Upstream, bool) {
	row := r.upstreams.rows[name]
	if row == nil {
		return Upstream{}, false
	}
	return upstreamOf(row), true
}

// UpstreamsSince returns the upstreams that changed after cursor, including those that left or
// expired, and the cursor for the next call. Cursor 0 returns all upstreams.
func (r *Roster) UpstreamsSince(cursor uint64) ([]Upstream, uint64) {
	var changed []Upstream
	if cursor == r.upstreams.changeCount {
		return nil, cursor
	}
	for _, row := range r.upstreams.rows {
		if row.lastChange > cursor {
			changed = append(changed, upstreamOf(row))
		}
	}
	return changed, r.upstreams.changeCount
}

// Instances returns the live instances, including this one, sorted by name.
func (r *Roster) Instances(now time.Time) []Instance {
	var alive []Instance
	for _, name := range r.instances.sortedNames() {
		row := r.instances.rows[name]
		if row.left || now.Sub(row.lastContact) >= r.options.Lease {
			continue
		}
		alive = append(alive, Instance{
			Name:           name,
			InstanceStatic: row.static,
			InstanceBeat:   row.beat,
			LastContact:    row.lastContact,
		})
	}
	return alive
}

func upstreamOf(row *memberRow[upstreamStatic, upstreamapi.Load]) Upstream {
	announcement := row.static
	announcement.Incarnation = row.incarnation
	announcement.Sequence = row.sequence
	announcement.Load = row.beat
	return Upstream{Announcement: announcement, LastContact: row.lastContact, Leaving: row.left}
}

func staticPart(announcement upstreamapi.Announcement) upstreamStatic {
	announcement.Incarnation = 0
	announcement.Sequence = 0
	announcement.Load = upstreamapi.Load{}
	return announcement
}
