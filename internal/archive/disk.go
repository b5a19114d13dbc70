package archive

import (
	"io"
	"os"
	"path/filepath"
	"syscall"

	"github.com/cockroachdb/errors"
)

const (
	folderMode = 0o700
	fileMode   = 0o600
)

// Disk is the operating system's file system.
type Disk struct{}

var _ FS = Disk{}

// MakeFolder implements FS.
func (d Disk) MakeFolder(folder string) error {
	folder = filepath.Clean(folder)
	info, err := os.Stat(folder)
	if err == nil {
		if !info.IsDir() {
			return errors.Newf("archive: %s is a file, not a folder", folder)
		}
		return nil
	}
	if !errors.Is(err, os.ErrNotExist) {
		return err
	}
	parent := filepath.Dir(folder)
	if err := d.MakeFolder(parent); err != nil {
		return err
	}
	if err := os.Mkdir(folder, folderMode); err != nil && !errors.Is(err, os.ErrExist) {
		return err
	}
	return d.SyncFolder(parent)
}

// Lock implements FS. The operating system also releases the lock when the
// process exits or crashes.
func (Disk) Lock(path string) (io.Closer, error) {
	file, err := os.OpenFile(path, os.O_RDWR|os.O_CREATE, fileMode)
	if err != nil {
		return nil, err
	}
	err = syscall.Flock(int(file.Fd()), syscall.LOCK_EX|syscall.LOCK_NB)
	if err == nil {
		return file, nil
	}
	file.Close()
	if errors.Is(err, syscall.EWOULDBLOCK) {
		return nil, errors.WithStack(ErrLocked)
	}
	return nil, err
}

// List implements FS.
func (Disk) List(folder string) ([]string, error) {
	entries, err := os.ReadDir(folder)
	if err != nil {
		return nil, err
	}
	names := make([]string, 0, len(entries))
	for _, entry := range entries {
		if entry.Type().IsRegular() {
			names = append(names, entry.Name())
		}
	}
	return names, nil
}

// ReadFile implements FS.
func (Disk) ReadFile(path string) ([]byte, error) {
	return os.ReadFile(path)
}

// Create implements FS.
func (Disk) Create(path string) (File, error) {
	return os.OpenFile(path, os.O_WRONLY|os.O_CREATE|os.O_TRUNC, fileMode)
}

// Append implements FS.
func (Disk) Append(path string) (File, error) {
	return os.OpenFile(path, os.O_WRONLY|os.O_APPEND, fileMode)
}

// Rename implements FS.
func (Disk) Rename(from, to string) error {
	return os.Rename(from, to)
}

// Remove implements FS.
func (Disk) Remove(path string) error {
	return os.Remove(path)
}

// SyncFolder implements FS.
func (Disk) SyncFolder(folder string) error {
	file, err := os.Open(folder)
	if err != nil {
		return err
	}
	err = file.Sync()
	return errors.CombineErrors(err, file.Close())
}
