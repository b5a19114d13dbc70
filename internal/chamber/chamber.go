// Package chamber is the control plane of an instance, backed by the replicated state: a voter runs
// a replica of the log, and any other instance is a follower that fetches the configuration from
// the voters. Both publish the configuration in force and propose commands.
package chamber

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"github.com/lovagelift/lovagelift/internal/courier"
	"github.com/lovagelift/lovagelift/internal/docket"
	"github.com/lovagelift/lovagelift/internal/gazette"
	"github.com/lovagelift/lovagelift/internal/jury"
	"github.com/lovagelift/lovagelift/internal/quarantine"
	"github.com/lovagelift/lovagelift/internal/registry"
)

// ControlPlane is the control plane of an instance, a *Voter or a *Follower. Its methods are safe
// for concurrent use.
type ControlPlane interface {
	// ConfigCache returns the cache of the configuration in force.
	ConfigCache() *gazette.Cache
	// HasConfigLease reports whether the instance holds its configuration lease at now: whether the
	// latest published configuration was still in force less than Options.ConfigLease ago.
	HasConfigLease(now time.Time) bool
	// Propose replicates and applies command. If the command was not applied and never will be, the
	// error matches ErrNotAccepted. After any other error, the outcome is unknown.
	Propose(ctx context.Context, command registry.Command) (registry.Result, error)
	// Lookup returns the idempotency record of a request. If no voter can confirm that its state is
	// up to date, Lookup returns an error.
	Lookup(ctx context.Context, key docket.Key) (docket.Answer, error)
	// Quarantine returns the known requests in quarantine. The caller must not modify the result.
	Quarantine(now time.Time) quarantine.News
	// Leader returns the current leader and its fencing number. Both are zero if no leader is
	// known.
	Leader() (jury.Identity, jury.Term)
	// ChangeVoters adds or removes a voter. If the change was certainly not made, the error matches
	// ErrNotAccepted.
	ChangeVoters(ctx context.Context, change courier.VotersChange) error
	// Identity returns the identity of a voter. It is empty on a follower.
	Identity() jury.Identity
	// Close shuts the control plane down. A leader transfers its leadership before that, unless ctx
	// ends first.
	Close(ctx context.Context)
}

// ErrNotAccepted means that a command was not applied and never will be, unless it is proposed
// again.
var ErrNotAccepted = errors.New("chamber: the command was not accepted")

// VoterAddress is the name and address of an instance that is a voter.
type VoterAddress struct {
	Name         string
	InnerAddress string
}

// Options are the options that Voter and Follower share.
type Options struct {
	// Self is the name of this instance.
	Self string
	// Voters are the other voters in the settings.
	Voters []VoterAddress
	// ResolveAddress returns the inner address of an instance that joined later and is therefore
	// not in Voters. It may be nil.
	ResolveAddress func(instance string) (string, bool)
	// Calls carries proposals, lookups and configuration requests.
	Calls *courier.Pool
	// RenewInterval is the interval at which the configuration is confirmed.
	RenewInterval time.Duration
	// ConfigLease is how long a configuration remains valid after it was confirmed.
	ConfigLease time.Duration
	Now         func() time.Time
	Log         zerolog.Logger
	// Metrics receives the metrics of a voter. If it is nil, none are reported.
	Metrics tally.Scope
}

// retryInterval is the time between two attempts to make a proposal or a lookup.
const retryInterval = 50 * time.Millisecond

// proposalError returns the error for a proposal's fate, nil for success.
func proposalError(proposed courier.Proposed) error {
	switch proposed.Fate {
	case courier.ProposalExecuted:
		return nil
	case courier.ProposalRejected:
		return errors.Mark(errors.Newf("chamber: not accepted: %s", proposed.Reason), ErrNotAccepted)
	default:
		return errors.Newf("chamber: it is unknown whether the command is carried out: %s", proposed.Reason)
	}
}
