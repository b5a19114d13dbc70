// Package edition keeps the one document that operators number themselves
// (versioned configuration, the highest version wins).
//
// It is a pure state machine: replicas that apply the same commands in the same
// order hold the same document.
package edition

import (
	"bytes"

	"github.com/cockroachdb/errors"

	"github.com/lovagelift/lovagelift/internal/parcel"
)

// Put asks for a document to be in force.
type Put struct {
	// Version is the operator's number of the document.
	Version uint64 `json:"version"`
	// Content is the document as the operator sent it. It was checked before it
	// was proposed: replicas of two program versions that judged it differently
	// would fork.
	Content []byte `json:"content"`
}

// Verdict is the decision on a Put.
type Verdict uint8

const (
	// Stored means that the document is in force.
	Stored Verdict = iota + 1
	// Held means that this very document was in force already.
	Held
	// Superseded means that a higher version is in force. An operator may send a
	// change again after losing the answer, when a later one is in force already.
	Superseded
	// Conflict means that another document is in force under the same version.
	Conflict
)

// String returns the word for the verdict in logs.
func (v Verdict) String() string {
	switch v {
	case Stored:
		return "stored"
	case Held:
		return "held"
	case Superseded:
		return "superseded"
	case Conflict:
		return "conflict"
	default:
		return "none"
	}
}

// Result is what a Put came to.
type Result struct {
	Verdict Verdict `json:"verdict"`
	// Version is the one in force after the Put.
	Version uint64 `json:"version"`
}

// Edition is the document in force. It is immutable. The zero value is none.
type Edition struct {
	Version uint64
	// Content must not be changed.
	Content []byte
}

// With returns the document in force after put, and what became of put.
func (e Edition) With(put Put) (Edition, Result) {
	switch {
	case put.Version > e.Version || e.Content == nil:
		return Edition(put), Result{Verdict: Stored, Version: put.Version}
	case put.Version < e.Version:
		return e, Result{Verdict: Superseded, Version: e.Version}
	case bytes.Equal(put.Content, e.Content):
		return e, Result{Verdict: Held, Version: e.Version}
	default:
		return e, Result{Verdict: Conflict, Version: e.Version}
	}
}

// Snapshot returns the encoding of the document.
func (e Edition) Snapshot() []byte {
	return parcel.AppendBytes(parcel.AppendUint(nil, e.Version), e.Content)
}

// Restore returns the document whose Snapshot is data. If data is damaged,
// Restore returns an error.
func Restore(data []byte) (Edition, error) {
	reader := parcel.NewReader(data)
	e := Edition{Version: reader.Uint()}
	e.Content = bytes.Clone(reader.Bytes())
	return e, errors.Wrap(reader.End(), "edition: restore")
}
