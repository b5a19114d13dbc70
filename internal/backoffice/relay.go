package backoffice

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/lovagelift/lovagelift/internal/courier"
	"github.com/lovagelift/lovagelift/internal/pause"
)

const (
	// relayEvery is the time between two calls to the leader for what engines hold.
	relayEvery = 125 * time.Millisecond
	// relayIdle is after how long without a question of an entry instance the leader is not
	// called any more: bytes between failure domains are paid for. Entry instances pause for
	// a second at the most.
	relayIdle = 2 * time.Second
)

// relay hands on, at an instance that does not lead, what the entry instances that ask
// it told, to the leader, and what the leader tells of engines, to them.
//
// With 86 entry instances that all ask the leader, each change of the leader brings it 86
// new connections and lists of all upstreams at once, about a second of 0.07 of a core:
// its heartbeats come late, and it is replaced again. A leader that is asked by the other
// control instances alone has as many askers whatever the number of entry instances.
type relay struct {
	office *Backoffice

	mu sync.Mutex
	// told is what entry instances told since the last call, by entry instance, and asked
	// when the last of them asked.
	told  map[string][]courier.Demand
	asked time.Time
	// limited are the upstreams that name a limit, by what was told since the last call.
	limited map[string]courier.LimitedUpstream
	// holdings is what the leader told last, with its revision, made at made.
	holdings []byte
	revision uint64
	made     time.Time
}

// run calls the leader until ctx ends.
func (r *relay) run(ctx context.Context) {
	for pause.For(ctx, relayEvery) {
		r.call(ctx)
	}
}

// note takes in what an entry instance told.
func (r *relay) note(now time.Time, entry string, demand []courier.Demand, limited []courier.LimitedUpstream) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.asked = now
	for _, upstream := range limited {
		r.limited[upstream.Name] = upstream
	}
	r.told[entry] = merged(r.told[entry], demand)
}

// merged returns what an entry instance told in two calls as one: requests add up, the
// newer says what waits and is under way.
func merged(older, newer []courier.Demand) []courier.Demand {
	type key struct{ service, model, adapter string }
	at := make(map[key]int, len(newer))
	all := make([]courier.Demand, 0, len(older)+len(newer))
	for _, d := range newer {
		at[key{d.Service, d.Model, d.Adapter}] = len(all)
		all = append(all, d)
	}
	for _, d := range older {
		d.Waiting, d.Open = 0, 0
		n, both := at[key{d.Service, d.Model, d.Adapter}]
		if !both {
			all = append(all, d)
			continue
		}
		all[n].Requests += d.Requests
		all[n].Reading += d.Reading
		all[n].Answering += d.Answering
	}
	return all
}

// call makes one call to the leader, if that is another instance and somebody asks here.
// What was told goes with it, whatever becomes of the call: demand is told again as long
// as it lasts, and must not come in a heap after a leader was missed.
func (r *relay) call(ctx context.Context) {
	now := r.office.options.Now()
	leader, _ := r.office.voter.Leader()
	r.mu.Lock()
	args := courier.GatherArgs{
		Told: r.told, Limited: slices.Collect(maps.Values(r.limited)), Holdings: r.revision,
	}
	r.told = map[string][]courier.Demand{}
	clear(r.limited)
	idle := now.Sub(r.asked) >= relayIdle
	r.mu.Unlock()
	if idle || leader == "" || leader == r.office.voter.Identity() {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	reply, err := r.office.calls.Gather(ctx, leader.Instance(), args)
	if err != nil {
		r.office.options.Log.Debug().Err(err).Str("leader", leader.Instance()).Msg("leader does not answer")
		return
	}
	r.take(r.office.options.Now(), reply)
}

// take takes in what the leader told.
func (r *relay) take(now time.Time, reply courier.GatherReply) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if reply.Revision <= r.revision {
		return
	}
	r.holdings, r.revision, r.made = reply.Holdings, reply.Revision, now.Add(-reply.Age)
}

// tell fills in what is known of engines, unless the asker has it already.
func (r *relay) tell(now time.Time, have uint64, reply *courier.SyncReply) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.revision > have {
		reply.Holdings, reply.HoldingsAge = r.holdings, now.Sub(r.made)
	}
}
