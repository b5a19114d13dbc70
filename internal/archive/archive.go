// Package archive keeps a voter's replicated log on disk: a write-ahead log and
// snapshots.
//
// All files lie in one data folder, which one process holds at a time. What a
// method has returned without error survives any crash of the process or the
// machine; what was under way when a crash came is there whole or not at all.
package archive

import (
	"path/filepath"
	"sync"

	"github.com/cockroachdb/errors"

	"github.com/lovagelift/lovagelift/internal/jury"
)

// DefaultSegmentBytes is the size in bytes from which on a log file is followed
// by a new one. Opening rewrites at most one such file.
const DefaultSegmentBytes = 4 << 20

// maxSpareBytes is the largest write buffer that is kept for the next Append.
const maxSpareBytes = 1 << 20

// Options says where an Archive lies.
type Options struct {
	// Folder is the data folder. Open makes it if it is missing.
	Folder string
	// FS is the file system; Disk{} if nil.
	FS FS
	// SegmentBytes is DefaultSegmentBytes if 0.
	SegmentBytes int64
}

// Loaded is what the disk held when it was opened.
type Loaded struct {
	// Fresh says that Open made the data folder's identity: nothing that this
	// instance may have promised earlier is known.
	Fresh bool
	// Number was drawn at random when the folder was made.
	Number uint64
	// ClusterID is empty until RecordCluster.
	ClusterID string
	HardState jury.HardState
	// Snapshot has Index 0 if there is none.
	Snapshot jury.Snapshot
	// Entries are contiguous and start right after Snapshot.Index.
	Entries []jury.Entry
	// Cut is the end of the log that a crash had left torn. Cut.Bytes is 0 if
	// there was none.
	Cut Cut
}

// Cut tells of the torn end of a log file that Open dropped. None of it had
// been acknowledged.
type Cut struct {
	File   string
	Offset int64
	Bytes  int64
}

// Archive is an open data folder.
//
// An Archive is safe for concurrent use, but the order of concurrent calls is
// that of their locking, so one goroutine should do all the appending. A
// SaveSnapshot of a state that the log leads up to runs beside Append.
type Archive struct {
	fs           FS
	folder       string
	segmentBytes int64
	seal         seal
	lock         interface{ Close() error }

	// saving is held through a SaveSnapshot. It is locked before mutex.
	saving sync.Mutex
	mutex  sync.Mutex
	// failure is set by the first failed operation and never cleared. A failed
	// fsync may have dropped the bytes and marked them as clean, so that the
	// next one would succeed without them: the voter would acknowledge what a
	// power cut takes away. Refusing everything from then on is enough, as Open
	// writes the last file anew.
	failure  error
	identity identity
	journal  journal
	// segments are the log files, oldest first. The last one is written to.
	segments []segment
	active   File
	mark     File
	spare    []byte
}

// segment is one log file.
type segment struct {
	name string
	// maxIndex is the highest index that any record in it has held.
	maxIndex jury.Index
	bytes    int64
}

// Append makes a batch durable with one write and one fsync: it records hard,
// takes all entries from truncateFrom on off the log (none if 0), and adds
// entries. entries must follow what is left without a gap.
//
// If the batch doesn't follow what is there, Append returns an error and writes
// nothing. If the disk fails, Append returns a *FailedError, as every later
// call does; whether the batch will be there after the next Open is then not
// known.
func (a *Archive) Append(hard jury.HardState, truncateFrom jury.Index, entries []jury.Entry) error {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	return a.append(batch{hard: hard, truncateFrom: truncateFrom, entries: entries})
}

// append is called with mutex held.
func (a *Archive) append(b batch) error {
	if a.failure != nil {
		return a.failure
	}
	if err := a.journal.check(b); err != nil {
		return errors.Wrap(err, "archive: append")
	}
	buffer := a.seal.open(a.spare[:0])
	buffer = b.append(buffer)
	if len(buffer)-headerBytes > maxPayloadBytes {
		return errors.Newf("archive: append: batch of %d bytes, of at most %d", len(buffer)-headerBytes, maxPayloadBytes)
	}
	a.seal.close(buffer, 0, a.journal.sequence+1)
	if err := a.write(buffer); err != nil {
		return err
	}
	if cap(buffer) <= maxSpareBytes {
		a.spare = buffer
	}
	bare := b
	bare.entries = make([]jury.Entry, len(b.entries))
	for i, e := range b.entries {
		bare.entries[i] = jury.Entry{Index: e.Index, Term: e.Term, Kind: e.Kind}
	}
	a.journal.add(bare)
	a.segments[len(a.segments)-1].note(b, int64(len(buffer)))
	return a.writeMark()
}

// write makes one record durable in the last log file, or in a new one if that
// is full.
func (a *Archive) write(buffer []byte) error {
	created := false
	if n := len(a.segments); n == 0 || a.segments[n-1].bytes >= a.segmentBytes {
		if err := a.startSegment(); err != nil {
			return err
		}
		created = true
	}
	path := a.path(a.segments[len(a.segments)-1].name)
	if _, err := a.active.Write(buffer); err != nil {
		return a.fail("write", path, err)
	}
	if err := a.active.Sync(); err != nil {
		return a.fail("sync", path, err)
	}
	if !created {
		return nil
	}
	if err := a.fs.SyncFolder(a.folder); err != nil {
		return a.fail("sync", a.folder, err)
	}
	return nil
}

// startSegment makes a new log file the last one.
func (a *Archive) startSegment() error {
	if a.active != nil {
		a.active.Close()
		a.active = nil
	}
	name := numberedName(segmentPrefix, a.journal.sequence+1)
	file, err := a.fs.Create(a.path(name))
	if err != nil {
		return a.fail("create", a.path(name), err)
	}
	a.active = file
	a.segments = append(a.segments, segment{name: name})
	return nil
}

func (s *segment) note(b batch, size int64) {
	s.maxIndex = max(s.maxIndex, b.baseIndex)
	if n := len(b.entries); n > 0 {
		s.maxIndex = max(s.maxIndex, b.entries[n-1].Index)
	}
	s.bytes += size
}

// SaveSnapshot makes s durable and drops the one before. If the log doesn't
// lead up to s, because s came from the leader, all entries go.
//
// If s is not newer than the snapshot there, SaveSnapshot returns an error and
// writes nothing. If the disk fails, it returns a *FailedError.
func (a *Archive) SaveSnapshot(s jury.Snapshot) error {
	a.saving.Lock()
	defer a.saving.Unlock()

	a.mutex.Lock()
	defer a.mutex.Unlock()
	if a.failure != nil {
		return a.failure
	}
	previous := a.journal.snapshot
	if s.Index <= previous.Index {
		return errors.Newf("archive: snapshot at index %d after the one at %d", s.Index, previous.Index)
	}
	held := a.journal.holds(s.Index, s.Term)
	sequence := a.journal.sequence
	if held {
		// Encoding and writing take long for a large state. The log already
		// leads up to it, so that appending may go on meanwhile.
		a.mutex.Unlock()
	}
	err := a.writeSnapshot(s, sequence)
	if held {
		a.mutex.Lock()
	}
	if err != nil {
		return a.failWith(err)
	}
	return a.adopt(s, previous)
}

// writeSnapshot makes the file of s durable. It touches nothing that mutex
// guards.
func (a *Archive) writeSnapshot(s jury.Snapshot, sequence uint64) error {
	buffer := make([]byte, 0, headerBytes+len(s.Data)+1024)
	buffer = a.seal.open(buffer)
	buffer = appendSnapshot(buffer, s)
	if len(buffer)-headerBytes > maxPayloadBytes {
		return errors.Newf("archive: snapshot of %d bytes, of at most %d", len(buffer)-headerBytes, maxPayloadBytes)
	}
	a.seal.close(buffer, 0, sequence)
	return writeFile(a.fs, a.folder, numberedName(snapshotPrefix, uint64(s.Index)), buffer)
}

// adopt makes the log follow the snapshot, whose file is durable.
func (a *Archive) adopt(s, previous jury.Snapshot) error {
	if !a.journal.install(s) {
		b := batch{hard: a.journal.hard, baseIndex: s.Index, baseTerm: s.Term}
		if err := a.append(b); err != nil {
			return err
		}
		a.journal.snapshot.Voters = s.Voters
	}
	if previous.Index == 0 {
		return nil
	}
	return a.remove(numberedName(snapshotPrefix, uint64(previous.Index)))
}

// Compact removes log files that hold only entries before upTo, which must not
// be above the index of the last snapshot.
func (a *Archive) Compact(upTo jury.Index) error {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	if a.failure != nil {
		return a.failure
	}
	if upTo > a.journal.snapshot.Index {
		return errors.Newf("archive: compact up to index %d, above the snapshot at %d", upTo, a.journal.snapshot.Index)
	}
	for len(a.segments) > 1 {
		// The entry at the snapshot's index stays, as its term tells on Open
		// that what follows is of the same history. All later records stay
		// with it, and so does the newest hard state.
		oldest := a.segments[0]
		if oldest.maxIndex >= upTo {
			return nil
		}
		// Each removal is synced before the next, so that no crash brings an
		// older file back beside a gap.
		if err := a.remove(oldest.name); err != nil {
			return err
		}
		a.segments = a.segments[1:]
	}
	return nil
}

// RecordCluster writes the cluster's id to the identity file. The same id again
// is harmless; if another id was recorded, RecordCluster returns an error.
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
	changed := a.identity
	changed.ClusterID = id
	if err := writeFile(a.fs, a.folder, identityName, changed.encode()); err != nil {
		return a.failWith(err)
	}
	a.identity = changed
	return nil
}

// Failed returns the *FailedError that stopped the archive, or nil.
func (a *Archive) Failed() error {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	return a.failure
}

// Close lets go of the data folder. Every later call returns ErrClosed, or the
// *FailedError that stopped the archive before.
func (a *Archive) Close() error {
	a.saving.Lock()
	defer a.saving.Unlock()
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
	if a.mark != nil {
		a.mark.Close()
		a.mark = nil
	}
	if a.lock == nil {
		return nil
	}
	err := a.lock.Close()
	a.lock = nil
	return err
}

// remove deletes a file for good.
func (a *Archive) remove(name string) error {
	if err := a.fs.Remove(a.path(name)); err != nil {
		return a.fail("remove", a.path(name), err)
	}
	if err := a.fs.SyncFolder(a.folder); err != nil {
		return a.fail("sync", a.folder, err)
	}
	return nil
}

func (a *Archive) path(name string) string {
	return filepath.Join(a.folder, name)
}

func (a *Archive) fail(operation, path string, cause error) error {
	return a.failWith(&FailedError{Operation: operation, Path: path, Cause: cause})
}

// failWith stops the archive if err came from the disk.
func (a *Archive) failWith(err error) error {
	var failed *FailedError
	if a.failure == nil && errors.As(err, &failed) {
		a.failure = failed
	}
	return err
}

// writeFile makes a whole file durable under its name, or leaves what was there.
// It returns a *FailedError.
func writeFile(fs FS, folder, name string, content []byte) error {
	path := filepath.Join(folder, name)
	temporary := path + temporarySuffix
	file, err := fs.Create(temporary)
	if err != nil {
		return &FailedError{Operation: "create", Path: temporary, Cause: err}
	}
	if _, err := file.Write(content); err != nil {
		file.Close()
		return &FailedError{Operation: "write", Path: temporary, Cause: err}
	}
	if err := file.Sync(); err != nil {
		file.Close()
		return &FailedError{Operation: "sync", Path: temporary, Cause: err}
	}
	if err := file.Close(); err != nil {
		return &FailedError{Operation: "close", Path: temporary, Cause: err}
	}
	if err := fs.Rename(temporary, path); err != nil {
		return &FailedError{Operation: "rename", Path: temporary, Cause: err}
	}
	if err := fs.SyncFolder(folder); err != nil {
		return &FailedError{Operation: "sync", Path: folder, Cause: err}
	}
	return nil
}
