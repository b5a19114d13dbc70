package chamber

import (
	"context"
	"slices"
	"time"

	"github.com/lovagelift/lovagelift/internal/jury"
	"github.com/lovagelift/lovagelift/internal/lease"
	"github.com/lovagelift/lovagelift/internal/registry"
)

// sawLease notes that a lease was taken.
func (v *Voter) sawLease(take lease.Take) {
	v.leasing.Lock()
	defer v.leasing.Unlock()
	v.sightings.Saw(v.options.Now(), take)
}

// sawLeases notes that leases came as a whole, with a snapshot.
func (v *Voter) sawLeases() {
	v.leasing.Lock()
	defer v.leasing.Unlock()
	v.sightings.SawAll(v.options.Now(), v.registry.Leases())
}

// LeaseFree reports whether this replica has seen no other instance take the lease
// of upstream within the last wait.
func (v *Voter) LeaseFree(now time.Time, upstream string, wait time.Duration) bool {
	v.leasing.Lock()
	defer v.leasing.Unlock()
	return v.sightings.Free(now, upstream, wait)
}

// TakeLeases takes the leases of upstreams for this instance, and returns those that
// no other instance took within the last wait: all that was taken before has been
// seen here when the command has been carried out here. The caller may give orders
// for a time after it called TakeLeases, which has to be part of the wait of others.
//
// Upstreams that are gone are forgotten on the way.
func (v *Voter) TakeLeases(ctx context.Context, upstreams []string, wait time.Duration, gone []string) ([]string, error) {
	free := v.free(upstreams, wait)
	if len(free) == 0 {
		return nil, nil
	}
	command, err := registry.Encode(lease.Take{Holder: v.options.Self, Upstreams: free, Forget: gone})
	if err != nil {
		return nil, err
	}
	// Not by way of another leader: only what this replica has carried out itself
	// shows it who took the leases before.
	if _, err := v.clerk.ProposeLocal(ctx, command); err != nil {
		return nil, err
	}
	return v.free(free, wait), nil
}

// free returns the upstreams whose leases nobody else took within the last wait.
func (v *Voter) free(upstreams []string, wait time.Duration) []string {
	now := v.options.Now()
	return slices.DeleteFunc(slices.Clone(upstreams), func(upstream string) bool {
		return !v.LeaseFree(now, upstream, wait)
	})
}

// Leases returns who took the lease of each upstream last.
func (v *Voter) Leases() lease.Leases {
	return v.registry.Leases()
}

// Leads reports whether this voter leads and has carried out all that earlier
// leaders committed. term is its fencing number.
func (v *Voter) Leads(now time.Time) (term jury.Term, ok bool) {
	status := v.clerk.Status()
	if status.Role != jury.Leader {
		return 0, false
	}
	asOf, fresh := v.clerk.Freshness()
	return status.Term, fresh && now.Sub(asOf) < v.options.Lease
}
