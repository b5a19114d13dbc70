package quarantine

import (
	"bytes"
	"cmp"
	"hash/fnv"
	"maps"
	"slices"
	"time"
)

// News is the state of the quarantine that a control instance sends to other instances.
type News struct {
	// Revision is that of the records from which the news was computed.
	Revision uint64
	// Mark identifies the contents: news of the same requests has the same mark, which is
	// never 0.
	Mark        uint64
	Quarantined []Entry
	// Suspected are the requests that one more crash may bring into quarantine. An
	// instance that knows of a complete response to one reports it.
	Suspected []Digest
}

// Entry is a request that is in quarantine or about to enter it.
type Entry struct {
	Digest Digest
	// In is the time for which the request may still be sent.
	In time.Duration
}

// Publisher computes the news at one control instance. It is not safe for concurrent use.
type Publisher struct {
	limits Limits
	// announcedAt is when each request was first announced, as suspected or quarantined.
	announcedAt map[Digest]time.Time
	// current is the latest news, and computedAt the time when it was made.
	current    News
	computedAt time.Time
	// changes are those that Changes has not returned yet.
	changes []Change
}

// Change is a request that entered or left quarantine.
type Change struct {
	Digest Digest
	// Crashes are those that brought the request into quarantine. There are none if it
	// left.
	Crashes []Crash
}

const (
	// clearanceTime is the time between the first announcement of a request and its quarantine,
	// in which other instances can report a complete response to it. It matters if
	// several upstreams end at once with requests that have succeeded elsewhere. Entry instances
	// poll the news at least once a second.
	clearanceTime = 1500 * time.Millisecond
	// propagationTime is the time after the last crash of a request within which the
	// announcement reaches all instances. It leaves room for clock differences.
	propagationTime = 2 * clearanceTime
	// refreshInterval is the time after which the news is recomputed without an update,
	// because the retention of a request may have ended.
	refreshInterval = time.Second
)

// NewPublisher returns a Publisher that decides by limits.
func NewPublisher(limits Limits) *Publisher {
	return &Publisher{limits: limits, announcedAt: map[Digest]time.Time{}}
}

// News returns the news as of now. The caller must not change it.
func (p *Publisher) News(now time.Time, records Records) News {
	fresh := now.Sub(p.computedAt) < refreshInterval && !p.computedAt.IsZero()
	if !fresh || records.Revision() != p.current.Revision {
		p.recompute(now, records)
	}
	return p.current.Aged(now.Sub(p.computedAt))
}

// Changes returns the changes since the last call.
func (p *Publisher) Changes() []Change {
	changes := p.changes
	p.changes = nil
	return changes
}

// Aged returns the news as of a time that is later by age.
func (n News) Aged(age time.Duration) News {
	n.Quarantined = slices.Clone(n.Quarantined)
	for i := range n.Quarantined {
		n.Quarantined[i].In = max(0, n.Quarantined[i].In-age)
	}
	return n
}

// recompute computes the news as of now, and the changes since the previous news.
func (p *Publisher) recompute(now time.Time, records Records) {
	verdicts := records.announcedVerdicts(now, p.limits)
	maps.DeleteFunc(p.announcedAt, func(d Digest, _ time.Time) bool { return verdicts[d] == verdictNone })
	previous := p.current.Quarantined
	p.current, p.computedAt = News{Revision: records.Revision()}, now
	for _, digest := range slices.SortedFunc(maps.Keys(verdicts), compareDigests) {
		if _, found := p.announcedAt[digest]; !found {
			p.announcedAt[digest] = p.announcementTime(now, records.cases[digest])
		}
		if verdicts[digest] == verdictQuarantined {
			in := max(0, p.announcedAt[digest].Add(clearanceTime).Sub(now))
			p.current.Quarantined = append(p.current.Quarantined, Entry{Digest: digest, In: in})
		} else {
			p.current.Suspected = append(p.current.Suspected, digest)
		}
	}
	p.current.Mark = p.current.hash()
	p.recordChanges(records, previous)
}

// announcementTime returns when a request that is new to this Publisher was first
// announced. If its last crash is older than propagationTime, as after a restart of the
// control instance, the other instances have already had the time to clear it.
func (p *Publisher) announcementTime(now time.Time, c Case) time.Time {
	if now.Sub(c.last()) > propagationTime {
		return now.Add(-clearanceTime)
	}
	return now
}

// recordChanges records the differences to the previous news.
func (p *Publisher) recordChanges(records Records, previous []Entry) {
	contains := func(list []Entry, digest Digest) bool {
		return slices.ContainsFunc(list, func(e Entry) bool { return e.Digest == digest })
	}
	for _, entry := range p.current.Quarantined {
		if !contains(previous, entry.Digest) {
			p.changes = append(p.changes, Change{Digest: entry.Digest, Crashes: records.cases[entry.Digest].Crashes})
		}
	}
	for _, entry := range previous {
		if !contains(p.current.Quarantined, entry.Digest) {
			p.changes = append(p.changes, Change{Digest: entry.Digest})
		}
	}
}

// hash returns a hash of the requests in the news.
func (n News) hash() uint64 {
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

// maxAnnounced bounds the requests of each verdict in the news, because hundreds of
// instances each receive the whole list.
const maxAnnounced = 256

// announcedVerdicts returns the verdicts for the news. If there are too many of one kind,
// it keeps those on the requests whose crashes have the most weight.
func (r Records) announcedVerdicts(now time.Time, limits Limits) map[Digest]verdict {
	verdicts := r.judge(now, limits)
	for _, v := range []verdict{verdictSuspected, verdictQuarantined} {
		var digests []Digest
		for digest, assigned := range verdicts {
			if assigned == v {
				digests = append(digests, digest)
			}
		}
		slices.SortFunc(digests, func(a, b Digest) int {
			return cmp.Or(-cmp.Compare(r.cases[a].weight(), r.cases[b].weight()), compareDigests(a, b))
		})
		for _, digest := range digests[min(len(digests), maxAnnounced):] {
			delete(verdicts, digest)
		}
	}
	return verdicts
}

func compareDigests(a, b Digest) int {
	return bytes.Compare(a[:], b[:])
}
