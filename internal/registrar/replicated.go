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

// ReplicatedOptions configures a Replicated. All fields are required.
type ReplicatedOptions struct {
	Gazette *gazette.Gazette
	// Propose has a command accepted by the voters and returns what applying it
	// gave.
	Propose func(ctx context.Context, command []byte) (registry.Result, error)
	// NotAccepted tells whether, after the error of Propose, the command
	// certainly is not accepted and never will be. If it cannot tell, it returns
	// false.
	NotAccepted func(err error) bool
	// Fresh tells whether this instance holds its configuration lease.
	Fresh func(now time.Time) bool
	// RetryAfter is how long after a change that was not accepted to try again.
	RetryAfter time.Duration
}

// Replicated is a Register over the replicated state machine. It is safe for
// concurrent use.
type Replicated struct {
	options ReplicatedOptions
}

// NewReplicated returns a Register over the replicated state machine.
func NewReplicated(options ReplicatedOptions) *Replicated {
	return &Replicated{options: options}
}

// InForce returns what is in force as far as this instance knows at now.
func (r *Replicated) InForce(now time.Time) InForce {
	// Freshness is asked for first: what is read after it is at least as new.
	fresh := r.options.Fresh(now)
	issue := r.options.Gazette.Latest()
	return InForce{
		Revision:     uint64(issue.Revision),
		Preset:       issue.Preset.Name,
		Declarations: issue.Declarations,
		Fresh:        fresh,
	}
}

// Change proposes a change, see Register.
func (r *Replicated) Change(ctx context.Context, change Change) (Answer, error) {
	command, err := encodeChange(change)
	if err != nil {
		return Answer{}, err
	}
	result, err := r.options.Propose(ctx, command)
	if err != nil {
		if r.options.NotAccepted(err) {
			return Answer{}, &UnavailableError{Reason: err.Error(), RetryAfter: r.options.RetryAfter}
		}
		return Answer{}, errors.Wrap(err, "registrar: propose")
	}
	if result.Change == nil {
		return Answer{}, errors.AssertionFailedf("registrar: the result of a change holds no answer to it")
	}
	return answerOf(*result.Change)
}

// encodeChange returns the command for a change. Nothing has been proposed when
// it fails, so the change is refused for certain.
func encodeChange(change Change) ([]byte, error) {
	prepared, err := registry.Change{
		ID:           change.ID,
		Expected:     registry.Revision(change.Expected),
		Declarations: change.Declarations,
		Preset:       change.Preset,
		By:           change.By,
		Summary:      change.Summary,
		Now:          change.Now,
	}.Prepare(declaration.Check)
	if err != nil {
		return nil, refusedBy(err)
	}
	command, err := registry.Encode(prepared)
	if err != nil {
		return nil, refusedBy(err)
	}
	return command, nil
}

func refusedBy(err error) *RefusedError {
	var found *finding.Error
	if errors.As(err, &found) {
		return &RefusedError{Reason: "the declarations are wrong", Findings: found.Findings}
	}
	return &RefusedError{Reason: err.Error()}
}

func answerOf(answer registry.Answer) (Answer, error) {
	switch answer.Verdict {
	case registry.VerdictApplied:
		return Answer{Revision: uint64(answer.Revision)}, nil
	case registry.VerdictConflict:
		return Answer{}, &ConflictError{Revision: uint64(answer.Revision), Since: answer.Since}
	case registry.VerdictRefused, registry.VerdictReused:
		return Answer{}, &RefusedError{Reason: answer.Reason}
	default:
		// A newer leader may know verdicts that this program does not.
		return Answer{}, errors.Newf("registrar: verdict %d is not known to this program", answer.Verdict)
	}
}
