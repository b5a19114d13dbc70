package quarantine

import (
	"time"
)

// Watch holds the state of requests at one instance: those whose responses were interrupted,
// those that succeeded, and those in quarantine according to the news. It is not safe for
// concurrent use.
type Watch struct {
	investigations investigations
	successes      successes
	// revision and mark are those of the latest news.
	revision uint64
	mark     uint64
	// staleSince is when stale news began to arrive, and zero if the last news was
	// current.
	staleSince time.Time
	// quarantinedFrom is the time from which each request in quarantine is not sent.
	quarantinedFrom map[Digest]time.Time
	// suspected are the requests that one more crash may bring into quarantine.
	suspected map[Digest]bool
	// cleared are requests in the news that ended with a complete response here. They are
	// not reported yet.
	cleared map[Digest]bool
}

// NewWatch returns an empty Watch.
func NewWatch() *Watch {
	return &Watch{quarantinedFrom: map[Digest]time.Time{}, suspected: map[Digest]bool{}, cleared: map[Digest]bool{}}
}

// Counts returns the number of requests in quarantine and the number of suspected
// requests.
func (w *Watch) Counts() (quarantined, suspected int) {
	return len(w.quarantinedFrom), len(w.suspected)
}

// Succeeded records that a request ended with a complete, successful response. Error
// responses don't count, because an upstream may send one without running the request.
func (w *Watch) Succeeded(now time.Time, digest Digest) {
	w.successes.add(now, digest)
	if _, found := w.quarantinedFrom[digest]; found || w.suspected[digest] {
		w.cleared[digest] = true
	}
}

// Interrupted records that the response to a request was interrupted, and reports whether
// the upstream should be probed, because it may have ended.
func (w *Watch) Interrupted(now time.Time, endpoint Endpoint, suspect Suspect) bool {
	return w.investigations.interrupted(now, endpoint, suspect)
}

// Abandoned records that a caller abandoned a request while an upstream had it.
func (w *Watch) Abandoned(now time.Time, endpoint Endpoint, suspect Suspect) {
	w.investigations.abandoned(now, endpoint, suspect)
}

// Observe records the status of an upstream.
func (w *Watch) Observe(lifetime Lifetime, status Status) {
	w.investigations.observe(lifetime, status)
}

// Review calls status for each upstream under investigation that is not known to have
// ended, and records the result.
func (w *Watch) Review(now time.Time, status func(Endpoint) Status) {
	w.investigations.removeExpired(now)
	for lifetime, inv := range w.investigations.byLifetime {
		if !inv.crashed {
			w.investigations.observe(lifetime, status(inv.endpoint))
		}
	}
}

// IsPending reports whether there is something to report, now or soon.
func (w *Watch) IsPending() bool {
	return len(w.cleared) > 0 || w.investigations.hasUnreported()
}

// TakeDue returns the update to report now, and removes it from the Watch. If the
// report fails, the caller must repeat it.
func (w *Watch) TakeDue(now time.Time) Update {
	update := Update{Now: now, Reports: w.investigations.takeReports(now)}
	for digest := range w.cleared {
		update.Succeeded = append(update.Succeeded, digest)
	}
	clear(w.cleared)
	return update
}
