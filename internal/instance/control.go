package instance

import (
	"context"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/lovagelift/lovagelift/internal/chamber"
	"github.com/lovagelift/lovagelift/internal/courier"
	"github.com/lovagelift/lovagelift/internal/docket"
	"github.com/lovagelift/lovagelift/internal/gazette"
	"github.com/lovagelift/lovagelift/internal/jury"
	"github.com/lovagelift/lovagelift/internal/quarantine"
	"github.com/lovagelift/lovagelift/internal/registrar"
	"github.com/lovagelift/lovagelift/internal/registry"
	"github.com/lovagelift/lovagelift/internal/upstreamapi"
)

// newControlPlane starts a replica of the log on a voter, and a follower on any
// other instance.
func (i *Instance) newControlPlane() (chamber.ControlPlane, error) {
	settings := i.options.Settings
	options := chamber.Options{
		Self:          settings.Name,
		Calls:         i.pools.calls,
		RenewInterval: settings.Timing.ConfigurationRenewal,
		ConfigLease:   settings.Timing.ConfigurationLease,
		Now:           i.options.Now,
		Log:           i.options.Log,
		Metrics:       i.metrics.Scope(),
	}
	for _, peer := range settings.Instances {
		if peer.Voter {
			options.Voters = append(options.Voters, chamber.VoterAddress{
				Name:         peer.Name,
				InnerAddress: peer.InnerAddress.String(),
			})
		}
	}
	if !settings.Voter {
		return chamber.NewFollower(options), nil
	}
	return chamber.NewVoter(chamber.VoterOptions{
		Options:         options,
		Folder:          settings.DataFolder,
		HeartbeatPool:   i.pools.heartbeats,
		EntryPool:       i.pools.logEntries,
		Heartbeat:       settings.Timing.Heartbeat,
		ElectionTimeout: settings.Timing.ElectionTimeout,
		ClockDrift:      float64(settings.Timing.ClockDriftPercent) / 100,
		OrderTimeout:    settings.Timing.OrderTimeout,
		Identities:      i.identities,
		Docket:          i.idempotencyLimits(),
		Quarantine:      quarantine.Limits{Crashes: settings.Quarantine.Crashes, Retention: settings.Quarantine.Retention},
	})
}

func (i *Instance) idempotencyLimits() docket.Limits {
	configured := i.options.Settings.Limits
	limits := docket.DefaultLimits()
	limits.Retention = configured.IdempotencyRetention
	limits.MaxRecords = configured.IdempotencyRecords
	limits.MaxResponseBytes = configured.IdempotencyBytes
	limits.MaxBodyBytes = int(configured.IdempotencyAnswerBytes)
	return limits
}

// identities returns the identities of the other voters that are alive. It
// returns nil before the roster exists.
func (i *Instance) identities() []jury.Identity {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.roster == nil {
		return nil
	}
	var identities []jury.Identity
	for _, instance := range i.roster.Instances(i.options.Now()) {
		if instance.Identity != "" && instance.Name != i.options.Settings.Name {
			identities = append(identities, jury.Identity(instance.Identity))
		}
	}
	return identities
}

// Configuration returns the configuration in force.
func (i *Instance) Configuration() *gazette.Configuration {
	return i.controlPlane.ConfigCache().Latest()
}

// Propose replicates and applies command, see chamber.ControlPlane.
func (i *Instance) Propose(ctx context.Context, command registry.Command) (registry.Result, error) {
	return i.controlPlane.Propose(ctx, command)
}

// Lookup returns the idempotency record of a request, see chamber.ControlPlane.
func (i *Instance) Lookup(ctx context.Context, key docket.Key) (docket.Answer, error) {
	return i.controlPlane.Lookup(ctx, key)
}

// abandonEarlierClaims reports the restart of this instance to the voters, which
// then mark the requests claimed by its earlier incarnations as unknown. Those
// incarnations can no longer record an outcome, so callers that retry would
// otherwise wait for the claim to time out.
func (i *Instance) abandonEarlierClaims(ctx context.Context) {
	command := docket.Abandon{Instance: i.options.Settings.Name, Incarnation: i.incarnation}
	for ctx.Err() == nil {
		attemptCtx, cancel := context.WithTimeout(ctx, abandonAttemptTimeout)
		_, err := i.controlPlane.Propose(attemptCtx, command)
		cancel()
		if err == nil {
			return
		}
		// Propose may fail without delay, so wait before the next attempt.
		select {
		case <-ctx.Done():
		case <-time.After(abandonRetryDelay):
		}
	}
}

const (
	abandonAttemptTimeout = 10 * time.Second
	abandonRetryDelay     = time.Second
)

// newConfigStore returns the operators' access to the replicated configuration.
func (i *Instance) newConfigStore() registrar.ConfigStore {
	return registrar.NewReplicatedConfigStore(registrar.ReplicatedConfigStoreOptions{
		ConfigCache:    i.controlPlane.ConfigCache(),
		Propose:        i.proposeEncoded,
		NotAccepted:    func(err error) bool { return errors.Is(err, chamber.ErrNotAccepted) },
		HasConfigLease: i.controlPlane.HasConfigLease,
		RetryAfter:     i.options.Settings.Timing.ElectionTimeout,
	})
}

func (i *Instance) proposeEncoded(ctx context.Context, command []byte) (registry.Result, error) {
	decoded, err := registry.Decode(command)
	if err != nil {
		return registry.Result{}, errors.Mark(err, chamber.ErrNotAccepted)
	}
	return i.controlPlane.Propose(ctx, decoded)
}

// Bootstrap bootstraps the cluster with all voters, see chamber.Voter.
func (i *Instance) Bootstrap(ctx context.Context, origin registrar.Origin) error {
	voter, ok := i.controlPlane.(*chamber.Voter)
	if !ok {
		return errors.New("instance: only a voter can bootstrap")
	}
	return voter.BootstrapFrom(ctx, chamber.InitialState{
		Index: jury.Index(origin.Index),
		Term:  jury.Term(origin.Term),
		Data:  origin.Data,
	})
}

// Voters returns the voters as known to this instance. Live instances that run a
// replica but are not voters of the cluster yet are listed as non-voting.
func (i *Instance) Voters(time.Time) registrar.Voters {
	leader, term := i.controlPlane.Leader()
	set := registrar.Voters{Leader: leader.Instance(), Term: uint64(term), Voters: []string{}, NonVoting: []string{}}
	var voters []jury.Identity
	if voter, ok := i.controlPlane.(*chamber.Voter); ok {
		status := voter.Status()
		set.Cluster = status.Cluster
		voters = status.Voters
	}
	for _, identity := range voters {
		set.Voters = append(set.Voters, string(identity))
	}
	for _, identity := range append(i.identities(), i.controlPlane.Identity()) {
		if identity != "" && !slices.Contains(voters, identity) {
			set.NonVoting = append(set.NonVoting, string(identity))
		}
	}
	return set
}

// ChangeVoters adds a caught-up voter to the cluster, or removes one.
func (i *Instance) ChangeVoters(ctx context.Context, change registrar.VotersChange) error {
	err := i.controlPlane.ChangeVoters(ctx, courier.VotersChange{
		Add:    jury.Identity(change.Add),
		Remove: jury.Identity(change.Remove),
	})
	if errors.Is(err, chamber.ErrNotAccepted) {
		return &registrar.UnavailableError{Reason: err.Error()}
	}
	return err
}

// Status returns the state of this instance and its view of other instances and
// upstreams.
func (i *Instance) Status(now time.Time) registrar.Status {
	settings := i.options.Settings
	leader, term := i.controlPlane.Leader()
	configuration := i.controlPlane.ConfigCache().Latest()
	status := registrar.Status{
		Name:           settings.Name,
		FailureDomain:  settings.FailureDomain,
		Version:        i.options.Version,
		Revision:       uint64(configuration.Revision),
		Preset:         configuration.Preset.Name,
		HasConfigLease: i.controlPlane.HasConfigLease(now),
		ActiveRequests: i.callerAPI.ActiveRequests(),
		Leader:         leader.Instance(),
		Term:           uint64(term),
		Engines:        i.placementStatus(),
	}
	i.mu.Lock()
	defer i.mu.Unlock()
	status.Draining = i.draining
	for _, instance := range i.roster.Instances(now) {
		status.Instances = append(status.Instances, registrar.InstanceStatus{
			Name:             instance.Name,
			CallerAddress:    instance.CallerAddress,
			FailureDomain:    instance.FailureDomain,
			Voter:            instance.Voter,
			Draining:         instance.Draining,
			Stale:            instance.Stale,
			ActiveRequests:   instance.Streams,
			SinceLastContact: now.Sub(instance.LastContact),
		})
	}
	for _, upstream := range i.roster.Upstreams(now) {
		status.Upstreams = append(status.Upstreams, registrar.UpstreamStatus{
			Name:          upstream.Announcement.Name,
			Kind:          string(upstream.Announcement.Kind),
			Address:       upstream.Announcement.Address,
			FailureDomain: upstream.Announcement.FailureDomain,
			Serves:        servedNames(upstream.Announcement),
			Running:       upstream.Announcement.Load.Running,
			Waiting:       upstream.Announcement.Load.Waiting,
			Leaving:       upstream.Leaving,
		})
	}
	return status
}

// requestDrain closes drainRequested. Further calls do nothing.
func (i *Instance) requestDrain(by string) {
	i.mu.Lock()
	defer i.mu.Unlock()
	select {
	case <-i.drainRequested:
	default:
		i.options.Log.Info().Str("by", by).Msg("graceful shutdown requested")
		close(i.drainRequested)
	}
}

// operatorTarget is an Instance for the operator API, with a Drain that does not
// block.
type operatorTarget struct {
	*Instance
}

// Drain requests a drain and returns immediately.
func (t operatorTarget) Drain(by string) {
	t.requestDrain(by)
}

// servedNames returns the services, resident models and adapters of an upstream.
func servedNames(announcement upstreamapi.Announcement) []string {
	names := slices.Clone(announcement.Services)
	for _, resident := range announcement.Resident {
		names = append(names, resident.Model)
		names = append(names, resident.Adapters...)
	}
	return names
}
