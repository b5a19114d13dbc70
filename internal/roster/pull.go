package roster

import (
	"time"

	"github.com/lovagelift/lovagelift/internal/upstreamapi"
)

// Cursor is the position up to which one instance has pulled the changes of another. The zero value
// requests everything.
type Cursor struct {
	// Incarnation is that of the instance that is pulled from. If it has restarted, the pull starts
	// over.
	Incarnation uint64
	Upstreams   uint64
	Instances   uint64
	// Direct limits the reply to members that reported to the callee themselves. Voters set it to
	// pull from a non-voter, which has everything else from the voters.
	Direct bool
}

// Changes is the reply to a pull.
type Changes struct {
	Upstreams     []UpstreamRecord
	UpstreamBeats UpstreamBeats
	Instances     []InstanceRecord
	InstanceBeats InstanceBeats
	Next          Cursor
}

// PullState is the state of pulling from one instance: the cursor, and the members behind its
// handles. The zero value has pulled nothing. It is not safe for concurrent use.
type PullState struct {
	cursor    Cursor
	upstreams map[uint32]memberKey
	instances map[uint32]memberKey
}

// memberKey is the member that a handle refers to.
type memberKey struct {
	name        string
	incarnation uint64
}

// Cursor returns the cursor for the next pull. If direct is true, it requests only members that
// report to the source themselves. If direct differs from the last pull, the pull starts over.
func (p *PullState) Cursor(direct bool) Cursor {
	if p.cursor.Direct != direct {
		return Cursor{Direct: direct}
	}
	return p.cursor
}

// advance stores the cursor of a reply. If the pull started over, it discards the handles: those
// of a restarted source refer to other members.
func (p *PullState) advance(next Cursor) {
	if p.upstreams == nil || next.Direct != p.cursor.Direct || next.Incarnation != p.cursor.Incarnation {
		p.upstreams, p.instances = map[uint32]memberKey{}, map[uint32]memberKey{}
	}
	p.cursor = next
}

// Continues reports whether cursor continues an earlier pull from this instance. If not, Since returns
// everything.
func (r *Roster) Continues(cursor Cursor) bool {
	return cursor.Incarnation == r.options.Incarnation
}

// Since returns the changes after cursor.
func (r *Roster) Since(now time.Time, cursor Cursor) Changes {
	if !r.Continues(cursor) {
		cursor = Cursor{Incarnation: r.options.Incarnation, Direct: cursor.Direct}
	}
	changes := Changes{Next: Cursor{Incarnation: r.options.Incarnation, Direct: cursor.Direct}}
	changes.Next.Upstreams = r.upstreams.since(cursor.Upstreams, cursor.Direct,
		func(name string, row *upstreamRow) {
			changes.Upstreams = append(changes.Upstreams, row.record(now, name))
		},
		func(_ string, row *upstreamRow) {
			changes.UpstreamBeats.add(row.handle, row.sequence, now.Sub(row.lastContact))
			changes.UpstreamBeats.addLoad(row.beat)
		})
	changes.Next.Instances = r.instances.since(cursor.Instances, cursor.Direct,
		func(name string, row *instanceRow) {
			changes.Instances = append(changes.Instances, row.record(now, name))
		},
		func(_ string, row *instanceRow) {
			changes.InstanceBeats.add(row.handle, row.sequence, now.Sub(row.lastContact))
			changes.InstanceBeats.addState(row.beat)
		})
	return changes
}

// Merge applies the reply to a pull from source that was requested at requestedAt. A reply whose
// columns differ in length is discarded as a whole, and the next pull requests the same again.
//
// Ages are subtracted from the time of the request, not of the reply's arrival: otherwise a
// reply that was delayed on its way would make a lost member look alive for as long as the delay.
func (r *Roster) Merge(requestedAt time.Time, source *PullState, changes Changes) {
	if !changes.UpstreamBeats.wellFormed() || !changes.InstanceBeats.wellFormed() {
		return
	}
	source.advance(changes.Next)
	allKnown := true
	for _, record := range changes.Upstreams {
		source.upstreams[record.Handle] = memberKey{record.Name, record.Incarnation}
		contact := requestedAt.Add(-record.Age)
		row, known := r.upstreams.rows[record.Name]
		if known && record.Static != nil && r.contradicts(row, record.Incarnation, record.Static.Services, contact) {
			continue
		}
		r.upstreams.Put(record, Provenance{At: contact, Full: true})
	}
	for n, handle := range changes.UpstreamBeats.Handles {
		beats := &changes.UpstreamBeats
		known := r.upstreams.applyRenewal(source.upstreams[handle], beats.Sequences[n], requestedAt.Add(-beats.age(n)),
			func(previous upstreamapi.Load) upstreamapi.Load { return beats.load(n, previous) })
		allKnown = allKnown && known
	}
	for _, record := range changes.Instances {
		source.instances[record.Handle] = memberKey{record.Name, record.Incarnation}
		if record.Name != r.options.Self {
			r.instances.Put(record, Provenance{At: requestedAt.Add(-record.Age), Full: true})
		}
	}
	for n, handle := range changes.InstanceBeats.Handles {
		if source.instances[handle].name == r.options.Self {
			continue
		}
		beats := &changes.InstanceBeats
		known := r.instances.applyRenewal(source.instances[handle], beats.Sequences[n], requestedAt.Add(-beats.age(n)),
			func(InstanceBeat) InstanceBeat { return beats.state(n) })
		allKnown = allKnown && known
	}
	if !allKnown {
		// A renewal of a member that was evicted here is useless without the full record. The
		// source would not send that again on its own, and the member would stay unknown for good.
		*source = PullState{}
	}
}

type (
	upstreamRow = memberRow[upstreamStatic, upstreamapi.Load]
	instanceRow = memberRow[InstanceStatic, InstanceBeat]
)
