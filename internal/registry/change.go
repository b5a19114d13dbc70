package registry

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/lovagelift/lovagelift/internal/parcel"
)

// Revision numbers the configurations that were in force, from 1. Revision 0
// is the empty one before the first change.
type Revision uint64

// Bounds of what a change keeps in the replicated state for good.
const (
	MaxChangeIDBytes = 128
	MaxByBytes       = 128
	MaxSummaryBytes  = 512
)

// Change asks for another configuration. It comes into force as a whole, in one
// revision, or not at all.
type Change struct {
	// ID is the same when the change is sent again.
	ID string `json:"id"`
	// Expected is the revision that the operator has seen. The change applies
	// only if it is still in force.
	Expected Revision `json:"expected"`
	// Declarations are the new ones in canonical encoding, or empty to leave
	// them.
	Declarations []byte `json:"declarations,omitempty"`
	// Presets are the names of the presets that Declarations declare, the one
	// to start with first. Prepare fills them in.
	Presets []string `json:"presets,omitempty"`
	// Preset is the one to be in force, or empty to leave it.
	Preset string `json:"preset,omitempty"`
	// By is the operator, Summary what changes in one line.
	By      string `json:"by"`
	Summary string `json:"summary"`
	// Now is the time at the instance that took the change.
	Now time.Time `json:"now"`
}

// Check returns the names of the presets that declarations declare, the one to
// start with first. If the declarations are wrong, it returns an error that
// lists all that is wrong. It must be a pure function.
type Check func(declarations []byte) (presets []string, err error)

// Prepare returns c ready to be encoded and proposed. If its declarations don't
// pass check or its texts are too long, Prepare returns an error.
//
// The check takes place here, once, and not when replicas apply the change:
// replicas of two versions that judge it differently would fork. Whatever was
// committed applies on all.
func (c Change) Prepare(check Check) (Change, error) {
	switch {
	case c.ID == "" || len(c.ID) > MaxChangeIDBytes:
		return c, errors.Newf("registry: the change id has %d bytes, not 1 to %d", len(c.ID), MaxChangeIDBytes)
	case len(c.By) > MaxByBytes:
		return c, errors.Newf("registry: the operator's name has %d bytes, of at most %d", len(c.By), MaxByBytes)
	}
	c.Summary = c.Summary[:min(len(c.Summary), MaxSummaryBytes)]
	c.Presets = nil
	if len(c.Declarations) == 0 {
		return c, nil
	}
	presets, err := check(c.Declarations)
	if err != nil {
		return c, err
	}
	c.Presets = slices.Clone(presets)
	return c, nil
}

// digest tells a change that is sent again from another one under the same ID.
func (c Change) digest() string {
	content := parcel.AppendUint(nil, uint64(c.Expected))
	content = parcel.AppendBytes(content, c.Declarations)
	content = parcel.AppendBytes(content, c.Preset)
	sum := sha256.Sum256(content)
	return hex.EncodeToString(sum[:])
}

// Verdict is the decision on a Change.
type Verdict uint8

// The verdicts.
const (
	// VerdictApplied: the change is in force.
	VerdictApplied Verdict = iota + 1
	// VerdictConflict: another change came first. Answer.Since tells which.
	VerdictConflict
	// VerdictRefused: the change can't apply. Answer.Reason tells why.
	VerdictRefused
	// VerdictReused: the ID was used for another change.
	VerdictReused
)

// String returns the word for the verdict in logs.
func (v Verdict) String() string {
	names := [...]string{"", "applied", "conflict", "refused", "reused"}
	if int(v) >= len(names) {
		return ""
	}
	return names[v]
}

// Answer is the answer to a Change.
type Answer struct {
	Verdict Verdict `json:"verdict"`
	// Revision is the one in force: the change's own if it was applied.
	Revision Revision `json:"revision"`
	// Preset is the one in force.
	Preset string `json:"preset"`
	// Since lists, for VerdictConflict, the changes after the expected
	// revision, newest first, as far as they are kept and up to maxSince.
	Since []Applied `json:"since,omitempty"`
	// Reason is, unless the change was applied, one sentence.
	Reason string `json:"reason,omitempty"`
}

// Applied says who changed what.
type Applied struct {
	Revision Revision  `json:"revision"`
	ID       string    `json:"id"`
	By       string    `json:"by"`
	Summary  string    `json:"summary"`
	At       time.Time `json:"at"`
}

// String returns the change in one line.
func (a Applied) String() string {
	return fmt.Sprintf("revision %d by %s at %s: %s", a.Revision, a.By, a.At.UTC().Format(time.RFC3339), a.Summary)
}
