package jury

// batch is the content of one Persist, and the actions that must wait until it
// is synced.
type batch struct {
	// dirty is false if there is nothing to write.
	dirty    bool
	snapshot *Snapshot
	// truncateFrom is the first index to remove, or 0.
	truncateFrom Index
	// lastSynced is the last log index that is on disk once the batch is synced.
	// A later truncation lowers it.
	lastSynced Index
	afterSync  []Action
}

// diskWrites tracks the writes to disk. At most one batch is in progress. Changes
// that arise meanwhile are collected in the next batch, so that one sync serves
// many proposals.
type diskWrites struct {
	// lastBatch is the number of the latest Persist.
	lastBatch uint64
	pending   batch
	// inProgress is nil if no Persist is in progress.
	inProgress *batch
	// submitted is the last log index that was included in a Persist.
	submitted Index
	// synced is the last log index that is synced to disk.
	synced Index
}

// noteTruncation records that the entries from index on were removed from the
// log.
func (w *diskWrites) noteTruncation(index Index) {
	if index <= w.submitted {
		w.pending.dirty = true
		if w.pending.truncateFrom == 0 || index < w.pending.truncateFrom {
			w.pending.truncateFrom = index
		}
	}
	w.submitted = min(w.submitted, index-1)
	w.synced = min(w.synced, index-1)
	if w.inProgress != nil {
		w.inProgress.lastSynced = min(w.inProgress.lastSynced, index-1)
	}
}

// noteSnapshotInstall records that a snapshot replaced the log. The value of
// commit is the commit index before that.
func (w *diskWrites) noteSnapshotInstall(snapshot Snapshot, commit Index) {
	w.noteTruncation(commit + 1)
	w.pending.dirty = true
	w.pending.snapshot = &snapshot
	if w.pending.truncateFrom == 0 || commit+1 < w.pending.truncateFrom {
		w.pending.truncateFrom = commit + 1
	}
	w.submitted = snapshot.Index
}

// sendSynced sends a message once all state that it may depend on is synced.
func (m *Member) sendSynced(message Message) {
	if m.mutated(ackBeforeSync) {
		m.emit(Send{Message: message})
		return
	}
	m.afterSync(Send{Message: message})
}

// afterSync emits action once all current state of the member is synced.
func (m *Member) afterSync(action Action) {
	switch {
	case m.writes.pending.dirty || m.writes.submitted < m.log.last():
		m.writes.pending.afterSync = append(m.writes.pending.afterSync, action)
	case m.writes.inProgress != nil:
		m.writes.inProgress.afterSync = append(m.writes.inProgress.afterSync, action)
	default:
		m.emit(action)
	}
}

// emit returns action to the driver. It queues a message to the member itself in
// toSelf instead.
func (m *Member) emit(action Action) {
	if send, ok := action.(Send); ok && send.Message.To == m.options.Self {
		m.toSelf = append(m.toSelf, send.Message)
		return
	}
	m.actions = append(m.actions, action)
}

// persist emits a Persist of all unwritten state, unless one is in progress.
func (m *Member) persist() {
	writes := &m.writes
	if writes.inProgress != nil || m.failure != nil {
		return
	}
	if !writes.pending.dirty && writes.submitted >= m.log.last() {
		return
	}
	writes.lastBatch++
	next := writes.pending
	writes.pending = batch{}
	first := max(writes.submitted, m.log.base) + 1
	if next.snapshot != nil {
		first = max(first, next.snapshot.Index+1)
	}
	action := Persist{
		Batch:        writes.lastBatch,
		Snapshot:     next.snapshot,
		HardState:    m.hardState,
		TruncateFrom: next.truncateFrom,
		Entries:      m.log.entriesFrom(first, 0),
	}
	next.lastSynced = m.log.last()
	writes.submitted = m.log.last()
	writes.inProgress = &next
	m.actions = append(m.actions, action)
}

// batchSynced emits the actions that waited for a batch. It returns false if the
// batch is not the one in progress.
func (m *Member) batchSynced(number uint64) bool {
	writes := &m.writes
	if writes.inProgress == nil || number != writes.lastBatch {
		return false
	}
	done := writes.inProgress
	writes.inProgress = nil
	writes.synced = max(writes.synced, done.lastSynced)
	for _, action := range done.afterSync {
		m.emit(action)
	}
	return true
}
