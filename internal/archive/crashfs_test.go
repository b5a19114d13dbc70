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
	errCrashed  = errors.New("crashed")
	errBadBlock = errors.New("input/output error")
)

// inode is the content of a file, which may have several names over time.
type inode struct {
	data []byte
	// synced is how many bytes of data were there at the last good Sync.
	synced int
	// lost are the ranges that a failed Sync marked as clean. They can be read
	// until the machine crashes, and no later Sync writes them.
	lost [][2]int
}

// rename is a change of names that no SyncFolder has made durable yet.
type rename struct {
	from, to string
	node     *inode
}

// crashFS is a file system in memory that keeps what was synced apart from what
// was not. Each byte written and each other call is one step; at step limit the
// machine crashes and every call fails.
type crashFS struct {
	mutex   sync.Mutex
	names   map[string]*inode
	durable map[string]*inode
	pending []rename
	locked  bool
	steps   int
	// limit is the step of the crash, or 0 for none.
	limit   int
	crashed bool
	// failSync is the number of Sync calls after which one fails, or 0.
	failSync int
	// room is the bytes that are left on the disk, if bounded.
	room    int
	bounded bool
}

func newCrashFS() *crashFS {
	return &crashFS{names: map[string]*inode{}, durable: map[string]*inode{}}
}

func (c *crashFS) step() error {
	if c.crashed {
		return errCrashed
	}
	c.steps++
	if c.limit > 0 && c.steps > c.limit {
		c.crashed = true
		return errCrashed
	}
	return nil
}

// unsynced says which part of what was not synced a crash leaves.
type unsynced int

const (
	loseAll unsynced = iota
	keepAll
	keepSome
)

// crash returns the file system as the machine finds it after a power cut.
func (c *crashFS) crash(kept unsynced, random *rand.Rand) *crashFS {
	names := map[string]*inode{}
	for name, node := range c.durable {
		names[name] = node
	}
	for _, change := range c.pending {
		if kept == keepAll || kept == keepSome && random.IntN(2) == 0 {
			applyRename(names, change)
		}
	}
	after := newCrashFS()
	for name, node := range names {
		copied := &inode{data: survivors(node, kept, random)}
		copied.synced = len(copied.data)
		after.names[name] = copied
		after.durable[name] = copied
	}
	return after
}

// survivors returns the bytes of node after a power cut. Of the bytes that were
// not synced, any number may be there, with blocks of zeros among them.
func survivors(node *inode, kept unsynced, random *rand.Rand) []byte {
	data := append([]byte(nil), node.data...)
	for _, lost := range node.lost {
		clear(data[lost[0]:min(lost[1], len(data))])
	}
	tail := len(data) - node.synced
	switch kept {
	case loseAll:
		return data[:node.synced]
	case keepAll:
	case keepSome:
		data = data[:node.synced+random.IntN(tail+1)]
		if hole := len(data) - node.synced; hole > 0 && random.IntN(2) == 0 {
			start := node.synced + random.IntN(hole)
			clear(data[start:min(start+16, len(data))])
		}
	}
	return data
}

func applyRename(names map[string]*inode, change rename) {
	if change.from != "" {
		delete(names, change.from)
	}
	if change.to != "" {
		names[change.to] = change.node
	}
}

// restart returns the same running machine after the process ended: nothing is
// lost, and the lock is free.
func (c *crashFS) restart() *crashFS {
	c.locked = false
	c.failSync = 0
	c.bounded = false
	return c
}

func (c *crashFS) change(r rename) {
	applyRename(c.names, r)
	c.pending = append(c.pending, r)
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
	for path := range c.names {
		names = append(names, filepath.Base(path))
	}
	sort.Strings(names)
	return names, nil
}

func (c *crashFS) ReadFile(path string) ([]byte, error) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	node, ok := c.names[path]
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
	c.change(rename{to: path, node: node})
	return &crashFile{fs: c, node: node}, nil
}

func (c *crashFS) Append(path string) (archive.File, error) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	node, ok := c.names[path]
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
	c.change(rename{from: from, to: to, node: c.names[from]})
	return nil
}

func (c *crashFS) Remove(path string) error {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if err := c.step(); err != nil {
		return err
	}
	c.change(rename{from: path})
	return nil
}

func (c *crashFS) SyncFolder(string) error {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if err := c.step(); err != nil {
		return err
	}
	for _, change := range c.pending {
		applyRename(c.durable, change)
	}
	c.pending = nil
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
		if f.fs.bounded && f.fs.room == 0 {
			return i, syscall.ENOSPC
		}
		f.fs.room--
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
	if f.fs.failSync > 0 {
		f.fs.failSync--
		if f.fs.failSync == 0 {
			f.node.lost = append(f.node.lost, [2]int{f.node.synced, len(f.node.data)})
			return errBadBlock
		}
	}
	f.node.synced = len(f.node.data)
	return nil
}

func (f *crashFile) Close() error { return nil }
