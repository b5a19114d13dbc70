package archive

import "io"

// FS is the file system that an Archive uses. Disk is the implementation for
// production. Tests use one that simulates crashes, torn writes and a full disk.
//
// Creating, renaming and removing a file is durable only after SyncFolder, and
// the content of a file only after File.Sync.
type FS interface {
	// MakeFolder durably creates the folder and its parents where they are
	// missing.
	MakeFolder(folder string) error
	// Lock acquires an exclusive lock on path. Closing the result releases it.
	// If another process holds the lock, the error wraps ErrLocked.
	Lock(path string) (io.Closer, error)
	// List returns the sorted names of the regular files in folder.
	List(folder string) ([]string, error)
	// ReadFile returns the content of the file.
	ReadFile(path string) ([]byte, error)
	// Create creates an empty file for writing, replacing an existing one.
	Create(path string) (File, error)
	// Append opens an existing file for writing at its end.
	Append(path string) (File, error)
	// Rename renames a file, replacing an existing one at to.
	Rename(from, to string) error
	// Remove deletes a file.
	Remove(path string) error
	// SyncFolder makes created, renamed and removed files in folder durable.
	SyncFolder(folder string) error
}

// File is a file that is open for writing.
type File interface {
	io.Writer
	// WriterAt is used only on files returned by Create.
	io.WriterAt
	// Sync makes the bytes written so far durable. If it returns an error, it is
	// unknown which of these bytes are durable, even if a later Sync succeeds.
	Sync() error
	Close() error
}
