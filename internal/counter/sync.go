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

// links is whom an entry instance asks for news, and how far it has got.
type links struct {
	calls *courier.Pool
	// wants carries calls that take as long as a load: news must not wait for them,
	// nor end with them.
	wants *courier.Pool
	// reports carries reports of upstreams that ended under requests.
	reports *courier.Pool
	// leader is the control instance that gives orders, empty while none is known that
	// does, and asked the one that is asked for news.
	leader string
	asked  string
	// controls are all that are known of; seeds are never forgotten. alive are those that
	// are alive by the last news, and near those of them in this failure domain.
	controls []string
	alive    []string
	near     []string
	next     int
	source   roster.Source
	// failed is the one that did not answer last, at failedAt.
	failed   string
	failedAt time.Time
	// heardAt is when the news that came last were asked for.
	heardAt time.Time
	// proof is how new the routes in force here are known to be.
	proof edition.Proof
	// unprovenSince is when a control instance first answered that did not prove them well
	// enough, zero while they are or nobody has answered.
	unprovenSince time.Time
	// laggingSince is when the one that is asked first answered without proving them, zero
	// while it proves them.
	laggingSince time.Time
	// entries is how many entry instances there are, and members the revision of who is
	// alive.
	entries int
	members uint64
	// holdings is the revision that this instance has.
	holdings uint64
	// every is the time between two questions.
	every time.Duration
	// missed is true if the last question was not answered.
	missed bool
	// lost is true while nobody answers.
	lost bool
}

// follow keeps asking for news until ctx ends.
func (c *Counter) follow(ctx context.Context) {
	for {
		c.sync(ctx)
		c.sweepPermits(c.options.Now())
		select {
		case <-c.syncNow:
		case <-time.After(c.syncPause()):
		case <-ctx.Done():
			return
		}
	}
}

// sync asks one control instance for news. If it does not answer, the next call
// asks another.
func (c *Counter) sync(ctx context.Context) {
	now := c.options.Now()
	c.mu.Lock()
	address := c.links.asked
	c.roster.Beat(now, roster.InstanceBeat{Draining: c.draining, Stale: c.table.Load() == nil, Streams: c.open})
	args := courier.SyncArgs{
		FailureDomain: c.options.FailureDomain,
		Cursor:        c.links.source.Cursor(false),
		Members:       c.links.members,
		Holdings:      c.links.holdings,
		Quarantine:    c.coroner.Mark(),
		Demand:        c.demand.take(),
		Limited:       c.fleet.limited(),
	}
	if own := c.roster.Introduction(now); own != nil {
		args.From = *own
	}
	c.mu.Unlock()
	if table := c.table.Load(); table != nil {
		args.Edition = table.Version
	}
	ctx, cancel := context.WithTimeout(ctx, syncTimeout)
	reply, err := c.links.calls.Sync(ctx, address, args)
	cancel()
	if err == nil && reply.Leader == "" {
		// It may be cut off from the others, and would go on telling what was in force
		// before.
		err = errNoLeader
	}
	if err != nil {
		c.askAnother(now, address, err)
		return
	}
	// What must not be sent is known before the routes by which it would be.
	if reply.Quarantine != nil {
		c.coroner.Follow(*reply.Quarantine)
	}
	if reply.Edition != nil {
		c.publish(*reply.Edition)
	}
	c.take(now, address, reply)
}

// errNoLeader is why a control instance is not listened to.
var errNoLeader = errors.New("counter: the control instance knows no leader")

// avoidLeader is how long a leader that did not answer is not asked, while others
// still name it: it may be out of reach from here alone.
const avoidLeader = 2 * time.Second

// askAnother makes another control instance the one to ask.
func (c *Counter) askAnother(now time.Time, address string, cause error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.links.failed, c.links.failedAt = address, now
	c.links.missed = true
	c.links.asked = c.links.another()
	c.links.source = roster.Source{}
	if !c.links.lost {
		c.links.lost = true
		c.options.Log.Warn().Err(cause).Str("control", address).Str("next", c.links.asked).
			Msg("control instance does not answer; going on with what is known")
	}
}

// take takes in the news.
func (c *Counter) take(asked time.Time, address string, reply courier.SyncReply) {
	now := c.options.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.links.heardAt = asked
	c.links.missed = false
	c.reportState(now)
	if c.links.lost {
		c.links.lost = false
		c.options.Log.Info().Str("control", address).Msg("control instance regained")
	}
	c.roster.Merge(asked, &c.links.source, reply.Changes)
	if reply.Members != nil {
		c.takeMembers(now, *reply.Members)
	}
	var changed []roster.Upstream
	changed, c.told = c.roster.UpstreamsSince(c.told)
	if table := c.table.Load(); table != nil {
		c.fleet.served = table.Services()
		c.prove(now, asked, address, table.Version, reply.Reading)
	}
	c.fleet.update(now, changed)
	c.coroner.Review(c.fleet.contact)
	c.hold(now, reply)
	c.links.leader = reply.Leader
	if next := c.links.answered(now, c.options.Name, reply.Reading, c.options.denyWithin()); next != c.links.asked {
		c.links.asked = next
		c.links.source = roster.Source{}
	}
	c.links.every = c.links.pause()
	c.dispatch(now)
}

// takeMembers takes in who is alive. c.mu is held.
func (c *Counter) takeMembers(now time.Time, members courier.Members) {
	c.links.members = members.Revision
	c.links.entries = len(members.Entries)
	c.owners.follow(now, members.Entries)
	c.budgets.Resize(c.options.Retries.of(len(members.Entries)))
	c.links.alive, c.links.near = members.Controls, members.Near
	c.links.controls = merge(members.Controls, c.seeds)
}

// hold takes in what engines hold, if that is news.
func (c *Counter) hold(now time.Time, reply courier.SyncReply) {
	if len(reply.Holdings) == 0 {
		return
	}
	held, err := courier.DecodeHoldings(reply.Holdings)
	if err != nil {
		c.options.Log.Warn().Err(err).Msg("what engines hold can't be read here")
		return
	}
	c.fleet.hold(now.Add(-reply.HoldingsAge), &held)
	c.links.holdings = held.Revision
}

// syncPause returns the time until the next question to a control instance.
func (c *Counter) syncPause() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.links.missed {
		// The news are late already.
		return syncEvery
	}
	return max(c.links.every, syncEvery)
}

// merge returns the names of both lists, each once.
func merge(a, b []string) []string {
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

// publish puts the routes of an edition into force here. Versions never go back.
func (c *Counter) publish(held edition.Edition) {
	if table := c.table.Load(); table != nil && table.Version >= held.Version {
		return
	}
	content, err := registry.Unpack(held.Content)
	var table *routes.Table
	if err == nil {
		table, err = c.options.Table(content)
	}
	if err != nil {
		c.options.Log.Error().Err(err).Uint64("version", held.Version).Msg("routes in force can't be read here")
		return
	}
	c.table.Store(table)
	c.options.Log.Info().Uint64("version", table.Version).Int("routes", table.Routes()).Msg("routes in force")
}
