package quarantine

import (
	"bytes"
	"cmp"
	"hash/fnv"
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
	// OnProbation are the requests of which one copy is sent at a time. An instance that knows of
	// a complete response to one reports it.
	OnProbation []Probation
}

// Entry is a request, or parts of prompts, in quarantine or about to enter it.
type Entry struct {
	// Digest is that of a request, or of a part of its prompt.
	Digest Digest
	// Also are further parts: a request is in quarantine only if its prompt has all of them.
	Also []Digest
	// In is the time for which the requests may still be sent.
	In time.Duration
	// Part is true if the entry is about parts of prompts. TrialIn is the time after which one of
	// its requests may be sent as a trial.
	Part    bool
	TrialIn time.Duration
	// Suspected is true if the crashes may be due to chance.
	Suspected bool
	// Crashes is the number of crashes in the records, so that a trial that failed is news.
	Crashes int
}

// digests returns Digest and Also.
func (e Entry) digests() []Digest {
	return slices.Concat([]Digest{e.Digest}, e.Also)
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

// Change is an Entry that entered or left quarantine.
type Change struct {
	Digest Digest
	Also   []Digest
	// Part is true if it entered and consists of parts of prompts.
	Part bool
	// Crashes are those that brought it into quarantine. There are none if it left.
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
		n.Quarantined[i].TrialIn = max(0, n.Quarantined[i].TrialIn-age)
	}
	return n
}

// recompute computes the news as of now, and the changes since the previous news.
func (p *Publisher) recompute(now time.Time, records Records) {
	judged := records.judge(now, p.limits).announced(records)
	p.recordAnnouncements(now, judged, records)
	previous := p.current.Quarantined
	p.current = News{Revision: records.Revision(), Suspected: judged.suspected, OnProbation: records.probations(judged.probation)}
	p.computedAt = now
	for _, g := range judged.quarantined {
		entry := Entry{
			Digest: g.digests[0], Crashes: len(g.heaviest.Crashes), TrialIn: g.trialIn(now, p.limits),
			Part: g.part, Suspected: !g.certain,
		}
		if len(g.digests) > 1 {
			entry.Also = g.digests[1:]
		}
		for _, digest := range g.digests {
			entry.In = max(entry.In, p.announcedAt[digest].Add(clearanceTime).Sub(now))
		}
		p.current.Quarantined = append(p.current.Quarantined, entry)
	}
	p.current.Mark = p.current.hash()
	p.recordChanges(judged.quarantined, previous)
}

// recordAnnouncements updates announcedAt to the verdicts that are announced.
func (p *Publisher) recordAnnouncements(now time.Time, judged verdicts, records Records) {
	previous := p.announcedAt
	p.announcedAt = map[Digest]time.Time{}
	announce := func(digest Digest, lastCrash time.Time) {
		at, known := previous[digest]
		if !known {
			at = announcementTime(now, lastCrash)
		}
		p.announcedAt[digest] = at
	}
	for _, digest := range judged.suspected {
		announce(digest, records.cases[digest].last())
	}
	for _, g := range judged.quarantined {
		for _, digest := range g.digests {
			announce(digest, g.heaviest.last())
		}
	}
}

// announcementTime returns when a digest that is new to a Publisher was first announced. If
// its last crash is older than propagationTime, as after a restart of the control instance,
// the other instances have already had the time to clear it.
func announcementTime(now, lastCrash time.Time) time.Time {
	if now.Sub(lastCrash) > propagationTime {
		return now.Add(-clearanceTime)
	}
	return now
}

// recordChanges records the differences to the previous news.
func (p *Publisher) recordChanges(groups []group, previous []Entry) {
	isSame := func(a, b Entry) bool { return a.Digest == b.Digest && slices.Equal(a.Also, b.Also) }
	contains := func(list []Entry, entry Entry) bool {
		return slices.ContainsFunc(list, func(e Entry) bool { return isSame(e, entry) })
	}
	for i, entry := range p.current.Quarantined {
		if !contains(previous, entry) {
			p.changes = append(p.changes, Change{
				Digest: entry.Digest, Also: entry.Also, Part: entry.Part, Crashes: groups[i].heaviest.Crashes,
			})
		}
	}
	for _, entry := range previous {
		if !contains(p.current.Quarantined, entry) {
			p.changes = append(p.changes, Change{Digest: entry.Digest, Also: entry.Also})
		}
	}
}

// hash returns a hash of the digests in the news.
func (n News) hash() uint64 {
	sum := fnv.New64a()
	for _, entry := range n.Quarantined {
		for _, digest := range entry.digests() {
			_, _ = sum.Write(digest[:])
		}
		certain := byte(1)
		if entry.Suspected {
			certain = 0
		}
		_, _ = sum.Write([]byte{byte(entry.Crashes), certain})
	}
	_, _ = sum.Write([]byte{0})
	for _, digest := range n.Suspected {
		_, _ = sum.Write(digest[:])
	}
	_, _ = sum.Write([]byte{0})
	for _, p := range n.OnProbation {
		_, _ = sum.Write(append(p.Digest[:], byte(p.Crashes)))
	}
	return max(sum.Sum64(), 1)
}

// maxAnnounced bounds the digests of each verdict in the news, because hundreds of
// instances each receive the whole list.
const maxAnnounced = 256

// announced returns the verdicts for the news: each group once and, if there are too many digests,
// those whose crashes have the most weight.
func (v verdicts) announced(records Records) verdicts {
	isSame := func(a, b group) bool { return slices.Equal(a.digests, b.digests) }
	announced := verdicts{quarantined: slices.CompactFunc(v.quarantined, isSame)}
	slices.SortStableFunc(announced.quarantined, func(a, b group) int { return cmp.Compare(b.heaviest.weight(), a.heaviest.weight()) })
	total := 0
	announced.quarantined = slices.DeleteFunc(announced.quarantined, func(g group) bool {
		total += len(g.digests)
		return total > maxAnnounced
	})
	slices.SortFunc(announced.quarantined, compareGroups)
	announced.suspected = records.heaviest(v.suspected)
	announced.probation = v.probation
	return announced
}

// heaviest returns those of the sorted digests whose crashes have the most weight, sorted.
func (r Records) heaviest(digests []Digest) []Digest {
	slices.SortStableFunc(digests, func(a, b Digest) int {
		return cmp.Compare(r.cases[b].weight(), r.cases[a].weight())
	})
	digests = digests[:min(len(digests), maxAnnounced)]
	slices.SortFunc(digests, compareDigests)
	return digests
}

func compareGroups(a, b group) int {
	return slices.CompareFunc(a.digests, b.digests, compareDigests)
}

func compareDigests(a, b Digest) int {
	return bytes.Compare(a[:], b[:])
}
