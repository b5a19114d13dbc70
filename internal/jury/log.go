package jury

import (
	"slices"
	"sort"
)

// entryLog is the part of the log that is in memory. Slices that it returns stay
// valid: a truncation never overwrites their entries.
type entryLog struct {
	// base and baseTerm are the index and the term of the last entry before
	// entries.
	base     Index
	baseTerm Term
	// entries have consecutive indices, starting at base+1, and terms that never
	// decrease.
	entries []Entry
}

func (l *entryLog) last() Index {
	return l.base + Index(len(l.entries))
}

func (l *entryLog) lastTerm() Term {
	term, _ := l.term(l.last())
	return term
}

// term returns the term of the entry at index. It returns false if the entry is
// compacted or beyond the end of the log.
func (l *entryLog) term(index Index) (Term, bool) {
	switch {
	case index == l.base:
		return l.baseTerm, true
	case index < l.base || index > l.last():
		return 0, false
	}
	return l.entries[index-l.base-1].Term, true
}

// entriesFrom returns the entries from index on, up to limit bytes of data but
// at least one entry. With a limit of 0, the size is unlimited. Index must be
// greater than base.
func (l *entryLog) entriesFrom(index Index, limit int) []Entry {
	if index > l.last() {
		return nil
	}
	rest := l.entries[index-l.base-1:]
	if limit == 0 {
		return rest[:len(rest):len(rest)]
	}
	size := 0
	for i := range rest {
		size += len(rest[i].Data)
		if i > 0 && size > limit {
			return rest[:i:i]
		}
	}
	return rest[:len(rest):len(rest)]
}

func (l *entryLog) append(entries ...Entry) {
	l.entries = append(l.entries, entries...)
}

// truncate removes the entries from index on.
func (l *entryLog) truncate(index Index) {
	remaining := index - l.base - 1
	l.entries = l.entries[:remaining:remaining]
}

// compact removes the entries up to and including index.
func (l *entryLog) compact(index Index) {
	term, found := l.term(index)
	if !found || index <= l.base {
		return
	}
	l.entries = slices.Clone(l.entries[index-l.base:])
	l.base, l.baseTerm = index, term
}

// reset leaves an empty log after the entry at index.
func (l *entryLog) reset(index Index, term Term) {
	*l = entryLog{base: index, baseTerm: term}
}

// findConflictByTerm returns the index and the term of the last entry at or
// before index whose term is at most term. If there is none, it returns base and
// baseTerm.
func (l *entryLog) findConflictByTerm(index Index, term Term) (Index, Term) {
	index = min(index, l.last())
	if index <= l.base {
		return l.base, l.baseTerm
	}
	candidates := l.entries[:index-l.base]
	count := sort.Search(len(candidates), func(i int) bool { return candidates[i].Term > term })
	found := l.base + Index(count)
	foundTerm, _ := l.term(found)
	return found, foundTerm
}
