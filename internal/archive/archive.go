// Package archive is the on-disk storage of a consensus voter: a segmented
// write-ahead log and snapshots.
//
// All files are in one data folder, which only one process can open at a time.
// Once a method has returned without an error, its changes survive a crash of
// the process or the machine. A change that was in progress at the time of the
// crash is either complete or absent after the next Open.
package archive

import (
	"path/filepath"
	"sync"

	"github.com/cockroachdb/errors"

	"github.com/lovagelift/lovagelift/internal/jury"
)

// DefaultSegmentBytes is the size at which the log continues in a new segment.
// Open rewrites at most one segment, the last one.
const DefaultSegmentBytes = 4 << 20

// maxRetainedBufferBytes limits the capacity of the write buffer that is reused
// by the next Append.
const maxRetainedBufferBytes = 1 << 20

// Options configures an Archive.
type Options struct {
	// Folder is the path of the data folder. Open creates it if it is missing.
	Folder string
	// FS is the file system. The default is Disk{}.
	FS FS
	// SegmentBytes is the size at which the log continues in a new segment. The
	// default is DefaultSegmentBytes.
	SegmentBytes int64
}

// Loaded is the state that Open read from the data folder.
type Loaded struct {
	// NewFolder reports whether Open created the identity file. If so, nothing is
	// known about votes and acknowledgements that this instance may have sent
	// before.
	NewFolder bool
	// FolderNumber is a random number that identifies the data folder. It is generated
	// with the identity file.
	FolderNumber uint64
	// ClusterID is empty until RecordCluster is called.
	ClusterID string
	HardState jury.HardState
	// Snapshot is the newest snapshot. Its Index is 0 if there is none.
	Snapshot jury.Snapshot
	// Entries are the log entries after Snapshot.Index, without gaps.
	Entries []jury.Entry
	// TornTail is the torn tail that Open removed from the log. Its Bytes is 0 if
	// there was none.
	TornTail TornTail
}

// TornTail is an incomplete record that a crash left at the end of the last
// segment. It was never acknowledged.
type TornTail struct {
	// File is the path of the segment.
	File string
	// Offset is the byte in File at which the incomplete record starts.
	Offset int64
	// Bytes is the length of the incomplete record.
	Bytes int64
}

// Archive is an open data folder.
//
// An Archive is safe for concurrent use. Concurrent calls are serialized in no
// particular order, so only one goroutine should call Append. SaveSnapshot runs
// concurrently with Append if the log contains the snapshot's last entry.
type Archive struct {
	fs           FS
	folder       string
	segmentBytes int64
	codec        recordCodec
	lock         interface{ Close() error }

	// snapshotMutex serializes SaveSnapshot and Close. It is locked before mutex.
	snapshotMutex sync.Mutex
	mutex         sync.Mutex
	// failure is the first *DiskError, or ErrClosed. It is never cleared, and all
	// later operations return it. After a failed fsync, the operating system may
	// mark the unwritten pages as clean, so that the next fsync succeeds without
	// writing them. The voter would then acknowledge records that a power failure
	// loses. The next Open recovers by rewriting the last segment.
	failure  error
	identity identity
	log      logState
	// segments are sorted from oldest to newest. Append writes to the last one.
	segments []segment
	// active is the last segment, open for appending. It is nil if there is no
	// segment.
	active        File
	highWaterFile File
	// writeBuffer is reused by the next Append.
	writeBuffer []byte
}

// segment is one file of the log.
type segment struct {
	name string
	// maxIndex is the highest entry or snapshot index in any of its records,
	// including entries that a later record truncated.
	maxIndex jury.Index
	bytes    int64
}

// Append durably updates the log with one write and one fsync. It replaces the
// hard state, removes all entries with an index of truncateFrom or higher (none
// if truncateFrom is 0) and appends entries, which must follow the remaining log
// without a gap.
//
// If the update doesn't fit the log, Append returns an error and writes nothing.
// If the disk fails, Append and every later call return a *DiskError. Whether
// the update was persisted is then unknown until the next Open.
func (a *Archive) Append(hardState jury.HardState, truncateFrom jury.Index, entries []jury.Entry) error {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	return a.appendBatch(batch{hardState: hardState, truncateFrom: truncateFrom, entries: entries})
}

// appendBatch validates b, writes it as one record and applies it to the state
// in memory. The caller holds a.mutex.
func (a *Archive) appendBatch(b batch) error {
	if a.failure != nil {
		return a.failure
	}
	if err := a.log.validate(b); err != nil {
		return errors.Wrap(err, "archive: append")
	}
	buffer := a.codec.reserveHeader(a.writeBuffer[:0])
	buffer = b.encode(buffer)
	if len(buffer)-headerBytes > maxPayloadBytes {
		return errors.Newf("archive: append: batch of %d bytes, of at most %d", len(buffer)-headerBytes, maxPayloadBytes)
	}
	a.codec.writeHeader(buffer, 0, a.log.sequence+1)
	if err := a.writeRecord(buffer); err != nil {
		return err
	}
	if cap(buffer) <= maxRetainedBufferBytes {
		a.writeBuffer = buffer
	}
	withoutData := b
	withoutData.entries = make([]jury.Entry, len(b.entries))
	for i, entry := range b.entries {
		withoutData.entries[i] = jury.Entry{Index: entry.Index, Term: entry.Term, Kind: entry.Kind}
	}
	a.log.apply(withoutData)
	a.segments[len(a.segments)-1].addRecord(b, int64(len(buffer)))
	return a.writeHighWater()
}

// writeRecord writes and syncs one record to the last segment, or to a new one
// if the last one is full.
func (a *Archive) writeRecord(buffer []byte) error {
	isNew := false
	if n := len(a.segments); n == 0 || a.segments[n-1].bytes >= a.segmentBytes {
		if err := a.startSegment(); err != nil {
			return err
		}
		isNew = true
	}
	path := a.path(a.segments[len(a.segments)-1].name)
	if _, err := a.active.Write(buffer); err != nil {
		return a.failOperation("write", path, err)
	}
	if err := a.active.Sync(); err != nil {
		return a.failOperation("sync", path, err)
	}
	if !isNew {
		return nil
	}
	if err := a.fs.SyncFolder(a.folder); err != nil {
		return a.failOperation("sync", a.folder, err)
	}
	return nil
}

// startSegment creates the next segment and opens it for appending.
func (a *Archive) startSegment() error {
	if a.active != nil {
		a.active.Close()
		a.active = nil
	}
	name := numberedName(segmentPrefix, a.log.sequence+1)
	file, err := a.fs.Create(a.path(name))
	if err != nil {
		return a.failOperation("create", a.path(name), err)
	}
	a.active = file
	a.segments = append(a.segments, segment{name: name})
	return nil
}

// addRecord updates s for a record that was written to it or read from it.
func (s *segment) addRecord(b batch, recordBytes int64) {
	s.maxIndex = max(s.maxIndex, b.baseIndex)
	if n := len(b.entries); n > 0 {
		s.maxIndex = max(s.maxIndex, b.entries[n-1].Index)
	}
	s.bytes += recordBytes
}

// SaveSnapshot durably replaces the current snapshot with s. If the log doesn't
// contain the last entry of s, because s was received from the leader, all log
// entries are removed.
//
// If s is not newer than the current snapshot, SaveSnapshot returns an error and
// writes nothing. If the disk fails, it returns a *DiskError.
func (a *Archive) SaveSnapshot(s jury.Snapshot) error {
	a.snapshotMutex.Lock()
	defer a.snapshotMutex.Unlock()

	a.mutex.Lock()
	defer a.mutex.Unlock()
	if a.failure != nil {
		return a.failure
	}
	previous := a.log.snapshot
	if s.Index <= previous.Index {
		return errors.Newf("archive: snapshot at index %d after the one at %d", s.Index, previous.Index)
	}
	inLog := a.log.hasEntry(s.Index, s.Term)
	sequence := a.log.sequence
	if inLog {
		// Encoding and writing a large snapshot takes long. The log contains
		// its last entry, so Append can continue in the meantime.
		a.mutex.Unlock()
	}
	err := a.writeSnapshot(s, sequence)
	if inLog {
		a.mutex.Lock()
	}
	if err != nil {
		return a.recordFailure(err)
	}
	return a.applySnapshot(s, previous)
}

// writeSnapshot durably writes s to its file. sequence is the sequence number of
// the last log record. writeSnapshot accesses nothing that a.mutex guards.
func (a *Archive) writeSnapshot(s jury.Snapshot, sequence uint64) error {
	buffer := make([]byte, 0, headerBytes+len(s.Data)+1024)
	buffer = a.codec.reserveHeader(buffer)
	buffer = appendSnapshot(buffer, s)
	if len(buffer)-headerBytes > maxPayloadBytes {
		return errors.Newf("archive: snapshot of %d bytes, of at most %d", len(buffer)-headerBytes, maxPayloadBytes)
	}
	a.codec.writeHeader(buffer, 0, sequence)
	return writeFile(a.fs, a.folder, numberedName(snapshotPrefix, uint64(s.Index)), buffer)
}

// applySnapshot removes the entries that s covers from the state in memory and
// deletes the file of the previous snapshot. If the log doesn't contain the last
// entry of s, it also appends a record that restarts the log after s. The file
// of s must already be durable.
func (a *Archive) applySnapshot(s, previous jury.Snapshot) error {
	if !a.log.installSnapshot(s) {
		b := batch{hardState: a.log.hardState, baseIndex: s.Index, baseTerm: s.Term}
		if err := a.appendBatch(b); err != nil {
			return err
		}
		a.log.snapshot.Voters = s.Voters
	}
	if previous.Index == 0 {
		return nil
	}
	return a.removeFile(numberedName(snapshotPrefix, uint64(previous.Index)))
}

// Compact removes the segments that contain only entries before upTo, which must
// not be above the index of the current snapshot.
func (a *Archive) Compact(upTo jury.Index) error {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	if a.failure != nil {
		return a.failure
	}
	if upTo > a.log.snapshot.Index {
		return errors.Newf("archive: compact up to index %d, above the snapshot at %d", upTo, a.log.snapshot.Index)
	}
	for len(a.segments) > 1 {
		// The entry at the snapshot's index is kept, because Open compares its
		// term with that of the snapshot to verify that the following entries
		// belong to the same history. All later records are kept as well, among
		// them the newest hard state.
		oldest := a.segments[0]
		if oldest.maxIndex >= upTo {
			return nil
		}
		// Sync each removal before the next one. Otherwise an older segment
		// could reappear after a crash while a newer one is gone, which leaves
		// a gap in the log.
		if err := a.removeFile(oldest.name); err != nil {
			return err
		}
		a.segments = a.segments[1:]
	}
	return nil
}

// RecordCluster durably stores the cluster ID in the identity file. It does
// nothing if the ID is already stored, and returns an error if another one is.
func (a *Archive) RecordCluster(id string) error {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	if a.failure != nil {
		return a.failure
	}
	if id == "" {
		return errors.New("archive: the cluster id is empty")
	}
	if a.identity.ClusterID == id {
		return nil
	}
	if a.identity.ClusterID != "" {
		return errors.Newf("archive: the data folder belongs to cluster %q, not %q", a.identity.ClusterID, id)
	}
	updated := a.identity
	updated.ClusterID = id
	if err := writeFile(a.fs, a.folder, identityName, updated.encode()); err != nil {
		return a.recordFailure(err)
	}
	a.identity = updated
	return nil
}

// Err returns the *DiskError that stopped the archive, ErrClosed after Close,
// or nil.
func (a *Archive) Err() error {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	return a.failure
}

// Close releases the data folder. Every later call returns ErrClosed, or the
// *DiskError that stopped the archive earlier, except that another Close returns
// nil.
func (a *Archive) Close() error {
	a.snapshotMutex.Lock()
	defer a.snapshotMutex.Unlock()
	a.mutex.Lock()
	defer a.mutex.Unlock()
	if errors.Is(a.failure, ErrClosed) {
		return nil
	}
	if a.failure == nil {
		a.failure = ErrClosed
	}
	if a.active != nil {
		a.active.Close()
		a.active = nil
	}
	if a.highWaterFile != nil {
		a.highWaterFile.Close()
		a.highWaterFile = nil
	}
	if a.lock == nil {
		return nil
	}
	err := a.lock.Close()
	a.lock = nil
	return err
}

// removeFile durably deletes a file in the data folder.
func (a *Archive) removeFile(name string) error {
	if err := a.fs.Remove(a.path(name)); err != nil {
		return a.failOperation("remove", a.path(name), err)
	}
	if err := a.fs.SyncFolder(a.folder); err != nil {
		return a.failOperation("sync", a.folder, err)
	}
	return nil
}

func (a *Archive) path(name string) string {
	return filepath.Join(a.folder, name)
}

// failOperation stops the archive and returns a *DiskError.
func (a *Archive) failOperation(operation, path string, cause error) error {
	return a.recordFailure(&DiskError{Operation: operation, Path: path, Cause: cause})
}

// recordFailure stops the archive if err is a *DiskError. It returns err.
func (a *Archive) recordFailure(err error) error {
	var diskError *DiskError
	if a.failure == nil && errors.As(err, &diskError) {
		a.failure = diskError
	}
	return err
}

// writeFile atomically and durably replaces the content of a file: it writes a
// temporary file, syncs it and renames it. Errors are *DiskErrors.
func writeFile(fs FS, folder, name string, content []byte) error {
	path := filepath.Join(folder, name)
	temporary := path + temporarySuffix
	file, err := fs.Create(temporary)
	if err != nil {
		return &DiskError{Operation: "create", Path: temporary, Cause: err}
	}
	if _, err := file.Write(content); err != nil {
		file.Close()
		return &DiskError{Operation: "write", Path: temporary, Cause: err}
	}
	if err := file.Sync(); err != nil {
		file.Close()
		return &DiskError{Operation: "sync", Path: temporary, Cause: err}
	}
	if err := file.Close(); err != nil {
		return &DiskError{Operation: "close", Path: temporary, Cause: err}
	}
	if err := fs.Rename(temporary, path); err != nil {
		return &DiskError{Operation: "rename", Path: temporary, Cause: err}
	}
	if err := fs.SyncFolder(folder); err != nil {
		return &DiskError{Operation: "sync", Path: folder, Cause: err}
	}
	return nil
}
