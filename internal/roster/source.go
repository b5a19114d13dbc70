package roster

import (
	"time"

	"github.com/lovagelift/lovagelift/internal/upstreamapi"
)

// Cursor says how far one instance has pulled from another. The zero value asks
// for everything.
type Cursor struct {
	// Incarnation is that of the instance pulled from. A restart begins anew.
	Incarnation uint64
	Upstreams   uint64
	Instances   uint64
	// Direct asks only for members that told the callee themselves. A voter asks
	// so an instance that got all the rest from the voters.
	Direct bool
}

// Changes answers a pull.
type Changes struct {
	Upstreams     []UpstreamRecord
	UpstreamBeats UpstreamBeats
	Instances     []InstanceRecord
	InstanceBeats InstanceBeats
	Next          Cursor
}

// Source is an instance that is pulled from: how far, and by which handles it
// names members. The zero value has pulled nothing. It is not safe for
// concurrent use.
type Source struct {
	cursor    Cursor
	upstreams map[uint32]member
	instances map[uint32]member
}

// member is whom a handle stands for.
type member struct {
	name        string
	incarnation uint64
}

// Cursor returns what to pull with next. If direct is true, it asks only for
// members that tell the source themselves; a change of direct begins anew.
func (s *Source) Cursor(direct bool) Cursor {
	if s.cursor.Direct != direct {
		return Cursor{Direct: direct}
	}
	return s.cursor
}

// follow takes over the cursor of an answer. After a restart of the source its
// handles name other members.
func (s *Source) follow(next Cursor) {
	if s.upstreams == nil || next.Direct != s.cursor.Direct || next.Incarnation != s.cursor.Incarnation {
		s.upstreams, s.instances = map[uint32]member{}, map[uint32]member{}
	}
	s.cursor = next
}

// Since returns what has changed after cursor.
func (r *Roster) Since(now time.Time, cursor Cursor) Changes {
	if cursor.Incarnation != r.options.Incarnation {
		cursor = Cursor{Incarnation: r.options.Incarnation, Direct: cursor.Direct}
	}
	changes := Changes{Next: Cursor{Incarnation: r.options.Incarnation, Direct: cursor.Direct}}
	changes.Next.Upstreams = r.upstreams.since(cursor.Upstreams, cursor.Direct,
		func(name string, held *upstreamRow) {
			changes.Upstreams = append(changes.Upstreams, held.record(now, name))
		},
		func(_ string, held *upstreamRow) {
			changes.UpstreamBeats.add(held.handle, held.sequence, now.Sub(held.heard))
			changes.UpstreamBeats.addLoad(held.beat)
		})
	changes.Next.Instances = r.instances.since(cursor.Instances, cursor.Direct,
		func(name string, held *instanceRow) {
			changes.Instances = append(changes.Instances, held.record(now, name))
		},
		func(_ string, held *instanceRow) {
			changes.InstanceBeats.add(held.handle, held.sequence, now.Sub(held.heard))
			changes.InstanceBeats.addState(held.beat)
		})
	return changes
}

// Merge takes the answer to a pull from source that was asked at time asked. An
// answer whose columns do not fit together is dropped whole: the next pull asks
// for the same again.
//
// Ages are counted back from the moment of asking, not of the answer's arrival:
// an answer that was held up on its way would otherwise make a lost member look
// alive for as long as it was held up.
func (r *Roster) Merge(asked time.Time, source *Source, changes Changes) {
	if !changes.UpstreamBeats.wellFormed() || !changes.InstanceBeats.wellFormed() {
		return
	}
	source.follow(changes.Next)
	complete := true
	for _, record := range changes.Upstreams {
		source.upstreams[record.Handle] = member{record.Name, record.Incarnation}
		r.upstreams.Put(record, Hearing{At: asked.Add(-record.Age), Whole: true})
	}
	for n, handle := range changes.UpstreamBeats.Handles {
		beats := &changes.UpstreamBeats
		renewed := r.upstreams.renew(source.upstreams[handle], beats.Sequences[n], asked.Add(-beats.age(n)),
			func(held upstreamapi.Load) upstreamapi.Load { return beats.load(n, held) })
		complete = complete && renewed
	}
	for _, record := range changes.Instances {
		source.instances[record.Handle] = member{record.Name, record.Incarnation}
		if record.Name != r.options.Self {
			r.instances.Put(record, Hearing{At: asked.Add(-record.Age), Whole: true})
		}
	}
	for n, handle := range changes.InstanceBeats.Handles {
		if source.instances[handle].name == r.options.Self {
			continue
		}
		beats := &changes.InstanceBeats
		renewed := r.instances.renew(source.instances[handle], beats.Sequences[n], asked.Add(-beats.age(n)),
			func(InstanceBeat) InstanceBeat { return beats.state(n) })
		complete = complete && renewed
	}
	if !complete {
		// A renewal of a member that was forgotten here says nothing without its
		// whole record, which the source would not send again by itself: the
		// member would stay unknown for good.
		*source = Source{}
	}
}

// upstreamRow and instanceRow are the rows of the two tables.
type (
	upstreamRow = row[upstreamStatic, upstreamapi.Load]
	instanceRow = row[InstanceStatic, InstanceBeat]
)
