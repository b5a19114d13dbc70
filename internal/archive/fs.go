package archive

import "io"

// FS is the part of a file system that an Archive needs. Disk is the real one;
// tests put one in its place that crashes, tears writes and fills up.
//
// A name that was created, renamed or removed lasts only after SyncFolder, and
// the bytes of a file only after its Sync.
type FS interface {
	// MakeFolder creates the folder and its parents, where missing, and syncs
	// each new name.
	MakeFolder(folder string) error
	// Lock takes an exclusive lock on path until the result is closed. If
	// another process holds it, Lock returns an error that is ErrLocked.
	Lock(path string) (io.Closer, error)
	// List returns the names of the files in folder, sorted.
	List(folder string) ([]string, error)
	// ReadFile returns all bytes of the file.
	ReadFile(path string) ([]byte, error)
	// Create makes a new empty file for writing, replacing any at path.
	Create(path string) (File, error)
	// Append opens an existing file for writing at its end.
	Append(path string) (File, error)
	// Rename gives the file at from the name to, replacing any at to.
	Rename(from, to string) error
	// Remove deletes the file.
	Remove(path string) error
	// SyncFolder makes the names in folder durable.
	SyncFolder(folder string) error
}

// File is a file that is written.
type File interface {
	io.Writer
	// WriterAt is used only on files that Create returned.
	io.WriterAt
	// Sync makes the bytes written so far durable. After an error the state of
	// these bytes is not known, and a later Sync says nothing about them.
	Sync() error
	Close() error
}
