package clerk

import (
	"sync"
	"time"

	"github.com/lovagelift/lovagelift/internal/jury"
)

// Limits of the feed.
const (
	// feedEntries is how many applied entries are kept for readers.
	feedEntries = 8192
	// pageBytes bounds the data in one page, but for a single entry.
	pageBytes = 1 << 20
)

// Page is a piece of the committed log for a reader that keeps none.
type Page struct {
	// Snapshot, if its Index is not 0, replaces the reader's state.
	Snapshot jury.Snapshot
	// Entries follow the Snapshot or the index that was asked for.
	Entries []jury.Entry
	// Applied is the last index that the replica had carried out.
	Applied jury.Index
	// Confirmed says whether Age is known.
	Confirmed bool
	// Age is how long before the page was made the replica had all that was
	// committed anywhere. A reader that has taken in the log up to Applied had,
	// at the time it asked less Age, all that was committed at that time.
	Age time.Duration
}

// feed keeps what readers may ask for: the last snapshot and the entries after
// it, and a little before it.
type feed struct {
	mutex    sync.Mutex
	snapshot jury.Snapshot
	// entries have no gap, begin at most one after snapshot.Index, and end with
	// the last that was applied.
	entries []jury.Entry
	last    jury.Index
}

func newFeed(snapshot jury.Snapshot) *feed {
	return &feed{snapshot: snapshot, last: snapshot.Index}
}

func (f *feed) add(entry jury.Entry) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.entries = append(f.entries, entry)
	f.last = entry.Index
}

func (f *feed) reset(snapshot jury.Snapshot) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.snapshot, f.entries, f.last = snapshot, nil, snapshot.Index
}

// snapshotted keeps the new snapshot, and drops entries that it covers beyond
// those kept for readers that are a little behind.
func (f *feed) snapshotted(index jury.Index, data []byte) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.snapshot = jury.Snapshot{Index: index, Data: data}
	if drop := len(f.entries) - feedEntries; drop > 0 {
		f.entries = append([]jury.Entry(nil), f.entries[drop:]...)
	}
}

// page returns what follows from.
func (f *feed) page(from jury.Index) Page {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	page := Page{Applied: f.last}
	first := f.last + 1 - jury.Index(len(f.entries))
	if from+1 < first {
		page.Snapshot = f.snapshot
		from = f.snapshot.Index
	}
	if from >= f.last {
		// A reader that is ahead of this replica keeps its state.
		return page
	}
	size := 0
	rest := f.entries[from+1-first:]
	for i := range rest {
		size += len(rest[i].Data)
		if i > 0 && size > pageBytes {
			rest = rest[:i]
			break
		}
	}
	page.Entries = rest[:len(rest):len(rest)]
	return page
}

// Follow returns what is committed after from, as far as this replica has
// carried it out. A reader that asks from 0, or from where entries are gone,
// gets a snapshot.
//
// The page's Age is measured at now. A reader confirms freshness only once it
// has taken in the log up to the page's Applied.
func (c *Clerk) Follow(now time.Time, from jury.Index) Page {
	// Freshness is read first: what it covers is in the page that is read then.
	asOf, confirmed := c.Freshness()
	page := c.applier.feed.page(from)
	page.Confirmed = confirmed
	if confirmed {
		page.Age = max(0, now.Sub(asOf))
	}
	return page
}
