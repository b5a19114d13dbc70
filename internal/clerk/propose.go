package clerk

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/lovagelift/lovagelift/internal/jury"
)

// outcome is the result of a proposal or request.
type outcome struct {
	result []byte
	err    error
}

// future receives exactly one outcome. Its channel is buffered, so that complete never blocks.
type future struct {
	outcomes chan outcome
}

func newFuture() future {
	return future{outcomes: make(chan outcome, 1)}
}

func (f future) complete(result []byte, err error) {
	f.outcomes <- outcome{result: result, err: err}
}

// proposal is a command that is to be proposed to the member.
type proposal struct {
	command []byte
	result  future
}

// Propose replicates command through the current leader, waits until it is applied, and returns its
// result.
//
// A *RejectedError means that the command was not applied and never will be. Any other error is
// ErrUnknown: the command may still be applied. While no leader is known or the leader cannot
// accept the command, Propose retries until ctx ends, so that callers see no error during a change
// of leader. If this replica has failed or is closed, Propose returns immediately.
func (r *Replica) Propose(ctx context.Context, command []byte) ([]byte, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	release := context.AfterFunc(r.ctx, cancel)
	defer release()
	for {
		if r.ctx.Err() != nil {
			return nil, &RejectedError{Cause: ErrClosed}
		}
		before := r.view.Load()
		result, err := r.proposeTo(ctx, before.status.Leader, command)
		var rejected *RejectedError
		if !errors.As(err, &rejected) || !rejected.Retryable || before.status.Failure != nil {
			return result, err
		}
		retry := r.awaitView(ctx, func(v *view) bool {
			return v.status.Leader != before.status.Leader || v.at.Sub(before.at) >= retryInterval
		})
		if !retry {
			return nil, rejected
		}
	}
}

// retryInterval is the time between two attempts to propose a command to the same leader.
const retryInterval = 50 * time.Millisecond

// retryable reports whether a rejection may be temporary, including those that a change of leader
// resolves. Overload is not retryable, because retries from all waiting callers would increase it.
func retryable(cause error) bool {
	var failed *jury.FailedError
	return errors.IsAny(cause, jury.ErrNotLeader, jury.ErrNoLease, jury.ErrTransferring) || errors.As(cause, &failed)
}

func (r *Replica) proposeTo(ctx context.Context, leader jury.Identity, command []byte) ([]byte, error) {
	switch leader {
	case "":
		return nil, &RejectedError{Retryable: true, Cause: jury.ErrNotLeader}
	case r.options.Member.Self:
		return r.ProposeLocal(ctx, command)
	}
	result, err := r.options.Transport.Forward(ctx, leader, command)
	var rejected *RejectedError
	if err == nil || errors.As(err, &rejected) {
		return result, err
	}
	return nil, &UnknownError{Cause: err}
}

// ProposeLocal is Propose without forwarding: it rejects the command if this replica is not the
// leader.
func (r *Replica) ProposeLocal(ctx context.Context, command []byte) ([]byte, error) {
	p := &proposal{command: command, result: newFuture()}
	select {
	case r.proposals <- p:
	case <-ctx.Done():
		return nil, &RejectedError{Cause: ctx.Err()}
	case <-r.ctx.Done():
		return nil, &RejectedError{Cause: ErrClosed}
	}
	return r.wait(ctx, p.result)
}

func (r *Replica) wait(ctx context.Context, f future) ([]byte, error) {
	select {
	case o := <-f.outcomes:
		return o.result, o.err
	case <-ctx.Done():
		return nil, &UnknownError{Cause: ctx.Err()}
	case <-r.ctx.Done():
	}
	// The outcome may have arrived at the moment the replica closed.
	select {
	case o := <-f.outcomes:
		return o.result, o.err
	default:
		return nil, &UnknownError{Cause: ErrClosed}
	}
}

// submit passes an event to the member and waits for its answer.
func (r *Replica) submit(ctx context.Context, awaitApplied bool, newEvent func(id uint64) jury.Event) error {
	req := request{newEvent: newEvent, pending: pendingRequest{result: newFuture(), awaitApplied: awaitApplied}}
	select {
	case r.requests <- req:
	case <-ctx.Done():
		return &RejectedError{Cause: ctx.Err()}
	case <-r.ctx.Done():
		return &RejectedError{Cause: ErrClosed}
	}
	_, err := r.wait(ctx, req.pending.result)
	return err
}

// Bootstrap installs the initial snapshot on this replica and returns once it is durable. The
// replica must be blank or already hold the initial snapshot of the same cluster. The cluster
// starts when all voters hold the snapshot.
func (r *Replica) Bootstrap(ctx context.Context, cluster string, voters []jury.Identity, data []byte) error {
	return r.BootstrapFrom(ctx, cluster, voters, InitialState{Data: data})
}

// InitialState is the state with which a cluster starts. Index and Term are those of
// jury.Bootstrap.
type InitialState struct {
	Index jury.Index
	Term  jury.Term
	Data  []byte
}

// BootstrapFrom is Bootstrap with the state of a cluster that lost its quorum.
func (r *Replica) BootstrapFrom(ctx context.Context, cluster string, voters []jury.Identity, initial InitialState) error {
	return r.submit(ctx, false, func(id uint64) jury.Event {
		return jury.Bootstrap{
			ID:      id,
			Cluster: cluster,
			Voters:  voters,
			Data:    initial.Data,
			Index:   initial.Index,
			Term:    initial.Term,
		}
	})
}

// AddVoter promotes a learner to a voter and returns once the change is committed. This replica
// must be the leader. The errors are those of Propose.
func (r *Replica) AddVoter(ctx context.Context, name jury.Identity) error {
	return r.submit(ctx, true, func(id uint64) jury.Event {
		return jury.ChangeVoters{ID: id, Add: name}
	})
}

// RemoveVoter removes a voter and returns once the change is committed. This replica must be the
// leader. The errors are those of Propose.
func (r *Replica) RemoveVoter(ctx context.Context, name jury.Identity) error {
	return r.submit(ctx, true, func(id uint64) jury.Event {
		return jury.ChangeVoters{ID: id, Remove: name}
	})
}

// TransferLeadership starts the transfer of the leadership to another voter.
func (r *Replica) TransferLeadership(ctx context.Context) error {
	return r.submit(ctx, false, func(id uint64) jury.Event {
		return jury.TransferLeadership{ID: id}
	})
}
