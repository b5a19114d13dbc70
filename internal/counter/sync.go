package counter

import (
	"context"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/lovagelift/lovagelift/internal/courier"
	"github.com/lovagelift/lovagelift/internal/edition"
	"github.com/lovagelift/lovagelift/internal/registry"
	"github.com/lovagelift/lovagelift/internal/resumption"
	"github.com/lovagelift/lovagelift/internal/roster"
	"github.com/lovagelift/lovagelift/internal/routes"
)

// controlLinks holds the connections to the control instances and the state of synchronization.
type controlLinks struct {
	syncCalls *courier.Pool
	// loadCalls carries calls that take as long as a load. They neither delay syncs nor fail with
	// them.
	loadCalls *courier.Pool
	// reportCalls carries reports of crashed upstreams, and originCalls queries of where streams
	// began.
	reportCalls *courier.Pool
	originCalls *courier.Pool
	// leader is the control instance that gives orders to engines, empty while none is known.
	// current is the one called for the next sync.
	leader  string
	current string
	// known are all known control instances, which always include the seeds. alive are those that
	// the latest reply lists as alive, and nearby those of them in this failure domain.
	known  []string
	alive  []string
	nearby []string
	// open are the caller addresses of the entry instances that accept requests, by failure
	// domain. membersSince is when the first list of live instances arrived.
	open         map[string][]string
	membersSince time.Time
	// membersDoubtedSince is when a control instance that may not know all instances first answered
	// since one that does. It is zero while the latest one does.
	membersDoubtedSince time.Time
	nextIndex           int
	source              roster.PullState
	// rosterIncomplete is true until a control instance has stated that it knows all upstreams.
	rosterIncomplete bool
	// lastFailed is the control instance that most recently failed to answer, at failedAt.
	lastFailed string
	failedAt   time.Time
	// lastSyncSent is the send time of the latest answered sync, and lastSyncAttempt that of the latest one.
	lastSyncSent    time.Time
	lastSyncAttempt time.Time
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
func (p *Proxy) syncLoop(ctx context.Context) {
	for {
		p.sync(ctx)
		p.expirePermits(p.options.Now())
		select {
		case <-p.syncNow:
		case <-time.After(p.nextSyncDelay()):
		case <-ctx.Done():
			return
		}
	}
}

// sync fetches updates from one control instance. If it does not answer, the next call tries
// another.
func (p *Proxy) sync(ctx context.Context) {
	now := p.options.Now()
	p.mu.Lock()
	address := p.control.current
	p.control.lastSyncAttempt = now
	p.roster.Heartbeat(now, roster.InstanceBeat{Draining: p.draining, Stale: p.routes.Load() == nil, Streams: p.active})
	args := courier.SyncArgs{
		FailureDomain: p.options.FailureDomain,
		Cursor:        p.control.source.Cursor(false),
		Members:       p.control.membersRevision,
		Holdings:      p.control.engineStatesRevision,
		Quarantine:    p.crashes.Mark(),
		Demand:        p.takeDemand(now),
		Limited:       p.pool.limitedUpstreams(),
		Versions:      p.pool.catalog.Revision(),
		Streams:       courier.GroupStreams(slices.Values(p.unsyncedStreams), 0),
	}
	synced := len(p.unsyncedStreams)
	if own := p.roster.SelfRecord(now); own != nil {
		args.From = *own
	}
	p.mu.Unlock()
	if table := p.routes.Load(); table != nil {
		args.Edition = table.Version
	}
	ctx, cancel := context.WithTimeout(ctx, syncTimeout)
	reply, err := p.control.syncCalls.Sync(ctx, address, args)
	cancel()
	if err == nil && reply.Leader == "" {
		// It may be partitioned from the others and serve outdated state.
		err = errNoLeader
	}
	if err != nil {
		p.switchControl(now, address, err)
		return
	}
	// The quarantine is applied before the routes, so that no new route serves a quarantined
	// request.
	if reply.Quarantine != nil {
		p.crashes.ApplyNews(*reply.Quarantine)
	}
	if reply.Edition != nil {
		p.applyRoutes(*reply.Edition)
	}
	p.applyReply(now, address, reply)
	p.dropSynced(synced)
}

// dropSynced removes the first streams from those to report to a control instance.
func (p *Proxy) dropSynced(count int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.unsyncedStreams = slices.Delete(p.unsyncedStreams, 0, min(count, len(p.unsyncedStreams)))
}

// errNoLeader is why a control instance's reply is ignored.
var errNoLeader = errors.New("counter: control instance has no leader")

// failedControlAvoidance is how long a control instance that did not answer is not called, even if
// others name it as leader: it may be unreachable from here only.
const failedControlAvoidance = 2 * time.Second

// switchControl selects another control instance for the next sync.
func (p *Proxy) switchControl(now time.Time, address string, cause error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.control.lastFailed, p.control.failedAt = address, now
	p.control.lastSyncFailed = true
	p.control.current = p.control.nextControl()
	p.control.source = roster.PullState{}
	if !p.control.disconnected {
		p.control.disconnected = true
		p.options.Log.Warn().Err(cause).Str("control", address).Str("next", p.control.current).
			Msg("control instance does not answer; going on with what is known")
	}
}

// applyReply applies the updates of a sync reply.
func (p *Proxy) applyReply(askedAt time.Time, address string, reply courier.SyncReply) {
	now := p.options.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.control.lastSyncSent = askedAt
	p.control.lastSyncFailed = false
	p.updateMetrics(now)
	if p.control.disconnected {
		p.control.disconnected = false
		p.options.Log.Info().Str("control", address).Msg("control instance answers again")
	}
	p.mergeRoster(askedAt, reply)
	p.receiveMembers(now, reply)
	var changed []roster.Upstream
	changed, p.rosterRevision = p.roster.UpstreamsSince(p.rosterRevision)
	if reply.Versions != nil {
		// They are as recent as the proof that is recorded next.
		p.pool.setCatalog(p.pool.catalog.With(*reply.Versions))
	}
	if table := p.routes.Load(); table != nil {
		p.pool.routedServices = table.Services()
		p.recordProof(now, askedAt, address, table.Version, reply.Reading)
	}
	p.logLeaves(now, address, changed)
	p.pool.apply(now, changed)
	p.reportOrigins(now, p.pool.takeNewVersions())
	p.control.rosterIncomplete = p.control.rosterIncomplete && reply.RosterIncomplete
	p.crashes.Review(p.pool.upstreamStatus)
	p.applyEngineStates(now, reply)
	p.control.leader = reply.Leader
	if next := p.control.afterReply(now, p.options.Name, reply.Reading, p.options.denyProofMaxAge()); next != p.control.current {
		p.control.current = next
		p.control.source = roster.PullState{}
	}
	p.control.interval = p.control.syncDelay(len(p.pool.byName))
	p.dispatch(now)
}

// mergeRoster applies what has changed in the roster, or the whole roster. p.mu is held.
func (p *Proxy) mergeRoster(askedAt time.Time, reply courier.SyncReply) {
	if len(reply.Roster) == 0 {
		p.roster.Merge(askedAt, &p.control.source, reply.Changes)
		return
	}
	changes, err := courier.UnpackChanges(reply.Roster)
	if err != nil {
		p.options.Log.Warn().Err(err).Msg("cannot decode the roster")
		return
	}
	p.roster.Merge(askedAt.Add(-reply.RosterAge), &p.control.source, changes)
}

// maxMembersAge is how long a list of entry instances is kept although control instances that may not
// know all of them send shorter ones. The time in which none answers does not count: those that start
// after an outage hear of all instances only then.
const maxMembersAge = 5 * time.Second

// receiveMembers applies the list of live instances of a reply, unless it lacks some. p.mu is held.
func (p *Proxy) receiveMembers(now time.Time, reply courier.SyncReply) {
	switch {
	case !reply.RosterIncomplete:
		p.control.membersDoubtedSince = time.Time{}
	case p.control.membersDoubtedSince.IsZero():
		p.control.membersDoubtedSince = now
	}
	if reply.Members != nil && !p.lacksMembers(now, reply) {
		p.applyMembers(now, *reply.Members)
	}
}

// lacksMembers reports whether a reply has fewer entry instances than are known, from a control instance
// that may not know all of them. Instances with such a list would have owners of their own for models
// and quotas, beside those of the other instances. p.mu is held.
func (p *Proxy) lacksMembers(now time.Time, reply courier.SyncReply) bool {
	return reply.RosterIncomplete && now.Sub(p.control.membersDoubtedSince) < maxMembersAge &&
		len(reply.Members.Entries) < p.control.entryInstances
}

// applyMembers applies the list of live instances. p.mu is held.
func (p *Proxy) applyMembers(now time.Time, members courier.Members) {
	p.control.membersRevision = members.Revision
	p.control.entryInstances = len(members.Entries)
	p.control.open = members.Open
	if p.control.membersSince.IsZero() {
		p.control.membersSince = now
	}
	p.owners.setInstances(now, members.Entries)
	p.loseForeignQuotas()
	p.budgets.Resize(p.options.Retries.perInstance(len(members.Entries)))
	p.control.alive, p.control.nearby = members.Controls, members.Near
	p.control.known = union(members.Controls, p.seeds)
}

// applyEngineStates applies the engine states of a reply, if it has any. p.mu is held.
func (p *Proxy) applyEngineStates(now time.Time, reply courier.SyncReply) {
	if len(reply.Holdings) == 0 {
		return
	}
	states, err := courier.DecodeEngineStates(reply.Holdings)
	if err != nil {
		p.options.Log.Warn().Err(err).Msg("cannot decode the engine states")
		return
	}
	p.pool.applyEngineStates(now.Add(-reply.HoldingsAge), &states)
	p.control.engineStatesRevision = states.Revision
}

// nextSyncDelay returns the time until the next sync.
func (p *Proxy) nextSyncDelay() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.control.lastSyncFailed || p.pool.catalog.AwaitsRecords() && len(p.pool.byName) > 0 {
		// The updates are overdue, or no stream that may be resumed can begin before the next one.
		return minSyncInterval
	}
	return max(p.control.interval, minSyncInterval)
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
func (p *Proxy) applyRoutes(latest edition.Edition) {
	former := p.routes.Load()
	if former != nil && former.Version >= latest.Version {
		return
	}
	content, err := registry.Decompress(latest.Content)
	var table *routes.Table
	if err == nil {
		table, err = p.options.ParseRoutes(content)
	}
	if err != nil {
		p.options.Log.Error().Err(err).Uint64("version", latest.Version).Msg("cannot parse the routes in force")
		return
	}
	p.replaceRoutes(former, table)
	p.options.Log.Info().Uint64("version", table.Version).Int("routes", table.Routes()).Msg("routes in force")
}

// replaceRoutes puts a table into force in place of the former one, which may be nil.
func (p *Proxy) replaceRoutes(former, table *routes.Table) {
	var redirections routes.Redirections
	if former != nil {
		redirections = former.Redirections(table)
	}
	now := p.options.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	if former == nil {
		p.routesSince = now
	}
	p.formerRoutes.Record(now, redirections, resumption.MaxRetention)
	p.reportOrigins(now, redirections.Services())
	p.routes.Store(table)
}
