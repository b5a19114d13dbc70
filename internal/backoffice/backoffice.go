package backoffice

import (
	"context"
	"math"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/uber-go/tally/v4"

	"github.com/lovagelift/lovagelift/internal/chamber"
	"github.com/lovagelift/lovagelift/internal/courier"
	"github.com/lovagelift/lovagelift/internal/docket"
	"github.com/lovagelift/lovagelift/internal/edition"
	"github.com/lovagelift/lovagelift/internal/jury"
	"github.com/lovagelift/lovagelift/internal/roster"
	"github.com/lovagelift/lovagelift/internal/upstreamapi"
)

// Backoffice is one control instance. It is safe for concurrent use.
type Backoffice struct {
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

	mu     sync.Mutex
	roster *roster.Roster
	// cachedMembership is the result of the last call of membership that computed one.
	cachedMembership membership
	// packedEdition is the edition that was last sent to an entry instance, with its
	// content packed. It is nil before the first.
	packedEdition *edition.Edition
	// peers are the other control instances by address.
	peers map[string]*peer
	// leaderSince is the time since which this instance leads, zero while it does not.
	leaderSince time.Time
	// caughtUp is set once the replica has applied all committed log entries after the
	// start.
	caughtUp bool

	failed chan struct{}
	stop   context.CancelFunc
	done   sync.WaitGroup
}

// New starts a control instance. If the data folder can't be used, New closes the
// listener and returns an error.
func New(options Options) (*Backoffice, error) {
	if options.Metrics == nil {
		options.Metrics = tally.NoopScope
	}
	ctx, cancel := context.WithCancel(context.Background())
	b := &Backoffice{
		options:       options,
		callPool:      courier.NewPool(options.Dial, callTimeout),
		heartbeatPool: courier.NewPool(options.Dial, callTimeout),
		logEntryPool:  courier.NewPool(options.Dial, callTimeout),
		peers:         map[string]*peer{},
		failed:        make(chan struct{}),
		stop:          cancel,
	}
	for _, seed := range options.Seeds {
		if seed != options.Address {
			b.peers[seed] = &peer{address: seed, seed: true}
		}
	}
	// The orchestrator must exist before the listener is served, because it answers calls
	// of entry instances.
	b.orchestrator = newOrchestrator(ctx, b)
	b.relay = &relay{backoffice: b, demand: map[string][]courier.Demand{}, limited: map[string]courier.LimitedUpstream{}}
	b.crashRecorder = newCrashRecorder(b)
	if err := b.start(); err != nil {
		cancel()
		options.Inner.Close()
		b.closePools()
		return nil, err
	}
	b.done.Go(func() { b.bootstrap(ctx) })
	b.done.Go(func() { b.runPulls(ctx) })
	b.done.Go(func() { b.maintainVoters(ctx) })
	b.done.Go(func() { b.orchestrator.run(ctx) })
	b.done.Go(func() { b.relay.run(ctx) })
	b.done.Go(func() { b.crashRecorder.run(ctx) })
	b.done.Go(func() { b.crashRecorder.runRecall(ctx) })
	return b, nil
}

// start starts the replica, the roster and the inner listener.
func (b *Backoffice) start() error {
	voter, err := chamber.NewVoter(b.voterOptions())
	if err != nil {
		return err
	}
	b.voter = voter
	b.startRoster()
	b.innerServer, err = courier.NewServer(b.options.Inner, courier.Services{
		Roster: courier.NewRosterService(b.handlePull),
		Others: map[string]any{
			"Control": courier.NewControlService(voter.Control()),
			"Feed":    courier.NewFeedService(feedServer{b}),
		},
	})
	return errors.Wrap(err, "backoffice: inner listener")
}

// startRoster creates the roster, which needs the replica's identity. The replica
// already runs at this point and may call peerIdentities concurrently.
func (b *Backoffice) startRoster() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.roster = roster.New(roster.Options{
		Self:        b.options.Address,
		Incarnation: uint64(b.options.Now().UnixNano()),
		Static: roster.InstanceStatic{
			InnerAddress:  b.options.Address,
			FailureDomain: b.options.FailureDomain,
			Voter:         true,
			Identity:      string(b.voter.Identity()),
		},
		Lease:    b.options.UpstreamLease,
		Restarts: true,
	})
	b.roster.Beat(b.options.Now(), roster.InstanceBeat{})
}

func (b *Backoffice) voterOptions() chamber.VoterOptions {
	options := chamber.Options{
		Self:  b.options.Address,
		Calls: b.callPool,
		// An instance's name is its address.
		Address:    func(instance string) (string, bool) { return instance, true },
		RenewEvery: electionTimeout,
		Lease:      electionTimeout,
		Now:        b.options.Now,
		Log:        b.options.Log,
		Metrics:    b.options.Metrics,
	}
	for _, seed := range b.options.Seeds {
		if seed != b.options.Address {
			options.Voters = append(options.Voters, chamber.VoterAddress{Name: seed, InnerAddress: seed})
		}
	}
	limits := docket.DefaultLimits()
	// This replica records no requests, so its idempotency records don't have to be aged.
	limits.MaxStep = docketAgingInterval
	return chamber.VoterOptions{
		Options:         options,
		Folder:          b.options.Folder,
		Heartbeats:      b.heartbeatPool,
		Entries:         b.logEntryPool,
		Heartbeat:       heartbeatInterval,
		ElectionTimeout: electionTimeout,
		ClockDrift:      maxClockDrift,
		Identities:      b.peerIdentities,
		Docket:          limits,
		Quarantine:      b.options.Quarantine,
	}
}

// docketAgingInterval is the interval between two agings of the idempotency records, of
// which this replica has none.
const docketAgingInterval = 24 * time.Hour

// peerIdentities returns the known identities of the other replicas.
func (b *Backoffice) peerIdentities() []jury.Identity {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.roster == nil {
		return nil
	}
	var identities []jury.Identity
	for _, instance := range b.roster.Instances(b.options.Now()) {
		if instance.Identity != "" && instance.Name != b.options.Address {
			identities = append(identities, jury.Identity(instance.Identity))
		}
	}
	return identities
}

// Announce records an announcement that an upstream sent to this instance. It returns an
// error, as roster.Roster.Announce does, if the announcement is rejected.
func (b *Backoffice) Announce(now time.Time, announcement upstreamapi.Announcement) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	known, found := b.roster.Upstream(announcement.Name)
	if err := b.roster.Announce(now, announcement); err != nil {
		return err
	}
	if !found || known.Announcement.Incarnation != announcement.Incarnation {
		b.options.Log.Info().Str("upstream", announcement.Name).Strs("services", announcement.Services).
			Str("address", announcement.Address).Int("models", len(announcement.Resident)).Msg("upstream announced")
	}
	return nil
}

// Leave records that an upstream is leaving. It also spreads the leave of an upstream
// that this instance does not know yet: another control instance may know it
// already, and the upstream would still receive work after its leave was acknowledged.
// Incarnation 0 matches any incarnation.
func (b *Backoffice) Leave(now time.Time, leave upstreamapi.Leave) {
	b.mu.Lock()
	defer b.mu.Unlock()
	placeholder := upstreamapi.Announcement{Name: leave.Name, Incarnation: leave.Incarnation}
	if leave.Incarnation == 0 {
		// An upstream that restarts after a crash has sent no leave, so this does not hide
		// a restarted upstream.
		placeholder.Incarnation = maxIncarnation
	}
	if err := b.roster.Announce(now, placeholder); err != nil && !errors.Is(err, roster.ErrNameTaken) {
		b.options.Log.Warn().Err(err).Str("upstream", leave.Name).Msg("announcement of an unknown leaving upstream rejected")
	}
	b.roster.Leave(now, leave)
}

// maxIncarnation is higher than the incarnation of any process.
const maxIncarnation = math.MaxUint64

// Put proposes a new version of the routes. If it returns an error, the version may
// still come into force.
func (b *Backoffice) Put(ctx context.Context, put edition.Put) (edition.Result, error) {
	result, err := b.voter.Propose(ctx, put)
	if err != nil {
		return edition.Result{}, err
	}
	return *result.Edition, nil
}

// Edition returns the routes in force, confirmed by the voters after the call began. If
// they can't be confirmed before ctx ends, Edition returns false.
func (b *Backoffice) Edition(ctx context.Context) (edition.Edition, bool) {
	return b.voter.FreshEdition(ctx)
}

// InTouch reports whether the instance knows a leader, so that announcements made to it
// reach the other instances.
func (b *Backoffice) InTouch() bool {
	leader, _ := b.voter.Leader()
	return leader != ""
}

// Seed replaces the addresses of the seed control instances.
func (b *Backoffice) Seed(seeds []string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, p := range b.peers {
		p.seed = false
	}
	for _, seed := range seeds {
		if seed == b.options.Address {
			continue
		}
		if b.peers[seed] == nil {
			b.peers[seed] = &peer{address: seed}
		}
		b.peers[seed].seed = true
	}
}

// Entry is an entry instance that is open to callers.
type Entry struct {
	Address       string
	FailureDomain string
}

// Entries returns the entry instances that accept requests at now.
func (b *Backoffice) Entries(now time.Time) []Entry {
	b.mu.Lock()
	defer b.mu.Unlock()
	var entries []Entry
	for _, instance := range b.roster.Instances(now) {
		if instance.CallerAddress != "" && !instance.Draining && !instance.Stale {
			entries = append(entries, Entry{Address: instance.CallerAddress, FailureDomain: instance.FailureDomain})
		}
	}
	return entries
}

// Failed returns a channel that is closed when the replica has stopped for good after a
// disk failure. The process must then be restarted.
func (b *Backoffice) Failed() <-chan struct{} {
	return b.failed
}

// Close stops the instance. If it leads, it hands over the leadership, for which it has
// until ctx ends.
func (b *Backoffice) Close(ctx context.Context) {
	b.stop()
	b.voter.Close(ctx)
	b.innerServer.Close()
	b.closePools()
	b.done.Wait()
}

func (b *Backoffice) closePools() {
	for _, pool := range []*courier.Pool{b.callPool, b.heartbeatPool, b.logEntryPool} {
		pool.Close()
	}
}
