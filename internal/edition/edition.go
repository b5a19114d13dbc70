// Package edition implements a versioned configuration document. Operators choose the
// version, and the document with the highest version is in force.
//
// It is a pure state machine: replicas that apply the same commands in the same order
// hold the same document.
package edition

import (
	"bytes"

	"github.com/cockroachdb/errors"

	"github.com/lovagelift/lovagelift/internal/parcel"
)

// Put is the command that puts a document in force.
type Put struct {
	// Version is the version that the operator chose.
	Version uint64 `json:"version"`
	// Content is the document as the operator sent it. It is validated before it is
	// proposed, not when it is applied: replicas of two program versions could disagree
	// on its validity, and their states would diverge.
	Content []byte `json:"content"`
}

// Verdict is the decision on a Put.
type Verdict uint8

const (
	// Stored means that the document is now in force.
	Stored Verdict = iota + 1
	// AlreadyInForce means that the same document is already in force.
	AlreadyInForce
	// Superseded means that a higher version is in force. An operator who got no response
	// to a change may send it again after a later one has taken effect.
	Superseded
	// Conflict means that another document is in force under the same version.
	Conflict
)

// String returns the word for the log.
func (v Verdict) String() string {
	switch v {
	case Stored:
		return "stored"
	case AlreadyInForce:
		return "held"
	case Superseded:
		return "superseded"
	case Conflict:
		return "conflict"
	default:
		return "none"
	}
}

// Result is the result of a Put.
type Result struct {
	Verdict Verdict `json:"verdict"`
	// Version is the version in force after the Put.
	Version uint64 `json:"version"`
}

// Edition is the document in force. It is immutable. The zero value means that there is
// none.
type Edition struct {
	Version uint64
	// Content must not be changed.
	Content []byte
}

// Apply returns the document in force after put, and the result of put.
func (e Edition) Apply(put Put) (Edition, Result) {
	switch {
	case put.Version > e.Version || e.Content == nil:
		return Edition(put), Result{Verdict: Stored, Version: put.Version}
	case put.Version < e.Version:
		return e, Result{Verdict: Superseded, Version: e.Version}
	case bytes.Equal(put.Content, e.Content):
		return e, Result{Verdict: AlreadyInForce, Version: e.Version}
	default:
		return e, Result{Verdict: Conflict, Version: e.Version}
	}
}

// Snapshot returns the encoded document and its version.
func (e Edition) Snapshot() []byte {
	return parcel.AppendBytes(parcel.AppendUint(nil, e.Version), e.Content)
}

// Restore returns the document whose Snapshot is data, or an error if data is corrupt.
func Restore(data []byte) (Edition, error) {
	reader := parcel.NewReader(data)
	e := Edition{Version: reader.Uint()}
	e.Content = bytes.Clone(reader.Bytes())
	return e, errors.Wrap(reader.End(), "edition: restore")
}
