package quarantine

import (
	"slices"
	"time"
)

// Watch holds the state of requests at one instance: those whose responses were interrupted,
// those that succeeded, and those in quarantine according to the news. It is not safe for
// concurrent use.
type Watch struct {
	investigations investigations
	successes      recentDigests
	// harmlessParts are the parts of prompts to which a response was complete here, and
	// interruptedParts those to which one was interrupted.
	harmlessParts    recentDigests
	interruptedParts recentDigests
	unproven         unprovenEnds
	// revision and mark are those of the latest news.
	revision uint64
	mark     uint64
	// staleSince is when stale news began to arrive, and zero if the last news was
	// current.
	staleSince time.Time
	// quarantined are the entries of the news by each of their digests, and entryCount is their
	// number.
	quarantined map[Digest][]*held
	entryCount  int
	// suspected are the digests in the news: those that one more crash may bring into quarantine,
	// and all of the entries.
	suspected map[Digest]bool
	// probation are the requests in the news of which one copy is sent at a time.
	probation map[TrialID]followedProbation
	// cleared are digests in the news to which a response was complete here. They are
	// not reported yet.
	cleared map[Digest]bool
}

// NewWatch returns an empty Watch.
func NewWatch() *Watch {
	return &Watch{suspected: map[Digest]bool{}, cleared: map[Digest]bool{}}
}

// Counts returns the number of entries in quarantine, and the number of other digests that are
// suspected.
func (w *Watch) Counts() (quarantined, suspected int) {
	return w.entryCount, len(w.suspected) - len(w.quarantined)
}

// Succeeded records that a request ended with a complete, successful response. Error
// responses don't count, because an upstream may send one without running the request.
func (w *Watch) Succeeded(now time.Time, digest Digest, parts ...Digest) {
	w.successes.add(now, digest)
	w.clearIfSuspected(digest)
	for n, part := range parts {
		if n < maxHarmlessParts {
			w.harmlessParts.add(now, part)
		}
		w.clearIfSuspected(part)
	}
}

// maxHarmlessParts bounds the parts that are remembered of one prompt, so that long prompts whose
// parts are all different don't displace the others.
const maxHarmlessParts = 64

// Closed records that a successful response ended with its connection, which doesn't show that it is
// complete. The request and the parts of its prompt count as succeeded if its upstream is not found
// to have crashed.
func (w *Watch) Closed(now time.Time, endpoint Endpoint, suspect Suspect, parts ...Digest) {
	w.unproven.add(unprovenEnd{at: now, lifetime: endpoint.Lifetime, digest: suspect.Digest, parts: parts})
	w.Abandoned(now, endpoint, suspect)
}

// clearIfSuspected clears a request or a part that the news names.
func (w *Watch) clearIfSuspected(digest Digest) {
	if _, onProbation := w.onProbation(digest); onProbation || w.suspected[digest] {
		w.cleared[digest] = true
	}
}

// Interrupted records that the response to a request was interrupted, and reports whether
// the upstream should be probed, because it may have ended.
func (w *Watch) Interrupted(now time.Time, endpoint Endpoint, suspect Suspect) bool {
	return w.investigations.interrupted(now, endpoint, w.withSuspectedParts(now, suspect))
}

// Abandoned records that a caller abandoned a request while an upstream had it.
func (w *Watch) Abandoned(now time.Time, endpoint Endpoint, suspect Suspect) {
	w.investigations.abandoned(now, endpoint, w.withSuspectedParts(now, suspect))
}

// maxSuspectParts bounds the parts of a prompt that are reported.
const maxSuspectParts = 256

// withSuspectedParts returns the suspect without the parts that are known to be harmless. If too
// many remain, those that were interrupted before come first.
func (w *Watch) withSuspectedParts(now time.Time, suspect Suspect) Suspect {
	var again, first []Digest
	for _, part := range suspect.Parts {
		switch {
		case w.harmlessParts.contains(now, part):
		case w.interruptedParts.contains(now, part):
			again = append(again, part)
		default:
			first = append(first, part)
		}
	}
	for _, part := range first {
		w.interruptedParts.add(now, part)
	}
	suspect.Parts = slices.Concat(again, first)
	suspect.Parts = suspect.Parts[:min(len(suspect.Parts), maxSuspectParts)]
	return suspect
}

// withoutHarmlessParts returns the report without the parts that were found to be harmless since
// they were recorded.
func (w *Watch) withoutHarmlessParts(now time.Time, report Report) Report {
	isHarmless := func(part Digest) bool { return w.harmlessParts.contains(now, part) }
	for i, suspect := range report.Suspects {
		report.Suspects[i].Parts = slices.DeleteFunc(slices.Clone(suspect.Parts), isHarmless)
	}
	return report
}

// Observe records the status of an upstream.
func (w *Watch) Observe(lifetime Lifetime, status Status) {
	w.investigations.observe(lifetime, status)
	if w.investigations.hasCrashed(lifetime) {
		w.unproven.drop(lifetime)
	}
}

// Review calls status for each upstream under investigation that is not known to have
// ended, and records the result.
func (w *Watch) Review(now time.Time, status func(Endpoint) Status) {
	w.investigations.removeExpired(now)
	for lifetime, inv := range w.investigations.byLifetime {
		if !inv.crashed {
			w.Observe(lifetime, status(inv.endpoint))
		}
	}
	w.prove(now, w.unproven.takeProven(now))
}

// Responded records that a response of an upstream has arrived: the upstream was alive then.
func (w *Watch) Responded(now time.Time, lifetime Lifetime) {
	w.prove(now, w.unproven.takeAlive(now, lifetime))
}

func (w *Watch) prove(now time.Time, ends []unprovenEnd) {
	for _, end := range ends {
		w.Succeeded(now, end.digest, end.parts...)
	}
}

// IsPending reports whether there is something to report, now or soon.
func (w *Watch) IsPending() bool {
	return len(w.cleared) > 0 || w.investigations.hasUnreported()
}

// TakeDue returns the update to report now, and removes it from the Watch. If the
// report fails, the caller must repeat it.
func (w *Watch) TakeDue(now time.Time) Update {
	update := Update{Now: now}
	for _, report := range w.investigations.takeReports(now) {
		update.Reports = append(update.Reports, w.withoutHarmlessParts(now, report))
	}
	for digest := range w.cleared {
		update.Succeeded = append(update.Succeeded, digest)
	}
	clear(w.cleared)
	return update
}
