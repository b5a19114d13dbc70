package clerk

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/lovagelift/lovagelift/internal/jury"
)

// outcome is the end of a proposal.
type outcome struct {
	result []byte
	err    error
}

// waiter gets one outcome. Its channel has room for it.
type waiter struct {
	outcomes chan outcome
}

func newWaiter() waiter {
	return waiter{outcomes: make(chan outcome, 1)}
}

func (w waiter) finish(result []byte, err error) {
	w.outcomes <- outcome{result: result, err: err}
}

// proposal is one command on its way to the member.
type proposal struct {
	command []byte
	waiter  waiter
}

// Propose has command committed and carried out, by whichever replica leads,
// and returns its result.
//
// A *NotAcceptedError means that the command was not carried out and never will
// be. Any other error is ErrUnknown: it may be carried out still. While no
// leader is known or the leader cannot accept, Propose tries again until ctx
// ends, so that a change of leader is no error to the caller; ctx bounds how
// long the caller is left waiting. If this replica has failed, Propose returns
// at once.
func (c *Clerk) Propose(ctx context.Context, command []byte) ([]byte, error) {
	for {
		seen := c.view.Load()
		result, err := c.proposeTo(ctx, seen.status.Leader, command)
		var refused *NotAcceptedError
		if !errors.As(err, &refused) || !refused.Passing || seen.status.Failure != nil {
			return result, err
		}
		again := c.awaitView(ctx, func(v *view) bool {
			return v.status.Leader != seen.status.Leader || v.at.Sub(seen.at) >= retryEvery
		})
		if !again {
			return nil, refused
		}
	}
}

// retryEvery is the time between two tries of a proposal with one leader.
const retryEvery = 50 * time.Millisecond

// passing reports whether the cause of a refusal may soon be gone, also by a
// change of leader. Overload is none: tries from all who wait would add to it.
func passing(cause error) bool {
	var failed *jury.FailedError
	return errors.IsAny(cause, jury.ErrNotLeader, jury.ErrNoLease, jury.ErrTransferring) || errors.As(cause, &failed)
}

func (c *Clerk) proposeTo(ctx context.Context, leader jury.Identity, command []byte) ([]byte, error) {
	switch leader {
	case "":
		return nil, &NotAcceptedError{Passing: true, Cause: jury.ErrNotLeader}
	case c.options.Member.Self:
		return c.ProposeHere(ctx, command)
	}
	result, err := c.options.Courier.Forward(ctx, leader, command)
	var refused *NotAcceptedError
	if err == nil || errors.As(err, &refused) {
		return result, err
	}
	return nil, &UnknownError{Cause: err}
}

// ProposeHere has command committed and carried out if this replica leads. Its
// errors are those of Propose.
func (c *Clerk) ProposeHere(ctx context.Context, command []byte) ([]byte, error) {
	p := &proposal{command: command, waiter: newWaiter()}
	select {
	case c.proposals <- p:
	case <-ctx.Done():
		return nil, &NotAcceptedError{Cause: ctx.Err()}
	case <-c.ctx.Done():
		return nil, &NotAcceptedError{Cause: errClosed}
	}
	return c.wait(ctx, p.waiter)
}

func (c *Clerk) wait(ctx context.Context, w waiter) ([]byte, error) {
	select {
	case o := <-w.outcomes:
		return o.result, o.err
	case <-ctx.Done():
		return nil, &UnknownError{Cause: ctx.Err()}
	case <-c.ctx.Done():
	}
	// The outcome may have come together with the end of the clerk.
	select {
	case o := <-w.outcomes:
		return o.result, o.err
	default:
		return nil, &UnknownError{Cause: errClosed}
	}
}

// ask hands an event to the member and waits for its answer.
func (c *Clerk) ask(ctx context.Context, appends bool, event func(id uint64) jury.Event) error {
	r := request{event: event, asker: asker{waiter: newWaiter(), appends: appends}}
	select {
	case c.requests <- r:
	case <-ctx.Done():
		return &NotAcceptedError{Cause: ctx.Err()}
	case <-c.ctx.Done():
		return &NotAcceptedError{Cause: errClosed}
	}
	_, err := c.wait(ctx, r.asker.waiter)
	return err
}

// Bootstrap gives the initial snapshot to this replica, which must be blank or
// already hold that of the same cluster, and returns once it is synced. The
// cluster begins when all voters hold it.
func (c *Clerk) Bootstrap(ctx context.Context, cluster string, voters []jury.Identity, data []byte) error {
	return c.BootstrapFrom(ctx, cluster, voters, Origin{Data: data})
}

// Origin is the state that a cluster begins with. Its Index and Term are those
// of jury.Bootstrap.
type Origin struct {
	Index jury.Index
	Term  jury.Term
	Data  []byte
}

// BootstrapFrom is Bootstrap with the state of a cluster that lost its majority.
func (c *Clerk) BootstrapFrom(ctx context.Context, cluster string, voters []jury.Identity, origin Origin) error {
	return c.ask(ctx, false, func(id uint64) jury.Event {
		return jury.Bootstrap{
			ID:      id,
			Cluster: cluster,
			Voters:  voters,
			Data:    origin.Data,
			Index:   origin.Index,
			Term:    origin.Term,
		}
	})
}

// AddVoter makes a learner a voter, if this replica leads, and returns when
// that is committed. The errors are those of Propose.
func (c *Clerk) AddVoter(ctx context.Context, name jury.Identity) error {
	return c.ask(ctx, true, func(id uint64) jury.Event {
		return jury.ChangeVoters{ID: id, Add: name}
	})
}

// RemoveVoter removes a voter, if this replica leads, and returns when that is
// committed. The errors are those of Propose.
func (c *Clerk) RemoveVoter(ctx context.Context, name jury.Identity) error {
	return c.ask(ctx, true, func(id uint64) jury.Event {
		return jury.ChangeVoters{ID: id, Remove: name}
	})
}

// TransferLeadership begins to hand the leadership to another voter.
func (c *Clerk) TransferLeadership(ctx context.Context) error {
	return c.ask(ctx, false, func(id uint64) jury.Event {
		return jury.TransferLeadership{ID: id}
	})
}
