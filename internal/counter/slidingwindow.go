package counter

import "time"

const (
	// windowBucketTime is the resolution of the window.
	windowBucketTime = 25 * time.Millisecond
	// windowBuckets is the length of the window in buckets: 2.5 s, which must exceed every length
	// passed to sum.
	windowBuckets = 100
)

// slidingWindow counts events over a recent time.
type slidingWindow struct {
	buckets    [windowBuckets]int
	lastBucket int64
}

// advance clears the buckets that have started since the last call.
func (w *slidingWindow) advance(now time.Time) {
	bucket := now.UnixNano() / int64(windowBucketTime)
	for steps := 0; w.lastBucket < bucket && steps < windowBuckets; steps++ {
		w.lastBucket++
		w.buckets[w.lastBucket%windowBuckets] = 0
	}
	w.lastBucket = max(w.lastBucket, bucket)
}

// add counts an event at now.
func (w *slidingWindow) add(now time.Time) {
	w.advance(now)
	w.buckets[w.lastBucket%windowBuckets]++
}

// sum returns the number of events within the last length.
func (w *slidingWindow) sum(now time.Time, length time.Duration) int {
	w.advance(now)
	total := 0
	for i := range min(int64(length/windowBucketTime)+1, windowBuckets) {
		total += w.buckets[(w.lastBucket-i+windowBuckets)%windowBuckets]
	}
	return total
}
