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

// newChamber starts a replica on a voter, and a follower elsewhere.
func (i *Instance) newChamber() (chamber.Chamber, error) {
	s := i.options.Settings
	options := chamber.Options{
		Self:       s.Name,
		Calls:      i.pools.calls,
		RenewEvery: s.Timing.ConfigurationRenewal,
		Lease:      s.Timing.ConfigurationLease,
		Now:        i.options.Now,
		Log:        i.options.Log,
		Metrics:    i.gauges.Scope(),
	}
	for _, peer := range s.Instances {
		if peer.Voter {
			options.Voters = append(options.Voters, chamber.VoterAddress{
				Name:         peer.Name,
				InnerAddress: peer.InnerAddress.String(),
			})
		}
	}
	if !s.Voter {
		return chamber.NewFollower(options), nil
	}
	return chamber.NewVoter(chamber.VoterOptions{
		Options:         options,
		Folder:          s.DataFolder,
		Heartbeats:      i.pools.heartbeats,
		Entries:         i.pools.entries,
		Heartbeat:       s.Timing.Heartbeat,
		ElectionTimeout: s.Timing.ElectionTimeout,
		ClockDrift:      float64(s.Timing.ClockDriftPercent) / 100,
		OrderFlight:     s.Timing.OrderFlightTime,
		Identities:      i.identities,
		Docket:          i.docketLimits(),
		Quarantine:      quarantine.Limits{Crashes: s.Quarantine.Crashes, Retention: s.Quarantine.Retention},
	})
}

func (i *Instance) docketLimits() docket.Limits {
	set := i.options.Settings.Limits
	limits := docket.DefaultLimits()
	limits.Retention = set.DocketRetention
	limits.MaxRecords = set.DocketRecords
	limits.MaxResponseBytes = set.DocketBytes
	limits.MaxBodyBytes = int(set.DocketAnswerBytes)
	return limits
}

// identities returns the identities of the other voters that are alive.
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

// Issue returns the configuration in force.
func (i *Instance) Issue() *gazette.Issue {
	return i.chamber.Gazette().Latest()
}

// Propose has command carried out, see chamber.Chamber.
func (i *Instance) Propose(ctx context.Context, command registry.Command) (registry.Result, error) {
	return i.chamber.Propose(ctx, command)
}

// Lookup returns what is recorded of a request, see chamber.Chamber.
func (i *Instance) Lookup(ctx context.Context, key docket.Key) (docket.Answer, error) {
	return i.chamber.Lookup(ctx, key)
}

// abandonEarlier tells the voters that this instance was restarted, so that what
// its earlier incarnations had claimed is unknown at once: nobody is left to
// record what came of it, and callers who ask again would wait for the timeout.
func (i *Instance) abandonEarlier(ctx context.Context) {
	command := docket.Abandon{Instance: i.options.Settings.Name, Incarnation: i.incarnation}
	for ctx.Err() == nil {
		tryCtx, cancel := context.WithTimeout(ctx, abandonTimeout)
		_, err := i.chamber.Propose(tryCtx, command)
		cancel()
		if err == nil {
			return
		}
		// A refusal may come at once, again and again.
		select {
		case <-ctx.Done():
		case <-time.After(abandonPause):
		}
	}
}

const (
	// abandonTimeout bounds one try to tell of a restart.
	abandonTimeout = 10 * time.Second
	// abandonPause is the time between two tries.
	abandonPause = time.Second
)

// register returns what operators change, over the replicated state.
func (i *Instance) register() registrar.Register {
	return registrar.NewReplicated(registrar.ReplicatedOptions{
		Gazette:     i.chamber.Gazette(),
		Propose:     i.proposeEncoded,
		NotAccepted: func(err error) bool { return errors.Is(err, chamber.ErrNotAccepted) },
		Fresh:       i.chamber.Fresh,
		RetryAfter:  i.options.Settings.Timing.ElectionTimeout,
	})
}

func (i *Instance) proposeEncoded(ctx context.Context, command []byte) (registry.Result, error) {
	decoded, err := registry.Decode(command)
	if err != nil {
		return registry.Result{}, errors.Mark(err, chamber.ErrNotAccepted)
	}
	return i.chamber.Propose(ctx, decoded)
}

// Bootstrap founds the cluster of all voters, see chamber.Voter.
func (i *Instance) Bootstrap(ctx context.Context, origin registrar.Origin) error {
	voter, ok := i.chamber.(*chamber.Voter)
	if !ok {
		return errors.New("instance: only a voter can bootstrap")
	}
	return voter.BootstrapFrom(ctx, chamber.Origin{
		Index: jury.Index(origin.Index),
		Term:  jury.Term(origin.Term),
		Data:  origin.Data,
	})
}

// Voters returns the set of voters as this instance knows it.
func (i *Instance) Voters(time.Time) registrar.Voters {
	leader, term := i.chamber.Leader()
	set := registrar.Voters{Leader: leader.Instance(), Term: uint64(term), Voters: []string{}, Waiting: []string{}}
	var counted []jury.Identity
	if voter, ok := i.chamber.(*chamber.Voter); ok {
		status := voter.Status()
		set.Cluster = status.Cluster
		counted = status.Voters
	}
	for _, identity := range counted {
		set.Voters = append(set.Voters, string(identity))
	}
	for _, identity := range append(i.identities(), i.chamber.Identity()) {
		if identity != "" && !slices.Contains(counted, identity) {
			set.Waiting = append(set.Waiting, string(identity))
		}
	}
	return set
}

// ChangeVoters makes a caught-up voter count, or removes one.
func (i *Instance) ChangeVoters(ctx context.Context, change registrar.VotersChange) error {
	err := i.chamber.ChangeVoters(ctx, courier.VotersChange{
		Add:    jury.Identity(change.Add),
		Remove: jury.Identity(change.Remove),
	})
	if errors.Is(err, chamber.ErrNotAccepted) {
		return &registrar.UnavailableError{Reason: err.Error()}
	}
	return err
}

// Status returns the state of this instance and what it knows of the others.
func (i *Instance) Status(now time.Time) registrar.Status {
	s := i.options.Settings
	leader, term := i.chamber.Leader()
	issue := i.chamber.Gazette().Latest()
	status := registrar.Status{
		Name:          s.Name,
		FailureDomain: s.FailureDomain,
		Version:       i.options.Version,
		Revision:      uint64(issue.Revision),
		Preset:        issue.Preset.Name,
		Fresh:         i.chamber.Fresh(now),
		Streams:       i.desk.Streams(),
		Leader:        leader.Instance(),
		Term:          uint64(term),
		Engines:       i.placementStatus(),
	}
	i.mu.Lock()
	defer i.mu.Unlock()
	status.Draining = i.draining
	for _, instance := range i.roster.Instances(now) {
		status.Instances = append(status.Instances, registrar.InstanceStatus{
			Name:          instance.Name,
			CallerAddress: instance.CallerAddress,
			FailureDomain: instance.FailureDomain,
			Voter:         instance.Voter,
			Draining:      instance.Draining,
			Stale:         instance.Stale,
			Streams:       instance.Streams,
			Silent:        now.Sub(instance.Heard),
		})
	}
	for _, upstream := range i.roster.Upstreams(now) {
		status.Upstreams = append(status.Upstreams, registrar.UpstreamStatus{
			Name:          upstream.Announcement.Name,
			Kind:          string(upstream.Announcement.Kind),
			Address:       upstream.Announcement.Address,
			FailureDomain: upstream.Announcement.FailureDomain,
			Holds:         holds(upstream.Announcement),
			Running:       upstream.Announcement.Load.Running,
			Waiting:       upstream.Announcement.Load.Waiting,
			Leaving:       upstream.Leaving,
		})
	}
	return status
}

// askDrain starts the planned stop that an operator asked for.
func (i *Instance) askDrain(by string) {
	i.mu.Lock()
	defer i.mu.Unlock()
	select {
	case <-i.drainAsked:
	default:
		i.options.Log.Info().Str("by", by).Msg("planned stop asked for")
		close(i.drainAsked)
	}
}

// house answers operators for an Instance, whose own Drain waits.
type house struct {
	*Instance
}

// Drain starts the planned stop and returns at once.
func (h house) Drain(by string) {
	h.askDrain(by)
}

func holds(announcement upstreamapi.Announcement) []string {
	names := slices.Clone(announcement.Services)
	for _, resident := range announcement.Resident {
		names = append(names, resident.Model)
		names = append(names, resident.Adapters...)
	}
	return names
}
