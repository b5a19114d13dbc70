package archive

import (
	"fmt"
	"path/filepath"
	"strings"

	"github.com/cockroachdb/errors"

	"github.com/lovagelift/lovagelift/internal/jury"
)

// Open locks the data folder and reads it. The caller must Close the Archive.
//
// If another process holds the folder, Open returns an error that is ErrLocked.
// If a file is damaged, Open returns a *DamageError and has changed nothing. A
// torn end of the last log file is cut off; Loaded.Cut tells of it.
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

// listing is the names in the data folder, by kind, each sorted.
type listing struct {
	identity  bool
	segments  []string
	snapshots []string
	temporary []string
}

func (a *Archive) list() (listing, error) {
	names, err := a.fs.List(a.folder)
	if err != nil {
		return listing{}, errors.Wrap(err, "archive: list the data folder")
	}
	var l listing
	for _, name := range names {
		_, isSegment := parseName(segmentPrefix, name)
		_, isSnapshot := parseName(snapshotPrefix, name)
		switch {
		case name == identityName:
			l.identity = true
		case isSegment:
			l.segments = append(l.segments, name)
		case isSnapshot:
			l.snapshots = append(l.snapshots, name)
		case strings.HasSuffix(name, temporarySuffix):
			l.temporary = append(l.temporary, name)
		}
	}
	return l, nil
}

func (a *Archive) load() (Loaded, error) {
	l, err := a.list()
	if err != nil {
		return Loaded{}, err
	}
	loaded, err := a.loadIdentity(l)
	if err != nil {
		return Loaded{}, err
	}
	snapshot, snapshotSequence, err := a.loadSnapshot(l)
	if err != nil {
		return Loaded{}, err
	}
	scan, err := a.replay(l, snapshot.Index != 0)
	if err != nil {
		return Loaded{}, err
	}
	if err := a.follows(snapshot, snapshotSequence); err != nil {
		return Loaded{}, err
	}
	if err := a.reaches(l, scan, a.readMark()); err != nil {
		return Loaded{}, err
	}
	// From here on nothing is damaged, and files may change.
	if err := a.restart(l, scan); err != nil {
		return Loaded{}, err
	}
	if snapshot.Index != 0 {
		if err := a.adopt(snapshot, jury.Snapshot{}); err != nil {
			return Loaded{}, err
		}
	}
	loaded.HardState = a.journal.hard
	loaded.Snapshot = snapshot
	loaded.Entries = a.journal.entries
	loaded.Cut = scan.cut
	a.journal.forgetData()
	return loaded, nil
}

// loadIdentity reads the identity file, or makes it if the folder is new.
func (a *Archive) loadIdentity(l listing) (Loaded, error) {
	path := a.path(identityName)
	if !l.identity {
		if len(l.segments)+len(l.snapshots) > 0 {
			return Loaded{}, &DamageError{File: path, Problem: "the file is missing, though the folder holds a log", Advice: adviceReplace}
		}
		drawn, err := drawIdentity()
		if err != nil {
			return Loaded{}, err
		}
		if err := writeFile(a.fs, a.folder, identityName, drawn.encode()); err != nil {
			return Loaded{}, err
		}
		loaded, err := a.adoptIdentity(path, drawn.encode())
		loaded.Fresh = true
		return loaded, err
	}
	text, err := a.fs.ReadFile(path)
	if err != nil {
		return Loaded{}, errors.Wrap(err, "archive: read the identity file")
	}
	return a.adoptIdentity(path, text)
}

func (a *Archive) adoptIdentity(path string, text []byte) (Loaded, error) {
	identifier, number, err := decodeIdentity(text)
	if err != nil {
		return Loaded{}, damage(path, 0, err)
	}
	a.identity = identifier
	a.seal = newSeal(number)
	return Loaded{Number: number, ClusterID: identifier.ClusterID}, nil
}

// damage returns a DamageError for err. Its advice is to start a newer program
// if that is what is missing.
func damage(path string, offset int64, err error) *DamageError {
	advice := adviceReplace
	if errors.HasType(err, newerError{}) {
		advice = adviceNewer
	}
	return &DamageError{File: path, Offset: offset, Problem: err.Error(), Advice: advice}
}

// loadSnapshot reads the newest snapshot and the sequence number that the log
// had reached when it was saved.
func (a *Archive) loadSnapshot(l listing) (s jury.Snapshot, sequence uint64, err error) {
	if len(l.snapshots) == 0 {
		return jury.Snapshot{}, 0, nil
	}
	path := a.path(l.snapshots[len(l.snapshots)-1])
	data, err := a.fs.ReadFile(path)
	if err != nil {
		return jury.Snapshot{}, 0, errors.Wrap(err, "archive: read the snapshot")
	}
	r, length, ok, err := a.seal.next(data)
	switch {
	case err != nil:
		return jury.Snapshot{}, 0, damage(path, 0, err)
	case !ok:
		return jury.Snapshot{}, 0, damage(path, 0, errors.New("the snapshot's checksum doesn't match"))
	case length != len(data):
		return jury.Snapshot{}, 0, damage(path, int64(length), errors.New("bytes follow the snapshot"))
	}
	s, err = decodeSnapshot(r.payload)
	if err != nil {
		return jury.Snapshot{}, 0, damage(path, headerBytes, err)
	}
	return s, r.sequence, nil
}

// scan is what reading the log files found out about the last one.
type scan struct {
	// sound is the bytes of the last file that hold whole records.
	sound []byte
	cut   Cut
}

// replay reads all log files into the journal.
func (a *Archive) replay(l listing, compacted bool) (scan, error) {
	var result scan
	for i, name := range l.segments {
		path := a.path(name)
		first, _ := parseName(segmentPrefix, name)
		if i == 0 && first > 1 {
			if !compacted {
				return scan{}, &DamageError{File: path, Problem: "the log files before it are missing, and so is the snapshot", Advice: adviceFolder}
			}
			a.journal.sequence = first - 1
			a.journal.partial = true
		}
		if first != a.journal.sequence+1 {
			return scan{}, &DamageError{
				File:    path,
				Problem: fmt.Sprintf("starts at record %d where record %d comes next: a log file is missing", first, a.journal.sequence+1),
				Advice:  adviceFolder,
			}
		}
		data, err := a.fs.ReadFile(path)
		if err != nil {
			return scan{}, errors.Wrap(err, "archive: read the log")
		}
		result, err = a.replaySegment(name, data, i == len(l.segments)-1)
		if err != nil {
			return scan{}, err
		}
	}
	return result, nil
}

// replaySegment adds the records of one log file to the journal. Bytes after
// the last whole record are a torn end if the file is the last one and no whole
// record follows: a batch is one record, and each is synced before the next is
// written, so that a crash can tear one record only.
func (a *Archive) replaySegment(name string, data []byte, last bool) (scan, error) {
	path := a.path(name)
	a.segments = append(a.segments, segment{name: name})
	current := &a.segments[len(a.segments)-1]
	offset := 0
	for offset < len(data) {
		r, length, ok, err := a.seal.next(data[offset:])
		if err != nil {
			return scan{}, damage(path, int64(offset), err)
		}
		if !ok {
			break
		}
		if r.sequence != a.journal.sequence+1 {
			return scan{}, damage(path, int64(offset), errors.Newf("record %d where record %d comes next", r.sequence, a.journal.sequence+1))
		}
		b, err := decodeBatch(r.payload)
		if err == nil {
			err = a.journal.check(b)
		}
		if err != nil {
			return scan{}, damage(path, int64(offset), err)
		}
		a.journal.add(b)
		current.note(b, int64(length))
		offset += length
	}
	if offset == len(data) {
		return scan{sound: data}, nil
	}
	if !last {
		return scan{}, damage(path, int64(offset), errors.New("no whole record here, though later log files follow"))
	}
	if next := a.seal.find(data[offset+1:]); next >= 0 {
		return scan{}, damage(path, int64(offset), errors.Newf("no whole record here, though one follows at byte %d", offset+1+next))
	}
	cut := Cut{File: path, Offset: int64(offset), Bytes: int64(len(data) - offset)}
	return scan{sound: data[:offset], cut: cut}, nil
}

// reaches returns a DamageError if the log ends before the marked record, which
// was synced.
func (a *Archive) reaches(l listing, found scan, marked uint64) error {
	if a.journal.sequence >= marked {
		return nil
	}
	path, offset := a.folder, int64(0)
	if n := len(l.segments); n > 0 {
		path, offset = a.path(l.segments[n-1]), int64(len(found.sound))
	}
	return damage(path, offset, errors.Newf("the log ends with record %d, though record %d was synced", a.journal.sequence, marked))
}

// follows returns a DamageError if log files are missing that the snapshot
// relies on.
func (a *Archive) follows(s jury.Snapshot, sequence uint64) error {
	if a.journal.snapshot.Index > s.Index {
		return &DamageError{
			File:    a.path(numberedName(snapshotPrefix, uint64(a.journal.snapshot.Index))),
			Problem: "is missing, though the log starts from it",
			Advice:  adviceFolder,
		}
	}
	if s.Index == 0 {
		return nil
	}
	path := a.path(numberedName(snapshotPrefix, uint64(s.Index)))
	if a.journal.sequence < sequence {
		return &DamageError{
			File:    path,
			Problem: fmt.Sprintf("was saved after record %d, but the log ends with record %d: a log file is missing", sequence, a.journal.sequence),
			Advice:  adviceFolder,
		}
	}
	if n := len(a.journal.entries); n > 0 && a.journal.snapshot.Index == 0 && a.journal.entries[0].Index > s.Index+1 {
		return &DamageError{
			File:    path,
			Problem: fmt.Sprintf("holds the entries up to %d, but the log starts with entry %d: a log file is missing", s.Index, a.journal.entries[0].Index),
			Advice:  adviceFolder,
		}
	}
	return nil
}

// restart makes the log ready for appending and removes what crashes left over.
func (a *Archive) restart(l listing, found scan) error {
	leftovers := l.temporary
	if n := len(l.snapshots); n > 0 {
		leftovers = append(leftovers, l.snapshots[:n-1]...)
	}
	for _, name := range leftovers {
		if err := a.remove(name); err != nil {
			return err
		}
	}
	if err := a.reopen(found); err != nil {
		return err
	}
	mark, err := a.fs.Create(a.path(markName))
	if err != nil {
		return a.fail("create", a.path(markName), err)
	}
	a.mark = mark
	return a.writeMark()
}

// reopen opens the last log file for appending.
func (a *Archive) reopen(found scan) error {
	if len(a.segments) == 0 {
		return nil
	}
	// The last file is written anew. This cuts off its torn end, and it makes
	// its records durable if an fsync of the process before had failed: such
	// records can be read from memory without being on the disk, and no later
	// fsync of the same file would bring them there.
	name := a.segments[len(a.segments)-1].name
	if err := writeFile(a.fs, a.folder, name, found.sound); err != nil {
		return a.failWith(err)
	}
	file, err := a.fs.Append(filepath.Join(a.folder, name))
	if err != nil {
		return a.fail("open", a.path(name), err)
	}
	a.active = file
	return nil
}
