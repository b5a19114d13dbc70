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

// Revision is the sequence number of an applied configuration, starting at 1.
// Revision 0 is the empty configuration before the first change.
type Revision uint64

// Size limits of the texts that a change stores in the replicated state.
const (
	MaxChangeIDBytes = 128
	MaxOperatorBytes = 128
	MaxSummaryBytes  = 512
)

// Change is a request to replace the configuration. It is applied atomically as
// one revision, or rejected.
type Change struct {
	// ID is the idempotency key: retries of a change carry the same ID.
	ID string `json:"id"`
	// Expected is the revision on which the operator based the change. The change
	// is applied only while that revision is current.
	Expected Revision `json:"expected"`
	// Declarations are the new declarations in canonical encoding. If empty, the
	// current ones remain.
	Declarations []byte `json:"declarations,omitempty"`
	// Presets are the names of the presets in Declarations, the default first.
	// Validated sets them.
	Presets []string `json:"presets,omitempty"`
	// Preset is the preset to put in force. If empty, the preset in force remains,
	// or the default one comes into force if there is none.
	Preset string `json:"preset,omitempty"`
	// By is the operator's name.
	By string `json:"by"`
	// Summary describes the change in one line.
	Summary string `json:"summary"`
	// Now is the time at which an instance received the change, on that instance's
	// clock.
	Now time.Time `json:"now"`
}

// DeclarationsValidator validates declarations and returns the names of their
// presets, the default first. For invalid declarations it returns an error that
// lists every problem. It must be a pure function.
type DeclarationsValidator func(declarations []byte) (presets []string, err error)

// Validated validates c and returns it ready to be encoded and proposed. It
// returns an error if the declarations are invalid, the ID is missing, or the
// ID or the operator's name is too long. A Summary that is too long is truncated.
//
// Validation happens once, before the change is proposed. Replicas don't repeat
// it when they apply the change: replicas that run different versions could
// come to different results, and their states would diverge.
func (c Change) Validated(validate DeclarationsValidator) (Change, error) {
	switch {
	case c.ID == "" || len(c.ID) > MaxChangeIDBytes:
		return c, errors.Newf("registry: the change id has %d bytes, not 1 to %d", len(c.ID), MaxChangeIDBytes)
	case len(c.By) > MaxOperatorBytes:
		return c, errors.Newf("registry: the operator's name has %d bytes, of at most %d", len(c.By), MaxOperatorBytes)
	}
	c.Summary = c.Summary[:min(len(c.Summary), MaxSummaryBytes)]
	c.Presets = nil
	if len(c.Declarations) == 0 {
		return c, nil
	}
	presets, err := validate(c.Declarations)
	if err != nil {
		return c, err
	}
	c.Presets = slices.Clone(presets)
	return c, nil
}

// digest returns a hash of the requested configuration. It distinguishes a retry
// from a different change with the same ID.
func (c Change) digest() string {
	content := parcel.AppendUint(nil, uint64(c.Expected))
	content = parcel.AppendBytes(content, c.Declarations)
	content = parcel.AppendBytes(content, c.Preset)
	sum := sha256.Sum256(content)
	return hex.EncodeToString(sum[:])
}

// Verdict is the outcome of a Change.
type Verdict uint8

// The verdicts.
const (
	// VerdictApplied means that the change was applied.
	VerdictApplied Verdict = iota + 1
	// VerdictConflict means that Change.Expected is not the current revision.
	// ChangeResult.ChangesSince lists the changes applied since.
	VerdictConflict
	// VerdictRefused means that the change is invalid in the current state, for the
	// reason in ChangeResult.Reason.
	VerdictRefused
	// VerdictIDReused means that the ID belongs to a different change.
	VerdictIDReused
)

// String returns the verdict's name in logs.
func (v Verdict) String() string {
	names := [...]string{"", "applied", "conflict", "refused", "reused"}
	if int(v) >= len(names) {
		return ""
	}
	return names[v]
}

// ChangeResult is the result of a Change.
type ChangeResult struct {
	Verdict Verdict `json:"verdict"`
	// Revision is the current revision after the decision. If the change was
	// applied, it is the revision that the change created.
	Revision Revision `json:"revision"`
	// Preset is the preset in force after the decision.
	Preset string `json:"preset"`
	// ChangesSince lists, for VerdictConflict, up to maxConflictChanges retained
	// changes that were applied after Change.Expected, newest first.
	ChangesSince []AppliedChange `json:"since,omitempty"`
	// Reason explains in one sentence why the change was not applied.
	Reason string `json:"reason,omitempty"`
}

// AppliedChange is the audit record of an applied change.
type AppliedChange struct {
	Revision Revision  `json:"revision"`
	ID       string    `json:"id"`
	By       string    `json:"by"`
	Summary  string    `json:"summary"`
	At       time.Time `json:"at"`
}

// String formats the change in one line.
func (a AppliedChange) String() string {
	return fmt.Sprintf("revision %d by %s at %s: %s", a.Revision, a.By, a.At.UTC().Format(time.RFC3339), a.Summary)
}
