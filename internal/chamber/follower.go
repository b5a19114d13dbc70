package chamber

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/lovagelift/lovagelift/internal/courier"
	"github.com/lovagelift/lovagelift/internal/docket"
	"github.com/lovagelift/lovagelift/internal/gazette"
	"github.com/lovagelift/lovagelift/internal/jury"
	"github.com/lovagelift/lovagelift/internal/pause"
	"github.com/lovagelift/lovagelift/internal/quarantine"
	"github.com/lovagelift/lovagelift/internal/registry"
)

// Follower is the control plane of an instance that is not a voter. It stores nothing on disk, so
// it admits work only once a voter has confirmed the configuration.
type Follower struct {
	options     Options
	configCache *gazette.Cache

	mu sync.Mutex
	// freshAsOf is the latest time for which the configuration cache is known to hold the
	// configuration that was in force then. It never decreases.
	freshAsOf time.Time
	// clusterID is the cluster that is followed, empty until the first answer.
	clusterID string
	// nextVoter is the index of the voter to ask next, modulo the number of voters.
	nextVoter int
	// quarantineNews are the known requests in quarantine, as of quarantineNewsAt.
	quarantineNews   quarantine.News
	quarantineNewsAt time.Time

	cancel     context.CancelFunc
	goroutines sync.WaitGroup
}

// NewFollower starts a Follower.
func NewFollower(options Options) *Follower {
	ctx, cancel := context.WithCancel(context.Background())
	f := &Follower{options: options, configCache: gazette.New(), cancel: cancel}
	f.goroutines.Go(func() { f.run(ctx) })
	return f
}

// ConfigCache returns the cache of the configuration in force.
func (f *Follower) ConfigCache() *gazette.Cache {
	return f.configCache
}

// Identity returns "", since a follower is not a voter.
func (f *Follower) Identity() jury.Identity {
	return ""
}

// Leader returns zero values, since a follower does not track the leader and sends its calls to any
// voter.
func (f *Follower) Leader() (jury.Identity, jury.Term) {
	return "", 0
}

// HasConfigLease reports whether the follower holds its configuration lease.
func (f *Follower) HasConfigLease(now time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return !f.freshAsOf.IsZero() && now.Sub(f.freshAsOf) < f.options.ConfigLease
}

// Close stops the follower.
func (f *Follower) Close(context.Context) {
	f.cancel()
	f.goroutines.Wait()
}

func (f *Follower) run(ctx context.Context) {
	ticker := time.NewTicker(f.options.RenewInterval)
	defer ticker.Stop()
	for {
		f.renew(ctx)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// renew asks one voter after another until one confirms the configuration.
func (f *Follower) renew(ctx context.Context) {
	for range f.options.Voters {
		voter := f.currentVoter()
		requestedAt := f.options.Now()
		configuration, err := f.options.Calls.Configuration(ctx, voter.InnerAddress, f.configCache.Latest().Revision, f.quarantineMark())
		if err == nil {
			err = f.applyConfiguration(requestedAt, configuration)
		}
		if err == nil {
			return
		}
		if ctx.Err() != nil {
			return
		}
		f.options.Log.Debug().Err(err).Str("voter", voter.Name).Msg("configuration not confirmed")
		f.skipVoter(voter)
	}
}

// applyConfiguration publishes a voter's configuration and renews the lease.
//
// The lease counts from the time of the request. If it counted from the arrival of the answer, a
// delayed answer would extend the lease by its delay, and the instance would continue to use a
// configuration that was replaced in the meantime.
func (f *Follower) applyConfiguration(requestedAt time.Time, configuration courier.Configuration) error {
	if err := f.bindCluster(configuration.Cluster); err != nil {
		return err
	}
	if configuration.View != nil {
		if err := f.configCache.Publish(configuration.View); err != nil {
			return err
		}
	}
	if !configuration.Confirmed {
		return errors.New("chamber: the voter has not confirmed that its own state is up to date")
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if configuration.Quarantine != nil {
		f.quarantineNews, f.quarantineNewsAt = *configuration.Quarantine, requestedAt
	}
	if asOf := requestedAt.Add(-configuration.Age); asOf.After(f.freshAsOf) {
		f.freshAsOf = asOf
	}
	return nil
}

// quarantineMark returns the mark of the latest quarantine news.
func (f *Follower) quarantineMark() uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.quarantineNews.Mark
}

// Quarantine returns the latest quarantine news from a voter.
func (f *Follower) Quarantine(now time.Time) quarantine.News {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.quarantineNews.Aged(now.Sub(f.quarantineNewsAt))
}

// bindCluster binds the follower to the first cluster that a voter reports. If all voters lost their
// disks and a new cluster was created, following it would silently reset the configuration.
// Instead, the follower stays stale until an operator restarts it.
func (f *Follower) bindCluster(cluster string) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	switch {
	case cluster == "":
		return errors.New("chamber: the voter belongs to no cluster yet")
	case f.clusterID == "":
		f.clusterID = cluster
	case f.clusterID != cluster:
		return errors.Newf("chamber: the voter belongs to cluster %s, but this instance follows %s; restart this instance to follow the voter's cluster",
			cluster, f.clusterID)
	}
	return nil
}

func (f *Follower) currentVoter() VoterAddress {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.options.Voters[f.nextVoter%len(f.options.Voters)]
}

// skipVoter moves on to the next voter, unless another goroutine has already done so.
func (f *Follower) skipVoter(voter VoterAddress) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.options.Voters[f.nextVoter%len(f.options.Voters)] == voter {
		f.nextVoter++
	}
}

// attemptTimeout bounds one attempt to make a proposal or a lookup, so that after a voter that does
// not answer there is time to ask another.
const attemptTimeout = time.Second

// Propose asks one voter after another until the outcome of command is known or ctx ends.
//
// Commands are idempotent, so a command whose outcome is unknown is safe to propose again.
func (f *Follower) Propose(ctx context.Context, command registry.Command) (registry.Result, error) {
	data, err := registry.Encode(command)
	if err != nil {
		return registry.Result{}, errors.Mark(err, ErrNotAccepted)
	}
	outcomeUnknown := false
	for {
		proposed := f.proposeOnce(ctx, data)
		switch {
		case proposed.Fate == courier.ProposalExecuted:
			return registry.DecodeResult(proposed.Result)
		case proposed.Fate == courier.ProposalUnknown:
			outcomeUnknown = true
		case !proposed.Passing && !outcomeUnknown:
			return registry.Result{}, proposalError(proposed)
		}
		if !pause.For(ctx, retryInterval) {
			if outcomeUnknown {
				proposed.Fate = courier.ProposalUnknown
			}
			return registry.Result{}, proposalError(proposed)
		}
	}
}

func (f *Follower) proposeOnce(ctx context.Context, data []byte) courier.Proposed {
	voter := f.currentVoter()
	ctx, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	proposed := f.options.Calls.Propose(ctx, voter.InnerAddress, data, false)
	if proposed.Fate != courier.ProposalExecuted {
		f.skipVoter(voter)
	}
	return proposed
}

// Lookup asks one voter after another until one confirms its answer or ctx ends.
func (f *Follower) Lookup(ctx context.Context, key docket.Key) (docket.Answer, error) {
	for {
		recorded, err := f.lookupOnce(ctx, key)
		if err == nil && recorded.Known {
			return recorded.Answer, nil
		}
		if !pause.For(ctx, retryInterval) {
			return docket.Answer{}, errors.CombineErrors(err, errors.New("chamber: no voter could confirm the answer"))
		}
	}
}

func (f *Follower) lookupOnce(ctx context.Context, key docket.Key) (courier.Recorded, error) {
	voter := f.currentVoter()
	ctx, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	recorded, err := f.options.Calls.Lookup(ctx, voter.InnerAddress, key)
	if err != nil || !recorded.Known {
		f.skipVoter(voter)
	}
	return recorded, err
}

// ChangeVoters asks one voter after another until it reaches the leader and the change is made.
func (f *Follower) ChangeVoters(ctx context.Context, change courier.VotersChange) error {
	proposed := courier.Proposed{Fate: courier.ProposalRejected, Reason: "the settings name no voter"}
	for _, voter := range f.options.Voters {
		proposed = f.options.Calls.ChangeVoters(ctx, voter.InnerAddress, change)
		if proposed.Fate != courier.ProposalRejected || !proposed.Passing {
			break
		}
	}
	return proposalError(proposed)
}
