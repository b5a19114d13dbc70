package archive

import (
	"github.com/cockroachdb/errors"

	"github.com/lovagelift/lovagelift/internal/jury"
)

// logState is the state in memory that results from all records and snapshots.
// Append and the replay in Open update it through the same methods, so that Open
// restores the state that Append produced.
type logState struct {
	hardState jury.HardState
	// snapshot is the newest snapshot without its data. Its Index is 0 if there
	// is none.
	snapshot jury.Snapshot
	// entries have no gaps. After installSnapshot, they start right after the
	// index of the snapshot.
	entries []jury.Entry
	// sequence is the sequence number of the last record.
	sequence uint64
	// prefixCompacted is set during replay if the first segments were compacted.
	// The snapshot that covers their entries is installed after the replay.
	prefixCompacted bool
}

// lastIndex returns the index of the last entry, or of the snapshot if there are
// no entries.
func (l *logState) lastIndex() jury.Index {
	if n := len(l.entries); n > 0 {
		return l.entries[n-1].Index
	}
	return l.snapshot.Index
}

// hasEntry reports whether the log has an entry with this index and term, or the
// snapshot ends with it.
func (l *logState) hasEntry(index jury.Index, term jury.Term) bool {
	if index == l.snapshot.Index {
		return term == l.snapshot.Term
	}
	if len(l.entries) == 0 || index < l.entries[0].Index || index > l.lastIndex() {
		return false
	}
	return l.entries[index-l.entries[0].Index].Term == term
}

// validate returns an error if b can't be applied to the current state.
func (l *logState) validate(b batch) error {
	if b.hardState.Term < l.hardState.Term {
		return errors.Newf("term %d after term %d", b.hardState.Term, l.hardState.Term)
	}
	last := l.lastIndex()
	base := l.snapshot.Index
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
	for i, entry := range b.entries {
		unknownPredecessor := i == 0 && l.prefixCompacted && len(l.entries) == 0 && base == 0
		if entry.Index != expected && !unknownPredecessor {
			return errors.Newf("entry %d where entry %d comes next", entry.Index, expected)
		}
		expected = entry.Index + 1
	}
	return nil
}

// apply applies a batch that passed validate.
func (l *logState) apply(b batch) {
	l.hardState = b.hardState
	l.sequence++
	if b.baseIndex != 0 {
		l.entries = nil
		l.snapshot = jury.Snapshot{Index: b.baseIndex, Term: b.baseTerm}
	}
	if b.truncateFrom != 0 && len(l.entries) > 0 {
		first := l.entries[0].Index
		keepCount := max(b.truncateFrom, first) - first
		keepCount = min(keepCount, jury.Index(len(l.entries)))
		l.entries = l.entries[:keepCount]
	}
	l.entries = append(l.entries, b.entries...)
}

// installSnapshot replaces the snapshot with s. If the log contains the last
// entry of s, later entries are kept and installSnapshot returns true. Otherwise
// the log diverges from s, and all entries are removed.
func (l *logState) installSnapshot(s jury.Snapshot) bool {
	inLog := l.hasEntry(s.Index, s.Term)
	if !inLog {
		l.entries = nil
	}
	for len(l.entries) > 0 && l.entries[0].Index <= s.Index {
		l.entries = l.entries[1:]
	}
	s.Data = nil
	l.snapshot = s
	l.prefixCompacted = false
	return inLog
}

// dropEntryData removes the data of all entries, which only the caller of Open
// needs.
func (l *logState) dropEntryData() {
	withoutData := make([]jury.Entry, len(l.entries))
	for i, entry := range l.entries {
		withoutData[i] = jury.Entry{Index: entry.Index, Term: entry.Term, Kind: entry.Kind}
	}
	l.entries = withoutData
}
