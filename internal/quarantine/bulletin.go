package quarantine

import (
	"bytes"
	"cmp"
	"hash/fnv"
	"maps"
	"slices"
	"time"
)

// News is what a control instance tells others of requests in quarantine.
type News struct {
	// Revision counts the updates that the news rest on.
	Revision uint64
	// Mark tells news apart: those that name the same requests have the same, which is never 0.
	Mark        uint64
	Quarantined []Entry
	// Suspected are the requests that one more crash brings into quarantine. Whoever knows
	// of a whole answer to one says so.
	Suspected []Digest
}

// Entry is a request that is not to be sent from a time on.
type Entry struct {
	Digest Digest
	// In is how long it may still be sent.
	In time.Duration
}

// Bulletin makes the news at one control instance. It is not safe for concurrent use.
type Bulletin struct {
	limits Limits
	// since is when each request was first told of.
	since map[Digest]time.Time
	// made are the news that were made last, at madeAt.
	made   News
	madeAt time.Time
	// changes are those that nobody has taken yet.
	changes []Change
}

// Change is a request that has come into quarantine, or out of it.
type Change struct {
	Digest Digest
	// Crashes are the ones that brought it there. There are none if it comes out.
	Crashes []Crash
}

const (
	// objectionTime is how long others have to say that a request ended with a whole
	// answer, from the first news of it. Several upstreams may end at one moment, under
	// requests of which each is well known elsewhere. Entry instances ask for news once a
	// second at the least.
	objectionTime = 1500 * time.Millisecond
	// settledTime is how long after its last crash all know of a request. It leaves room
	// for clocks that differ.
	settledTime = 2 * objectionTime
	// newsEvery is how often the news are made anew without an update, as retention ends.
	newsEvery = time.Second
)

// NewBulletin returns a Bulletin that tells of requests by limits.
func NewBulletin(limits Limits) *Bulletin {
	return &Bulletin{limits: limits, since: map[Digest]time.Time{}}
}

// News returns the news as of now. They must not be changed.
func (b *Bulletin) News(now time.Time, records Records) News {
	fresh := now.Sub(b.madeAt) < newsEvery && !b.madeAt.IsZero()
	if !fresh || records.Revision() != b.made.Revision {
		b.make(now, records)
	}
	return b.made.Aged(now.Sub(b.madeAt))
}

// Changes returns what has changed since it was called last.
func (b *Bulletin) Changes() []Change {
	changes := b.changes
	b.changes = nil
	return changes
}

// Aged returns the news as of a later time.
func (n News) Aged(age time.Duration) News {
	n.Quarantined = slices.Clone(n.Quarantined)
	for i := range n.Quarantined {
		n.Quarantined[i].In = max(0, n.Quarantined[i].In-age)
	}
	return n
}

func (b *Bulletin) make(now time.Time, records Records) {
	verdicts := records.told(now, b.limits)
	maps.DeleteFunc(b.since, func(d Digest, _ time.Time) bool { return verdicts[d] == verdictNone })
	before := b.made.Quarantined
	b.made, b.madeAt = News{Revision: records.Revision()}, now
	for _, digest := range slices.SortedFunc(maps.Keys(verdicts), compareDigests) {
		if _, known := b.since[digest]; !known {
			b.since[digest] = b.firstTold(now, records.cases[digest])
		}
		if verdicts[digest] == verdictQuarantined {
			in := max(0, b.since[digest].Add(objectionTime).Sub(now))
			b.made.Quarantined = append(b.made.Quarantined, Entry{Digest: digest, In: in})
		} else {
			b.made.Suspected = append(b.made.Suspected, digest)
		}
	}
	b.made.Mark = b.made.mark()
	b.note(records, before)
}

// firstTold returns when a request was told of first that is new here. An instance that
// has started anew finds requests that others have long had the time to object to.
func (b *Bulletin) firstTold(now time.Time, c Case) time.Time {
	if now.Sub(c.last()) > settledTime {
		return now.Add(-objectionTime)
	}
	return now
}

// note notes what has changed since the news before.
func (b *Bulletin) note(records Records, before []Entry) {
	held := func(list []Entry, digest Digest) bool {
		return slices.ContainsFunc(list, func(s Entry) bool { return s.Digest == digest })
	}
	for _, entry := range b.made.Quarantined {
		if !held(before, entry.Digest) {
			b.changes = append(b.changes, Change{Digest: entry.Digest, Crashes: records.cases[entry.Digest].Crashes})
		}
	}
	for _, entry := range before {
		if !held(b.made.Quarantined, entry.Digest) {
			b.changes = append(b.changes, Change{Digest: entry.Digest})
		}
	}
}

// mark returns a hash of what the news say.
func (n News) mark() uint64 {
	sum := fnv.New64a()
	for _, entry := range n.Quarantined {
		_, _ = sum.Write(entry.Digest[:])
	}
	_, _ = sum.Write([]byte{0})
	for _, digest := range n.Suspected {
		_, _ = sum.Write(digest[:])
	}
	return max(sum.Sum64(), 1)
}

// maxTold bounds the requests of each verdict that instances are told of: each of hundreds
// of them gets the whole list.
const maxTold = 256

// told returns the verdicts that instances are told of. Of too many, those on requests
// with the most crashes are kept.
func (r Records) told(now time.Time, limits Limits) map[Digest]verdict {
	verdicts := r.judge(now, limits)
	for _, v := range []verdict{verdictSuspected, verdictQuarantined} {
		var among []Digest
		for digest, given := range verdicts {
			if given == v {
				among = append(among, digest)
			}
		}
		slices.SortFunc(among, func(a, b Digest) int {
			return cmp.Or(-cmp.Compare(r.cases[a].weight(), r.cases[b].weight()), compareDigests(a, b))
		})
		for _, digest := range among[min(len(among), maxTold):] {
			delete(verdicts, digest)
		}
	}
	return verdicts
}

func compareDigests(a, b Digest) int {
	return bytes.Compare(a[:], b[:])
}
