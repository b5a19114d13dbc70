package counter

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/lovagelift/lovagelift/internal/courier"
	"github.com/lovagelift/lovagelift/internal/edition"
	"github.com/lovagelift/lovagelift/internal/registry"
	"github.com/lovagelift/lovagelift/internal/roster"
	"github.com/lovagelift/lovagelift/internal/routes"
)

// controlLinks holds the connections to the control instances and the state of synchronization.
type controlLinks struct {
	syncCalls *courier.Pool
	// loadCalls carries calls that take as long as a load. They neither delay syncs nor fail with
	// them.
	loadCalls *courier.Pool
	// reportCalls carries reports of crashed upstreams.
	reportCalls *courier.Pool
	// leader is the control instance that gives orders to engines, empty while none is known.
	// current is the one called for the next sync.
	leader  string
	current string
	// known are all known control instances, which always include the seeds. alive are those that
	// the latest reply lists as alive, and nearby those of them in this failure domain.
	known     []string
	alive     []string
	nearby    []string
	nextIndex int
	source    roster.Source
	// lastFailed is the control instance that most recently failed to answer, at failedAt.
	lastFailed string
	failedAt   time.Time
	// lastSyncSent is the send time of the latest answered sync.
	lastSyncSent time.Time
	// proof records up to which time the routes in force here are confirmed.
	proof edition.Proof
	// unprovenSince is when a control instance first answered without a sufficient proof of the
	// routes. It is zero while the proof is sufficient or none has answered.
	unprovenSince time.Time
	// laggingSince is when the current control instance first answered without confirming the
	// routes. It is zero while it confirms them.
	laggingSince time.Time
	// entryInstances is the number of entry instances, and membersRevision the revision of the list
	// of live instances.
	entryInstances  int
	membersRevision uint64
	// engineStatesRevision is the revision of the latest engine states received.
	engineStatesRevision uint64
	// interval is the time between two syncs.
	interval       time.Duration
	lastSyncFailed bool
	// disconnected is true while no control instance answers.
	disconnected bool
}

// syncLoop syncs repeatedly until ctx ends.
func (c *Counter) syncLoop(ctx context.Context) {
	for {
		c.sync(ctx)
		c.expirePermits(c.options.Now())
		select {
		case <-c.syncNow:
		case <-time.After(c.nextSyncDelay()):
		case <-ctx.Done():
			return
		}
	}
}

// sync fetches updates from one control instance. If it does not answer, the next call tries
// another.
func (c *Counter) sync(ctx context.Context) {
	now := c.options.Now()
	c.mu.Lock()
	address := c.control.current
	c.roster.Beat(now, roster.InstanceBeat{Draining: c.draining, Stale: c.routes.Load() == nil, Streams: c.active})
	args := courier.SyncArgs{
		FailureDomain: c.options.FailureDomain,
		Cursor:        c.control.source.Cursor(false),
		Members:       c.control.membersRevision,
		Holdings:      c.control.engineStatesRevision,
		Quarantine:    c.crashes.Mark(),
		Demand:        c.demand.flush(),
		Limited:       c.pool.limitedUpstreams(),
	}
	if own := c.roster.Introduction(now); own != nil {
		args.From = *own
	}
	c.mu.Unlock()
	if table := c.routes.Load(); table != nil {
		args.Edition = table.Version
	}
	ctx, cancel := context.WithTimeout(ctx, syncTimeout)
	reply, err := c.control.syncCalls.Sync(ctx, address, args)
	cancel()
	if err == nil && reply.Leader == "" {
		// It may be partitioned from the others and serve outdated state.
		err = errNoLeader
	}
	if err != nil {
		c.switchControl(now, address, err)
		return
	}
	// The quarantine is applied before the routes, so that no new route serves a quarantined
	// request.
	if reply.Quarantine != nil {
		c.crashes.Follow(*reply.Quarantine)
	}
	if reply.Edition != nil {
		c.applyRoutes(*reply.Edition)
	}
	c.applyReply(now, address, reply)
}

// errNoLeader is why a control instance's reply is ignored.
var errNoLeader = errors.New("counter: control instance has no leader")

// failedControlAvoidance is how long a control instance that did not answer is not called, even if
// others name it as leader: it may be unreachable from here only.
const failedControlAvoidance = 2 * time.Second

// switchControl selects another control instance for the next sync.
func (c *Counter) switchControl(now time.Time, address string, cause error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.control.lastFailed, c.control.failedAt = address, now
	c.control.lastSyncFailed = true
	c.control.current = c.control.nextControl()
	c.control.source = roster.Source{}
	if !c.control.disconnected {
		c.control.disconnected = true
		c.options.Log.Warn().Err(cause).Str("control", address).Str("next", c.control.current).
			Msg("control instance does not answer; going on with what is known")
	}
}

// applyReply applies the updates of a sync reply.
func (c *Counter) applyReply(askedAt time.Time, address string, reply courier.SyncReply) {
	now := c.options.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.control.lastSyncSent = askedAt
	c.control.lastSyncFailed = false
	c.updateGauges(now)
	if c.control.disconnected {
		c.control.disconnected = false
		c.options.Log.Info().Str("control", address).Msg("control instance answers again")
	}
	c.roster.Merge(askedAt, &c.control.source, reply.Changes)
	if reply.Members != nil {
		c.applyMembers(now, *reply.Members)
	}
	var changed []roster.Upstream
	changed, c.rosterRevision = c.roster.UpstreamsSince(c.rosterRevision)
	if table := c.routes.Load(); table != nil {
		c.pool.routedServices = table.Services()
		c.recordProof(now, askedAt, address, table.Version, reply.Reading)
	}
	c.pool.apply(now, changed)
	c.crashes.Review(c.pool.contact)
	c.applyEngineStates(now, reply)
	c.control.leader = reply.Leader
	if next := c.control.afterReply(now, c.options.Name, reply.Reading, c.options.denyProofMaxAge()); next != c.control.current {
		c.control.current = next
		c.control.source = roster.Source{}
	}
	c.control.interval = c.control.syncDelay()
	c.dispatch(now)
}

// applyMembers applies the list of live instances. c.mu is held.
func (c *Counter) applyMembers(now time.Time, members courier.Members) {
	c.control.membersRevision = members.Revision
	c.control.entryInstances = len(members.Entries)
	c.owners.setInstances(now, members.Entries)
	c.budgets.Resize(c.options.Retries.perInstance(len(members.Entries)))
	c.control.alive, c.control.nearby = members.Controls, members.Near
	c.control.known = union(members.Controls, c.seeds)
}

// applyEngineStates applies the engine states of a reply, if it has any. c.mu is held.
func (c *Counter) applyEngineStates(now time.Time, reply courier.SyncReply) {
	if len(reply.Holdings) == 0 {
		return
	}
	states, err := courier.DecodeHoldings(reply.Holdings)
	if err != nil {
		c.options.Log.Warn().Err(err).Msg("cannot decode the engine states")
		return
	}
	c.pool.applyEngineStates(now.Add(-reply.HoldingsAge), &states)
	c.control.engineStatesRevision = states.Revision
}

// nextSyncDelay returns the time until the next sync.
func (c *Counter) nextSyncDelay() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.control.lastSyncFailed {
		// The updates are overdue.
		return minSyncInterval
	}
	return max(c.control.interval, minSyncInterval)
}

// union returns the elements of both lists without duplicates.
func union(a, b []string) []string {
	seen := map[string]bool{}
	var all []string
	for _, list := range [][]string{a, b} {
		for _, name := range list {
			if !seen[name] {
				seen[name] = true
				all = append(all, name)
			}
		}
	}
	return all
}

// applyRoutes puts the routes of an edition into force. Older versions are ignored.
func (c *Counter) applyRoutes(latest edition.Edition) {
	if table := c.routes.Load(); table != nil && table.Version >= latest.Version {
		return
	}
	content, err := registry.Unpack(latest.Content)
	var table *routes.Table
	if err == nil {
		table, err = c.options.Table(content)
	}
	if err != nil {
		c.options.Log.Error().Err(err).Uint64("version", latest.Version).Msg("cannot parse the routes in force")
		return
	}
	c.routes.Store(table)
	c.options.Log.Info().Uint64("version", table.Version).Int("routes", table.Routes()).Msg("routes in force")
}
