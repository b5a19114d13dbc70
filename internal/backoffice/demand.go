package backoffice

import (
	"time"

	"github.com/lovagelift/lovagelift/internal/courier"
	"github.com/lovagelift/lovagelift/internal/resumption"
)

const (
	// demandBucketDuration is the resolution in which demand is counted.
	demandBucketDuration = 250 * time.Millisecond
	// The workload is averaged over two windows, given in buckets: the short one shows a
	// rise of demand within a second, the long one bridges a pause of a few requests.
	shortWindowBuckets = 4
	longWindowBuckets  = 16
	// shortWindowWeight reduces the rate of the short window, which is based on few
	// requests.
	shortWindowWeight = 0.8
	// modelIdleTimeout is the time without requests after which the last copy of a model
	// may be unloaded.
	modelIdleTimeout = 6 * time.Second
)

// demandKey identifies a model of a service, or the requests for it that are bound to a software version.
type demandKey struct {
	service, model string
	// software is either bound or the zero value.
	software resumption.Constraint
}

// keyOf returns the key of a model.
func keyOf(service, model string) demandKey {
	return demandKey{service: service, model: model}
}

// boundTo returns the key of the requests that are bound to a version.
func (k demandKey) boundTo(version string) demandKey {
	k.software = resumption.BoundTo(version)
	return k
}

// modelDemand is the recent workload requested of one model, in time buckets.
type modelDemand struct {
	// buckets is a ring buffer.
	buckets [longWindowBuckets]workload
	// lastRequested is the time of the last request.
	lastRequested time.Time
	// missingSince is the time since which requests have found no engine that holds the
	// model. It is zero while an engine holds it.
	missingSince time.Time
	// runTime is the mean time for which an engine has a request for the model, 0 if it is not known.
	runTime time.Duration
	// currentBucket is the number of the bucket that is being filled, counted from the Unix
	// epoch.
	currentBucket int64
	// waitingByEntry holds how many requests wait at each entry instance by its last
	// report.
	waitingByEntry map[string]waitingCount
}

// workload is the engine time that requests need, in seconds: prefill for their
// prompts, and decode for the batch slots of their answers, divided by the number of
// slots. An engine does both at the same time, so the larger one determines how busy it
// is.
type workload struct {
	prefill, decode float64
}

// workloadOf returns the workload of d on an engine with the given number of slots. A measured run time
// replaces the estimate of d, which is that of the service's mean model.
func workloadOf(d courier.Demand, slots int, runTime time.Duration) workload {
	decode := d.Answering
	if runTime > 0 {
		decode = time.Duration(d.Requests) * runTime
	}
	return workload{prefill: d.Reading.Seconds(), decode: decode.Seconds() / float64(max(slots, 1))}
}

func (w *workload) add(other workload) {
	w.prefill += other.prefill
	w.decode += other.decode
}

const (
	// maxPrefillShare is the share of its time that an engine may spend on prefill; above
	// it, streams pause for longer than callers accept. maxDecodeShare is the share of
	// its slots that may be filled.
	maxPrefillShare = 0.7
	maxDecodeShare  = 0.9
)

// engineSeconds returns how long w keeps one engine busy, in seconds.
func (w workload) engineSeconds() float64 {
	return max(w.prefill/maxPrefillShare, w.decode/maxDecodeShare)
}

// add counts w in the bucket of now.
func (d *modelDemand) add(now time.Time, w workload) {
	d.lastRequested = now
	d.advance(now)
	d.buckets[d.currentBucket%longWindowBuckets].add(w)
}

// advance moves to the bucket of now and clears the buckets that it reuses.
func (d *modelDemand) advance(now time.Time) {
	bucket := now.UnixNano() / int64(demandBucketDuration)
	for steps := 0; d.currentBucket < bucket && steps < longWindowBuckets; steps++ {
		d.currentBucket++
		d.buckets[d.currentBucket%longWindowBuckets] = workload{}
	}
	d.currentBucket = bucket
}

// rate returns the workload per second at now, in engines: 1 keeps one engine busy.
func (d *modelDemand) rate(now time.Time) float64 {
	d.advance(now)
	var long, short workload
	for i := range int64(longWindowBuckets) {
		bucketLoad := d.buckets[(d.currentBucket-i+longWindowBuckets)%longWindowBuckets]
		long.add(bucketLoad)
		if i < shortWindowBuckets {
			short.add(bucketLoad)
		}
	}
	bucketSeconds := demandBucketDuration.Seconds()
	return max(long.engineSeconds()/(longWindowBuckets*bucketSeconds), shortWindowWeight*short.engineSeconds()/(shortWindowBuckets*bucketSeconds))
}

// missingFor returns how long requests have found no engine that holds the model. held
// says whether an engine holds it now.
func (d *modelDemand) missingFor(now time.Time, held bool) time.Duration {
	if held || now.Sub(d.lastRequested) > modelIdleTimeout {
		d.missingSince = time.Time{}
		return 0
	}
	if d.missingSince.IsZero() {
		d.missingSince = now
	}
	return now.Sub(d.missingSince)
}

// waitingCount is how many requests waited at an entry instance at reportedAt.
type waitingCount struct {
	reportedAt time.Time
	count      int
}

// waitingCountTTL is how long a report of waiting requests is valid: an entry instance
// sends no more reports for a model that none of its callers requests.
const waitingCountTTL = 1500 * time.Millisecond

// setWaiting records that count requests wait at an entry instance.
func (d *modelDemand) setWaiting(now time.Time, entry string, count int) {
	previous := d.waitingByEntry[entry]
	if previous.reportedAt.Equal(now) {
		// The same report has several entries for a model if requests use different
		// adapters.
		count += previous.count
	}
	if d.waitingByEntry == nil {
		d.waitingByEntry = map[string]waitingCount{}
	}
	d.waitingByEntry[entry] = waitingCount{reportedAt: now, count: count}
}

// totalWaiting returns how many requests wait at all entry instances, and drops expired
// reports.
func (d *modelDemand) totalWaiting(now time.Time) int {
	total := 0
	for entry, reported := range d.waitingByEntry {
		if now.Sub(reported.reportedAt) >= waitingCountTTL {
			delete(d.waitingByEntry, entry)
			continue
		}
		total += reported.count
	}
	return total
}
