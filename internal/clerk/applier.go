package clerk

import (
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/lovagelift/lovagelift/internal/jury"
)

// work is what the applier does. It is one of commitWork, restoreWork and
// freshWork.
type work interface {
	work()
}

// commitWork has committed entries carried out.
type commitWork struct {
	entries []jury.Entry
}

// restoreWork replaces the state.
type restoreWork struct {
	snapshot jury.Snapshot
}

// freshWork says that with the work before it the state has all that was
// committed at asOf.
type freshWork struct {
	asOf time.Time
}

func (commitWork) work()  {}
func (restoreWork) work() {}
func (freshWork) work()   {}

// awaited is who waits for an entry.
type awaited struct {
	term   jury.Term
	waiter waiter
}

// applier carries out what is committed, beside the loop: a large snapshot must
// not delay heartbeats.
type applier struct {
	clerk *Clerk

	mutex sync.Mutex
	// queue is unbounded; the member's limit of uncommitted entries and the
	// pace of the leader bound it in practice.
	queue   []work
	awaited map[jury.Index]awaited
	applied jury.Index
	asOf    time.Time
	// wake holds a token if the queue may hold work.
	wake chan struct{}

	// What follows is used by the applier's goroutine only.
	bytes, entries int
	snapshotSize   int
	snapshotIndex  jury.Index
	stopped        bool
}

func newApplier(c *Clerk, snapshot jury.Snapshot) *applier {
	return &applier{
		clerk:         c,
		awaited:       map[jury.Index]awaited{},
		applied:       snapshot.Index,
		wake:          make(chan struct{}, 1),
		snapshotSize:  len(snapshot.Data),
		snapshotIndex: snapshot.Index,
	}
}

// add queues work. It never waits.
func (a *applier) add(w work) {
	a.mutex.Lock()
	a.queue = append(a.queue, w)
	a.mutex.Unlock()
	select {
	case a.wake <- struct{}{}:
	default:
	}
}

// await has w finished when the entry at index is carried out. It must be
// called before the entry is added.
func (a *applier) await(index jury.Index, term jury.Term, w waiter) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	if former, found := a.awaited[index]; found {
		// A leader appends at an index again only after it lost the first entry.
		former.waiter.finish(nil, &NotAcceptedError{Passing: true, Cause: errReplaced})
	}
	a.awaited[index] = awaited{term: term, waiter: w}
}

func (a *applier) run() {
	for {
		select {
		case <-a.clerk.ctx.Done():
			return
		case <-a.wake:
		}
		a.mutex.Lock()
		queue := a.queue
		a.queue = nil
		a.mutex.Unlock()
		for _, w := range queue {
			if err := a.do(w); err != nil {
				a.stopped = true
				a.clerk.failures <- err
			}
			if a.stopped {
				return
			}
		}
		a.snapshot()
	}
}

func (a *applier) do(w work) error {
	switch w := w.(type) {
	case commitWork:
		for _, entry := range w.entries {
			if err := a.apply(entry); err != nil {
				return err
			}
		}
	case restoreWork:
		return a.restore(w.snapshot)
	case freshWork:
		a.mutex.Lock()
		a.asOf = w.asOf
		a.mutex.Unlock()
	}
	return nil
}

func (a *applier) apply(entry jury.Entry) error {
	var result []byte
	if entry.Kind == jury.EntryCommand {
		var err error
		result, err = a.clerk.options.Machine.Apply(entry.Index, entry.Data)
		if err != nil {
			return errors.Wrapf(err, "clerk: apply entry %d", entry.Index)
		}
	}
	a.bytes += len(entry.Data)
	a.entries++
	a.mutex.Lock()
	a.applied = entry.Index
	waiting, found := a.awaited[entry.Index]
	delete(a.awaited, entry.Index)
	a.mutex.Unlock()
	switch {
	case !found:
	case waiting.term == entry.Term:
		waiting.waiter.finish(result, nil)
	default:
		waiting.waiter.finish(nil, &NotAcceptedError{Passing: true, Cause: errReplaced})
	}
	return nil
}

// restore replaces the state. Whether an entry that the snapshot covers is the
// one that was proposed can no longer be told.
func (a *applier) restore(snapshot jury.Snapshot) error {
	if err := a.clerk.options.Machine.Restore(snapshot.Data); err != nil {
		return errors.Wrapf(err, "clerk: restore the snapshot at %d", snapshot.Index)
	}
	a.snapshotTaken(snapshot.Index, len(snapshot.Data))
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.applied = snapshot.Index
	for index, waiting := range a.awaited {
		if index <= snapshot.Index {
			waiting.waiter.finish(nil, &UnknownError{Cause: errCovered})
			delete(a.awaited, index)
		}
	}
	return nil
}

// snapshot takes a snapshot if enough was applied since the last. The more the
// state takes, the rarer it is, so that the cost per entry stays bounded.
func (a *applier) snapshot() {
	due := a.bytes > max(a.clerk.options.SnapshotBytes, a.snapshotSize) || a.entries > snapshotEntries
	if !due {
		return
	}
	data, err := a.clerk.options.Machine.Snapshot()
	if err != nil {
		a.stopped = true
		a.clerk.failures <- errors.Wrap(err, "clerk: take a snapshot")
		return
	}
	select {
	case a.clerk.compacts <- jury.Compact{Index: a.applied, Data: data}:
		a.snapshotTaken(a.applied, len(data))
	default:
		// The loop has not taken the last one yet; the next batch tries again.
	}
}

func (a *applier) snapshotTaken(index jury.Index, size int) {
	a.bytes, a.entries = 0, 0
	a.snapshotIndex, a.snapshotSize = index, size
}

func (a *applier) freshAsOf() time.Time {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	return a.asOf
}

func (a *applier) appliedIndex() jury.Index {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	return a.applied
}

// abandon answers all who wait when the clerk closes.
func (a *applier) abandon() {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	for index, waiting := range a.awaited {
		waiting.waiter.finish(nil, &UnknownError{Cause: errClosed})
		delete(a.awaited, index)
	}
}
