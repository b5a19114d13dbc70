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

// This file is what a Voter answers to other instances (courier.Control) and
// how its replica reaches them (clerk.Courier).

// control answers the calls of other instances to a Voter.
type control struct {
	voter *Voter
}

// Control returns what answers other instances' calls.
func (v *Voter) Control() courier.Control {
	return control{v}
}

// Deliver takes in a message of another replica. One that is dropped is sent
// again where it matters.
func (c control) Deliver(message jury.Message) {
	c.voter.clerk.Receive(message)
}

// ProposeHere has command carried out if this voter leads.
func (c control) ProposeHere(ctx context.Context, command []byte) courier.Proposed {
	if refused, ok := unreadable(command); ok {
		return refused
	}
	return proposedOf(c.voter.clerk.ProposeLocal(ctx, command))
}

// Propose has command carried out by whichever voter leads.
func (c control) Propose(ctx context.Context, command []byte) courier.Proposed {
	if refused, ok := unreadable(command); ok {
		return refused
	}
	return proposedOf(c.voter.clerk.Propose(ctx, command))
}

// unreadable refuses a command that this voter can't carry out. Once committed
// it would stop every voter of this version: an upgraded instance could so end
// the voters before they are upgraded.
func unreadable(command []byte) (courier.Proposed, bool) {
	_, err := registry.Decode(command)
	if err == nil {
		return courier.Proposed{}, false
	}
	return courier.Proposed{Fate: courier.FateNotAccepted, Reason: err.Error()}, true
}

// ChangeVoters adds a voter or removes one, if this voter leads.
func (c control) ChangeVoters(ctx context.Context, change courier.VotersChange) courier.Proposed {
	if change.Add != "" {
		return proposedOf(nil, c.voter.clerk.AddVoter(ctx, change.Add))
	}
	return proposedOf(nil, c.voter.clerk.RemoveVoter(ctx, change.Remove))
}

// Configuration returns what is in force, if it is newer than have, and the news of
// requests in quarantine unless they have the mark.
func (c control) Configuration(have registry.Revision, mark uint64) courier.Configuration {
	// Freshness is read first: what it covers is in the view that is read after.
	age, confirmed := c.voter.age()
	answer := courier.Configuration{
		Cluster:   c.voter.clerk.Status().Cluster,
		Confirmed: confirmed,
		Age:       age,
	}
	if view := c.voter.registry.View(); view.Revision > have {
		answer.View = view
	}
	if news := c.voter.Quarantine(c.voter.options.Now()); news.Mark != mark {
		answer.Quarantine = &news
	}
	return answer
}

// Lookup returns what is recorded of a request.
func (c control) Lookup(ctx context.Context, key docket.Key) courier.Recorded {
	answer, err := c.voter.Lookup(ctx, key)
	return courier.Recorded{Known: err == nil, Answer: answer}
}

func proposedOf(result []byte, err error) courier.Proposed {
	if err == nil {
		return courier.Proposed{Fate: courier.FateCarriedOut, Result: result}
	}
	var refused *clerk.RejectedError
	if errors.As(err, &refused) {
		return courier.Proposed{
			Fate:    courier.FateNotAccepted,
			Leader:  refused.Leader,
			Passing: refused.Retryable,
			Reason:  err.Error(),
		}
	}
	return courier.Proposed{Fate: courier.FateUnknown, Reason: err.Error()}
}

// address returns the inner address of the instance that a replica runs on.
func (v *Voter) address(identity jury.Identity) (string, error) {
	for _, voter := range v.options.Voters {
		if voter.Name == identity.Instance() {
			return voter.InnerAddress, nil
		}
	}
	if v.options.Address != nil {
		if address, known := v.options.Address(identity.Instance()); known {
			return address, nil
		}
	}
	return "", errors.Newf("chamber: the settings name no voter %q", identity.Instance())
}

// Send hands a message to the replica that it is for.
func (v *Voter) Send(ctx context.Context, message jury.Message) error {
	address, err := v.address(message.To)
	if err != nil {
		return err
	}
	pool := v.options.Heartbeats
	switch message.Body.(type) {
	case jury.Append, jury.InstallRequest:
		pool = v.options.Entries
	default:
	}
	return pool.Deliver(ctx, address, message)
}

// Forward has another replica propose command.
func (v *Voter) Forward(ctx context.Context, to jury.Identity, command []byte) ([]byte, error) {
	address, err := v.address(to)
	if err != nil {
		return nil, &clerk.RejectedError{Retryable: true, Cause: err}
	}
	proposed := v.options.Calls.Propose(ctx, address, command, true)
	switch proposed.Fate {
	case courier.FateCarriedOut:
		return proposed.Result, nil
	case courier.FateNotAccepted:
		return nil, &clerk.RejectedError{
			Leader:    proposed.Leader,
			Retryable: proposed.Passing,
			Cause:     errors.New(proposed.Reason),
		}
	default:
		return nil, &clerk.UnknownError{Cause: errors.New(proposed.Reason)}
	}
}
