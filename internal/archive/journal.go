package archive

import (
	"github.com/cockroachdb/errors"

	"github.com/lovagelift/lovagelift/internal/jury"
)

// journal is what the records and snapshots so far amount to. Reading the disk
// and writing to it go through the same methods, so that what Open returns is
// what was there before.
type journal struct {
	hard jury.HardState
	// snapshot is the newest snapshot without its data; Index 0 if none.
	snapshot jury.Snapshot
	// entries are contiguous. Once install has taken a snapshot, they start
	// right after its Index.
	entries []jury.Entry
	// sequence is that of the last record.
	sequence uint64
	// partial says that the first records are gone, because a snapshot that is
	// yet to be installed covers them.
	partial bool
}

// last returns the index of the last entry.
func (j *journal) last() jury.Index {
	if n := len(j.entries); n > 0 {
		return j.entries[n-1].Index
	}
	return j.snapshot.Index
}

// holds says whether the entry at index is there and of that term.
func (j *journal) holds(index jury.Index, term jury.Term) bool {
	if index == j.snapshot.Index {
		return term == j.snapshot.Term
	}
	if len(j.entries) == 0 || index < j.entries[0].Index || index > j.last() {
		return false
	}
	return j.entries[index-j.entries[0].Index].Term == term
}

// check returns an error if b doesn't follow what is there.
func (j *journal) check(b batch) error {
	if b.hard.Term < j.hard.Term {
		return errors.Newf("term %d after term %d", b.hard.Term, j.hard.Term)
	}
	last := j.last()
	base := j.snapshot.Index
	if b.baseIndex != 0 {
		last = b.baseIndex
		base = b.baseIndex
	}
	if b.truncateFrom != 0 {
		if b.truncateFrom <= base {
			return errors.Newf("truncation from index %d, which the snapshot at %d holds", b.truncateFrom, base)
		}
		last = min(last, b.truncateFrom-1)
	}
	expected := last + 1
	for i, e := range b.entries {
		anyStart := i == 0 && j.partial && len(j.entries) == 0 && base == 0
		if e.Index != expected && !anyStart {
			return errors.Newf("entry %d where entry %d comes next", e.Index, expected)
		}
		expected = e.Index + 1
	}
	return nil
}

// add takes b, which check has passed.
func (j *journal) add(b batch) {
	j.hard = b.hard
	j.sequence++
	if b.baseIndex != 0 {
		j.entries = nil
		j.snapshot = jury.Snapshot{Index: b.baseIndex, Term: b.baseTerm}
	}
	if b.truncateFrom != 0 && len(j.entries) > 0 {
		first := j.entries[0].Index
		keep := max(b.truncateFrom, first) - first
		keep = min(keep, jury.Index(len(j.entries)))
		j.entries = j.entries[:keep]
	}
	j.entries = append(j.entries, b.entries...)
}

// install takes a snapshot. If the log leads up to it, what follows it stays
// and install returns true; otherwise the log is of another history and goes.
func (j *journal) install(s jury.Snapshot) bool {
	held := j.holds(s.Index, s.Term)
	if !held {
		j.entries = nil
	}
	for len(j.entries) > 0 && j.entries[0].Index <= s.Index {
		j.entries = j.entries[1:]
	}
	s.Data = nil
	j.snapshot = s
	j.partial = false
	return held
}

// forgetData keeps of the entries only what later calls compare.
func (j *journal) forgetData() {
	bare := make([]jury.Entry, len(j.entries))
	for i, e := range j.entries {
		bare[i] = jury.Entry{Index: e.Index, Term: e.Term, Kind: e.Kind}
	}
	j.entries = bare
}
