package quarantine

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// Crash is the end of an upstream while it had a request.
type Crash struct {
	Lifetime
	At time.Time `json:"at"`
	// Request is the id of the attempt at that upstream.
	Request string `json:"request"`
	// Answering is true if part of the response had arrived.
	Answering bool `json:"answering,omitempty"`
	// Whole is the request that had the part of a prompt, and zero if the case is that of a
	// request.
	Whole Digest `json:"whole,omitzero"`
}

// Case is the record of a request, or of a part of a prompt, that an upstream had when it ended.
type Case struct {
	Digest Digest `json:"digest"`
	// Crashes holds the latest crashes, oldest first, with each lifetime once. It has at
	// least one.
	Crashes []Crash `json:"crashes"`
}

// last returns the time of the newest crash.
func (c Case) last() time.Time {
	return c.Crashes[len(c.Crashes)-1].At
}

// isPart reports whether the case is that of a part of a prompt.
func (c Case) isPart() bool {
	return c.Crashes[0].Whole != Digest{}
}

// Records is the replicated record of the requests that upstreams had when they ended. It
// is immutable, and replicas that apply the same updates in the same order are equal. The
// zero value is empty.
type Records struct {
	// revision is the number of updates applied.
	revision uint64
	cases    map[Digest]Case
}

const (
	// maxCases bounds the requests that are kept. An upstream that ends adds all of its
	// concurrent requests, most of which are never repeated.
	maxCases = 2048
	// maxPartCases bounds the parts of prompts that are kept.
	maxPartCases = 4096
	// maxCrashes bounds the crashes that are kept for a request.
	maxCrashes = 64
	// maxRequestBytes bounds the bytes that are kept of the id of an attempt.
	maxRequestBytes = 64
	// caseRetention is how long a request is kept after its last crash, so that a request
	// whose quarantine is over returns to it at the next crash.
	caseRetention = 24 * time.Hour
)

// With returns the records after an update.
func (r Records) With(update Update) Records {
	next := Records{revision: r.revision + 1, cases: maps.Clone(r.cases)}
	if next.cases == nil {
		next.cases = map[Digest]Case{}
	}
	for _, report := range update.Reports {
		for _, suspect := range report.Suspects {
			next.addSuspect(update.Now, report.Lifetime, suspect)
		}
	}
	for _, lifetime := range update.Alive {
		next.retract(lifetime)
	}
	for _, digest := range update.Succeeded {
		delete(next.cases, digest)
	}
	for _, digest := range update.Lifted {
		next.lift(digest)
	}
	next.evict(update.Now)
	return next
}

// addSuspect adds a crash to the cases of a request and of the parts of its prompt.
func (r Records) addSuspect(now time.Time, lifetime Lifetime, suspect Suspect) {
	crash := Crash{
		Lifetime: lifetime, At: now, Answering: suspect.Answering,
		Request: suspect.Request[:min(len(suspect.Request), maxRequestBytes)],
	}
	r.add(suspect.Digest, crash)
	crash.Whole = suspect.Digest
	for _, part := range suspect.Parts {
		r.add(part, crash)
	}
}

// add adds a crash to a case, unless the case already has it.
func (r Records) add(digest Digest, crash Crash) {
	existing := r.cases[digest]
	if slices.ContainsFunc(existing.Crashes, func(c Crash) bool { return c.Lifetime == crash.Lifetime }) {
		return
	}
	older := existing.Crashes[max(0, len(existing.Crashes)-maxCrashes+1):]
	r.cases[digest] = Case{Digest: digest, Crashes: append(slices.Clone(older), crash)}
}

// lift removes a case and all that can't be told apart from it. Otherwise the quarantine of the
// remaining parts would extend to more requests.
func (r Records) lift(digest Digest) {
	lifted, found := r.cases[digest]
	if !found {
		return
	}
	evidence := lifted.evidence()
	maps.DeleteFunc(r.cases, func(_ Digest, c Case) bool { return c.evidence() == evidence })
}

// retract removes a crash from all cases.
func (r Records) retract(lifetime Lifetime) {
	for digest, existing := range r.cases {
		remaining := slices.DeleteFunc(slices.Clone(existing.Crashes), func(c Crash) bool { return c.Lifetime == lifetime })
		switch len(remaining) {
		case len(existing.Crashes):
		case 0:
			delete(r.cases, digest)
		default:
			r.cases[digest] = Case{Digest: digest, Crashes: remaining}
		}
	}
}

// evict removes old cases, and then, if there are too many, those with the fewest crashes
// first. Requests that are all different therefore can't displace one that is repeated.
func (r Records) evict(now time.Time) {
	maps.DeleteFunc(r.cases, func(_ Digest, c Case) bool { return now.Sub(c.last()) > caseRetention })
	if len(r.cases) <= maxCases {
		return
	}
	var requests, parts []Case
	for _, c := range r.cases {
		if c.isPart() {
			parts = append(parts, c)
		} else {
			requests = append(requests, c)
		}
	}
	r.evictSurplus(requests, maxCases)
	r.evictSurplus(parts, maxPartCases)
}

// evictSurplus removes all but limit of the given cases.
func (r Records) evictSurplus(cases []Case, limit int) {
	if len(cases) <= limit {
		return
	}
	slices.SortFunc(cases, func(a, b Case) int {
		return cmp.Or(
			cmp.Compare(len(a.Crashes), len(b.Crashes)), a.last().Compare(b.last()), compareDigests(a.Digest, b.Digest),
		)
	})
	for _, c := range cases[:len(cases)-limit] {
		delete(r.cases, c.Digest)
	}
}

// Revision returns the number of updates applied.
func (r Records) Revision() uint64 {
	return r.revision
}

// Cases returns all cases, sorted by digest. They must not be changed.
func (r Records) Cases() []Case {
	return slices.SortedFunc(maps.Values(r.cases), func(a, b Case) int { return compareDigests(a.Digest, b.Digest) })
}
