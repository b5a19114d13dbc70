package archive

import (
	"fmt"
	"path/filepath"
	"strings"

	"github.com/cockroachdb/errors"

	"github.com/lovagelift/lovagelift/internal/jury"
)

// Open locks and reads the data folder. The caller must close the Archive.
//
// If another process has the folder open, the error wraps ErrLocked. If a file is
// damaged, Open returns a *CorruptionError and changes nothing. Open removes a
// torn tail of the last segment and reports it in Loaded.TornTail.
func Open(o Options) (*Archive, Loaded, error) {
	if o.FS == nil {
		o.FS = Disk{}
	}
	if o.SegmentBytes == 0 {
		o.SegmentBytes = DefaultSegmentBytes
	}
	if err := o.FS.MakeFolder(o.Folder); err != nil {
		return nil, Loaded{}, errors.Wrap(err, "archive: make the data folder")
	}
	a := &Archive{fs: o.FS, folder: o.Folder, segmentBytes: o.SegmentBytes}
	lock, err := o.FS.Lock(a.path(lockName))
	if err != nil {
		return nil, Loaded{}, errors.Wrapf(err, "archive: lock %s", a.path(lockName))
	}
	a.lock = lock
	loaded, err := a.load()
	if err != nil {
		return nil, Loaded{}, errors.CombineErrors(err, a.Close())
	}
	return a, loaded, nil
}

// folderContents lists the files in the data folder by kind. Each list is sorted
// by name.
type folderContents struct {
	hasIdentity bool
	segments    []string
	snapshots   []string
	temporary   []string
}

func (a *Archive) listFolder() (folderContents, error) {
	names, err := a.fs.List(a.folder)
	if err != nil {
		return folderContents{}, errors.Wrap(err, "archive: list the data folder")
	}
	var contents folderContents
	for _, name := range names {
		_, isSegment := parseName(segmentPrefix, name)
		_, isSnapshot := parseName(snapshotPrefix, name)
		switch {
		case name == identityName:
			contents.hasIdentity = true
		case isSegment:
			contents.segments = append(contents.segments, name)
		case isSnapshot:
			contents.snapshots = append(contents.snapshots, name)
		case strings.HasSuffix(name, temporarySuffix):
			contents.temporary = append(contents.temporary, name)
		}
	}
	return contents, nil
}

func (a *Archive) load() (Loaded, error) {
	contents, err := a.listFolder()
	if err != nil {
		return Loaded{}, err
	}
	loaded, err := a.loadIdentity(contents)
	if err != nil {
		return Loaded{}, err
	}
	snapshot, snapshotSequence, err := a.loadSnapshot(contents)
	if err != nil {
		return Loaded{}, err
	}
	tail, err := a.replay(contents, snapshot.Index != 0)
	if err != nil {
		return Loaded{}, err
	}
	if err := a.checkSnapshot(snapshot, snapshotSequence); err != nil {
		return Loaded{}, err
	}
	if err := a.checkHighWater(contents, tail, a.readHighWater()); err != nil {
		return Loaded{}, err
	}
	// No corruption was found, so files may be changed from here on.
	if err := a.prepareAppend(contents, tail); err != nil {
		return Loaded{}, err
	}
	if snapshot.Index != 0 {
		if err := a.applySnapshot(snapshot, jury.Snapshot{}); err != nil {
			return Loaded{}, err
		}
	}
	loaded.HardState = a.log.hardState
	loaded.Snapshot = snapshot
	loaded.Entries = a.log.entries
	loaded.TornTail = tail.torn
	a.log.dropEntryData()
	return loaded, nil
}

// loadIdentity reads the identity file, or creates it in a new folder.
func (a *Archive) loadIdentity(contents folderContents) (Loaded, error) {
	path := a.path(identityName)
	if !contents.hasIdentity {
		if len(contents.segments)+len(contents.snapshots) > 0 {
			return Loaded{}, &CorruptionError{File: path, Problem: "the file is missing, though the folder holds a log", Advice: adviceReplaceVoter}
		}
		created, err := newIdentity()
		if err != nil {
			return Loaded{}, err
		}
		if err := writeFile(a.fs, a.folder, identityName, created.encode()); err != nil {
			return Loaded{}, err
		}
		loaded, err := a.parseIdentity(path, created.encode())
		loaded.NewFolder = true
		return loaded, err
	}
	text, err := a.fs.ReadFile(path)
	if err != nil {
		return Loaded{}, errors.Wrap(err, "archive: read the identity file")
	}
	return a.parseIdentity(path, text)
}

// parseIdentity decodes the identity file and initializes a.identity and a.codec
// from it.
func (a *Archive) parseIdentity(path string, text []byte) (Loaded, error) {
	id, folderNumber, err := decodeIdentity(text)
	if err != nil {
		return Loaded{}, newCorruptionError(path, 0, err)
	}
	a.identity = id
	a.codec = newRecordCodec(folderNumber)
	return Loaded{FolderNumber: folderNumber, ClusterID: id.ClusterID}, nil
}

// newCorruptionError returns a CorruptionError for err. The advice is to upgrade
// if err is an unsupportedVersionError, and to replace the voter otherwise.
func newCorruptionError(path string, offset int64, err error) *CorruptionError {
	advice := adviceReplaceVoter
	if errors.HasType(err, unsupportedVersionError{}) {
		advice = adviceUpgrade
	}
	return &CorruptionError{File: path, Offset: offset, Problem: err.Error(), Advice: advice}
}

// loadSnapshot returns the newest snapshot and the sequence number of the last
// log record at the time it was saved.
func (a *Archive) loadSnapshot(contents folderContents) (s jury.Snapshot, sequence uint64, err error) {
	if len(contents.snapshots) == 0 {
		return jury.Snapshot{}, 0, nil
	}
	path := a.path(contents.snapshots[len(contents.snapshots)-1])
	data, err := a.fs.ReadFile(path)
	if err != nil {
		return jury.Snapshot{}, 0, errors.Wrap(err, "archive: read the snapshot")
	}
	rec, length, ok, err := a.codec.decode(data)
	switch {
	case err != nil:
		return jury.Snapshot{}, 0, newCorruptionError(path, 0, err)
	case !ok:
		return jury.Snapshot{}, 0, newCorruptionError(path, 0, errors.New("the snapshot's checksum doesn't match"))
	case length != len(data):
		return jury.Snapshot{}, 0, newCorruptionError(path, int64(length), errors.New("bytes follow the snapshot"))
	}
	s, err = decodeSnapshot(rec.payload)
	if err != nil {
		return jury.Snapshot{}, 0, newCorruptionError(path, headerBytes, err)
	}
	return s, rec.sequence, nil
}

// tailScan describes the last segment after the replay.
type tailScan struct {
	// valid is the content of the segment up to the torn tail.
	valid []byte
	torn  TornTail
}

// replay applies the records of all segments to a.log. hasSnapshot reports
// whether the folder contains a snapshot, without which the first segment must
// start at record 1. replay returns the scan of the last segment.
func (a *Archive) replay(contents folderContents, hasSnapshot bool) (tailScan, error) {
	var tail tailScan
	for i, name := range contents.segments {
		path := a.path(name)
		firstSequence, _ := parseName(segmentPrefix, name)
		if i == 0 && firstSequence > 1 {
			if !hasSnapshot {
				return tailScan{}, &CorruptionError{File: path, Problem: "the log files before it are missing, and so is the snapshot", Advice: adviceWholeFolder}
			}
			a.log.sequence = firstSequence - 1
			a.log.prefixCompacted = true
		}
		if firstSequence != a.log.sequence+1 {
			return tailScan{}, &CorruptionError{
				File:    path,
				Problem: fmt.Sprintf("starts at record %d where record %d comes next: a log file is missing", firstSequence, a.log.sequence+1),
				Advice:  adviceWholeFolder,
			}
		}
		data, err := a.fs.ReadFile(path)
		if err != nil {
			return tailScan{}, errors.Wrap(err, "archive: read the log")
		}
		tail, err = a.replaySegment(name, data, i == len(contents.segments)-1)
		if err != nil {
			return tailScan{}, err
		}
	}
	return tail, nil
}

// replaySegment applies the records of one segment to a.log. Bytes after the
// last valid record are a torn tail if the segment is the last one and no valid
// record follows them. A crash can tear only one record, because each one is
// synced before the next is written.
func (a *Archive) replaySegment(name string, data []byte, isLast bool) (tailScan, error) {
	path := a.path(name)
	a.segments = append(a.segments, segment{name: name})
	current := &a.segments[len(a.segments)-1]
	offset := 0
	for offset < len(data) {
		rec, length, ok, err := a.codec.decode(data[offset:])
		if err != nil {
			return tailScan{}, newCorruptionError(path, int64(offset), err)
		}
		if !ok {
			break
		}
		if rec.sequence != a.log.sequence+1 {
			return tailScan{}, newCorruptionError(path, int64(offset), errors.Newf("record %d where record %d comes next", rec.sequence, a.log.sequence+1))
		}
		b, err := decodeBatch(rec.payload)
		if err == nil {
			err = a.log.validate(b)
		}
		if err != nil {
			return tailScan{}, newCorruptionError(path, int64(offset), err)
		}
		a.log.apply(b)
		current.addRecord(b, int64(length))
		offset += length
	}
	if offset == len(data) {
		return tailScan{valid: data}, nil
	}
	if !isLast {
		return tailScan{}, newCorruptionError(path, int64(offset), errors.New("no whole record here, though later log files follow"))
	}
	if nextOffset := a.codec.indexRecord(data[offset+1:]); nextOffset >= 0 {
		return tailScan{}, newCorruptionError(path, int64(offset), errors.Newf("no whole record here, though one follows at byte %d", offset+1+nextOffset))
	}
	torn := TornTail{File: path, Offset: int64(offset), Bytes: int64(len(data) - offset)}
	return tailScan{valid: data[:offset], torn: torn}, nil
}

// checkHighWater returns a CorruptionError if the log ends before the record of
// the high-water mark, which was synced.
func (a *Archive) checkHighWater(contents folderContents, tail tailScan, highWater uint64) error {
	if a.log.sequence >= highWater {
		return nil
	}
	path, offset := a.folder, int64(0)
	if n := len(contents.segments); n > 0 {
		path, offset = a.path(contents.segments[n-1]), int64(len(tail.valid))
	}
	return newCorruptionError(path, offset, errors.Newf("the log ends with record %d, though record %d was synced", a.log.sequence, highWater))
}

// checkSnapshot returns a CorruptionError if the snapshot and the log don't fit
// together: the snapshot from which the log starts is missing, or segments
// between the snapshot and the log are missing.
func (a *Archive) checkSnapshot(s jury.Snapshot, sequence uint64) error {
	if a.log.snapshot.Index > s.Index {
		return &CorruptionError{
			File:    a.path(numberedName(snapshotPrefix, uint64(a.log.snapshot.Index))),
			Problem: "is missing, though the log starts from it",
			Advice:  adviceWholeFolder,
		}
	}
	if s.Index == 0 {
		return nil
	}
	path := a.path(numberedName(snapshotPrefix, uint64(s.Index)))
	if a.log.sequence < sequence {
		return &CorruptionError{
			File:    path,
			Problem: fmt.Sprintf("was saved after record %d, but the log ends with record %d: a log file is missing", sequence, a.log.sequence),
			Advice:  adviceWholeFolder,
		}
	}
	if n := len(a.log.entries); n > 0 && a.log.snapshot.Index == 0 && a.log.entries[0].Index > s.Index+1 {
		return &CorruptionError{
			File:    path,
			Problem: fmt.Sprintf("holds the entries up to %d, but the log starts with entry %d: a log file is missing", s.Index, a.log.entries[0].Index),
			Advice:  adviceWholeFolder,
		}
	}
	return nil
}

// prepareAppend removes temporary files and old snapshots that a crash left
// behind, and opens the log and the high-water mark for writing.
func (a *Archive) prepareAppend(contents folderContents, tail tailScan) error {
	leftovers := contents.temporary
	if n := len(contents.snapshots); n > 0 {
		leftovers = append(leftovers, contents.snapshots[:n-1]...)
	}
	for _, name := range leftovers {
		if err := a.removeFile(name); err != nil {
			return err
		}
	}
	if err := a.reopenLastSegment(tail); err != nil {
		return err
	}
	file, err := a.fs.Create(a.path(highWaterName))
	if err != nil {
		return a.failOperation("create", a.path(highWaterName), err)
	}
	a.highWaterFile = file
	return a.writeHighWater()
}

// reopenLastSegment rewrites the last segment without its torn tail and opens it
// for appending.
func (a *Archive) reopenLastSegment(tail tailScan) error {
	if len(a.segments) == 0 {
		return nil
	}
	// Rewriting also makes records durable for which an earlier fsync failed.
	// They can be read from the page cache without being on the disk, and no
	// later fsync of the same file would write them.
	name := a.segments[len(a.segments)-1].name
	if err := writeFile(a.fs, a.folder, name, tail.valid); err != nil {
		return a.recordFailure(err)
	}
	file, err := a.fs.Append(filepath.Join(a.folder, name))
	if err != nil {
		return a.failOperation("open", a.path(name), err)
	}
	a.active = file
	return nil
}
