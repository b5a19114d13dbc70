package registrar

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/lovagelift/lovagelift/internal/declaration"
	"github.com/lovagelift/lovagelift/internal/finding"
	"github.com/lovagelift/lovagelift/internal/gazette"
	"github.com/lovagelift/lovagelift/internal/registry"
)

// ReplicatedConfigStoreOptions configures a ReplicatedConfigStore. All fields are required.
type ReplicatedConfigStoreOptions struct {
	ConfigCache *gazette.Cache
	// Propose replicates a command to the voters and returns the result of applying
	// it.
	Propose func(ctx context.Context, command []byte) (registry.Result, error)
	// NotAccepted reports whether an error of Propose proves that the command was
	// not accepted and cannot be accepted later. If this is uncertain, it returns
	// false.
	NotAccepted func(err error) bool
	// HasConfigLease reports whether this instance holds its configuration lease.
	HasConfigLease func(now time.Time) bool
	// RetryAfter is the delay that clients should wait before they retry a change
	// that was not accepted.
	RetryAfter time.Duration
}

// ReplicatedConfigStore is a ConfigStore backed by the replicated state machine. It is
// safe for concurrent use.
type ReplicatedConfigStore struct {
	options ReplicatedConfigStoreOptions
}

// NewReplicatedConfigStore returns a ReplicatedConfigStore.
func NewReplicatedConfigStore(options ReplicatedConfigStoreOptions) *ReplicatedConfigStore {
	return &ReplicatedConfigStore{options: options}
}

// ActiveConfig implements ConfigStore.
func (r *ReplicatedConfigStore) ActiveConfig(now time.Time) ActiveConfig {
	// The lease must be checked first, since a configuration read afterwards is at
	// least as recent as the check.
	hasLease := r.options.HasConfigLease(now)
	active := r.options.ConfigCache.Latest()
	return ActiveConfig{
		Revision:       uint64(active.Revision),
		Preset:         active.Preset.Name,
		Declarations:   active.Declarations,
		HasConfigLease: hasLease,
	}
}

// Change implements ConfigStore.
func (r *ReplicatedConfigStore) Change(ctx context.Context, change Change) (ChangeResult, error) {
	command, err := encodeChange(change)
	if err != nil {
		return ChangeResult{}, err
	}
	result, err := r.options.Propose(ctx, command)
	if err != nil {
		if r.options.NotAccepted(err) {
			return ChangeResult{}, &UnavailableError{Reason: err.Error(), RetryAfter: r.options.RetryAfter}
		}
		return ChangeResult{}, errors.Wrap(err, "registrar: propose")
	}
	if result.Change == nil {
		return ChangeResult{}, errors.AssertionFailedf("registrar: the result of a change holds no answer to it")
	}
	return changeResult(*result.Change)
}

// encodeChange returns the command for a change. Every error is a *RefusedError,
// since nothing has been proposed yet.
func encodeChange(change Change) ([]byte, error) {
	prepared, err := registry.Change{
		ID:           change.ID,
		Expected:     registry.Revision(change.ExpectedRevision),
		Declarations: change.Declarations,
		Preset:       change.Preset,
		By:           change.Operator,
		Summary:      change.Summary,
		Now:          change.RequestedAt,
	}.Validated(declaration.Check)
	if err != nil {
		return nil, refusedError(err)
	}
	command, err := registry.Encode(prepared)
	if err != nil {
		return nil, refusedError(err)
	}
	return command, nil
}

func refusedError(err error) *RefusedError {
	var findings *finding.Error
	if errors.As(err, &findings) {
		return &RefusedError{Reason: "the declarations are wrong", Findings: findings.Findings}
	}
	return &RefusedError{Reason: err.Error()}
}

func changeResult(result registry.ChangeResult) (ChangeResult, error) {
	switch result.Verdict {
	case registry.VerdictApplied:
		return ChangeResult{Revision: uint64(result.Revision)}, nil
	case registry.VerdictConflict:
		return ChangeResult{}, &ConflictError{Revision: uint64(result.Revision), ChangesSince: result.ChangesSince}
	case registry.VerdictRefused, registry.VerdictIDReused:
		return ChangeResult{}, &RefusedError{Reason: result.Reason}
	default:
		// A newer leader may return verdicts that this version does not support.
		return ChangeResult{}, errors.Newf("registrar: verdict %d is not known to this program", result.Verdict)
	}
}
