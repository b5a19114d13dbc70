package archive

import (
	"fmt"
	"syscall"

	"github.com/cockroachdb/errors"
)

// ErrLocked is returned if another process has the data folder open.
var ErrLocked = errors.New("the data folder is in use by another process")

// ErrClosed is returned by calls after Close.
var ErrClosed = errors.New("archive: closed")

// CorruptionError is returned by Open if a file in the data folder is missing or
// its content is not what was written, other than the torn tail that a crash
// leaves. Open changes no file in this case.
type CorruptionError struct {
	// File is the path of the damaged or missing file, or of the data folder if
	// no segment is left.
	File string
	// Offset is the byte in File at which the damage starts.
	Offset int64
	// Problem describes the damage.
	Problem string
	// Advice tells the operator how to recover.
	Advice string
}

// Error returns a message with the file, the offset, the problem and the advice.
func (e *CorruptionError) Error() string {
	return fmt.Sprintf("archive: %s: byte %d: %s; %s", e.File, e.Offset, e.Problem, e.Advice)
}

// DiskError is returned if a change to the data folder failed. It stops the
// archive, because the content of the disk is unknown until the next Open.
type DiskError struct {
	// Operation is the operation that failed, such as "sync".
	Operation string
	// Path is the file or folder of the operation.
	Path  string
	Cause error
}

// Error returns a message with the operation, the path, the cause and the advice
// for the operator.
func (e *DiskError) Error() string {
	advice := "restart the instance to go on from what the disk holds"
	if e.DiskFull() {
		advice = "make room on the disk, then restart the instance"
	}
	return fmt.Sprintf("archive: %s %s: %v; %s", e.Operation, e.Path, e.Cause, advice)
}

// Unwrap returns e.Cause.
func (e *DiskError) Unwrap() error {
	return e.Cause
}

// DiskFull reports whether the cause is a full disk or an exceeded disk quota.
func (e *DiskError) DiskFull() bool {
	return errors.IsAny(e.Cause, syscall.ENOSPC, syscall.EDQUOT)
}

// Values of CorruptionError.Advice.
const (
	adviceReplaceVoter = "don't delete or edit single files; move the whole folder away and bring the instance back as a new voter (see operators/data-folder.md)"
	adviceUpgrade      = "start the version that wrote it, or a newer one"
	adviceWholeFolder  = "give the instance the folder that it wrote, whole; files of two folders don't mix"
)
