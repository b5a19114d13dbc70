package quarantine

import (
	"slices"
	"time"
)

// held is an Entry of the news at an instance.
type held struct {
	digests []Digest
	// from is the time from which its requests are not sent.
	from time.Time
}

// Match returns the digests for which a request is in quarantine and must not be sent: its own or
// those of parts of its prompt. It returns nil if the request may be sent.
func (w *Watch) Match(now time.Time, digest Digest, parts ...Digest) []Digest {
	if len(w.quarantined) == 0 {
		return nil
	}
	if match := w.matchFirst(now, digest, nil); match != nil {
		return match
	}
	for _, part := range parts {
		if match := w.matchFirst(now, part, parts); match != nil {
			return match
		}
	}
	return nil
}

// matchFirst returns the digests of an entry that begins with first, if parts contains the others.
func (w *Watch) matchFirst(now time.Time, first Digest, parts []Digest) []Digest {
	isMissing := func(digest Digest) bool { return !slices.Contains(parts, digest) }
	for _, entry := range w.quarantined[first] {
		if !now.Before(entry.from) && !slices.ContainsFunc(entry.digests[1:], isMissing) {
			return entry.digests
		}
	}
	return nil
}

// IsQuarantined reports whether a request is in quarantine and must not be sent.
func (w *Watch) IsQuarantined(now time.Time, digest Digest, parts ...Digest) bool {
	return w.Match(now, digest, parts...) != nil
}

// Mark returns the mark of the latest news, and 0 if there is none.
func (w *Watch) Mark() uint64 {
	return w.mark
}

// ApplyNews replaces the state of the quarantine. It ignores news that is older than the
// latest, because it comes from a control instance that lags.
func (w *Watch) ApplyNews(now time.Time, news News) {
	if w.isStale(now, news) {
		return
	}
	w.revision, w.mark = news.Revision, news.Mark
	w.hold(now, news.Quarantined)
	clear(w.suspected)
	for _, digest := range news.Suspected {
		w.suspected[digest] = true
	}
	for _, entry := range news.Quarantined {
		for _, digest := range entry.digests() {
			w.suspected[digest] = true
		}
	}
	for digest := range w.suspected {
		w.clearIfSucceeded(now, digest)
	}
}

// hold replaces the entries. One that was held before keeps its time if that is earlier.
func (w *Watch) hold(now time.Time, entries []Entry) {
	previous := map[string]time.Time{}
	for _, list := range w.quarantined {
		for _, entry := range list {
			previous[key(entry.digests)] = entry.from
		}
	}
	w.quarantined = make(map[Digest][]held, len(entries))
	for _, entry := range entries {
		current := held{digests: entry.digests(), from: now.Add(entry.In)}
		if earlier, found := previous[key(current.digests)]; found && earlier.Before(current.from) {
			current.from = earlier
		}
		w.quarantined[entry.Digest] = append(w.quarantined[entry.Digest], current)
	}
}

// maxStaleTime is the time for which older news is ignored. After that it is accepted,
// because a newly bootstrapped cluster counts its revisions from the start.
const maxStaleTime = 10 * time.Second

// isStale reports whether news comes from a control instance that lags.
func (w *Watch) isStale(now time.Time, news News) bool {
	if news.Revision >= w.revision {
		w.staleSince = time.Time{}
		return false
	}
	if w.staleSince.IsZero() {
		w.staleSince = now
	}
	if now.Sub(w.staleSince) < maxStaleTime {
		return true
	}
	w.staleSince = time.Time{}
	return false
}

// clearIfSucceeded clears a request, or a part, if a response was complete at this instance.
func (w *Watch) clearIfSucceeded(now time.Time, digest Digest) {
	if w.successes.contains(now, digest) || w.harmlessParts.contains(now, digest) {
		w.cleared[digest] = true
	}
}
