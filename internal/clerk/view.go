package clerk

import (
	"context"
	"time"

	"github.com/lovagelift/lovagelift/internal/jury"
)

// view is what the member showed after an event. It is immutable.
type view struct {
	at     time.Time
	status jury.Status
	peers  []jury.PeerStatus
	right  right
	// changed is closed when a later view replaces this one.
	changed chan struct{}
}

// right is the right to order, as of one event.
type right struct {
	held  bool
	term  jury.Term
	until time.Time
}

// Status returns what the replica knows of itself.
func (c *Clerk) Status() jury.Status {
	return c.view.Load().status
}

// Peers returns what the replica knows of the members that it replicates to, if
// it leads.
func (c *Clerk) Peers() []jury.PeerStatus {
	return c.view.Load().peers
}

// Leader returns the leader that the replica follows, or its own identity if it
// leads. It is empty if the replica knows of none.
func (c *Clerk) Leader() jury.Identity {
	return c.Status().Leader
}

// OrderRight reports whether this replica may give orders to upstreams at now,
// under the fencing number term, and when that ends at the latest. A caller
// asks immediately before each send, with the time of its monotonic clock.
//
// The answer rests on the member's last event. A lease that was seen then ends
// no earlier, and a leadership that ended since is covered by the time that the
// next leader waits.
func (c *Clerk) OrderRight(now time.Time) (term jury.Term, until time.Time, ok bool) {
	r := c.view.Load().right
	if !r.held || !now.Before(r.until) {
		return 0, time.Time{}, false
	}
	return r.term, r.until, true
}

// Freshness returns the latest time of which the replica knows that its state
// machine had, by now, carried out all that was committed anywhere at that
// time. If there is none since the replica started, Freshness returns false.
func (c *Clerk) Freshness() (asOf time.Time, ok bool) {
	asOf = c.applier.freshAsOf()
	return asOf, !asOf.IsZero()
}

// Applied returns the index of the last entry that the state machine has
// carried out.
func (c *Clerk) Applied() jury.Index {
	return c.applier.appliedIndex()
}

// awaitView waits until a view satisfies met. It returns false if ctx or the
// clerk ends before.
func (c *Clerk) awaitView(ctx context.Context, met func(*view) bool) bool {
	for {
		v := c.view.Load()
		if met(v) {
			return true
		}
		select {
		case <-v.changed:
		case <-ctx.Done():
			return false
		case <-c.ctx.Done():
			return false
		}
	}
}
