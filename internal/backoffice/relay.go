package backoffice

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/lovagelift/lovagelift/internal/courier"
	"github.com/lovagelift/lovagelift/internal/pause"
	"github.com/lovagelift/lovagelift/internal/resumption"
)

const (
	// relayInterval is the pause between two calls to the leader.
	relayInterval = 125 * time.Millisecond
	// relayIdleTimeout is the time without a sync of an entry instance after which the
	// leader is no longer called, because traffic between failure domains costs money.
	// Entry instances pause for a second at most.
	relayIdleTimeout = 2 * time.Second
)

// relay runs on instances that do not lead. It forwards the demand reported by entry
// instances to the leader, and returns the leader's engine states to the entry instances.
//
// If 86 entry instances all call the leader directly, a new leader receives 86
// connections and lists of all upstreams at once, which takes about a second of 0.07 of
// a core. Its heartbeats are then late and it is replaced again. With the relay, the
// number of callers of the leader does not depend on the number of entry instances.
type relay struct {
	instance *Instance

	mu sync.Mutex
	// demand holds the reports since the last call to the leader, by entry instance.
	// lastSyncAt is the time of the last sync.
	demand     map[string][]courier.Demand
	lastSyncAt time.Time
	// limited holds the upstreams with a rate limit that were reported since the last
	// call, by name.
	limited map[string]courier.LimitedUpstream
	// engineStates are the last ones that the leader returned, with their revision. The
	// leader encoded them at encodedAt.
	engineStates []byte
	revision     uint64
	encodedAt    time.Time
}

// run calls the leader until ctx ends.
func (r *relay) run(ctx context.Context) {
	for pause.For(ctx, relayInterval) {
		r.gather(ctx)
	}
}

// record adds the report of an entry instance to the next call.
func (r *relay) record(now time.Time, entry string, demand []courier.Demand, limited []courier.LimitedUpstream) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lastSyncAt = now
	for _, upstream := range limited {
		r.limited[upstream.Name] = upstream
	}
	r.demand[entry] = mergeDemand(r.demand[entry], demand)
}

// mergeDemand combines two successive reports of an entry instance. Requests and their
// work add up. Waiting and Open are taken from the newer report.
func mergeDemand(older, newer []courier.Demand) []courier.Demand {
	type key struct {
		service, model, adapter string
		software                resumption.Constraint
	}
	keyOf := func(d courier.Demand) key { return key{d.Service, d.Model, d.Adapter, d.Software} }
	index := make(map[key]int, len(newer))
	merged := make([]courier.Demand, 0, len(older)+len(newer))
	for _, d := range newer {
		index[keyOf(d)] = len(merged)
		merged = append(merged, d)
	}
	for _, d := range older {
		d.Waiting, d.Open = 0, 0
		n, found := index[keyOf(d)]
		if !found {
			merged = append(merged, d)
			continue
		}
		merged[n].Requests += d.Requests
		merged[n].Reading += d.Reading
		merged[n].Answering += d.Answering
		merged[n].RunTime = cmp.Or(merged[n].RunTime, d.RunTime)
	}
	return merged
}

// gather makes one call to the leader, if another instance leads and entry instances
// have synced recently. The collected demand is dropped even if the call is not made or
// fails: entry instances report lasting demand again, and a new leader must not receive
// all the demand that accumulated without a leader at once.
func (r *relay) gather(ctx context.Context) {
	now := r.instance.options.Now()
	leader, _ := r.instance.voter.Leader()
	r.mu.Lock()
	args := courier.GatherArgs{
		Told: r.demand, Limited: slices.Collect(maps.Values(r.limited)), Holdings: r.revision,
	}
	r.demand = map[string][]courier.Demand{}
	clear(r.limited)
	idle := now.Sub(r.lastSyncAt) >= relayIdleTimeout
	r.mu.Unlock()
	if idle || leader == "" || leader == r.instance.voter.Identity() {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	reply, err := r.instance.callPool.ReportDemand(ctx, leader.Instance(), args)
	if err != nil {
		r.instance.options.Log.Debug().Err(err).Str("leader", leader.Instance()).Msg("fetching the engine states from the leader failed")
		return
	}
	r.setEngineStates(r.instance.options.Now(), reply)
}

// setEngineStates stores the leader's reply if it has newer engine states.
func (r *relay) setEngineStates(now time.Time, reply courier.GatherReply) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if reply.Revision <= r.revision {
		return
	}
	r.engineStates, r.revision, r.encodedAt = reply.Holdings, reply.Revision, now.Add(-reply.Age)
}

// fillEngineStates adds the engine states to reply if they are newer than have, the
// caller's revision.
func (r *relay) fillEngineStates(now time.Time, have uint64, reply *courier.SyncReply) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.revision > have {
		reply.Holdings, reply.HoldingsAge = r.engineStates, now.Sub(r.encodedAt)
	}
}
