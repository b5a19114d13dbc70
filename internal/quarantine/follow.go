package quarantine

import "time"

// IsQuarantined reports whether a request is in quarantine and must not be sent.
func (w *Watch) IsQuarantined(now time.Time, digest Digest) bool {
	start, found := w.quarantinedFrom[digest]
	return found && !now.Before(start)
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
	previous := w.quarantinedFrom
	w.quarantinedFrom = make(map[Digest]time.Time, len(news.Quarantined))
	for _, entry := range news.Quarantined {
		start := now.Add(entry.In)
		if earlier, found := previous[entry.Digest]; found && earlier.Before(start) {
			start = earlier
		}
		w.quarantinedFrom[entry.Digest] = start
		w.clearIfSucceeded(now, entry.Digest)
	}
	clear(w.suspected)
	for _, digest := range news.Suspected {
		w.suspected[digest] = true
		w.clearIfSucceeded(now, digest)
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

// clearIfSucceeded clears a request that ended with a complete response at this instance.
func (w *Watch) clearIfSucceeded(now time.Time, digest Digest) {
	if w.successes.contains(now, digest) {
		w.cleared[digest] = true
	}
}
