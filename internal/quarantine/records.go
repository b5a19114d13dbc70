package quarantine

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// Crash is an upstream that ended under a request.
type Crash struct {
	Lifetime
	At time.Time `json:"at"`
	// Request is the id of the attempt that was there.
	Request string `json:"request"`
	// Answering says that some of its answer had come.
	Answering bool `json:"answering,omitempty"`
}

// Case is what is known of one request that was at an upstream as that ended.
type Case struct {
	Digest Digest `json:"digest"`
	// Crashes are the latest ones by lifetime, oldest first, each upstream once. There is
	// one at least.
	Crashes []Crash `json:"crashes"`
}

// last returns the time of the newest crash.
func (c Case) last() time.Time {
	return c.Crashes[len(c.Crashes)-1].At
}

// Records is what all instances together know of requests that were at an upstream as
// that ended. It is immutable, and replicas that apply the same updates in the same
// order hold the same. The zero value is empty.
type Records struct {
	// revision counts the updates.
	revision uint64
	cases    map[Digest]Case
}

const (
	// maxCases bounds the requests that are kept. An upstream that ends brings as many as
	// it runs at once, most of which never come again.
	maxCases = 2048
	// maxCrashes bounds the crashes that are kept of one request.
	maxCrashes = 12
	// maxRequestBytes bounds what is kept of the id of an attempt.
	maxRequestBytes = 64
	// keepTime is how long a request is kept after its last crash: one whose time in
	// quarantine is over goes back at its next crash.
	keepTime = 24 * time.Hour
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
	next.trim(update.Now)
	return next
}

// add adds a crash to the case of a request, unless it is known.
func (r Records) add(now time.Time, lifetime Lifetime, suspect Suspect) {
	known := r.cases[suspect.Digest]
	if slices.ContainsFunc(known.Crashes, func(c Crash) bool { return c.Lifetime == lifetime }) {
		return
	}
	crash := Crash{
		Lifetime: lifetime, At: now, Answering: suspect.Answering,
		Request: suspect.Request[:min(len(suspect.Request), maxRequestBytes)],
	}
	older := known.Crashes[max(0, len(known.Crashes)-maxCrashes+1):]
	r.cases[suspect.Digest] = Case{Digest: suspect.Digest, Crashes: append(slices.Clone(older), crash)}
}

// retract takes a crash back.
func (r Records) retract(lifetime Lifetime) {
	for digest, known := range r.cases {
		rest := slices.DeleteFunc(slices.Clone(known.Crashes), func(c Crash) bool { return c.Lifetime == lifetime })
		switch len(rest) {
		case len(known.Crashes):
		case 0:
			delete(r.cases, digest)
		default:
			r.cases[digest] = Case{Digest: digest, Crashes: rest}
		}
	}
}

// trim forgets what is old, and of too many cases those with the fewest crashes first.
// Flooding upstreams with requests that are all different can't so push out one that
// comes again.
func (r Records) trim(now time.Time) {
	maps.DeleteFunc(r.cases, func(_ Digest, c Case) bool { return now.Sub(c.last()) > keepTime })
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

// Revision counts the updates that were applied.
func (r Records) Revision() uint64 {
	return r.revision
}

// Cases returns all cases, by digest. They must not be changed.
func (r Records) Cases() []Case {
	return slices.SortedFunc(maps.Values(r.cases), func(a, b Case) int { return compareDigests(a.Digest, b.Digest) })
}
