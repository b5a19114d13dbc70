package chamber

import (
	"context"

	"github.com/cockroachdb/errors"

	"github.com/lovagelift/lovagelift/internal/clerk"
	"github.com/lovagelift/lovagelift/internal/courier"
	"github.com/lovagelift/lovagelift/internal/docket"
	"github.com/lovagelift/lovagelift/internal/jury"
	"github.com/lovagelift/lovagelift/internal/registry"
)

// This file holds the calls that a Voter serves to other instances (courier.Control) and the
// transport of its replica (clerk.Transport).

// controlServer serves the calls of other instances to a Voter.
type controlServer struct {
	voter *Voter
}

// Control returns the handler for calls from other instances.
func (v *Voter) Control() courier.Control {
	return controlServer{v}
}

// Deliver passes a message from another replica to this one. It may drop the message, since the
// protocol retransmits where necessary.
func (c controlServer) Deliver(message jury.Message) {
	c.voter.replica.Receive(message)
}

// ProposeLocally proposes command if this voter is the leader.
func (c controlServer) ProposeLocally(ctx context.Context, command []byte) courier.Proposed {
	if rejection, ok := rejectUndecodable(command); ok {
		return rejection
	}
	return toProposed(c.voter.replica.ProposeLocal(ctx, command))
}

// Propose proposes command through the current leader.
func (c controlServer) Propose(ctx context.Context, command []byte) courier.Proposed {
	if rejection, ok := rejectUndecodable(command); ok {
		return rejection
	}
	return toProposed(c.voter.replica.Propose(ctx, command))
}

// rejectUndecodable rejects a command that this voter can't decode. If such a command were
// committed, applying it would stop every voter of this version, so one upgraded instance could
// stop all voters that are not upgraded yet.
func rejectUndecodable(command []byte) (courier.Proposed, bool) {
	_, err := registry.Decode(command)
	if err == nil {
		return courier.Proposed{}, false
	}
	return courier.Proposed{Fate: courier.ProposalRejected, Reason: err.Error()}, true
}

// ChangeVoters adds or removes a voter if this voter is the leader.
func (c controlServer) ChangeVoters(ctx context.Context, change courier.VotersChange) courier.Proposed {
	if change.Add != "" {
		return toProposed(nil, c.voter.replica.AddVoter(ctx, change.Add))
	}
	return toProposed(nil, c.voter.replica.RemoveVoter(ctx, change.Remove))
}

// Configuration returns the configuration in force if it is newer than knownRevision, and the
// requests in quarantine unless their mark is knownMark.
func (c controlServer) Configuration(knownRevision registry.Revision, knownMark uint64) courier.Configuration {
	// Read the freshness before the view: the view then includes everything that the freshness
	// covers.
	age, confirmed := c.voter.stateAge()
	answer := courier.Configuration{
		Cluster:   c.voter.replica.Status().Cluster,
		Confirmed: confirmed,
		Age:       age,
	}
	if view := c.voter.registry.View(); view.Revision > knownRevision {
		answer.View = view
	}
	if news := c.voter.Quarantine(c.voter.options.Now()); news.Mark != knownMark {
		answer.Quarantine = &news
	}
	return answer
}

// Lookup returns the idempotency record of a request.
func (c controlServer) Lookup(ctx context.Context, key docket.Key) courier.Recorded {
	answer, err := c.voter.Lookup(ctx, key)
	return courier.Recorded{Known: err == nil, Answer: answer}
}

func toProposed(result []byte, err error) courier.Proposed {
	if err == nil {
		return courier.Proposed{Fate: courier.ProposalExecuted, Result: result}
	}
	var rejected *clerk.RejectedError
	if errors.As(err, &rejected) {
		return courier.Proposed{
			Fate:    courier.ProposalRejected,
			Leader:  rejected.Leader,
			Passing: rejected.Retryable,
			Reason:  err.Error(),
		}
	}
	return courier.Proposed{Fate: courier.ProposalUnknown, Reason: err.Error()}
}

// replicaAddress returns the inner address of the instance that runs a replica.
func (v *Voter) replicaAddress(identity jury.Identity) (string, error) {
	for _, voter := range v.options.Voters {
		if voter.Name == identity.Instance() {
			return voter.InnerAddress, nil
		}
	}
	if v.options.ResolveAddress != nil {
		if address, known := v.options.ResolveAddress(identity.Instance()); known {
			return address, nil
		}
	}
	return "", errors.Newf("chamber: the settings name no voter %q", identity.Instance())
}

// Send sends a message to another replica.
func (v *Voter) Send(ctx context.Context, message jury.Message) error {
	address, err := v.replicaAddress(message.To)
	if err != nil {
		return err
	}
	pool := v.options.HeartbeatPool
	switch message.Body.(type) {
	case jury.Append, jury.InstallRequest:
		pool = v.options.EntryPool
	default:
	}
	return pool.Deliver(ctx, address, message)
}

// Forward proposes command at another replica.
func (v *Voter) Forward(ctx context.Context, to jury.Identity, command []byte) ([]byte, error) {
	address, err := v.replicaAddress(to)
	if err != nil {
		return nil, &clerk.RejectedError{Retryable: true, Cause: err}
	}
	proposed := v.options.Calls.Propose(ctx, address, command, true)
	switch proposed.Fate {
	case courier.ProposalExecuted:
		return proposed.Result, nil
	case courier.ProposalRejected:
		return nil, &clerk.RejectedError{
			Leader:    proposed.Leader,
			Retryable: proposed.Passing,
			Cause:     errors.New(proposed.Reason),
		}
	default:
		return nil, &clerk.UnknownError{Cause: errors.New(proposed.Reason)}
	}
}
