package roster

import (
	"sort"
	"time"
)

// Record is the complete state of a member as instances exchange it.
type Record[S, B any] struct {
	Name string
	// Handle is the row's number in the sender's table. Later renewals refer to the member by it.
	Handle uint32
	// Incarnation and Sequence order the records of a member: the higher incarnation wins, then the
	// higher sequence.
	Incarnation uint64
	Sequence    uint64
	// Age is the time between the last contact with the member and the sending of the record.
	Age time.Duration
	// Left is true if the member has announced that it is leaving.
	Left bool
	// Static is the part that rarely changes. It is nil in a record that this instance creates for
	// a member whose static part is unchanged.
	Static *S
	Beat   B
}

// Table stores the newest record of each member and returns the changes after a cursor. It is not
// safe for concurrent use.
type Table[S, B any] struct {
	rows map[string]*memberRow[S, B]
	// changeCount is the number of changes to the table so far.
	changeCount uint64
	// nextHandle is the handle of the next new row. Handles are not reused.
	nextHandle uint32
	// lease orders two incarnations of a member: if their last contacts are at least a lease apart,
	// the one with the later contact is the newer. Otherwise, or if lease is 0 or one of them has left,
	// the one with the higher number is.
	lease time.Duration
}

type memberRow[S, B any] struct {
	handle      uint32
	incarnation uint64
	sequence    uint64
	lastContact time.Time
	// direct is true if the latest record came from the member itself.
	direct bool
	left   bool
	static S
	beat   B
	// lastChange and lastFullChange are the values of changeCount at the last change of the row,
	// and at its last change that a renewal does not carry. lastChange is never below
	// lastFullChange.
	lastChange     uint64
	lastFullChange uint64
}

// NewTable returns an empty table. If lease is above 0, an incarnation whose last contact is at
// least a lease after that of another is the newer one, whatever its number.
func NewTable[S, B any](lease time.Duration) *Table[S, B] {
	return &Table[S, B]{rows: map[string]*memberRow[S, B]{}, lease: lease}
}

// Provenance describes how a record was received and how it is passed on.
type Provenance struct {
	// At is the time of the last contact with the member.
	At time.Time
	// Direct is true if the record came from the member itself, not through another instance.
	Direct bool
	// Full is true if the change must be passed on as a full record, because a renewal does not
	// carry all of it.
	Full bool
}

// Put stores a record and reports whether it was newer than the stored one.
func (t *Table[S, B]) Put(record Record[S, B], provenance Provenance) bool {
	row, known := t.rows[record.Name]
	if !known {
		if record.Static == nil {
			return false
		}
		row = &memberRow[S, B]{handle: t.nextHandle}
		t.nextHandle++
		t.rows[record.Name] = row
	} else if !t.supersedes(record, provenance.At, row) {
		return false
	}
	if record.Static == nil && record.Incarnation != row.incarnation {
		// The static part of another incarnation may differ: with the old one, requests would be
		// routed by models that the upstream no longer holds. The full record follows from the
		// instance that received the announcement.
		return false
	}
	t.changeCount++
	row.incarnation = record.Incarnation
	row.sequence = record.Sequence
	row.lastContact = provenance.At
	row.direct = provenance.Direct
	row.beat = record.Beat
	row.lastChange = t.changeCount
	if provenance.Full || record.Static != nil || row.left != record.Left {
		row.lastFullChange = t.changeCount
	}
	row.left = record.Left
	if record.Static != nil {
		row.static = *record.Static
	}
	return true
}

// applyRenewal applies a renewal that another instance passed on, and reports whether its member is
// known. The renewal belongs to the incarnation in key. If another incarnation is stored, the
// renewal is ignored. update computes the new state from the previous one.
func (t *Table[S, B]) applyRenewal(key memberKey, sequence uint64, lastContact time.Time, update func(previous B) B) bool {
	row, known := t.rows[key.name]
	if !known {
		return false
	}
	if row.incarnation == key.incarnation {
		t.Put(Record[S, B]{
			Name:        key.name,
			Incarnation: key.incarnation,
			Sequence:    sequence,
			Left:        row.left,
			Beat:        update(row.beat),
		}, Provenance{At: lastContact})
	}
	return true
}

// since calls full for each row that has changed after cursor by more than a renewal, and renewal
// for each other row that has changed, in the order of their handles. If directOnly is true, it
// skips rows whose latest record came through another instance. It returns the cursor for the next
// call.
func (t *Table[S, B]) since(cursor uint64, directOnly bool, full, renewal func(name string, row *memberRow[S, B])) uint64 {
	type namedRow struct {
		name string
		row  *memberRow[S, B]
	}
	var rows []namedRow
	for name, row := range t.rows {
		if row.lastChange > cursor && (row.direct || !directOnly) {
			rows = append(rows, namedRow{name, row})
		}
	}
	sort.Slice(rows, func(i, j int) bool { return rows[i].row.handle < rows[j].row.handle })
	for _, r := range rows {
		if r.row.lastFullChange > cursor {
			full(r.name, r.row)
		} else {
			renewal(r.name, r.row)
		}
	}
	return t.changeCount
}

// record returns the full record of a row, with its age at now.
func (r *memberRow[S, B]) record(now time.Time, name string) Record[S, B] {
	static := r.static
	return Record[S, B]{
		Name:        name,
		Handle:      r.handle,
		Incarnation: r.incarnation,
		Sequence:    r.sequence,
		Age:         now.Sub(r.lastContact),
		Left:        r.left,
		Static:      &static,
		Beat:        r.beat,
	}
}

// Evict removes the members whose last contact was before cutoff.
func (t *Table[S, B]) Evict(cutoff time.Time) {
	for name, row := range t.rows {
		if row.lastContact.Before(cutoff) {
			delete(t.rows, name)
		}
	}
}

func (t *Table[S, B]) sortedNames() []string {
	names := make([]string, 0, len(t.rows))
	for name := range t.rows {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}

// supersedes reports whether a record of a member with the given last contact replaces the row.
//
// A member takes its incarnation from its clock, which may have stepped back across a restart. By
// number alone, the running process would count as the former one and would receive no work until
// the former one was evicted. A member's renewals are always less than a lease apart, so if the
// last contacts of two incarnations are at least a lease apart, the earlier one had ended.
func (t *Table[S, B]) supersedes(record Record[S, B], lastContact time.Time, row *memberRow[S, B]) bool {
	if record.Incarnation == row.incarnation {
		return record.Sequence > row.sequence
	}
	gap := lastContact.Sub(row.lastContact)
	if t.lease > 0 && gap.Abs() >= t.lease && !row.left && !record.Left {
		return gap > 0
	}
	return record.Incarnation > row.incarnation
}
