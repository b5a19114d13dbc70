package chamber

import (
	"context"
	"slices"
	"time"

	"github.com/lovagelift/lovagelift/internal/jury"
	"github.com/lovagelift/lovagelift/internal/lease"
	"github.com/lovagelift/lovagelift/internal/registry"
)

// recordLease records when this replica saw a lease being taken.
func (v *Voter) recordLease(take lease.Take) {
	v.leaseMutex.Lock()
	defer v.leaseMutex.Unlock()
	v.leaseObservations.Record(v.options.Now(), take)
}

// recordLeases records the leases of a restored snapshot, which does not say when they were taken.
func (v *Voter) recordLeases() {
	v.leaseMutex.Lock()
	defer v.leaseMutex.Unlock()
	v.leaseObservations.Reset(v.options.Now(), v.registry.Leases())
}

// LeaseFree reports whether this replica has seen no other instance take the lease of upstream
// within the last wait.
func (v *Voter) LeaseFree(now time.Time, upstream string, wait time.Duration) bool {
	v.leaseMutex.Lock()
	defer v.leaseMutex.Unlock()
	return v.leaseObservations.Free(now, upstream, wait)
}

// TakeLeases takes the leases of upstreams for this instance. It returns the upstreams whose leases
// no other instance took within the last wait. Once the command is applied here, this replica has
// seen every earlier take, so that the result takes all of them into account. The caller may send
// orders for a limited time after it called TakeLeases; the wait that other instances use must
// include that time.
//
// The same command deletes the leases of the upstreams in removed.
func (v *Voter) TakeLeases(ctx context.Context, upstreams []string, wait time.Duration, removed []string) ([]string, error) {
	free := v.freeUpstreams(upstreams, wait)
	if len(free) == 0 {
		return nil, nil
	}
	command, err := registry.Encode(lease.Take{Holder: v.options.Self, Upstreams: free, Forget: removed})
	if err != nil {
		return nil, err
	}
	// Don't forward to another leader: only the commands applied on this replica show it who took
	// the leases before.
	if _, err := v.replica.ProposeLocal(ctx, command); err != nil {
		return nil, err
	}
	return v.freeUpstreams(free, wait), nil
}

// freeUpstreams returns the upstreams whose leases no other instance took within the last wait.
func (v *Voter) freeUpstreams(upstreams []string, wait time.Duration) []string {
	now := v.options.Now()
	return slices.DeleteFunc(slices.Clone(upstreams), func(upstream string) bool {
		return !v.LeaseFree(now, upstream, wait)
	})
}

// Leases returns the instance that last took the lease of each upstream.
func (v *Voter) Leases() lease.Leases {
	return v.registry.Leases()
}

// IsLeader reports whether this voter is the leader and has applied everything that earlier leaders
// committed. term is its fencing number.
func (v *Voter) IsLeader(now time.Time) (term jury.Term, ok bool) {
	status := v.replica.Status()
	if status.Role != jury.Leader {
		return 0, false
	}
	asOf, fresh := v.replica.Freshness()
	return status.Term, fresh && now.Sub(asOf) < v.options.ConfigLease
}
