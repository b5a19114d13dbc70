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
}

// Case is the record of a request that an upstream had when it ended.
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
	// maxCrashes bounds the crashes that are kept for a request.
	maxCrashes = 12
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
			next.add(update.Now, report.Lifetime, suspect)
		}
	}
	for _, lifetime := range update.Alive {
		next.retract(lifetime)
	}
	for _, digest := range slices.Concat(update.Succeeded, update.Lifted) {
		delete(next.cases, digest)
	}
	next.evict(update.Now)
	return next
}

// add adds a crash to the case of a request, unless the case already has it.
func (r Records) add(now time.Time, lifetime Lifetime, suspect Suspect) {
	existing := r.cases[suspect.Digest]
	if slices.ContainsFunc(existing.Crashes, func(c Crash) bool { return c.Lifetime == lifetime }) {
		return
	}
	crash := Crash{
		Lifetime: lifetime, At: now, Answering: suspect.Answering,
		Request: suspect.Request[:min(len(suspect.Request), maxRequestBytes)],
	}
	older := existing.Crashes[max(0, len(existing.Crashes)-maxCrashes+1):]
	r.cases[suspect.Digest] = Case{Digest: suspect.Digest, Crashes: append(slices.Clone(older), crash)}
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
	all := r.Cases()
	slices.SortFunc(all, func(a, b Case) int {
		return cmp.Or(
			cmp.Compare(len(a.Crashes), len(b.Crashes)), a.last().Compare(b.last()), compareDigests(a.Digest, b.Digest),
		)
	})
	for _, c := range all[:len(all)-maxCases] {
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
