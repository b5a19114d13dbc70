package archive

import (
	"fmt"
	"syscall"

	"github.com/cockroachdb/errors"
)

// ErrLocked says that another process has the data folder open.
var ErrLocked = errors.New("the data folder is in use by another process")

// ErrClosed says that the archive was closed.
var ErrClosed = errors.New("archive: closed")

// DamageError says that a file of the data folder doesn't hold what was
// written, and that it is not the torn end that a crash leaves. Open returns it
// and changes no file.
type DamageError struct {
	// File is the path of the damaged file.
	File string
	// Offset is the byte in File at which the damage starts.
	Offset int64
	// Problem says what was found there.
	Problem string
	// Advice says what the operator does next.
	Advice string
}

// Error returns the place, the problem and the advice.
func (e *DamageError) Error() string {
	return fmt.Sprintf("archive: %s: byte %d: %s; %s", e.File, e.Offset, e.Problem, e.Advice)
}

// FailedError says that the disk failed an operation. The archive takes nothing
// more from then on; only a new Open finds out what the disk holds.
type FailedError struct {
	// Operation is the operation that failed, such as "sync".
	Operation string
	// Path is the file or folder that it failed on.
	Path  string
	Cause error
}

// Error returns the operation, the path and the cause.
func (e *FailedError) Error() string {
	advice := "restart the instance to go on from what the disk holds"
	if e.DiskFull() {
		advice = "make room on the disk, then restart the instance"
	}
	return fmt.Sprintf("archive: %s %s: %v; %s", e.Operation, e.Path, e.Cause, advice)
}

// Unwrap returns the cause.
func (e *FailedError) Unwrap() error {
	return e.Cause
}

// DiskFull says whether the cause was that the disk, or the user's share of it,
// is full.
func (e *FailedError) DiskFull() bool {
	return errors.IsAny(e.Cause, syscall.ENOSPC, syscall.EDQUOT)
}

// The advice of a DamageError.
const (
	adviceReplace = "don't delete or edit single files; move the whole folder away and bring the instance back as a new voter (see operators/data-folder.md)"
	adviceNewer   = "start the version that wrote it, or a newer one"
	adviceFolder  = "give the instance the folder that it wrote, whole; files of two folders don't mix"
)
