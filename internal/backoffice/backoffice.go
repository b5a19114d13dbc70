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
	options Options
	voter   *chamber.Voter
	inner   *courier.Server
	calls   *courier.Pool
	urgent  *courier.Pool
	bulk    *courier.Pool
	orders  *orders
	relay   *relay
	crashes *crashes

	mu     sync.Mutex
	roster *roster.Roster
	// known is who was alive of late.
	known members
	// packedEdition is the edition that was told last, nil before.
	packedEdition *edition.Edition
	// peers are the other control instances by address.
	peers map[string]*peer
	// leadsSince is when this instance began to lead, zero while it does not.
	leadsSince time.Time
	// caughtUp is true once the replica was known to hold all that is committed.
	caughtUp bool

	failed chan struct{}
	stop   context.CancelFunc
	done   sync.WaitGroup
}

// New starts a control instance. If its data folder can't be used, New returns
// an error and has closed the listener.
func New(options Options) (*Backoffice, error) {
	if options.Metrics == nil {
		options.Metrics = tally.NoopScope
	}
	ctx, cancel := context.WithCancel(context.Background())
	b := &Backoffice{
		options: options,
		calls:   courier.NewPool(options.Dial, callTimeout),
		urgent:  courier.NewPool(options.Dial, callTimeout),
		bulk:    courier.NewPool(options.Dial, callTimeout),
		peers:   map[string]*peer{},
		failed:  make(chan struct{}),
		stop:    cancel,
	}
	for _, seed := range options.Seeds {
		if seed != options.Address {
			b.peers[seed] = &peer{address: seed, seed: true}
		}
	}
	// Entry instances may ask as soon as the listener is served, and are answered from
	// the orders.
	b.orders = newOrders(ctx, b)
	b.relay = &relay{office: b, told: map[string][]courier.Demand{}, limited: map[string]courier.LimitedUpstream{}}
	b.crashes = newCrashes(b)
	if err := b.start(); err != nil {
		cancel()
		options.Inner.Close()
		b.closePools()
		return nil, err
	}
	b.done.Go(func() { b.found(ctx) })
	b.done.Go(func() { b.pull(ctx) })
	b.done.Go(func() { b.elect(ctx) })
	b.done.Go(func() { b.orders.run(ctx) })
	b.done.Go(func() { b.relay.run(ctx) })
	b.done.Go(func() { b.crashes.run(ctx) })
	b.done.Go(func() { b.crashes.listen(ctx) })
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
	b.inner, err = courier.NewServer(b.options.Inner, courier.Services{
		Roster: courier.NewRosterService(b.answerPull),
		Others: map[string]any{
			"Control": courier.NewControlService(voter.Control()),
			"Feed":    courier.NewFeedService(feed{b}),
		},
	})
	return errors.Wrap(err, "backoffice: inner listener")
}

// startRoster makes the roster, which needs the replica's identity. The replica runs
// already, and asks for the identities of the others.
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
		Calls: b.calls,
		// The name of an instance is its address.
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
	// No request is recorded here, so that the records need no clock.
	limits.MaxStep = idleDocketStep
	return chamber.VoterOptions{
		Options:         options,
		Folder:          b.options.Folder,
		Heartbeats:      b.urgent,
		Entries:         b.bulk,
		Heartbeat:       heartbeat,
		ElectionTimeout: electionTimeout,
		ClockDrift:      clockDrift,
		Identities:      b.identities,
		Docket:          limits,
		Quarantine:      b.options.Quarantine,
	}
}

// idleDocketStep is how seldom idempotency records are aged where none are made.
const idleDocketStep = 24 * time.Hour

// identities returns the identities of the other replicas that are known.
func (b *Backoffice) identities() []jury.Identity {
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

// Announce takes an announcement that an upstream made to this instance.
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

// Leave takes an upstream's word that it goes. It is told on also if this instance
// has not heard of the upstream yet: another one may have a moment ago, and would
// go on sending it work after the upstream was told that it gets none. Incarnation 0
// stands for whichever there is.
func (b *Backoffice) Leave(now time.Time, leave upstreamapi.Leave) {
	b.mu.Lock()
	defer b.mu.Unlock()
	unheard := upstreamapi.Announcement{Name: leave.Name, Incarnation: leave.Incarnation}
	if leave.Incarnation == 0 {
		// An upstream that starts again after a crash has not said that it goes, so that
		// this hides none that comes.
		unheard.Incarnation = anyIncarnation
	}
	if err := b.roster.Announce(now, unheard); err != nil && !errors.Is(err, roster.ErrNameTaken) {
		b.options.Log.Warn().Err(err).Str("upstream", leave.Name).Msg("upstream that leaves is not known")
	}
	b.roster.Leave(now, leave)
}

// anyIncarnation is above that of any process.
const anyIncarnation = math.MaxUint64

// Put has the routes of a version come into force. If it returns an error, they
// may come into force yet.
func (b *Backoffice) Put(ctx context.Context, put edition.Put) (edition.Result, error) {
	result, err := b.voter.Propose(ctx, put)
	if err != nil {
		return edition.Result{}, err
	}
	return *result.Edition, nil
}

// Edition returns the routes in force as of now or later. If that can't be
// confirmed before ctx ends, Edition returns false.
func (b *Backoffice) Edition(ctx context.Context) (edition.Edition, bool) {
	return b.voter.FreshEdition(ctx)
}

// InTouch reports whether the instance knows a leader: what it is told spreads.
func (b *Backoffice) InTouch() bool {
	leader, _ := b.voter.Leader()
	return leader != ""
}

// Seed replaces the control instances to look for.
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

// Entry is an entry instance that callers may use.
type Entry struct {
	Address       string
	FailureDomain string
}

// Entries returns the entry instances that take requests now.
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

// Failed is closed when the replica can take no further part, as its disk
// failed. The process must be started anew.
func (b *Backoffice) Failed() <-chan struct{} {
	return b.failed
}

// Close stops the instance, handing over a leadership before ctx ends.
func (b *Backoffice) Close(ctx context.Context) {
	b.stop()
	b.voter.Close(ctx)
	b.inner.Close()
	b.closePools()
	b.done.Wait()
}

func (b *Backoffice) closePools() {
	for _, pool := range []*courier.Pool{b.calls, b.urgent, b.bulk} {
		pool.Close()
	}
}
