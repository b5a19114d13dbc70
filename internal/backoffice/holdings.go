package backoffice

import (
	"time"

	"github.com/lovagelift/lovagelift/internal/courier"
)

// holdingsEncodeInterval is the minimum interval between two encodings of the holdings.
// Entry instances sync every 250 ms.
const holdingsEncodeInterval = 50 * time.Millisecond

// holdings returns the encoded holdings of all engines (their models and load), the
// revision of the holdings and their age.
// It returns nothing if this instance does not lead, or if have, the caller's revision,
// is current.
func (o *orchestrator) holdings(now time.Time, have uint64) (encoded []byte, revision uint64, age time.Duration) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.term == 0 {
		return nil, 0, 0
	}
	if o.encodedRevision != o.revision && now.Sub(o.encodedAt) >= holdingsEncodeInterval {
		o.encodedHoldings, o.encodedRevision, o.encodedAt = o.collectHoldings(now).Encode(), o.revision, now
	}
	// The upper half of a revision is its term. Holdings of an earlier term are not
	// returned.
	if o.encodedRevision == have || o.encodedRevision>>32 != o.term {
		return nil, 0, 0
	}
	return o.encodedHoldings, o.encodedRevision, now.Sub(o.encodedAt)
}

// collectHoldings returns the holdings of all engines with a report. o.mu is held.
func (o *orchestrator) collectHoldings(now time.Time) courier.Holdings {
	holdings := courier.Holdings{Revision: o.revision}
	for _, e := range o.engines {
		if !e.hasReport {
			continue
		}
		holdings.Engines = append(holdings.Engines, courier.Holding{
			Name: e.Name, Incarnation: e.incarnation, Age: now.Sub(e.reportedAt),
			Running: e.report.Running, Queued: e.report.Queued, KVUsed: e.report.KVUsed,
			Models: e.advertisedModels(),
		})
		last := &holdings.Engines[len(holdings.Engines)-1]
		last.Coming, last.ComingIn = e.nextModel(now)
	}
	return holdings
}
