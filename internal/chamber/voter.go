package chamber

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"github.com/lovagelift/lovagelift/internal/archive"
	"github.com/lovagelift/lovagelift/internal/clerk"
	"github.com/lovagelift/lovagelift/internal/courier"
	"github.com/lovagelift/lovagelift/internal/docket"
	"github.com/lovagelift/lovagelift/internal/edition"
	"github.com/lovagelift/lovagelift/internal/gazette"
	"github.com/lovagelift/lovagelift/internal/jury"
	"github.com/lovagelift/lovagelift/internal/lease"
	"github.com/lovagelift/lovagelift/internal/manifest"
	"github.com/lovagelift/lovagelift/internal/pause"
	"github.com/lovagelift/lovagelift/internal/quarantine"
	"github.com/lovagelift/lovagelift/internal/registry"
)

// VoterOptions are the options of a Voter.
type VoterOptions struct {
	Options
	// Folder is the path of the data folder.
	Folder string
	// HeartbeatPool carries messages that must not wait behind entries and snapshots, and EntryPool
	// carries the others. Each has its own connections.
	HeartbeatPool *courier.Pool
	EntryPool     *courier.Pool
	// Heartbeat, ElectionTimeout, ClockDrift and OrderTimeout are those of jury.Options.
	Heartbeat       time.Duration
	ElectionTimeout time.Duration
	ClockDrift      float64
	OrderTimeout    time.Duration
	// Identities returns the identities of all known voters.
	Identities func() []jury.Identity
	// Docket limits the idempotency records.
	Docket docket.Limits
	// Quarantine determines when requests that crash upstreams are quarantined.
	Quarantine quarantine.Limits
}

// Voter is the control plane of an instance that is a voter. It runs a replica of the log.
type Voter struct {
	options     VoterOptions
	identity    jury.Identity
	configCache *gazette.Cache
	registry    *registry.Registry
	archive     *archive.Archive
	replica     *clerk.Replica
	ticker      *time.Ticker

	leaseMutex        sync.Mutex
	leaseObservations *lease.Observations

	quarantineMutex     sync.Mutex
	quarantinePublisher *quarantine.Publisher
	// falseCrashDetector is used only by RetractFalseCrashes.
	falseCrashDetector quarantine.FalseCrashDetector

	cancel     context.CancelFunc
	goroutines sync.WaitGroup
}

// ticksPerHeartbeat is the number of ticks of the consensus protocol per heartbeat interval.
const ticksPerHeartbeat = 4

// NewVoter opens the data folder and starts the replica. If the folder is damaged or in use by
// another process, NewVoter returns an error with the remedy for the operator.
func NewVoter(options VoterOptions) (*Voter, error) {
	store, loaded, err := archive.Open(archive.Options{Folder: options.Folder})
	if err != nil {
		return nil, err
	}
	logDataFolder(options.Log, loaded)
	if options.Metrics == nil {
		options.Metrics = tally.NoopScope
	}
	v := &Voter{
		options:             options,
		identity:            jury.Identity(fmt.Sprintf("%s/%016x", options.Self, loaded.FolderNumber)),
		configCache:         gazette.New(),
		registry:            registry.New(),
		leaseObservations:   lease.NewObservations(options.Self),
		quarantinePublisher: quarantine.NewPublisher(options.Quarantine),
		archive:             store,
		ticker:              time.NewTicker(options.Heartbeat / ticksPerHeartbeat),
	}
	v.replica, err = clerk.New(clerk.Options{
		Member: jury.Options{
			Self:            v.identity,
			Seed:            rand.Uint64(),
			Heartbeat:       options.Heartbeat,
			ElectionTimeout: options.ElectionTimeout,
			ClockDrift:      options.ClockDrift,
			OrderTimeout:    options.OrderTimeout,
		},
		State: jury.State{
			Cluster:   loaded.ClusterID,
			HardState: loaded.HardState,
			Snapshot:  loaded.Snapshot,
			Entries:   loaded.Entries,
		},
		Store:        store,
		Transport:    v,
		StateMachine: stateMachine{v},
		Peers:        options.Identities,
		Now:          options.Now,
		Ticks:        v.ticker.C,
		Metrics:      options.Metrics,
		Log:          options.Log,
	})
	if err != nil {
		v.ticker.Stop()
		return nil, errors.CombineErrors(err, store.Close())
	}
	ctx, cancel := context.WithCancel(context.Background())
	v.cancel = cancel
	v.goroutines.Go(func() { v.runDocketClock(ctx) })
	return v, nil
}

// logDataFolder logs the state of the data folder for operators.
func logDataFolder(log zerolog.Logger, loaded archive.Loaded) {
	log.Info().Bool("fresh", loaded.NewFolder).Str("cluster-id", loaded.ClusterID).
		Uint64("snapshot-index", uint64(loaded.Snapshot.Index)).Int("entries", len(loaded.Entries)).Msg("data folder opened")
	if loaded.TornTail.Bytes > 0 {
		log.Warn().Str("file", loaded.TornTail.File).Int64("offset", loaded.TornTail.Offset).Int64("bytes", loaded.TornTail.Bytes).
			Msg("truncated the incomplete end of the log, which was never acknowledged")
	}
}

// stateMachine is the replicated state machine of a Voter.
type stateMachine struct {
	voter *Voter
}

// Apply applies a command and publishes the resulting configuration.
func (s stateMachine) Apply(index jury.Index, command []byte) ([]byte, error) {
	result, err := s.voter.registry.Apply(index, command)
	if err != nil {
		return nil, err
	}
	if result.Lease != nil {
		s.voter.recordLease(*result.Lease)
	}
	s.voter.publishConfiguration()
	return result.Encode(), nil
}

// Snapshot returns the encoded state.
func (s stateMachine) Snapshot() ([]byte, error) {
	return s.voter.registry.Snapshot()
}

// Restore replaces the state by a snapshot and publishes its configuration.
func (s stateMachine) Restore(data []byte) error {
	if err := s.voter.registry.Restore(data); err != nil {
		return err
	}
	s.voter.recordLeases()
	s.voter.publishConfiguration()
	return nil
}

// publishConfiguration publishes the configuration in force on this instance.
//
// Declarations that a newer version accepted may not be decodable here. In this case the instance
// is no longer fresh, so that it admits nothing under an older revision, but the voter keeps
// voting. Otherwise a change accepted by one upgraded instance could stop all voters, and no change
// that repairs this could be accepted.
func (v *Voter) publishConfiguration() {
	if err := v.configCache.Publish(v.registry.View()); err != nil {
		v.options.Log.Error().Err(err).Msg("cannot decode the configuration in force; upgrade this instance")
	}
}

// ConfigCache returns the cache of the configuration in force.
func (v *Voter) ConfigCache() *gazette.Cache {
	return v.configCache
}

// Identity returns the voter's identity.
func (v *Voter) Identity() jury.Identity {
	return v.identity
}

// Leader returns the current leader and its term. Both are zero if no leader is known.
func (v *Voter) Leader() (jury.Identity, jury.Term) {
	status := v.replica.Status()
	if status.Leader == "" {
		return "", 0
	}
	return status.Leader, status.Term
}

// OrderRight reports whether this voter may send orders to upstreams at now. See
// clerk.Replica.OrderRight.
func (v *Voter) OrderRight(now time.Time) (term jury.Term, until time.Time, ok bool) {
	return v.replica.OrderRight(now)
}

// Manifest returns the engines and orders according to this replica.
func (v *Voter) Manifest() manifest.View {
	return v.registry.Manifest()
}

// HasConfigLease reports whether the voter holds its configuration lease.
func (v *Voter) HasConfigLease(now time.Time) bool {
	// Read the freshness before the view: the view then includes everything that the freshness
	// covers.
	asOf, ok := v.replica.Freshness()
	published := v.configCache.Latest().Revision >= v.registry.View().Revision
	return ok && published && now.Sub(asOf) < v.options.ConfigLease
}

// Edition returns the edition of the routes according to this replica.
func (v *Voter) Edition() edition.Edition {
	return v.registry.Edition()
}

// EditionWithAge returns the edition of the routes according to this replica, and how current it is
// known to be.
func (v *Voter) EditionWithAge() (edition.Edition, edition.Reading) {
	// Read the freshness before the edition: the edition then includes everything that the
	// freshness covers.
	age, confirmed := v.stateAge()
	current := v.registry.Edition()
	return current, edition.Reading{Version: current.Version, Confirmed: confirmed, Age: age}
}

// stateAge returns the time since the state of this replica was last known to include everything
// committed. It returns false if that was never known.
func (v *Voter) stateAge() (age time.Duration, confirmed bool) {
	asOf, confirmed := v.replica.Freshness()
	if !confirmed {
		return 0, false
	}
	return max(0, v.options.Now().Sub(asOf)), true
}

// ConfirmedEdition returns the edition of the routes as of the time of the call or later. It returns
// false if the voter can't confirm before ctx ends that its state is up to date.
func (v *Voter) ConfirmedEdition(ctx context.Context) (edition.Edition, bool) {
	if !v.awaitFresh(ctx, v.options.Now()) {
		return edition.Edition{}, false
	}
	return v.registry.Edition(), true
}

// AwaitConfirmed waits until the state of this replica has once been known to include everything
// committed. It returns false if that isn't known before ctx ends.
func (v *Voter) AwaitConfirmed(ctx context.Context) bool {
	return v.awaitFresh(ctx, time.Time{})
}

// Close stops the replica, after a transfer of leadership if it is the leader, and closes the data
// folder.
func (v *Voter) Close(ctx context.Context) {
	v.cancel()
	v.goroutines.Wait()
	v.replica.Close(ctx)
	v.ticker.Stop()
	if err := v.archive.Close(); err != nil {
		v.options.Log.Error().Err(err).Msg("cannot close the data folder")
	}
}

// runDocketClock advances the idempotency store's clock periodically while this voter is the
// leader, and reports the store's metrics.
func (v *Voter) runDocketClock(ctx context.Context) {
	ticker := time.NewTicker(v.options.Docket.MaxStep / 2)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		v.reportDocketMetrics()
		if v.replica.Leader() == v.identity {
			v.advanceDocketClock(ctx)
		}
	}
}

// advanceDocketClock advances the idempotency store's clock, by which records expire. The key of an
// expired record counts as a new request, so expiries are logged for operators.
func (v *Voter) advanceDocketClock(ctx context.Context) {
	attemptCtx, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	result, err := v.Propose(attemptCtx, docket.Expire{Now: v.options.Now(), Limits: v.options.Docket})
	if err != nil {
		v.options.Log.Warn().Err(err).Msg("cannot expire idempotency records")
		return
	}
	if answer := result.Docket; answer != nil && answer.Expired+answer.Overdue > 0 {
		v.options.Log.Info().Int("expired", answer.Expired).Int("overdue", answer.Overdue).
			Msg("idempotency records expired, or became unknown because no outcome was recorded in time")
	}
}

// reportDocketMetrics reports the size of the idempotency store and its counters, which are part of
// the replicated state: all voters report the same values.
func (v *Voter) reportDocketMetrics() {
	counters, records, responseBytes := v.registry.DocketStats()
	scope := v.options.Metrics.SubScope("docket")
	for name, value := range map[string]float64{
		"records":           float64(records),
		"response-bytes":    float64(responseBytes),
		"granted":           float64(counters.Granted),
		"refused":           float64(counters.RefusedFull),
		"expired":           float64(counters.Expired),
		"overdue":           float64(counters.Overdue),
		"responses-dropped": float64(counters.ResponsesDropped),
	} {
		scope.Gauge(name).Update(value)
	}
}

// Propose proposes command through the current leader.
//
// Commands are idempotent, so a command whose outcome is unknown is proposed again until ctx ends or the voter is closed.
func (v *Voter) Propose(ctx context.Context, command registry.Command) (registry.Result, error) {
	data, err := registry.Encode(command)
	if err != nil {
		return registry.Result{}, errors.Mark(err, ErrNotAccepted)
	}
	outcomeUnknown := false
	for {
		attemptCtx, cancel := context.WithTimeout(ctx, attemptTimeout)
		result, err := v.replica.Propose(attemptCtx, data)
		cancel()
		if err == nil {
			return registry.DecodeResult(result)
		}
		proposed := toProposed(nil, err)
		outcomeUnknown = outcomeUnknown || proposed.Fate == courier.ProposalUnknown
		if !outcomeUnknown && !proposed.Passing {
			return registry.Result{}, proposalError(proposed)
		}
		if errors.Is(err, clerk.ErrClosed) || !pause.For(ctx, retryInterval) {
			if outcomeUnknown {
				proposed.Fate = courier.ProposalUnknown
			}
			return registry.Result{}, proposalError(proposed)
		}
	}
}

// ChangeVoters asks the leader to add or remove a voter.
func (v *Voter) ChangeVoters(ctx context.Context, change courier.VotersChange) error {
	leader := v.replica.Leader()
	if leader == v.identity || leader == "" {
		return proposalError(v.Control().ChangeVoters(ctx, change))
	}
	address, err := v.replicaAddress(leader)
	if err != nil {
		return errors.Mark(err, ErrNotAccepted)
	}
	return proposalError(v.options.Calls.ChangeVoters(ctx, address, change))
}

// Status returns the replica's own status.
func (v *Voter) Status() jury.Status {
	return v.replica.Status()
}

// Peers returns the replication status of the other replicas if this one is the leader.
func (v *Voter) Peers() []jury.PeerStatus {
	return v.replica.Peers()
}

// Lookup returns the idempotency record of a request. It first waits until the replica is confirmed
// to be up to date as of the call.
func (v *Voter) Lookup(ctx context.Context, key docket.Key) (docket.Answer, error) {
	if !v.awaitFresh(ctx, v.options.Now()) {
		return docket.Answer{}, errors.New("chamber: the voter could not confirm that it is up to date")
	}
	return v.registry.LookupRequest(key), nil
}

// freshnessPollInterval is the interval at which awaitFresh checks the freshness, which each
// heartbeat renews.
const freshnessPollInterval = 5 * time.Millisecond

// awaitFresh waits until the replica's state includes everything that was committed at from.
func (v *Voter) awaitFresh(ctx context.Context, from time.Time) bool {
	for {
		asOf, ok := v.replica.Freshness()
		if ok && !asOf.Before(from) {
			return true
		}
		if !pause.For(ctx, freshnessPollInterval) {
			return false
		}
	}
}
