package roster

import (
	"sort"
	"time"
)

// Record is what one instance tells another about a member, whole.
type Record[S, B any] struct {
	Name string
	// Handle is the row's number in the sender's table. Later renewals name the
	// member by it.
	Handle uint32
	// Incarnation and Sequence order the records of a member: the higher
	// incarnation wins, then the higher sequence.
	Incarnation uint64
	Sequence    uint64
	// Age is how long before the record was handed out its member was heard of.
	Age time.Duration
	// Left is true when the member said that it goes.
	Left bool
	// Static is what seldom changes. It is nil in a record that this instance
	// makes itself for a member whose static part has not changed.
	Static *S
	Beat   B
}

// Table holds the newest record of each member and hands out what has changed
// since a cursor. It is not safe for concurrent use.
type Table[S, B any] struct {
	rows map[string]*row[S, B]
	// change numbers the changes of the table; it only grows.
	change uint64
	// handles is the number of rows that there have ever been.
	handles uint32
	// lapse is how far apart two incarnations of a member must have been heard
	// of for the time to say which one is the later. It is 0 if their numbers
	// alone do.
	lapse time.Duration
}

type row[S, B any] struct {
	handle      uint32
	incarnation uint64
	sequence    uint64
	heard       time.Time
	// direct is true if the member itself told this instance last.
	direct bool
	left   bool
	static S
	beat   B
	// changed and wholeChanged are the numbers of the last change of the row
	// and of what a renewal does not carry. changed is never below wholeChanged.
	changed      uint64
	wholeChanged uint64
}

// NewTable returns an empty table. If lapse is above 0, an incarnation that was
// heard of that much later than another is the later one, whatever its number.
func NewTable[S, B any](lapse time.Duration) *Table[S, B] {
	return &Table[S, B]{rows: map[string]*row[S, B]{}, lapse: lapse}
}

// Hearing is how a record was heard of.
type Hearing struct {
	// At is the time of it.
	At time.Time
	// Direct is true if the member itself told, not another instance.
	Direct bool
	// Whole says that others need more than a renewal to follow the change.
	Whole bool
}

// Put stores a record and reports whether it was newer than what the table held.
func (t *Table[S, B]) Put(record Record[S, B], hearing Hearing) bool {
	held, known := t.rows[record.Name]
	if !known {
		if record.Static == nil {
			return false
		}
		held = &row[S, B]{handle: t.handles}
		t.handles++
		t.rows[record.Name] = held
	} else if !t.newer(record, hearing.At, held) {
		return false
	}
	if record.Static == nil && record.Incarnation != held.incarnation {
		// The static part of another incarnation may differ: a beat without it
		// would route work by what the upstream no longer holds. The whole
		// record follows from whoever heard the announcement.
		return false
	}
	t.change++
	held.incarnation = record.Incarnation
	held.sequence = record.Sequence
	held.heard = hearing.At
	held.direct = hearing.Direct
	held.beat = record.Beat
	held.changed = t.change
	if hearing.Whole || record.Static != nil || held.left != record.Left {
		held.wholeChanged = t.change
	}
	held.left = record.Left
	if record.Static != nil {
		held.static = *record.Static
	}
	return true
}

// renew takes a renewal from another instance and reports whether its member is
// known. The renewal is of the incarnation that the source sent whole. If this
// instance has heard of another meanwhile, it is not for that one. beat returns
// the state after the renewal, given the one before.
func (t *Table[S, B]) renew(of member, sequence uint64, heard time.Time, beat func(held B) B) bool {
	held, known := t.rows[of.name]
	if !known {
		return false
	}
	if held.incarnation == of.incarnation {
		t.Put(Record[S, B]{
			Name:        of.name,
			Incarnation: of.incarnation,
			Sequence:    sequence,
			Left:        held.left,
			Beat:        beat(held.beat),
		}, Hearing{At: heard})
	}
	return true
}

// since calls whole for each row of which more than a renewal has changed after
// cursor, and renewed for each other row that was renewed, in the order of
// their handles. If direct is true, rows that another instance told of are left
// out. It returns the cursor to ask with next.
func (t *Table[S, B]) since(cursor uint64, direct bool, whole, renewed func(name string, held *row[S, B])) uint64 {
	type changed struct {
		name string
		held *row[S, B]
	}
	var rows []changed
	for name, held := range t.rows {
		if held.changed > cursor && (held.direct || !direct) {
			rows = append(rows, changed{name, held})
		}
	}
	sort.Slice(rows, func(i, j int) bool { return rows[i].held.handle < rows[j].held.handle })
	for _, r := range rows {
		if r.held.wholeChanged > cursor {
			whole(r.name, r.held)
		} else {
			renewed(r.name, r.held)
		}
	}
	return t.change
}

// record returns a row whole, as handed out at now.
func (h *row[S, B]) record(now time.Time, name string) Record[S, B] {
	static := h.static
	return Record[S, B]{
		Name:        name,
		Handle:      h.handle,
		Incarnation: h.incarnation,
		Sequence:    h.sequence,
		Age:         now.Sub(h.heard),
		Left:        h.left,
		Static:      &static,
		Beat:        h.beat,
	}
}

// Forget removes the members that were last heard of before horizon.
func (t *Table[S, B]) Forget(horizon time.Time) {
	for name, held := range t.rows {
		if held.heard.Before(horizon) {
			delete(t.rows, name)
		}
	}
}

// sortedNames returns the names of all members in order.
func (t *Table[S, B]) sortedNames() []string {
	names := make([]string, 0, len(t.rows))
	for name := range t.rows {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}

// newer tells whether a record that was heard of at a time replaces a row.
//
// A member draws its incarnation from its clock, which may have stepped back
// across a restart: the process that lives would be taken for a former one, and
// nobody would be sent to it until that one is forgotten. A member sends no two
// renewals further apart than its lease, so of two incarnations that were heard
// of a lease apart, the first had ended.
func (t *Table[S, B]) newer(record Record[S, B], heard time.Time, held *row[S, B]) bool {
	if record.Incarnation == held.incarnation {
		return record.Sequence > held.sequence
	}
	apart := heard.Sub(held.heard)
	if t.lapse > 0 && apart.Abs() >= t.lapse {
		return apart > 0
	}
	return record.Incarnation > held.incarnation
}
