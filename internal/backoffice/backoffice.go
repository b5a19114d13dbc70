package backoffice

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/uber-go/tally/v4"

	"github.com/lovagelift/lovagelift/internal/chamber"
	"github.com/lovagelift/lovagelift/internal/courier"
	"github.com/lovagelift/lovagelift/internal/docket"
	"github.com/lovagelift/lovagelift/internal/edition"
	"github.com/lovagelift/lovagelift/internal/jury"
	"github.com/lovagelift/lovagelift/internal/resumption"
	"github.com/lovagelift/lovagelift/internal/roster"
	"github.com/lovagelift/lovagelift/internal/upstreamapi"
)

// Instance is one control instance. It is safe for concurrent use.
type Instance struct {
	options     Options
	voter       *chamber.Voter
	innerServer *courier.Server
	// callPool carries calls to other instances. Heartbeats and log entries of the
	// consensus protocol have pools of their own.
	callPool      *courier.Pool
	heartbeatPool *courier.Pool
	logEntryPool  *courier.Pool
	orchestrator  *orchestrator
	relay         *relay
	crashRecorder *crashRecorder
	leaveRecorder *leaveRecorder

	startedAt time.Time

	mu     sync.Mutex
	roster *roster.Roster
	// origins are the origins of streams that entry instances reported, and uncopiedStreams those of them
	// that are still to be copied. originCopies are the copies of those of other control instances, by
	// address.
	origins         resumption.Origins
	uncopiedStreams []courier.StreamGroup
	originCopies    map[string]*resumption.Origins
	// cachedMembership is the result of the last call of membership that computed one.
	cachedMembership membership
	// packedEdition is the edition that was last sent to an entry instance, with its
	// content packed. It is nil before the first.
	packedEdition *edition.Edition
	// packedRoster is the whole roster as it was last sent to an entry instance that had none of it.
	packedRoster packedRoster
	// aliveControls are the other control instances that were alive at the last pulls, by address.
	aliveControls map[string]bool
	// adoptedDepartures is the revision of the recorded departures that the roster includes.
	adoptedDepartures uint64
	// peers are the other control instances by address. wholePullFrom is the one to pull all members
	// from since wholePullSince, nil unless another is unreachable. wholePulledAt is when the last such
	// pull that succeeded was sent.
	peers          map[string]*peer
	wholePullFrom  *peer
	wholePullSince time.Time
	wholePulledAt  time.Time
	// leaderSince is the time since which this instance leads, zero while it does not.
	leaderSince time.Time
	// caughtUp is set once the replica has applied all committed log entries after the
	// start.
	caughtUp bool

	// confirmed is closed once the replica has been known to be up to date since its start.
	confirmed chan struct{}

	failed chan struct{}
	stop   context.CancelFunc
	done   sync.WaitGroup
}

// New starts a control instance. If the data folder can't be used, New closes the
// listener and returns an error.
func New(options Options) (*Instance, error) {
	if options.Metrics == nil {
		options.Metrics = tally.NoopScope
	}
	ctx, cancel := context.WithCancel(context.Background())
	i := &Instance{
		options:       options,
		startedAt:     options.Now(),
		callPool:      courier.NewPool(options.Dial, callTimeout),
		heartbeatPool: courier.NewPool(options.Dial, callTimeout),
		logEntryPool:  courier.NewPool(options.Dial, callTimeout),
		peers:         map[string]*peer{},
		originCopies:  map[string]*resumption.Origins{},
		confirmed:     make(chan struct{}),
		failed:        make(chan struct{}),
		stop:          cancel,
	}
	for _, seed := range options.Seeds {
		if seed != options.Address {
			i.peers[seed] = &peer{address: seed, seed: true}
		}
	}
	// The orchestrator must exist before the listener is served, because it answers calls
	// of entry instances.
	i.orchestrator = newOrchestrator(ctx, i)
	i.relay = &relay{instance: i, demand: map[string][]courier.Demand{}, limited: map[string]courier.LimitedUpstream{}}
	i.crashRecorder = newCrashRecorder(i)
	i.leaveRecorder = newLeaveRecorder(i)
	if err := i.start(); err != nil {
		cancel()
		options.InnerListener.Close()
		i.closePools()
		return nil, err
	}
	i.done.Go(func() { i.bootstrap(ctx) })
	i.done.Go(func() { i.watchConfirmed(ctx) })
	i.done.Go(func() { i.runPulls(ctx) })
	i.done.Go(func() { i.maintainVoters(ctx) })
	i.done.Go(func() { i.orchestrator.run(ctx) })
	i.done.Go(func() { i.relay.run(ctx) })
	i.done.Go(func() { i.crashRecorder.run(ctx) })
	i.done.Go(func() { i.leaveRecorder.run(ctx) })
	i.done.Go(func() { i.crashRecorder.runRetraction(ctx) })
	versions := &versionRecorder{instance: i}
	i.done.Go(func() { versions.run(ctx) })
	copier := &originCopier{instance: i}
	i.done.Go(func() { copier.run(ctx) })
	return i, nil
}

// start starts the replica, the roster and the inner listener.
func (i *Instance) start() error {
	voter, err := chamber.NewVoter(i.voterOptions())
	if err != nil {
		return err
	}
	i.voter = voter
	i.startRoster()
	i.innerServer, err = courier.NewServer(i.options.InnerListener, courier.Services{
		Roster: courier.NewRosterService(i.handlePull),
		Others: map[string]any{
			"Control": courier.NewControlService(voter.Control()),
			"Feed":    courier.NewFeedService(feedServer{i}),
		},
	})
	return errors.Wrap(err, "backoffice: inner listener")
}

// startRoster creates the roster, which needs the replica's identity. The replica
// already runs at this point and may call peerIdentities concurrently.
func (i *Instance) startRoster() {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.roster = roster.New(roster.Options{
		Self:        i.options.Address,
		Incarnation: uint64(i.options.Now().UnixNano()),
		Static: roster.InstanceStatic{
			InnerAddress:  i.options.Address,
			FailureDomain: i.options.FailureDomain,
			Voter:         true,
			Identity:      string(i.voter.Identity()),
		},
		Lease:                 i.options.UpstreamLease,
		AllowRestartElsewhere: true,
		ContestTime:           roster.ContestTimeFor(i.options.UpstreamLease),
	})
	i.roster.Heartbeat(i.options.Now(), roster.InstanceBeat{})
}

func (i *Instance) voterOptions() chamber.VoterOptions {
	options := chamber.Options{
		Self:  i.options.Address,
		Calls: i.callPool,
		// An instance's name is its address.
		ResolveAddress: func(instance string) (string, bool) { return instance, true },
		RenewInterval:  electionTimeout,
		ConfigLease:    electionTimeout,
		Now:            i.options.Now,
		Log:            i.options.Log,
		Metrics:        i.options.Metrics,
	}
	for _, seed := range i.options.Seeds {
		if seed != i.options.Address {
			options.Voters = append(options.Voters, chamber.VoterAddress{Name: seed, InnerAddress: seed})
		}
	}
	limits := docket.DefaultLimits()
	// This replica records no requests, so its idempotency records don't have to be aged.
	limits.MaxStep = docketAgingInterval
	return chamber.VoterOptions{
		Options:         options,
		Folder:          i.options.DataDir,
		HeartbeatPool:   i.heartbeatPool,
		EntryPool:       i.logEntryPool,
		Heartbeat:       heartbeatInterval,
		ElectionTimeout: electionTimeout,
		ClockDrift:      maxClockDrift,
		Identities:      i.peerIdentities,
		Docket:          limits,
		Quarantine:      i.options.Quarantine,
	}
}

// docketAgingInterval is the interval between two agings of the idempotency records, of
// which this replica has none.
const docketAgingInterval = 24 * time.Hour

// peerIdentities returns the known identities of the other replicas.
func (i *Instance) peerIdentities() []jury.Identity {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.roster == nil {
		return nil
	}
	var identities []jury.Identity
	for _, instance := range i.roster.Instances(i.options.Now()) {
		if instance.Identity != "" && instance.Name != i.options.Address {
			identities = append(identities, jury.Identity(instance.Identity))
		}
	}
	return identities
}

// Announce records an announcement that an upstream sent to this instance. It returns an
// error, as roster.Roster.Announce does, if the announcement is rejected.
func (i *Instance) Announce(now time.Time, announcement upstreamapi.Announcement) error {
	i.mu.Lock()
	defer i.mu.Unlock()
	known, found := i.roster.Upstream(announcement.Name)
	if err := i.roster.Announce(now, announcement); err != nil {
		return err
	}
	if !found || known.Announcement.Incarnation != announcement.Incarnation {
		i.options.Log.Info().Str("upstream", announcement.Name).Strs("services", announcement.Services).
			Str("address", announcement.Address).Int("models", len(announcement.Resident)).Msg("upstream announced")
	}
	return nil
}

// PutRoutes proposes a new version of the routes. If it returns an error, the version may
// still come into force.
func (i *Instance) PutRoutes(ctx context.Context, put edition.Put) (edition.Result, error) {
	result, err := i.voter.Propose(ctx, put)
	if err != nil {
		return edition.Result{}, err
	}
	return *result.Edition, nil
}

// Routes returns the routes in force, confirmed by the voters after the call began. If
// they can't be confirmed before ctx ends, Routes returns false.
func (i *Instance) Routes(ctx context.Context) (edition.Edition, bool) {
	return i.voter.ConfirmedEdition(ctx)
}

// KnowsLeader reports whether the instance knows a leader, so that announcements made to it
// reach the other instances.
func (i *Instance) KnowsLeader() bool {
	leader, _ := i.voter.Leader()
	return leader != ""
}

// KnowsUpstream reports whether an upstream with the given name has announced itself.
func (i *Instance) KnowsUpstream(name string) bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	_, known := i.roster.Upstream(name)
	return known
}

// SetSeeds replaces the addresses of the seed control instances.
func (i *Instance) SetSeeds(seeds []string) {
	i.mu.Lock()
	defer i.mu.Unlock()
	for _, p := range i.peers {
		p.seed = false
	}
	for _, seed := range seeds {
		if seed == i.options.Address {
			continue
		}
		if i.peers[seed] == nil {
			i.peers[seed] = &peer{address: seed}
		}
		i.peers[seed].seed = true
	}
}

// OpenEntries returns the caller addresses of the entry instances that accept requests at now, by
// failure domain.
func (i *Instance) OpenEntries(now time.Time) map[string][]string {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.membership(now).openByDomain
}

// Failed returns a channel that is closed when the replica has stopped for good after a
// disk failure. The process must then be restarted.
func (i *Instance) Failed() <-chan struct{} {
	return i.failed
}

// Close stops the instance. If it leads, it hands over the leadership, for which it has
// until ctx ends.
func (i *Instance) Close(ctx context.Context) {
	i.stop()
	i.voter.Close(ctx)
	i.innerServer.Close()
	i.closePools()
	i.done.Wait()
}

func (i *Instance) closePools() {
	for _, pool := range []*courier.Pool{i.callPool, i.heartbeatPool, i.logEntryPool} {
		pool.Close()
	}
}
