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

// VoterOptions is what a Voter needs beside Options.
type VoterOptions struct {
	Options
	// Folder is the data folder.
	Folder string
	// Heartbeats carries what must not wait behind entries and snapshots, and
	// Entries the rest, each on connections of its own.
	Heartbeats *courier.Pool
	Entries    *courier.Pool
	// Heartbeat, ElectionTimeout, ClockDrift and OrderFlight are those of
	// jury.Options.
	Heartbeat       time.Duration
	ElectionTimeout time.Duration
	ClockDrift      float64
	OrderFlight     time.Duration
	// Identities returns the identities of all voters that are known of.
	Identities func() []jury.Identity
	// Docket bounds the idempotency records.
	Docket docket.Limits
	// Quarantine says when requests that crash upstreams are quarantined.
	Quarantine quarantine.Limits
}

// Voter is the part of an instance that is a voter: a replica of the log.
type Voter struct {
	options  VoterOptions
	identity jury.Identity
	gazette  *gazette.Gazette
	registry *registry.Registry
	archive  *archive.Archive
	clerk    *clerk.Replica
	ticker   *time.Ticker

	leasing   sync.Mutex
	sightings *lease.Sightings

	telling  sync.Mutex
	bulletin *quarantine.Bulletin
	// recall is used by RecallCrashes alone.
	recall quarantine.Recall

	stop context.CancelFunc
	done sync.WaitGroup
}

// heartbeatTicks is how many ticks the clock of the protocol makes in one
// heartbeat.
const heartbeatTicks = 4

// NewVoter opens the data folder and starts the replica. If the folder is
// damaged or held by another process, NewVoter returns an error that says what
// to do.
func NewVoter(options VoterOptions) (*Voter, error) {
	store, loaded, err := archive.Open(archive.Options{Folder: options.Folder})
	if err != nil {
		return nil, err
	}
	logLoaded(options.Log, loaded)
	if options.Metrics == nil {
		options.Metrics = tally.NoopScope
	}
	v := &Voter{
		options:   options,
		identity:  jury.Identity(fmt.Sprintf("%s/%016x", options.Self, loaded.Number)),
		gazette:   gazette.New(),
		registry:  registry.New(),
		sightings: lease.NewSightings(options.Self),
		bulletin:  quarantine.NewBulletin(options.Quarantine),
		archive:   store,
		ticker:    time.NewTicker(options.Heartbeat / heartbeatTicks),
	}
	v.clerk, err = clerk.New(clerk.Options{
		Member: jury.Options{
			Self:            v.identity,
			Seed:            rand.Uint64(),
			Heartbeat:       options.Heartbeat,
			ElectionTimeout: options.ElectionTimeout,
			ClockDrift:      options.ClockDrift,
			OrderFlight:     options.OrderFlight,
		},
		State: jury.State{
			Cluster:   loaded.ClusterID,
			HardState: loaded.HardState,
			Snapshot:  loaded.Snapshot,
			Entries:   loaded.Entries,
		},
		Store:        store,
		Transport:    v,
		StateMachine: machine{v},
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
	v.stop = cancel
	v.done.Go(func() { v.keepDocket(ctx) })
	return v, nil
}

// logLoaded tells what an operator should know of the data folder.
func logLoaded(log zerolog.Logger, loaded archive.Loaded) {
	log.Info().Bool("fresh", loaded.Fresh).Str("cluster-id", loaded.ClusterID).
		Uint64("snapshot-index", uint64(loaded.Snapshot.Index)).Int("entries", len(loaded.Entries)).Msg("data folder opened")
	if loaded.Cut.Bytes > 0 {
		log.Warn().Str("file", loaded.Cut.File).Int64("offset", loaded.Cut.Offset).Int64("bytes", loaded.Cut.Bytes).
			Msg("cut the torn end of the log, which was never acknowledged")
	}
}

// machine is the replicated state machine of a Voter.
type machine struct {
	voter *Voter
}

// Apply carries out a command and publishes the configuration that it made.
func (m machine) Apply(index jury.Index, command []byte) ([]byte, error) {
	result, err := m.voter.registry.Apply(index, command)
	if err != nil {
		return nil, err
	}
	if result.Lease != nil {
		m.voter.sawLease(*result.Lease)
	}
	m.voter.publish()
	return result.Encode(), nil
}

// Snapshot returns the whole state.
func (m machine) Snapshot() ([]byte, error) {
	return m.voter.registry.Snapshot()
}

// Restore takes over a whole state and publishes its configuration.
func (m machine) Restore(data []byte) error {
	if err := m.voter.registry.Restore(data); err != nil {
		return err
	}
	m.voter.sawLeases()
	m.voter.publish()
	return nil
}

// publish puts the replica's configuration into force here.
//
// Declarations that a newer program checked may be unreadable here. That ends
// this instance's freshness, so that it admits nothing under an older revision,
// but not its vote: otherwise one upgraded instance could have an operator's
// change stop all voters, and nobody could accept the change that mends it.
func (v *Voter) publish() {
	if err := v.gazette.Publish(v.registry.View()); err != nil {
		v.options.Log.Error().Err(err).Msg("the configuration in force can't be read here; upgrade this instance")
	}
}

// Gazette returns what holds the configuration in force.
func (v *Voter) Gazette() *gazette.Gazette {
	return v.gazette
}

// Identity returns the voter's identity.
func (v *Voter) Identity() jury.Identity {
	return v.identity
}

// Leader returns the leader that the voter follows, and its term.
func (v *Voter) Leader() (jury.Identity, jury.Term) {
	status := v.clerk.Status()
	if status.Leader == "" {
		return "", 0
	}
	return status.Leader, status.Term
}

// OrderRight is that of clerk.Clerk.
func (v *Voter) OrderRight(now time.Time) (term jury.Term, until time.Time, ok bool) {
	return v.clerk.OrderRight(now)
}

// Manifest returns what this replica has recorded of engines and orders.
func (v *Voter) Manifest() manifest.View {
	return v.registry.Manifest()
}

// Fresh tells whether the voter holds its configuration lease.
func (v *Voter) Fresh(now time.Time) bool {
	// What the freshness covers is in the view that is read after it.
	asOf, ok := v.clerk.Freshness()
	published := v.gazette.Latest().Revision >= v.registry.View().Revision
	return ok && published && now.Sub(asOf) < v.options.Lease
}

// Edition returns the document that operators number, as this replica has it.
func (v *Voter) Edition() edition.Edition {
	return v.registry.Edition()
}

// Reading returns the document that operators number, as this replica has it, and how new
// it is known to be.
func (v *Voter) Reading() (edition.Edition, edition.Reading) {
	// What the freshness covers is in the document that is read after it.
	age, confirmed := v.age()
	held := v.registry.Edition()
	return held, edition.Reading{Version: held.Version, Confirmed: confirmed, Age: age}
}

// age returns how long ago all that was committed is known to have been applied here. If that
// was never known, age returns false.
func (v *Voter) age() (age time.Duration, confirmed bool) {
	asOf, confirmed := v.clerk.Freshness()
	if !confirmed {
		return 0, false
	}
	return max(0, v.options.Now().Sub(asOf)), true
}

// FreshEdition returns the document that operators number, as of now or later.
// If the voter can't confirm that it is up to date before ctx ends, FreshEdition
// returns false.
func (v *Voter) FreshEdition(ctx context.Context) (edition.Edition, bool) {
	if !v.awaitFresh(ctx, v.options.Now()) {
		return edition.Edition{}, false
	}
	return v.registry.Edition(), true
}

// Close hands over a leadership and closes the data folder.
func (v *Voter) Close(ctx context.Context) {
	v.stop()
	v.done.Wait()
	v.clerk.Close(ctx)
	v.ticker.Stop()
	if err := v.archive.Close(); err != nil {
		v.options.Log.Error().Err(err).Msg("data folder not closed")
	}
}

// keepDocket moves the docket's clock on while this voter leads.
func (v *Voter) keepDocket(ctx context.Context) {
	ticker := time.NewTicker(v.options.Docket.MaxStep / 2)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		v.reportDocket()
		if v.clerk.Leader() == v.identity {
			v.ageDocket(ctx)
		}
	}
}

// ageDocket moves the docket's clock on. A record that expires makes its key a
// new request, which operators must be able to see.
func (v *Voter) ageDocket(ctx context.Context) {
	tryCtx, cancel := context.WithTimeout(ctx, tryTimeout)
	defer cancel()
	result, err := v.Propose(tryCtx, docket.Expire{Now: v.options.Now(), Limits: v.options.Docket})
	if err != nil {
		v.options.Log.Warn().Err(err).Msg("idempotency records not aged")
		return
	}
	if aged := result.Docket; aged != nil && aged.Expired+aged.Overdue > 0 {
		v.options.Log.Info().Int("expired", aged.Expired).Int("overdue", aged.Overdue).
			Msg("idempotency records expired, or became unknown for want of an outcome")
	}
}

// reportDocket reports how full the docket is and what became of its records
// since it began. All voters report the same.
func (v *Voter) reportDocket() {
	counters, records, responseBytes := v.registry.Docket()
	scope := v.options.Metrics.SubScope("docket")
	for name, value := range map[string]float64{
		"records":           float64(records),
		"response-bytes":    float64(responseBytes),
		"granted":           float64(counters.Granted),
		"refused":           float64(counters.Refused),
		"expired":           float64(counters.Expired),
		"overdue":           float64(counters.Overdue),
		"responses-dropped": float64(counters.ResponsesDropped),
	} {
		scope.Gauge(name).Update(value)
	}
}

// Propose has command carried out by whichever voter leads.
//
// Commands carry an idempotent identity, so one whose fate is open is proposed
// again until ctx ends, and counts once.
func (v *Voter) Propose(ctx context.Context, command registry.Command) (registry.Result, error) {
	data, err := registry.Encode(command)
	if err != nil {
		return registry.Result{}, errors.Mark(err, ErrNotAccepted)
	}
	open := false
	for {
		tryCtx, cancel := context.WithTimeout(ctx, tryTimeout)
		result, err := v.clerk.Propose(tryCtx, data)
		cancel()
		if err == nil {
			return registry.DecodeResult(result)
		}
		proposed := proposedOf(nil, err)
		open = open || proposed.Fate == courier.FateUnknown
		if !open && !proposed.Passing {
			return registry.Result{}, errorOf(proposed)
		}
		if !pause.For(ctx, retryEvery) {
			if open {
				proposed.Fate = courier.FateUnknown
			}
			return registry.Result{}, errorOf(proposed)
		}
	}
}

// ChangeVoters has the leader add a voter or remove one.
func (v *Voter) ChangeVoters(ctx context.Context, change courier.VotersChange) error {
	leader := v.clerk.Leader()
	if leader == v.identity || leader == "" {
		return errorOf(v.Control().ChangeVoters(ctx, change))
	}
	address, err := v.address(leader)
	if err != nil {
		return errors.Mark(err, ErrNotAccepted)
	}
	return errorOf(v.options.Calls.ChangeVoters(ctx, address, change))
}

// Status returns what the replica knows of itself.
func (v *Voter) Status() jury.Status {
	return v.clerk.Status()
}

// Peers returns what a leader knows of the replicas that it replicates to.
func (v *Voter) Peers() []jury.PeerStatus {
	return v.clerk.Peers()
}

// Lookup waits until the voter is known to be up to date as of now.
func (v *Voter) Lookup(ctx context.Context, key docket.Key) (docket.Answer, error) {
	if !v.awaitFresh(ctx, v.options.Now()) {
		return docket.Answer{}, errors.New("chamber: the voter could not confirm that it is up to date")
	}
	return v.registry.Lookup(key), nil
}

// freshPoll is how often a look-up asks whether the replica is up to date. A
// heartbeat confirms it.
const freshPoll = 5 * time.Millisecond

// awaitFresh waits until the replica has all that was committed at from.
func (v *Voter) awaitFresh(ctx context.Context, from time.Time) bool {
	for {
		asOf, ok := v.clerk.Freshness()
		if ok && !asOf.Before(from) {
			return true
		}
		if !pause.For(ctx, freshPoll) {
			return false
		}
	}
}
