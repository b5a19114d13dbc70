package backoffice

import (
	"time"

	"github.com/lovagelift/lovagelift/internal/courier"
)

// tellEvery is the least time between two times that what is told to entry instances
// is made anew. They ask every 250 ms.
const tellEvery = 50 * time.Millisecond

// holdings returns the encoding of what the engines hold, its revision and how old it is,
// unless the asker has this already.
func (o *orders) holdings(now time.Time, have uint64) (encoded []byte, revision uint64, age time.Duration) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.term == 0 {
		return nil, 0, 0
	}
	if o.toldRevision != o.revision && now.Sub(o.toldAt) >= tellEvery {
		o.told, o.toldRevision, o.toldAt = o.tell(now).Encode(), o.revision, now
	}
	// What an earlier leadership told has a revision below this one's.
	if o.toldRevision == have || o.toldRevision>>32 != o.term {
		return nil, 0, 0
	}
	return o.told, o.toldRevision, now.Sub(o.toldAt)
}

// tell returns what the engines hold.
func (o *orders) tell(now time.Time) courier.Holdings {
	told := courier.Holdings{Revision: o.revision}
	for _, e := range o.engines {
		if !e.known {
			continue
		}
		told.Engines = append(told.Engines, courier.Holding{
			Name: e.Name, Incarnation: e.incarnation, Age: now.Sub(e.reported),
			Running: e.report.Running, Queued: e.report.Queued, KVUsed: e.report.KVUsed,
			Models: e.told(),
		})
		last := &told.Engines[len(told.Engines)-1]
		last.Coming, last.ComingIn = e.expected(now)
	}
	return told
}
