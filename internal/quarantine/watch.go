package quarantine

import (
	"time"
)

// Watch is what one instance sees of requests and upstreams, and what it was told of
// requests in quarantine. It is not safe for concurrent use.
type Watch struct {
	losses    losses
	successes successes
	// revision is that of the newest news, and mark theirs.
	revision uint64
	mark     uint64
	// behindSince is since when news are behind the newest, zero while they are not.
	behindSince time.Time
	// from is from when each request in quarantine is not sent.
	from map[Digest]time.Time
	// suspected are the requests that one more crash brings into quarantine.
	suspected map[Digest]bool
	// cleared are suspected requests that ended with a whole answer here.
	cleared map[Digest]bool
}

// NewWatch returns a Watch that knows of nothing.
func NewWatch() *Watch {
	return &Watch{from: map[Digest]time.Time{}, suspected: map[Digest]bool{}, cleared: map[Digest]bool{}}
}

// Held returns how many requests are in quarantine, and how many are suspected.
func (w *Watch) Held() (quarantined, suspected int) {
	return len(w.from), len(w.suspected)
}

// Succeeded notes that a request ended with a whole answer of success. A failure may have been
// answered without running it.
func (w *Watch) Succeeded(now time.Time, digest Digest) {
	w.successes.add(now, digest)
	if _, held := w.from[digest]; held || w.suspected[digest] {
		w.cleared[digest] = true
	}
}

// Broke notes that the answer to a request broke off at an upstream, and reports whether
// the upstream is to be looked at: it may have ended.
func (w *Watch) Broke(now time.Time, place Place, suspect Suspect) bool {
	return w.losses.broke(now, place, suspect)
}

// Left notes that a caller has left its request, which was at an upstream.
func (w *Watch) Left(now time.Time, place Place, suspect Suspect) {
	w.losses.leave(now, place, suspect)
}

// Learn takes in what is known of an upstream.
func (w *Watch) Learn(lifetime Lifetime, contact Contact) {
	w.losses.learn(lifetime, contact)
}

// Review asks what is known of each upstream whose answers broke off.
func (w *Watch) Review(now time.Time, contact func(Place) Contact) {
	w.losses.sweep(now)
	for lifetime, known := range w.losses.open {
		if !known.ended {
			w.losses.learn(lifetime, contact(known.place))
		}
	}
}

// IsPending reports whether there is something to report, now or in a moment.
func (w *Watch) IsPending() bool {
	return len(w.cleared) > 0 || w.losses.isPending()
}

// Due returns what is to be reported now. A report that fails has to be made again by
// whoever makes it.
func (w *Watch) Due(now time.Time) Update {
	update := Update{Now: now, Reports: w.losses.due(now)}
	for digest := range w.cleared {
		update.Succeeded = append(update.Succeeded, digest)
	}
	clear(w.cleared)
	return update
}
