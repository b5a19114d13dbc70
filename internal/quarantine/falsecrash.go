package quarantine

import (
	"slices"
	"time"
)

// FalseCrashDetector finds upstreams that were reported as ended but are still alive, for
// example behind a link that refuses connections. It is not safe for concurrent use. The
// zero value is ready for use.
type FalseCrashDetector struct {
	// firstSeen is when this instance first saw each crash in the records.
	firstSeen map[Lifetime]time.Time
	revision  uint64
}

const (
	// maxReportDelay is the largest delay of a liveness report that an upstream sent
	// before its end.
	maxReportDelay = time.Second
	// retractionWindow is the time after a crash in which it may be retracted.
	retractionWindow = 15 * time.Second
)

// Alive returns the upstreams that are alive although the records hold a crash of them.
// lastContact returns the time of the newest liveness report of a lifetime, and false if
// there is none.
func (d *FalseCrashDetector) Alive(now time.Time, records Records, lastContact func(Lifetime) (time.Time, bool)) []Lifetime {
	if records.Revision() != d.revision {
		d.revision = records.Revision()
		d.refresh(now, records)
	}
	var alive []Lifetime
	for lifetime, at := range d.firstSeen {
		if now.Sub(at) > retractionWindow {
			continue
		}
		if contactAt, known := lastContact(lifetime); known && contactAt.Sub(at) > maxReportDelay {
			alive = append(alive, lifetime)
		}
	}
	return slices.SortedFunc(slices.Values(alive), compareLifetimes)
}

// refresh updates firstSeen to the crashes in the records.
func (d *FalseCrashDetector) refresh(now time.Time, records Records) {
	previous := d.firstSeen
	d.firstSeen = map[Lifetime]time.Time{}
	for _, c := range records.cases {
		for _, crash := range c.Crashes {
			at, known := previous[crash.Lifetime]
			if !known {
				at = now
			}
			d.firstSeen[crash.Lifetime] = at
		}
	}
}
