package quarantine

import "time"

// Holds reports whether a request is in quarantine: it must not be sent.
func (w *Watch) Holds(now time.Time, digest Digest) bool {
	from, held := w.from[digest]
	return held && !now.Before(from)
}

// Mark returns that of the news that the instance has, 0 if it has none.
func (w *Watch) Mark() uint64 {
	return w.mark
}

// Follow takes in news. Older ones than those before, of a control instance that lags,
// are left out.
func (w *Watch) Follow(now time.Time, news News) {
	if w.isBehind(now, news) {
		return
	}
	w.revision, w.mark = news.Revision, news.Mark
	before := w.from
	w.from = make(map[Digest]time.Time, len(news.Quarantined))
	for _, entry := range news.Quarantined {
		from := now.Add(entry.In)
		if known, held := before[entry.Digest]; held && known.Before(from) {
			from = known
		}
		w.from[entry.Digest] = from
		w.object(now, entry.Digest)
	}
	clear(w.suspected)
	for _, digest := range news.Suspected {
		w.suspected[digest] = true
		w.object(now, digest)
	}
}

// behindTime is how long news may be behind those before. A cluster that was founded anew
// counts from the beginning, and what it says holds.
const behindTime = 10 * time.Second

// isBehind reports whether news are those of a control instance that lags.
func (w *Watch) isBehind(now time.Time, news News) bool {
	if news.Revision >= w.revision {
		w.behindSince = time.Time{}
		return false
	}
	if w.behindSince.IsZero() {
		w.behindSince = now
	}
	if now.Sub(w.behindSince) < behindTime {
		return true
	}
	w.behindSince = time.Time{}
	return false
}

// object has a request be cleared that is known here to have ended with a whole answer.
func (w *Watch) object(now time.Time, digest Digest) {
	if w.successes.has(now, digest) {
		w.cleared[digest] = true
	}
}
