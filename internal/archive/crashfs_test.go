package archive_test

import (
	"io"
	"io/fs"
	"math/rand/v2"
	"path/filepath"
	"sort"
	"sync"
	"syscall"

	"github.com/cockroachdb/errors"

	"github.com/lovagelift/lovagelift/internal/archive"
)

var (
	errCrashed = errors.New("crashed")
	errIO      = errors.New("input/output error")
)

// inode is a file's content, independent of its name.
type inode struct {
	data []byte
	// syncedBytes is the length of data at the last successful Sync.
	syncedBytes int
	// lostRanges are the byte ranges [start, end) that a failed Sync marked as
	// clean. They can be read until the machine crashes, and no later Sync writes
	// them.
	lostRanges [][2]int
}

// nameChange is the creation, renaming or removal of a file. from is empty for a
// creation, and to for a removal.
type nameChange struct {
	from, to string
	node     *inode
}

// crashFS is an in-memory file system that simulates crashes of the machine. It
// tracks which data and file names were synced. Each byte written and each other
// changing call is one step. After crashStep steps, all of these calls fail.
type crashFS struct {
	mutex           sync.Mutex
	files           map[string]*inode
	durableFiles    map[string]*inode
	unsyncedChanges []nameChange
	locked          bool
	steps           int
	// crashStep is the last step before the crash. If it is 0, there is no crash.
	crashStep int
	crashed   bool
	// failSyncAfter counts down with each File.Sync. The call that reaches 0
	// fails. If it is 0, no call fails.
	failSyncAfter int
	// freeBytes is the free space on the disk if limitedSpace is set.
	freeBytes    int
	limitedSpace bool
}

func newCrashFS() *crashFS {
	return &crashFS{files: map[string]*inode{}, durableFiles: map[string]*inode{}}
}

func (c *crashFS) step() error {
	if c.crashed {
		return errCrashed
	}
	c.steps++
	if c.crashStep > 0 && c.steps > c.crashStep {
		c.crashed = true
		return errCrashed
	}
	return nil
}

// unsyncedOutcome selects which unsynced changes survive a crash.
type unsyncedOutcome int

const (
	dropUnsynced unsyncedOutcome = iota
	keepUnsynced
	keepRandomPart
)

// crash returns a copy of the file system as it is after a power failure.
func (c *crashFS) crash(outcome unsyncedOutcome, random *rand.Rand) *crashFS {
	files := map[string]*inode{}
	for name, node := range c.durableFiles {
		files[name] = node
	}
	for _, change := range c.unsyncedChanges {
		if outcome == keepUnsynced || outcome == keepRandomPart && random.IntN(2) == 0 {
			applyNameChange(files, change)
		}
	}
	after := newCrashFS()
	for name, node := range files {
		copied := &inode{data: dataAfterCrash(node, outcome, random)}
		copied.syncedBytes = len(copied.data)
		after.files[name] = copied
		after.durableFiles[name] = copied
	}
	return after
}

// dataAfterCrash returns the content of node after a power failure. For
// keepRandomPart, it keeps a random number of the unsynced bytes and may zero a
// block among them.
func dataAfterCrash(node *inode, outcome unsyncedOutcome, random *rand.Rand) []byte {
	data := append([]byte(nil), node.data...)
	for _, lostRange := range node.lostRanges {
		clear(data[lostRange[0]:min(lostRange[1], len(data))])
	}
	unsyncedBytes := len(data) - node.syncedBytes
	switch outcome {
	case dropUnsynced:
		return data[:node.syncedBytes]
	case keepUnsynced:
	case keepRandomPart:
		data = data[:node.syncedBytes+random.IntN(unsyncedBytes+1)]
		if keptBytes := len(data) - node.syncedBytes; keptBytes > 0 && random.IntN(2) == 0 {
			start := node.syncedBytes + random.IntN(keptBytes)
			clear(data[start:min(start+16, len(data))])
		}
	}
	return data
}

func applyNameChange(files map[string]*inode, change nameChange) {
	if change.from != "" {
		delete(files, change.from)
	}
	if change.to != "" {
		files[change.to] = change.node
	}
}

// restart returns c after a restart of the process: no data is lost, the lock is
// released, and no more faults are injected.
func (c *crashFS) restart() *crashFS {
	c.locked = false
	c.failSyncAfter = 0
	c.limitedSpace = false
	return c
}

func (c *crashFS) changeName(change nameChange) {
	applyNameChange(c.files, change)
	c.unsyncedChanges = append(c.unsyncedChanges, change)
}

func (c *crashFS) MakeFolder(string) error { return nil }

func (c *crashFS) Lock(path string) (io.Closer, error) {
	if c.locked {
		return nil, errors.Wrap(archive.ErrLocked, path)
	}
	c.locked = true
	return closerFunc(func() error { c.locked = false; return nil }), nil
}

type closerFunc func() error

func (f closerFunc) Close() error { return f() }

func (c *crashFS) List(string) ([]string, error) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	var names []string
	for path := range c.files {
		names = append(names, filepath.Base(path))
	}
	sort.Strings(names)
	return names, nil
}

func (c *crashFS) ReadFile(path string) ([]byte, error) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	node, ok := c.files[path]
	if !ok {
		return nil, fs.ErrNotExist
	}
	return append([]byte(nil), node.data...), nil
}

func (c *crashFS) Create(path string) (archive.File, error) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if err := c.step(); err != nil {
		return nil, err
	}
	node := &inode{}
	c.changeName(nameChange{to: path, node: node})
	return &crashFile{fs: c, node: node}, nil
}

func (c *crashFS) Append(path string) (archive.File, error) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	node, ok := c.files[path]
	if !ok {
		return nil, fs.ErrNotExist
	}
	return &crashFile{fs: c, node: node}, nil
}

func (c *crashFS) Rename(from, to string) error {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if err := c.step(); err != nil {
		return err
	}
	c.changeName(nameChange{from: from, to: to, node: c.files[from]})
	return nil
}

func (c *crashFS) Remove(path string) error {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if err := c.step(); err != nil {
		return err
	}
	c.changeName(nameChange{from: path})
	return nil
}

func (c *crashFS) SyncFolder(string) error {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if err := c.step(); err != nil {
		return err
	}
	for _, change := range c.unsyncedChanges {
		applyNameChange(c.durableFiles, change)
	}
	c.unsyncedChanges = nil
	return nil
}

type crashFile struct {
	fs   *crashFS
	node *inode
}

func (f *crashFile) Write(b []byte) (int, error) {
	f.fs.mutex.Lock()
	defer f.fs.mutex.Unlock()
	for i := range b {
		if err := f.fs.step(); err != nil {
			return i, err
		}
		if f.fs.limitedSpace && f.fs.freeBytes == 0 {
			return i, syscall.ENOSPC
		}
		f.fs.freeBytes--
		f.node.data = append(f.node.data, b[i])
	}
	return len(b), nil
}

func (f *crashFile) WriteAt(b []byte, offset int64) (int, error) {
	f.fs.mutex.Lock()
	defer f.fs.mutex.Unlock()
	for i := range b {
		if err := f.fs.step(); err != nil {
			return i, err
		}
		at := int(offset) + i
		if at == len(f.node.data) {
			f.node.data = append(f.node.data, 0)
		}
		f.node.data[at] = b[i]
	}
	return len(b), nil
}

func (f *crashFile) Sync() error {
	f.fs.mutex.Lock()
	defer f.fs.mutex.Unlock()
	if err := f.fs.step(); err != nil {
		return err
	}
	if f.fs.failSyncAfter > 0 {
		f.fs.failSyncAfter--
		if f.fs.failSyncAfter == 0 {
			f.node.lostRanges = append(f.node.lostRanges, [2]int{f.node.syncedBytes, len(f.node.data)})
			return errIO
		}
	}
	f.node.syncedBytes = len(f.node.data)
	return nil
}

func (f *crashFile) Close() error { return nil }
