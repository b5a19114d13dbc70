package clerk

import (
	"context"
	"time"

	"github.com/lovagelift/lovagelift/internal/jury"
)

// view is an immutable copy of the member's state after an event.
type view struct {
	at         time.Time
	status     jury.Status
	peers      []jury.PeerStatus
	orderRight orderRight
	// changed is closed when a newer view replaces this one.
	changed chan struct{}
}

// orderRight is the right to send orders to upstreams, as of one event. It ends at until.
type orderRight struct {
	held  bool
	term  jury.Term
	until time.Time
}

// Status returns the replica's own status.
func (r *Replica) Status() jury.Status {
	return r.view.Load().status
}

// Peers returns the replication status of the other members if this replica is the leader.
func (r *Replica) Peers() []jury.PeerStatus {
	return r.view.Load().peers
}

// Leader returns the current leader, which may be this replica. It is empty if no leader is known.
func (r *Replica) Leader() jury.Identity {
	return r.Status().Leader
}

// OrderRight reports whether this replica may send orders (to load or unload models) to upstreams
// at now. It returns the fencing number term and the latest time at which the right ends. Callers
// must check it immediately before each send, with the time of their monotonic clock.
//
// The result is as of the member's last event. That is safe: the lease seen at that event does not
// end before until, and if the leadership ended since, the next leader waits before it sends its
// first order.
func (r *Replica) OrderRight(now time.Time) (term jury.Term, until time.Time, ok bool) {
	right := r.view.Load().orderRight
	if !right.held || !now.Before(right.until) {
		return 0, time.Time{}, false
	}
	return right.term, right.until, true
}

// Freshness returns the latest time for which the replica knows that its state machine now includes
// everything that any leader had committed by then. It returns false if no such time is known since
// the replica started.
func (r *Replica) Freshness() (asOf time.Time, ok bool) {
	asOf = r.applier.freshness()
	return asOf, !asOf.IsZero()
}

// AppliedIndex returns the index of the last applied entry.
func (r *Replica) AppliedIndex() jury.Index {
	return r.applier.appliedIndex()
}

// awaitView waits for a view that satisfies done. It returns false if ctx ends or the replica
// closes first.
func (r *Replica) awaitView(ctx context.Context, done func(*view) bool) bool {
	for {
		v := r.view.Load()
		if done(v) {
			return true
		}
		select {
		case <-v.changed:
		case <-ctx.Done():
			return false
		case <-r.ctx.Done():
			return false
		}
	}
}
