package quarantine

import "time"

// recentDigests is a bounded set of digests that were added recently. The oldest are removed
// first. The zero value is empty.
type recentDigests struct {
	// newer holds the digests since startedAt, and older those of the period before.
	newer, older map[Digest]struct{}
	startedAt    time.Time
}

const (
	// recentRetention is the minimum time for which a digest is kept, unless maxRecent newer
	// ones are added before.
	recentRetention = time.Minute
	maxRecent       = 4096
)

func (r *recentDigests) add(now time.Time, digest Digest) {
	r.rotate(now)
	r.newer[digest] = struct{}{}
}

func (r *recentDigests) rotate(now time.Time) {
	if r.newer != nil && len(r.newer) < maxRecent && now.Sub(r.startedAt) < recentRetention {
		return
	}
	r.newer, r.older, r.startedAt = map[Digest]struct{}{}, r.newer, now
}

func (r *recentDigests) contains(now time.Time, digest Digest) bool {
	r.rotate(now)
	_, newer := r.newer[digest]
	_, older := r.older[digest]
	return newer || older
}
