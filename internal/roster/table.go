package roster

import (
	"sort"
	"time"
)

// Record is what one instance tells another about a member.
//
// Content that seldom changes travels in Static, and only when the receiver
// has not had it; a renewal of an unchanged member carries Beat alone, so that
// the bytes of a second stay small with a thousand members.
type Record[S, B any] struct {
	Name string
	// Incarnation and Sequence order the records of a member: the higher
	// incarnation wins, then the higher sequence.
	Incarnation uint64
	Sequence    uint64
	// Age is how long before the record was handed out its member was heard of.
	Age time.Duration
	// Left is true when the member said that it goes.
	Left bool
	// Static is nil when the receiver already holds it.
	Static *S
	Beat   B
}

// Table holds the newest record of each member and hands out what has changed
// since a cursor. It is not safe for concurrent use.
type Table[S, B any] struct {
	rows map[string]*row[S, B]
	// change numbers the changes of the table; it only grows.
	change uint64
}

type row[S, B any] struct {
	incarnation uint64
	sequence    uint64
	heard       time.Time
	left        bool
	static      S
	beat        B
	// changed and staticChanged are the numbers of the last change of the row
	// and of its static part. changed is never below staticChanged.
	changed       uint64
	staticChanged uint64
}

// NewTable returns an empty table.
func NewTable[S, B any]() *Table[S, B] {
	return &Table[S, B]{rows: map[string]*row[S, B]{}}
}

// Put stores a record that this instance heard of itself at time heard, and
// reports whether it was newer than what the table held.
func (t *Table[S, B]) Put(record Record[S, B], heard time.Time) bool {
	held, known := t.rows[record.Name]
	if !known {
		if record.Static == nil {
			return false
		}
		held = &row[S, B]{}
		t.rows[record.Name] = held
	} else if !newer(record.Incarnation, record.Sequence, held.incarnation, held.sequence) {
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
	held.heard = heard
	held.left = record.Left
	held.beat = record.Beat
	held.changed = t.change
	if record.Static != nil {
		held.static = *record.Static
		held.staticChanged = t.change
	}
	return true
}

// Since returns the records that changed after cursor, and the cursor to ask
// with next. A cursor of 0 asks for everything.
func (t *Table[S, B]) Since(now time.Time, cursor uint64) ([]Record[S, B], uint64) {
	var records []Record[S, B]
	for name, held := range t.rows {
		if held.changed <= cursor {
			continue
		}
		record := Record[S, B]{
			Name:        name,
			Incarnation: held.incarnation,
			Sequence:    held.sequence,
			Age:         now.Sub(held.heard),
			Left:        held.left,
			Beat:        held.beat,
		}
		if held.staticChanged > cursor {
			static := held.static
			record.Static = &static
		}
		records = append(records, record)
	}
	sort.Slice(records, func(i, j int) bool { return records[i].Name < records[j].Name })
	return records, t.change
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

func newer(incarnation, sequence, heldIncarnation, heldSequence uint64) bool {
	if incarnation != heldIncarnation {
		return incarnation > heldIncarnation
	}
	return sequence > heldSequence
}
