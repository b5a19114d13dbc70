package clerk

import (
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/lovagelift/lovagelift/internal/jury"
)

// task is a unit of work of the applier: applyTask, restoreTask or freshnessTask.
type task interface {
	isTask()
}

// applyTask applies committed entries to the state machine.
type applyTask struct {
	entries []jury.Entry
}

// restoreTask replaces the state of the state machine by a snapshot.
type restoreTask struct {
	snapshot jury.Snapshot
}

// freshnessTask records that once all earlier tasks are done, the state machine includes every
// entry that was committed at asOf.
type freshnessTask struct {
	asOf time.Time
}

func (applyTask) isTask()     {}
func (restoreTask) isTask()   {}
func (freshnessTask) isTask() {}

// pendingEntry is the caller's future for an entry that was appended in term.
type pendingEntry struct {
	term   jury.Term
	result future
}

// applier applies committed entries in a goroutine of its own, so that taking or restoring a large
// snapshot does not delay heartbeats.
type applier struct {
	replica *Replica

	mutex sync.Mutex
	// queue has no explicit bound. In practice it is limited by the leader's maximum of uncommitted
	// entries and by its rate of commits.
	queue   []task
	pending map[jury.Index]pendingEntry
	applied jury.Index
	asOf    time.Time
	// wakeup holds a token if the queue may be non-empty.
	wakeup chan struct{}

	// The fields below are used only by the applier's goroutine.
	bytesSinceSnapshot, entriesSinceSnapshot int
	snapshotSize                             int
	snapshotIndex                            jury.Index
	stopped                                  bool
}

func newApplier(r *Replica, snapshot jury.Snapshot) *applier {
	return &applier{
		replica:       r,
		pending:       map[jury.Index]pendingEntry{},
		applied:       snapshot.Index,
		wakeup:        make(chan struct{}, 1),
		snapshotSize:  len(snapshot.Data),
		snapshotIndex: snapshot.Index,
	}
}

// enqueue adds a task to the queue without blocking.
func (a *applier) enqueue(t task) {
	a.mutex.Lock()
	a.queue = append(a.queue, t)
	a.mutex.Unlock()
	select {
	case a.wakeup <- struct{}{}:
	default:
	}
}

// register stores the future to complete when the entry at index is applied. It must be called
// before the entry is enqueued.
func (a *applier) register(index jury.Index, term jury.Term, result future) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	if previous, found := a.pending[index]; found {
		// A leader appends a second entry at an index only after it lost the first one.
		previous.result.complete(nil, &RejectedError{Retryable: true, Cause: errOverwritten})
	}
	a.pending[index] = pendingEntry{term: term, result: result}
}

func (a *applier) run() {
	for {
		select {
		case <-a.replica.ctx.Done():
			return
		case <-a.wakeup:
		}
		a.mutex.Lock()
		queue := a.queue
		a.queue = nil
		a.mutex.Unlock()
		for _, t := range queue {
			if err := a.execute(t); err != nil {
				a.stopped = true
				a.replica.failures <- err
			}
			if a.stopped {
				return
			}
		}
		a.maybeSnapshot()
	}
}

func (a *applier) execute(t task) error {
	switch t := t.(type) {
	case applyTask:
		for _, entry := range t.entries {
			if err := a.apply(entry); err != nil {
				return err
			}
		}
	case restoreTask:
		return a.restore(t.snapshot)
	case freshnessTask:
		a.mutex.Lock()
		a.asOf = t.asOf
		a.mutex.Unlock()
	}
	return nil
}

func (a *applier) apply(entry jury.Entry) error {
	var result []byte
	if entry.Kind == jury.EntryCommand {
		var err error
		result, err = a.replica.options.StateMachine.Apply(entry.Index, entry.Data)
		if err != nil {
			return errors.Wrapf(err, "clerk: apply entry %d", entry.Index)
		}
	}
	a.bytesSinceSnapshot += len(entry.Data)
	a.entriesSinceSnapshot++
	a.mutex.Lock()
	a.applied = entry.Index
	pending, found := a.pending[entry.Index]
	delete(a.pending, entry.Index)
	a.mutex.Unlock()
	switch {
	case !found:
	case pending.term == entry.Term:
		pending.result.complete(result, nil)
	default:
		pending.result.complete(nil, &RejectedError{Retryable: true, Cause: errOverwritten})
	}
	return nil
}

// restore replaces the state by a snapshot. For an entry that the snapshot covers, it is unknown
// whether the proposed command or another leader's entry was committed at that index.
func (a *applier) restore(snapshot jury.Snapshot) error {
	if err := a.replica.options.StateMachine.Restore(snapshot.Data); err != nil {
		return errors.Wrapf(err, "clerk: restore the snapshot at %d", snapshot.Index)
	}
	a.recordSnapshot(snapshot.Index, len(snapshot.Data))
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.applied = snapshot.Index
	for index, pending := range a.pending {
		if index <= snapshot.Index {
			pending.result.complete(nil, &UnknownError{Cause: errCoveredBySnapshot})
			delete(a.pending, index)
		}
	}
	return nil
}

// maybeSnapshot takes a snapshot if enough entries were applied since the last one. The threshold
// in bytes grows with the size of the state, which bounds the amortized cost of snapshots per
// entry.
func (a *applier) maybeSnapshot() {
	due := a.bytesSinceSnapshot > max(a.replica.options.SnapshotBytes, a.snapshotSize) || a.entriesSinceSnapshot > maxEntriesBetweenSnapshots
	if !due {
		return
	}
	data, err := a.replica.options.StateMachine.Snapshot()
	if err != nil {
		a.stopped = true
		a.replica.failures <- errors.Wrap(err, "clerk: take a snapshot")
		return
	}
	select {
	case a.replica.snapshots <- jury.Compact{Index: a.applied, Data: data}:
		a.recordSnapshot(a.applied, len(data))
	default:
		// The loop has not received the previous snapshot yet. Try again after the next batch.
	}
}

func (a *applier) recordSnapshot(index jury.Index, size int) {
	a.bytesSinceSnapshot, a.entriesSinceSnapshot = 0, 0
	a.snapshotIndex, a.snapshotSize = index, size
}

func (a *applier) freshness() time.Time {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	return a.asOf
}

func (a *applier) appliedIndex() jury.Index {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	return a.applied
}

// failPending completes all pending entries with ErrUnknown when the replica closes.
func (a *applier) failPending() {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	for index, pending := range a.pending {
		pending.result.complete(nil, &UnknownError{Cause: ErrClosed})
		delete(a.pending, index)
	}
}
