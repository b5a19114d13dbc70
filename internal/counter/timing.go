package counter

import "time"

// requestTiming holds the times of a request for the log and for speed estimates.
type requestTiming struct {
	// sent is when the request was last sent to an upstream.
	sent time.Time
	// firstChunk and lastChunk are when the first and the latest chunk of a stream arrived, and
	// longestPause is the longest time between two chunks.
	firstChunk   time.Time
	lastChunk    time.Time
	longestPause time.Duration
	chunks       int
}

// recordChunk records the arrival of a chunk.
func (t *requestTiming) recordChunk(now time.Time) {
	t.chunks++
	if t.firstChunk.IsZero() {
		t.firstChunk = now
	} else {
		t.longestPause = max(t.longestPause, now.Sub(t.lastChunk))
	}
	t.lastChunk = now
}
