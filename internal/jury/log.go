package jury

import (
	"slices"
	"sort"
)

// entryLog is the part of the log that is in memory. The slices that it hands
// out stay as they are: a truncation never overwrites them.
type entryLog struct {
	// base and baseTerm name the entry before the first in entries.
	base     Index
	baseTerm Term
	// entries have the indices base+1, base+2 and so on, with terms that never
	// fall.
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
// compacted or not there.
func (l *entryLog) term(index Index) (Term, bool) {
	switch {
	case index == l.base:
		return l.baseTerm, true
	case index < l.base || index > l.last():
		return 0, false
	}
	return l.entries[index-l.base-1].Term, true
}

// from returns the entries from index on, of at most limit bytes of data but at
// least one entry. A limit of 0 is none. Index must be above base.
func (l *entryLog) from(index Index, limit int) []Entry {
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
	kept := index - l.base - 1
	l.entries = l.entries[:kept:kept]
}

// compact removes the entries up to and including index.
func (l *entryLog) compact(index Index) {
	term, held := l.term(index)
	if !held || index <= l.base {
		return
	}
	l.entries = slices.Clone(l.entries[index-l.base:])
	l.base, l.baseTerm = index, term
}

// reset leaves an empty log after the entry at index.
func (l *entryLog) reset(index Index, term Term) {
	*l = entryLog{base: index, baseTerm: term}
}

// lastUpTo returns the last entry at or before index whose term is at most
// term, or base.
func (l *entryLog) lastUpTo(index Index, term Term) (Index, Term) {
	index = min(index, l.last())
	if index <= l.base {
		return l.base, l.baseTerm
	}
	held := l.entries[:index-l.base]
	count := sort.Search(len(held), func(i int) bool { return held[i].Term > term })
	found := l.base + Index(count)
	foundTerm, _ := l.term(found)
	return found, foundTerm
}
