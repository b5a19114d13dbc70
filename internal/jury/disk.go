package jury

// batch is what one Persist holds, and the actions that may happen only when it is
// synced.
type batch struct {
	// dirty is false if there is nothing to write.
	dirty    bool
	snapshot *Snapshot
	// truncate is the first index to remove, or 0.
	truncate Index
	// last is the last index of the log that is synced when the batch is. A
	// later truncation lowers it.
	last    Index
	release []Action
}

// disk tracks what is synced. At most one batch is under way: what comes up
// meanwhile gathers in the next, so that one sync serves many proposals.
type disk struct {
	number  uint64
	pending batch
	// writing is nil if no Persist is under way.
	writing *batch
	// handed is the last index that was handed over in a Persist.
	handed Index
	// synced is the last index of the log that is on the disk for good.
	synced Index
}

// truncated takes note that the entries from index on are replaced.
func (d *disk) truncated(index Index) {
	if index <= d.handed {
		d.pending.dirty = true
		if d.pending.truncate == 0 || index < d.pending.truncate {
			d.pending.truncate = index
		}
	}
	d.handed = min(d.handed, index-1)
	d.synced = min(d.synced, index-1)
	if d.writing != nil {
		d.writing.last = min(d.writing.last, index-1)
	}
}

// installed takes note that the log was replaced by a snapshot.
func (d *disk) installed(snapshot Snapshot, commit Index) {
	d.truncated(commit + 1)
	d.pending.dirty = true
	d.pending.snapshot = &snapshot
	if d.pending.truncate == 0 || commit+1 < d.pending.truncate {
		d.pending.truncate = commit + 1
	}
	d.handed = snapshot.Index
}

// sendSynced sends a message when all state that it may rest on is synced.
func (m *Member) sendSynced(message Message) {
	if m.unsafe(ackUnsynced) {
		m.act(Send{Message: message})
		return
	}
	m.afterSync(Send{Message: message})
}

// afterSync returns action when all state of the member is synced.
func (m *Member) afterSync(action Action) {
	switch {
	case m.disk.pending.dirty || m.disk.handed < m.log.last():
		m.disk.pending.release = append(m.disk.pending.release, action)
	case m.disk.writing != nil:
		m.disk.writing.release = append(m.disk.writing.release, action)
	default:
		m.act(action)
	}
}

// act returns action to the driver. A message to the member itself is handled
// instead.
func (m *Member) act(action Action) {
	if send, ok := action.(Send); ok && send.Message.To == m.options.Self {
		m.own = append(m.own, send.Message)
		return
	}
	m.out = append(m.out, action)
}

// persist hands over what is not on the disk yet, unless a write is under way.
func (m *Member) persist() {
	d := &m.disk
	if d.writing != nil || m.failure != nil {
		return
	}
	if !d.pending.dirty && d.handed >= m.log.last() {
		return
	}
	d.number++
	written := d.pending
	d.pending = batch{}
	first := max(d.handed, m.log.base) + 1
	if written.snapshot != nil {
		first = max(first, written.snapshot.Index+1)
	}
	action := Persist{
		Batch:        d.number,
		Snapshot:     written.snapshot,
		HardState:    m.hard,
		TruncateFrom: written.truncate,
		Entries:      m.log.from(first, 0),
	}
	written.last = m.log.last()
	d.handed = m.log.last()
	d.writing = &written
	m.out = append(m.out, action)
}

// batchSynced releases what waited for a batch. It returns false if the batch is
// not the one under way.
func (m *Member) batchSynced(number uint64) bool {
	d := &m.disk
	if d.writing == nil || number != d.number {
		return false
	}
	done := d.writing
	d.writing = nil
	d.synced = max(d.synced, done.last)
	for _, action := range done.release {
		m.act(action)
	}
	return true
}
