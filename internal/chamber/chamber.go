// Package chamber is an instance's part in the replicated state (control
// plane): on a voter a replica of the log, elsewhere a follower of the voters'
// configuration. Both hold the configuration in force and have commands carried
// out.
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

// Chamber is an instance's part in the replicated state. Its methods are safe
// for concurrent use. It is a *Voter or a *Follower.
type Chamber interface {
	// Gazette returns what holds the configuration in force.
	Gazette() *gazette.Gazette
	// Fresh tells whether the instance holds its configuration lease at now:
	// nothing newer than the gazette's latest was in force a lease ago.
	Fresh(now time.Time) bool
	// Propose has command carried out. If it certainly is not and never will be,
	// Propose returns an error that is ErrNotAccepted; any other error leaves
	// that open.
	Propose(ctx context.Context, command registry.Command) (registry.Result, error)
	// Lookup returns what is recorded of a request. If no voter can confirm that
	// it is up to date, Lookup returns an error.
	Lookup(ctx context.Context, key docket.Key) (docket.Answer, error)
	// Quarantine returns what is known of requests in quarantine. It must not be changed.
	Quarantine(now time.Time) quarantine.News
	// Leader returns the leader that is known of, and its fencing number. Both
	// are zero if none is.
	Leader() (jury.Identity, jury.Term)
	// ChangeVoters adds a voter or removes one. If it certainly did not happen,
	// ChangeVoters returns an error that is ErrNotAccepted.
	ChangeVoters(ctx context.Context, change courier.VotersChange) error
	// Identity returns the identity of a voter, empty elsewhere.
	Identity() jury.Identity
	// Close ends the part, handing over a leadership before ctx ends.
	Close(ctx context.Context)
}

// ErrNotAccepted means that a command is not carried out and never will be
// unless it is proposed again.
var ErrNotAccepted = errors.New("chamber: the command was not accepted")

// VoterAddress names an instance that is a voter.
type VoterAddress struct {
	Name         string
	InnerAddress string
}

// Options is what both kinds of Chamber need.
type Options struct {
	// Self is the name of this instance.
	Self string
	// Voters are the other instances that are voters.
	Voters []VoterAddress
	// Address returns the inner address of an instance that Voters does not name,
	// because it joined later. Nil stands for none.
	Address func(instance string) (string, bool)
	// Calls carries proposals, look-ups and configurations.
	Calls *courier.Pool
	// RenewEvery is how often the configuration is confirmed.
	RenewEvery time.Duration
	// Lease is how long a confirmed configuration is used.
	Lease time.Duration
	Now   func() time.Time
	Log   zerolog.Logger
	// Metrics is where a voter reports; nowhere if nil.
	Metrics tally.Scope
}

// retryEvery is the time between two tries of a proposal whose fate is open.
const retryEvery = 50 * time.Millisecond

// errorOf returns the error that a proposal's fate stands for.
func errorOf(proposed courier.Proposed) error {
	switch proposed.Fate {
	case courier.FateCarriedOut:
		return nil
	case courier.FateNotAccepted:
		return errors.Mark(errors.Newf("chamber: not accepted: %s", proposed.Reason), ErrNotAccepted)
	default:
		return errors.Newf("chamber: it is unknown whether the command is carried out: %s", proposed.Reason)
	}
}
