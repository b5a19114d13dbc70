package quarantine

import "time"

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
	isFirst := w.mark == 0
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
	w.setProbation(now, news.OnProbation, isFirst)
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
	w.quarantined = make(map[Digest][]*held, len(entries))
	for _, entry := range entries {
		current := &held{
			digests: entry.digests(), from: now.Add(entry.In),
			trialFrom: now.Add(entry.TrialIn), part: entry.Part, suspected: entry.Suspected,
		}
		if earlier, found := previous[key(current.digests)]; found && earlier.Before(current.from) {
			current.from = earlier
		}
		for _, digest := range current.digests {
			w.quarantined[digest] = append(w.quarantined[digest], current)
		}
	}
	w.entryCount = len(entries)
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
